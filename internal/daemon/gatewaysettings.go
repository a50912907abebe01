package daemon

import (
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// GatewaySettings are the settings of an entry that serves a route table kept in
// the platform's store.
type GatewaySettings struct {
	Name          string        `arg:"--name,env:SPARSHORE_NAME" help:"name of this process, unique in the deployment"`
	Zone          string        `arg:"--zone,env:SPARSHORE_ZONE" help:"availability zone this process runs in"`
	Listen        string        `arg:"--listen,env:SPARSHORE_LISTEN" help:"address for callers, as IP:port"`
	ReadyListen   string        `arg:"--ready-listen,env:SPARSHORE_READY_LISTEN" help:"address at which the balancer asks whether this entry is ready, as IP:port"`
	MetricsListen string        `arg:"--metrics-listen,env:SPARSHORE_METRICS_LISTEN" help:"address of the metrics, as IP:port"`
	GossipListen  string        `arg:"--gossip-listen,env:SPARSHORE_GOSSIP_LISTEN" help:"address for datagrams of other entries, as IP:port"`
	RelayListen   string        `arg:"--relay-listen,env:SPARSHORE_RELAY_LISTEN" help:"address at which other entries ask what the store said, as IP:port"`
	Store         string        `arg:"--store,env:SPARSHORE_STORE" help:"address of the platform's store, as IP:port"`
	KeyBound      time.Duration `arg:"--key-bound,env:SPARSHORE_KEY_BOUND" default:"5s" help:"time after which a revoked key must not be served"`
	KeyBoundHard  bool          `arg:"--key-bound-hard,env:SPARSHORE_KEY_BOUND_HARD" default:"true" help:"refuse requests with keys while that bound cannot be kept; otherwise keys of the last known routes are served"`
	RetryRatio    float64       `arg:"--retry-ratio,env:SPARSHORE_RETRY_RATIO" default:"0.2" help:"attempts beyond the first allowed for each request"`
	RetryExtra    float64       `arg:"--retry-extra,env:SPARSHORE_RETRY_EXTRA" default:"20" help:"attempts beyond the first allowed besides, in each window, for all entries together"`
	RetryWindow   time.Duration `arg:"--retry-window,env:SPARSHORE_RETRY_WINDOW" default:"10s" help:"window in which attempts are counted"`
	StopWithin    time.Duration `arg:"--stop-within,env:SPARSHORE_STOP_WITHIN" default:"8s" help:"time until a process that was told to stop is killed"`
	CoreShare     float64       `arg:"--core-share,env:SPARSHORE_CORE_SHARE" default:"1" help:"part of a core that this process has; entries with most processor and bandwidth work for the others"`
	Cores         int           `arg:"--cores,env:SPARSHORE_CORES" default:"1" help:"number of cores of which it has that part"`
	LinkMbps      float64       `arg:"--link-mbps,env:SPARSHORE_LINK_MBPS" default:"1000" help:"bandwidth of the VM in Mbit/s"`
	StartTogether bool          `arg:"--start-together,env:SPARSHORE_START_TOGETHER" help:"all processes of the deployment start for the first time, at once"`
	LogLines      int           `arg:"--log-lines,env:SPARSHORE_LOG_LINES" default:"300" help:"most log lines a second"`
	TimelineSize  int           `arg:"--timeline-size,env:SPARSHORE_TIMELINE_SIZE" default:"512" help:"number of events kept for the time line"`
}

// keyMargin is the least key bound that can be served: confirmations come about
// every second and may be one second late.
const keyMargin = 2 * time.Second

// Check returns an error that lists every fault.
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
		f.addf("--key-bound-hard", "needs a --key-bound that is not zero")
	case s.KeyBound <= keyMargin:
		f.addf("--key-bound", "%s must be longer than %s", s.KeyBound, keyMargin)
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
	f.positive("--stop-within", s.StopWithin)
	f.atLeast("--log-lines", s.LogLines, 1)
	f.atLeast("--timeline-size", s.TimelineSize, 1)
	return f.err()
}

// size is what the machine of this process can bear.
func (s *GatewaySettings) size() roster.Size {
	return roster.NewSize(s.CoreShare*float64(s.Cores), s.LinkMbps)
}

// String names what a reload can and cannot change.
func (s *GatewaySettings) String() string {
	return fmt.Sprintf("name=%s zone=%s key-bound=%s hard=%t retry=%v+%v/%s", s.Name, s.Zone, s.KeyBound, s.KeyBoundHard, s.RetryRatio, s.RetryExtra, s.RetryWindow)
}
