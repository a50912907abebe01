package daemon

import (
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// GatewaySettings are the settings of an entry that serves the route table in the store of the
// platform.
type GatewaySettings struct {
	Name          string        `arg:"--name,env:SPARSHORE_NAME" help:"name of this process, unique in the deployment"`
	Zone          string        `arg:"--zone,env:SPARSHORE_ZONE" help:"availability zone this process runs in"`
	Listen        string        `arg:"--listen,env:SPARSHORE_LISTEN" help:"address for callers, as IP:port"`
	ReadyListen   string        `arg:"--ready-listen,env:SPARSHORE_READY_LISTEN" help:"address at which the load balancer checks readiness, as IP:port"`
	MetricsListen string        `arg:"--metrics-listen,env:SPARSHORE_METRICS_LISTEN" help:"address of the metrics, as IP:port"`
	GossipListen  string        `arg:"--gossip-listen,env:SPARSHORE_GOSSIP_LISTEN" help:"address for gossip datagrams of other entries, as IP:port"`
	RelayListen   string        `arg:"--relay-listen,env:SPARSHORE_RELAY_LISTEN" help:"address at which other entries ask for tables of the store, as IP:port"`
	Store         string        `arg:"--store,env:SPARSHORE_STORE" help:"address of the platform's store, as IP:port"`
	KeyBound      time.Duration `arg:"--key-bound,env:SPARSHORE_KEY_BOUND" default:"5s" help:"time after which a revoked key must not be served"`
	KeyBoundHard  bool          `arg:"--key-bound-hard,env:SPARSHORE_KEY_BOUND_HARD" default:"true" help:"refuse requests with keys while the key bound cannot be kept; otherwise keys of the last known routes are accepted"`
	RetryRatio    float64       `arg:"--retry-ratio,env:SPARSHORE_RETRY_RATIO" default:"0.2" help:"additional attempts allowed for each request"`
	RetryExtra    float64       `arg:"--retry-extra,env:SPARSHORE_RETRY_EXTRA" default:"20" help:"further additional attempts allowed in each window, for all entries together"`
	RetryWindow   time.Duration `arg:"--retry-window,env:SPARSHORE_RETRY_WINDOW" default:"10s" help:"window in which attempts are counted"`
	StopWithin    time.Duration `arg:"--stop-within,env:SPARSHORE_STOP_WITHIN" default:"8s" help:"time until a process that was asked to stop is killed"`
	CoreShare     float64       `arg:"--core-share,env:SPARSHORE_CORE_SHARE" default:"1" help:"part of each core that this process may use; entries with the most processor time and bandwidth do shared work for the others"`
	Cores         int           `arg:"--cores,env:SPARSHORE_CORES" default:"1" help:"number of cores that this process may use in part"`
	LinkMbps      float64       `arg:"--link-mbps,env:SPARSHORE_LINK_MBPS" default:"1000" help:"bandwidth of the VM in Mbit/s"`
	MemoryMB      float64       `arg:"--memory-mb,env:SPARSHORE_MEMORY_MB" default:"0" help:"memory of the VM in MiB; an eighth of it is for buffered requests and responses; 0 for no limit on these"`
	StartTogether bool          `arg:"--start-together,env:SPARSHORE_START_TOGETHER" help:"set if all processes of the deployment start together for the first time"`
	LogLines      int           `arg:"--log-lines,env:SPARSHORE_LOG_LINES" default:"300" help:"maximum number of log lines a second"`
	TimelineSize  int           `arg:"--timeline-size,env:SPARSHORE_TIMELINE_SIZE" default:"512" help:"number of events kept for the timeline"`
}

// minKeyBound must be less than the key bound: confirmations of the routes arrive about every
// second and may be one second late.
const minKeyBound = 2 * time.Second

const (
	// bufferShare is the divisor of the VM's memory that is for buffered requests and responses. The
	// rest is for the program, its connections and the memory that is not collected yet, which may be
	// as much again as what is in use.
	bufferShare = 8
	// maxMemoryMB is beyond all VMs; a larger value was meant in bytes or KB.
	maxMemoryMB = 16 << 20
)

// Check returns an error that lists every invalid setting.
func (s *GatewaySettings) Check() error {
	var f faults
	f.name("--name", s.Name)
	f.name("--zone", s.Zone)
	for _, a := range []struct{ flag, value string }{
		{"--listen", s.Listen}, {"--ready-listen", s.ReadyListen}, {"--metrics-listen", s.MetricsListen},
		{"--gossip-listen", s.GossipListen}, {"--relay-listen", s.RelayListen}, {"--store", s.Store},
	} {
		f.address(a.flag, a.value)
	}
	switch {
	case s.KeyBoundHard && s.KeyBound == 0:
		f.addf("--key-bound-hard", "requires a --key-bound that is not zero")
	case s.KeyBound <= minKeyBound:
		f.addf("--key-bound", "%s must be longer than %s", s.KeyBound, minKeyBound)
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		f.addf("--retry-ratio", "%v must be between 0 and 1", s.RetryRatio)
	}
	if s.RetryExtra < 0 {
		f.addf("--retry-extra", "%v must not be negative", s.RetryExtra)
	}
	f.positive("--retry-window", s.RetryWindow)
	if s.CoreShare <= 0 {
		f.addf("--core-share", "%v must be positive", s.CoreShare)
	}
	f.atLeast("--cores", s.Cores, 1)
	if s.LinkMbps <= 0 {
		f.addf("--link-mbps", "%v must be positive", s.LinkMbps)
	}
	// A value that is not a number fails both comparisons.
	if !(s.MemoryMB >= 0 && s.MemoryMB <= maxMemoryMB) {
		f.addf("--memory-mb", "%v must be between 0 and %d", s.MemoryMB, maxMemoryMB)
	}
	f.positive("--stop-within", s.StopWithin)
	f.atLeast("--log-lines", s.LogLines, 1)
	f.atLeast("--timeline-size", s.TimelineSize, 1)
	return f.err()
}

// size returns the capacity of the VM of this process.
func (s *GatewaySettings) size() roster.Size {
	return roster.NewSize(s.CoreShare*float64(s.Cores), s.LinkMbps)
}

// bufferLimit returns the number of bytes for buffered requests and responses, or 0 for no limit.
func (s *GatewaySettings) bufferLimit() int64 { return int64(s.MemoryMB * (1 << 20) / bufferShare) }

// String returns the settings that are logged when the process starts and when it is asked to
// reload them.
func (s *GatewaySettings) String() string {
	return fmt.Sprintf("name=%s zone=%s key-bound=%s hard=%t retry=%v+%v/%s memory-mb=%v", s.Name, s.Zone, s.KeyBound, s.KeyBoundHard, s.RetryRatio, s.RetryExtra, s.RetryWindow, s.MemoryMB)
}
