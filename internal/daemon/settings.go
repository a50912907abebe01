// Package daemon builds and runs the processes of the sparshored command: entries, sidecars and
// gateways. Main parses the settings of a process from flags and environment variables and checks
// them before anything starts. On a signal to stop, a process finishes the requests in flight
// within the time that its settings allow.
package daemon

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// ErrSettings is wrapped by the error that lists every invalid setting.
var ErrSettings = errors.New("invalid settings")

// Common are the settings that entries and sidecars share.
type Common struct {
	Name         string        `arg:"--name,env:SPARSHORE_NAME" help:"name of this process, unique in the deployment"`
	Zone         string        `arg:"--zone,env:SPARSHORE_ZONE" help:"availability zone this process runs in"`
	PeerListen   string        `arg:"--peer-listen,env:SPARSHORE_PEER_LISTEN" help:"address for other processes, as IP:port"`
	HTTPListen   string        `arg:"--http-listen,env:SPARSHORE_HTTP_LISTEN" help:"address for HTTP, as IP:port"`
	TableURL     string        `arg:"--table-url,env:SPARSHORE_TABLE_URL" help:"endpoint of the table service (DynamoDB API)"`
	TableName    string        `arg:"--table-name,env:SPARSHORE_TABLE_NAME" default:"sparshore" help:"name of the table"`
	ObjectsURL   string        `arg:"--objects-url,env:SPARSHORE_OBJECTS_URL" help:"endpoint of the object store (S3 API)"`
	Bucket       string        `arg:"--bucket,env:SPARSHORE_BUCKET" default:"sparshore" help:"bucket in the object store"`
	AccessKey    string        `arg:"--access-key,env:SPARSHORE_ACCESS_KEY" default:"local" help:"access key of the platform's stores"`
	SecretKey    string        `arg:"--secret-key,env:SPARSHORE_SECRET_KEY" default:"local" help:"secret key of the platform's stores"`
	VMsURL       string        `arg:"--vms-url,env:SPARSHORE_VMS_URL" help:"endpoint of the VM list"`
	VMsEvery     time.Duration `arg:"--vms-every,env:SPARSHORE_VMS_EVERY" default:"1s" help:"time between reads of the VM list"`
	Heartbeat    time.Duration `arg:"--heartbeat,env:SPARSHORE_HEARTBEAT" default:"500ms" help:"minimum time between heartbeats on a connection"`
	Pings        float64       `arg:"--pings,env:SPARSHORE_PINGS" default:"10" help:"maximum number of heartbeats a second to all processes together; 0 for no limit"`
	SuspectAfter time.Duration `arg:"--suspect-after,env:SPARSHORE_SUSPECT_AFTER" default:"700ms" help:"silence after which a process gets no new work"`
	LostAfter    time.Duration `arg:"--lost-after,env:SPARSHORE_LOST_AFTER" default:"3s" help:"silence after which a connection is closed"`
	ConfigEvery  time.Duration `arg:"--config-every,env:SPARSHORE_CONFIG_EVERY" default:"5s" help:"mean time between reads of the configuration head by an entry"`
	StopWithin   time.Duration `arg:"--stop-within,env:SPARSHORE_STOP_WITHIN" default:"60s" help:"time a planned stop gives to requests in flight"`
	TimelineSize int           `arg:"--timeline-size,env:SPARSHORE_TIMELINE_SIZE" default:"4096" help:"number of events kept for the timeline"`
}

// EntrySettings are the settings of an entry.
type EntrySettings struct {
	Common
	MaxBody      int64         `arg:"--max-body,env:SPARSHORE_MAX_BODY" default:"1048576" help:"largest request body in bytes"`
	StartWithin  time.Duration `arg:"--start-within,env:SPARSHORE_START_WITHIN" default:"30s" help:"maximum time that a generation may wait to start"`
	GoneGrace    time.Duration `arg:"--gone-grace,env:SPARSHORE_GONE_GRACE" default:"500ms" help:"time that a caller who disconnected has to reconnect"`
	ResumeWithin time.Duration `arg:"--resume-within,env:SPARSHORE_RESUME_WITHIN" default:"5s" help:"time to restore a broken connection to a sidecar before its streams are ended"`
	CallWithin   time.Duration `arg:"--call-within,env:SPARSHORE_CALL_WITHIN" default:"30s" help:"time limit of a call to a plain service"`
	Attempts     int           `arg:"--attempts,env:SPARSHORE_ATTEMPTS" default:"3" help:"maximum number of upstreams tried for one request"`
	RetryPart    float64       `arg:"--retry-part,env:SPARSHORE_RETRY_PART" default:"0.1" help:"number of retries allowed for each request, as a fraction"`
	Operators    string        `arg:"--operators,env:SPARSHORE_OPERATORS" help:"operators as name=sha256-of-token, separated by commas"`
}

// SidecarSettings are the settings of a sidecar.
type SidecarSettings struct {
	Common
	Upstream      string        `arg:"--upstream,env:SPARSHORE_UPSTREAM" help:"name of the upstream in the configuration"`
	UpstreamURL   string        `arg:"--upstream-url,env:SPARSHORE_UPSTREAM_URL" help:"address of the upstream beside this sidecar"`
	Blocks        int           `arg:"--blocks,env:SPARSHORE_BLOCKS" default:"2000" help:"KV blocks of the engine"`
	BlockTokens   int           `arg:"--block-tokens,env:SPARSHORE_BLOCK_TOKENS" default:"16" help:"tokens in a KV block"`
	MaxBatch      int           `arg:"--max-batch,env:SPARSHORE_MAX_BATCH" default:"256" help:"maximum number of concurrent streams of the engine"`
	TokenGap      time.Duration `arg:"--token-gap,env:SPARSHORE_TOKEN_GAP" default:"48ms" help:"target time between tokens; 0 for no batch limit"`
	Risk          float64       `arg:"--risk,env:SPARSHORE_RISK" default:"2.5" help:"standard deviations of memory growth that must fit at admission"`
	Grace         time.Duration `arg:"--grace,env:SPARSHORE_GRACE" default:"10s" help:"time that a stream is kept after the connection to its entry was lost"`
	Kept          time.Duration `arg:"--kept,env:SPARSHORE_KEPT" default:"30s" help:"time that an ended stream can be requested again"`
	UnackedBytes  int           `arg:"--unacked-bytes,env:SPARSHORE_UNACKED_BYTES" default:"1048576" help:"maximum undelivered bytes of a stream before its caller counts as too slow"`
	RetainedBytes int           `arg:"--retained-bytes,env:SPARSHORE_RETAINED_BYTES" default:"131072" help:"delivered bytes of a stream retained for a resume"`
	CallWindow    time.Duration `arg:"--call-window,env:SPARSHORE_CALL_WINDOW" default:"24h" help:"time a call identifier is remembered"`
	AnswerBytes   int           `arg:"--answer-bytes,env:SPARSHORE_ANSWER_BYTES" default:"33554432" help:"maximum total size of retained answers in bytes"`
	CallTimeout   time.Duration `arg:"--call-timeout,env:SPARSHORE_CALL_TIMEOUT" default:"30s" help:"time limit of one call to the upstream"`
	LeavingHeader string        `arg:"--leaving-header,env:SPARSHORE_LEAVING_HEADER" default:"X-Leaving" help:"response header by which the upstream reports that it is leaving; empty for none"`
	LimitHeader   string        `arg:"--limit-header,env:SPARSHORE_LIMIT_HEADER" default:"X-Requests-Per-Second" help:"response header by which the upstream states its rate limit in requests a second; empty for none"`
	LeaseTerm     time.Duration `arg:"--lease-term,env:SPARSHORE_LEASE_TERM" default:"10m" help:"term of the lease on calls with a caller's key; they run for this long without the table service"`
	Skew          time.Duration `arg:"--skew,env:SPARSHORE_SKEW" default:"2s" help:"maximum difference between two clocks"`
}

// faults collects invalid settings, each with the name of its flag.
type faults []string

func (f *faults) addf(flag, format string, args ...any) {
	*f = append(*f, flag+": "+fmt.Sprintf(format, args...))
}

func (f faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n  %s", ErrSettings, strings.Join(f, "\n  "))
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

func (f *faults) name(flag, v string) {
	if !namePattern.MatchString(v) {
		f.addf(flag, "%q must match %s", v, namePattern)
	}
}

func (f *faults) address(flag, v string) {
	host, _, err := net.SplitHostPort(v)
	if err != nil {
		f.addf(flag, "%q is not an IP:port", v)
		return
	}
	if net.ParseIP(host) == nil {
		f.addf(flag, "%q does not start with an IP address", v)
	}
}

func (f *faults) url(flag, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		f.addf(flag, "%q is not an http or https URL", v)
	}
}

func (f *faults) positive(flag string, v time.Duration) {
	if v <= 0 {
		f.addf(flag, "%s must be longer than zero", v)
	}
}

func (f *faults) atLeast(flag string, v, least int) {
	if v < least {
		f.addf(flag, "%d must be at least %d", v, least)
	}
}

func (c *Common) check(f *faults) {
	f.name("--name", c.Name)
	f.name("--zone", c.Zone)
	f.address("--peer-listen", c.PeerListen)
	f.address("--http-listen", c.HTTPListen)
	f.url("--table-url", c.TableURL)
	f.url("--objects-url", c.ObjectsURL)
	f.url("--vms-url", c.VMsURL)
	f.positive("--vms-every", c.VMsEvery)
	f.positive("--heartbeat", c.Heartbeat)
	f.positive("--suspect-after", c.SuspectAfter)
	if c.Pings < 0 {
		f.addf("--pings", "%v must not be negative", c.Pings)
	}
	f.positive("--config-every", c.ConfigEvery)
	f.positive("--stop-within", c.StopWithin)
	f.atLeast("--timeline-size", c.TimelineSize, 1)
	if c.LostAfter <= c.SuspectAfter {
		f.addf("--lost-after", "%s must be longer than --suspect-after, %s", c.LostAfter, c.SuspectAfter)
	}
}

// Check returns an error that lists every invalid setting.
func (s *EntrySettings) Check() error {
	var f faults
	s.check(&f)
	f.atLeast("--max-body", int(s.MaxBody), 1)
	f.positive("--start-within", s.StartWithin)
	f.positive("--resume-within", s.ResumeWithin)
	f.positive("--call-within", s.CallWithin)
	f.atLeast("--attempts", s.Attempts, 1)
	if s.GoneGrace < 0 {
		f.addf("--gone-grace", "%s must not be negative", s.GoneGrace)
	}
	if s.RetryPart < 0 || s.RetryPart > 1 {
		f.addf("--retry-part", "%v must be between 0 and 1", s.RetryPart)
	}
	if _, err := parseOperators(s.Operators); err != nil {
		f.addf("--operators", "%v", err)
	}
	return f.err()
}

// Check returns an error that lists every invalid setting.
func (s *SidecarSettings) Check() error {
	var f faults
	s.check(&f)
	f.name("--upstream", s.Upstream)
	f.url("--upstream-url", s.UpstreamURL)
	f.atLeast("--blocks", s.Blocks, 1)
	f.atLeast("--block-tokens", s.BlockTokens, 1)
	f.atLeast("--max-batch", s.MaxBatch, 1)
	f.atLeast("--unacked-bytes", s.UnackedBytes, 4096)
	f.atLeast("--retained-bytes", s.RetainedBytes, 4096)
	f.atLeast("--answer-bytes", s.AnswerBytes, 0)
	f.positive("--grace", s.Grace)
	f.positive("--kept", s.Kept)
	f.positive("--call-window", s.CallWindow)
	f.positive("--call-timeout", s.CallTimeout)
	if s.Risk < 0 {
		f.addf("--risk", "%v must not be negative", s.Risk)
	}
	if s.TokenGap < 0 {
		f.addf("--token-gap", "%s must not be negative", s.TokenGap)
	}
	if s.Skew < 0 || s.LeaseTerm <= s.Skew {
		f.addf("--lease-term", "%s must be longer than --skew, %s", s.LeaseTerm, s.Skew)
	}
	return f.err()
}

var errOperatorSyntax = errors.New("must be name=sha256-of-token in hexadecimal")

const sha256Bytes = 32

func parseOperators(text string) (map[string]string, error) {
	out := map[string]string{}
	if text == "" {
		return out, nil
	}
	for item := range strings.SplitSeq(text, ",") {
		name, hash, ok := strings.Cut(item, "=")
		b, err := hex.DecodeString(hash)
		if !ok || name == "" || err != nil || len(b) != sha256Bytes {
			return nil, fmt.Errorf("%q: %w", item, errOperatorSyntax)
		}
		out[strings.ToLower(hash)] = name
	}
	return out, nil
}
