package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/originstore"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
)

// The headers of the test protocol.
const (
	testID        = "Test-Id"
	testKey       = "Test-Key"
	testUpstream  = "Test-Upstream"
	testDeadline  = "Test-Deadline-Ms"
	testNotRun    = "Test-Not-Run"
	testProof     = "Test-Proof"
	testLastEvent = "Test-Last-Event"
	testResumes   = "Test-Resumes"
	testFrom      = "Test-From"
	testRetryMs   = "Test-Back-Ms"
	testLimit     = "Test-Limit"
	testLeaving   = "Test-Leaving"
	testOwnID     = "Test-Own-Id"
)

func testProtocol() protocol.Protocol {
	return protocol.Protocol{
		IDHeader: testID,
		Decode: func(r *http.Request, now time.Time) protocol.Call {
			c := protocol.Call{
				ID: r.Header.Get(testID), Key: r.Header.Get(testKey), Method: r.Method, Target: r.RequestURI, Host: "host",
				Header: http.Header{testID: {r.Header.Get(testID)}}, Prompt: 1000, MaxOutput: 1000, LastEvent: r.Header.Get(testLastEvent), Resumes: r.Header.Get(testResumes),
			}
			if ms, err := strconv.Atoi(r.Header.Get(testDeadline)); err == nil {
				c.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
			}
			return c
		},
		Forward: func(c *protocol.Call, a protocol.Attempt, now time.Time) link.Request {
			h := c.Header.Clone()
			h.Set(testUpstream, a.Upstream)
			h.Set(testLastEvent, cmp.Or(a.LastEvent, c.LastEvent))
			h.Set(testDeadline, strconv.FormatInt(a.Deadline.Sub(now).Milliseconds(), 10))
			if a.From != nil {
				h.Set(testFrom, a.From.Handle)
			}
			return link.Request{Method: c.Method, Target: c.Target, Host: c.Host, Header: h, ID: c.ID}
		},
		Verdict: func(status int, h http.Header) protocol.Verdict {
			switch {
			case status == http.StatusMisdirectedRequest:
				return protocol.WrongUpstream
			case h.Get(testNotRun) != "":
				return protocol.NotRun
			}
			return protocol.Ran
		},
		Complete: func(status int, h http.Header) bool { return status >= 300 || h.Get(testProof) != "" },
		Limit: func(h http.Header) (protocol.Limit, error) {
			text := h.Get(testLimit)
			rate, err := strconv.ParseFloat(text, 64)
			if text != "" && err != nil {
				return protocol.Limit{}, protocol.ErrInvalidRate
			}
			return protocol.Limit{Limited: text != "", Rate: rate}, nil
		},
		Notice: func(status int, h http.Header, now time.Time) protocol.Notice {
			n := protocol.Notice{Leaving: status != http.StatusMisdirectedRequest && h.Get(testLeaving) != ""}
			if ms, err := strconv.Atoi(h.Get(testRetryMs)); err == nil && status == http.StatusServiceUnavailable {
				n.BackOffUntil = now.Add(time.Duration(ms) * time.Millisecond)
			}
			return n
		},
		RetryAt: func(h http.Header, now time.Time) time.Time {
			ms, err := strconv.Atoi(h.Get(testRetryMs))
			if err != nil {
				return time.Time{}
			}
			return now.Add(time.Duration(ms) * time.Millisecond)
		},
		CopyHeaders: func(from, to http.Header) { to.Set(testProof, from.Get(testProof)) },
		Refuse: func(w http.ResponseWriter, _ *protocol.Call, r protocol.Refusal, now time.Time) {
			if !r.RetryAt.IsZero() {
				w.Header().Set(testRetryMs, strconv.FormatInt(r.RetryAt.Sub(now).Milliseconds(), 10))
			}
			http.Error(w, r.Reason, r.Status)
		},
		Copy: func(call, target string, last bool) link.Request {
			return link.Request{Method: http.MethodPost, Target: "/copy?id=" + call + "&target=" + target + "&last=" + strconv.FormatBool(last), Host: "engine", Header: http.Header{}}
		},
		CopyResult: func(status int, body []byte) protocol.CopyResult {
			var r protocol.CopyResult
			if status == http.StatusOK && json.Unmarshal(body, &r) == nil {
				return r
			}
			return protocol.CopyResult{Outcome: protocol.CopyFailed}
		},
		Release: func(handle string) link.Request {
			return link.Request{Method: http.MethodDelete, Target: "/copy/" + handle, Host: "engine", Header: http.Header{}}
		},
		StateQuery: func() link.Request {
			return link.Request{Method: http.MethodGet, Target: "/report", Host: "engine", Header: http.Header{}}
		},
		DecodeState: func(_ int, body []byte) (protocol.EngineState, error) {
			s := protocol.EngineState{Leaving: strings.Contains(string(body), "leaving")}
			if strings.Contains(string(body), "reading") {
				s.Prefilling = 1
			}
			if strings.Contains(string(body), "waiting") {
				s.Waiting = 1
			}
			if _, born, ok := strings.Cut(string(body), "born "); ok {
				s.StartedAt, _ = strconv.ParseInt(born, 10, 64)
			}
			return s, nil
		},
		HealthCheck: func(upstream, path string) link.Request {
			return link.Request{Method: http.MethodGet, Target: path, Host: "upstream", Header: http.Header{testUpstream: {upstream}}}
		},
		DecodeIdentity: func(upstream string, status int, h http.Header, body []byte) protocol.Identity {
			i := protocol.Identity{Name: h.Get(testOwnID)}
			i.Other = status == http.StatusMisdirectedRequest || i.Name != "" && i.Name != upstream
			if _, born, ok := strings.Cut(string(body), "born "); ok {
				i.StartedAt, _ = strconv.ParseInt(born, 10, 64)
			}
			return i
		},
	}
}

// upstream is a plain upstream or an engine whose answers a test defines.
type upstream struct {
	id      string
	address string
	// health answers health checks; by default they are answered with the name of the upstream.
	health http.HandlerFunc

	mu   sync.Mutex
	seen []http.Header
	// checked are the times of the health checks.
	checked []time.Time
}

func (u *upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.checked = append(u.checked, time.Now())
	u.mu.Unlock()
	if u.health != nil {
		u.health(w, r)
		return
	}
	w.Header().Set(testOwnID, u.id)
}

// healthChecks returns the times of the health checks.
func (u *upstream) healthChecks() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.checked)
}

func (u *upstream) runs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

func (u *upstream) header(i int) http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen[i]
}

// fixture is a gateway with a server for callers, and its upstreams.
type fixture struct {
	t       *testing.T
	gateway *Gateway
	fleet   *fleet.Set
	routes  *belief.Routes
	rec     *events.Recorder
	server  *httptest.Server
	records []fleet.Record
	// software is the version of the upstreams that are added.
	software string
	// lastServer is the server of the upstream that was added last.
	lastServer *httptest.Server
	// stored is what the store has for each stream, unless storeErr is set.
	stored   originstore.Stored
	storeErr error
	// unverified is the reason why the upstreams are not known as of the present time.
	unverified error
	// confirm is called before the first event of a stream that may be resumed is passed on.
	confirm func(o origin.Origin) bool
	// peers are the other entries that are reachable.
	peers map[string]gossip.Peer
	delay time.Duration
}

const (
	pathSafe   = "/safe/"
	pathOnce   = "/once/"
	pathStream = "/stream/"
	pathResume = "/resume/"
	pathOpen   = "/open/"
	pathLater  = "/later/"

	testHealthPath = "/health"
)

// testHeadWithin is how long the link waits for the head of an answer to a cancelled request.
const testHeadWithin = 50 * time.Millisecond

func newFixture(t *testing.T, change ...func(*Settings)) *fixture {
	t.Helper()
	f := &fixture{t: t, rec: events.Nop(), confirm: func(origin.Origin) bool { return true }}
	decode := func(value []byte) (*routetable.Table, error) { return testTable(string(value)), nil }
	f.routes = belief.NewRoutes("routes", decode, f.rec, time.Now)
	f.fleet = fleet.New(f.rec, time.Now, func(id string) { f.gateway.Evacuate(id) })
	d := &net.Dialer{}
	pool := link.New(link.Settings{DialTimeout: time.Second, DefaultIdleTimeout: time.Minute, HeadGrace: testHeadWithin, IDHeader: testID},
		func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp4", address)
		}, time.Now)
	settings := Settings{MaxRoutesAge: time.Minute, RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second}
	for _, c := range change {
		c(&settings)
	}
	f.gateway = New(settings,
		f.routes, f.fleet, pool, testProtocol(), Peers{
			SendSoon: func() {}, SendNow: func() {}, DeliveryTimes: func() (delivery, silence time.Duration) { return 0, 0 }, LivePeers: func() map[string]gossip.Peer { return f.peers },
			Delay:  func(string, bool) time.Duration { return f.delay },
			Limits: limits.Alone(), Origins: origin.Alone(), StoredOrigins: StoredOrigins{
				Find: func(context.Context, origin.Key, string, time.Time) (originstore.Stored, error) {
					return f.stored, f.storeErr
				},
				Confirm: func(_ context.Context, o origin.Origin) bool { return f.confirm(o) },
			},
			VerifyUpstreams: func(context.Context, time.Time) error { return f.unverified },
		}, f.rec, prometheus.NewRegistry(), time.Now)
	follow(f.fleet, time.Hour)
	f.gateway.SetListedEntries(1)
	f.server = httptest.NewServer(f.gateway)
	t.Cleanup(f.server.Close)
	f.routes.Apply(testSnapshot("1"), true)
	f.routes.ConfirmCurrent(time.Now(), belief.Evidence{})
	return f
}

// follow makes a fleet follow the upstreams for some time until now.
func follow(set *fleet.Set, d time.Duration) {
	for ; d >= 0; d -= time.Second {
		set.Followed(time.Now().Add(-d))
	}
}

// testTimeout is longer than any test server takes on a busy machine: 2 s cut a stream of some
// hundred milliseconds once at a load of 45 on 12 cores.
const testTimeout = 30 * time.Second

// callerTimeout is how long a caller waits for the end of an answer. All routes have shorter timeouts.
const callerTimeout = 2 * testTimeout

// signalTimeout is how long a test waits for something that happens at once on an idle machine.
const signalTimeout = 5 * time.Second

// testHeaderBytes is the size limit for headers in these tests.
const testHeaderBytes = 4000

// testSnapshot returns what the store reports for a route table that testTable describes.
func testSnapshot(text string) platform.Snapshot {
	return platform.Snapshot{Records: []platform.Record{{Name: "routes", Value: []byte(text)}}}
}

// testTable returns the route table of a version. The text "N revoked" stands for version N
// without keys, "N later" for version N with an additional service, "N moved" for version N with routes
// that lead to other services, "N bodies" for version N with large request bodies, and "N pauses" for
// version N with a bound on the pauses of streams.
func testTable(text string) *routetable.Table {
	version, more, _ := strings.Cut(text, " ")
	n, _ := strconv.Atoi(version)
	keys := []string{"key"}
	if more == "revoked" {
		keys = nil
	}
	bodyBytes := int64(1000)
	if more == "bodies" {
		bodyBytes = 4 << 20
	}
	route := func(prefix string, kind routetable.Kind, service string, attempts int) routetable.Route {
		return routetable.Route{
			Name: prefix, Host: "host", Prefix: prefix, Kind: kind, Timeout: testTimeout, Objective: 100 * time.Millisecond,
			Shares: []routetable.Share{{Service: service, Weight: 1}}, MaxAttempts: attempts,
		}
	}
	resume := route(pathResume, routetable.Stream, "llm", 3)
	resume.Resumable = true
	open := route(pathOpen, routetable.Repeatable, "app", 2)
	open.Public = true
	routes := []routetable.Route{
		route(pathSafe, routetable.Repeatable, "app", 2), route(pathOnce, routetable.Once, "app", 3),
		route(pathStream, routetable.Stream, "llm", 1), resume, open,
	}
	services := []routetable.Service{
		{Name: "app", HealthPath: testHealthPath},
		{Name: "llm", HealthPath: testHealthPath, Engine: &routetable.Engine{Slots: 8, MemoryTokens: 100000, Moves: true, EventTokens: 4}},
	}
	if more == "pauses" {
		for i := range routes {
			if routes[i].Kind == routetable.Stream {
				routes[i].MaxPause = maxTestPause
			}
		}
	}
	if more == "moved" {
		services = append(services, routetable.Service{Name: "app-2"}, routetable.Service{Name: "llm-2", Engine: services[1].Engine})
		for i := range routes {
			routes[i].Shares[0].Service += "-2"
		}
	}
	if more == "later" {
		routes, services = append(routes, route(pathLater, routetable.Repeatable, "later", 1)), append(services, routetable.Service{Name: "later"})
	}
	return routetable.New(routetable.Version(n), routes, services, routetable.Limits{BodyBytes: bodyBytes, HeaderBytes: testHeaderBytes}, []routetable.Account{{Name: "acme", Keys: keys}})
}

// newQuarantineRun returns the run of a request without recorded crashes.
func newQuarantineRun() *quarantine.Run {
	run, err := quarantine.New(events.Nop(), time.Now, func() {}).Enter(context.Background(), quarantine.Request{}, 0)
	if err != nil {
		panic(err)
	}
	return run
}

// add starts an upstream of a service that answers with serve.
func (f *fixture) add(service, id string, serve http.HandlerFunc) *upstream {
	f.t.Helper()
	u := &upstream{id: id}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == testHealthPath {
			u.serveHealth(w, r)
			return
		}
		if !strings.HasPrefix(r.URL.Path, "/copy") && r.URL.Path != "/report" {
			u.mu.Lock()
			u.seen = append(u.seen, r.Header.Clone())
			u.mu.Unlock()
		}
		w.Header().Set(testID, r.Header.Get(testID))
		_, _ = io.Copy(io.Discard, r.Body)
		// Close waits for the handlers. Without this, a handler that waits for the gateway to close the
		// connection would block it after a failure.
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(f.t.Context(), cancel)()
		serve(w, r.WithContext(ctx))
	}))
	f.t.Cleanup(s.Close)
	f.lastServer = s
	u.address = strings.TrimPrefix(s.URL, "http://")
	r := fleet.Record{Name: id, Service: service, Address: u.address, Slots: 6, Software: f.software}
	f.records = append(f.records, r)
	f.fleet.Update([]fleet.Record{r}, nil, false, time.Time{})
	return u
}

// holdUntil blocks a handler until the signal or the end of the test. After a failure nothing sends the
// signal, and the server's Close would wait for the handler without end.
func (f *fixture) holdUntil(signal <-chan struct{}) {
	select {
	case <-signal:
	case <-f.t.Context().Done():
	}
}

// waitSignal waits for the signal.
func (f *fixture) waitSignal(what string, signal <-chan struct{}) {
	f.t.Helper()
	select {
	case <-signal:
	case <-time.After(signalTimeout):
		f.t.Fatalf("timed out waiting until %s", what)
	}
}

// answer is what a caller receives.
type answer struct {
	status int
	body   string
	header http.Header
	closes bool
	err    error
}

// ask sends a caller's request and reads the whole answer.
func (f *fixture) ask(path string, change ...func(r *http.Request)) answer {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), callerTimeout)
	defer cancel()
	resp, err := f.open(ctx, path, change...)
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(resp)
}

// open sends a caller's request and waits for the head of the answer.
func (f *fixture) open(ctx context.Context, path string, change ...func(r *http.Request)) (*http.Response, error) {
	f.t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+path, strings.NewReader("body"))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set(testID, fmt.Sprintf("r-%d", time.Now().UnixNano()))
	r.Header.Set(testKey, "key")
	for _, c := range change {
		c(r)
	}
	return f.server.Client().Do(r)
}

// readAnswer reads the rest of an answer.
func readAnswer(resp *http.Response) answer {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(b), header: resp.Header, closes: resp.Close, err: err}
}

// recorded reports whether the gateway recorded an event.
func (f *fixture) recorded(id events.ID) bool {
	for _, e := range f.rec.Select("") {
		if e.Event == id {
			return true
		}
	}
	return false
}

// Handlers of plain upstreams.

func serveOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testProof, "p")
	_, _ = io.WriteString(w, "ok")
}

func serveError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testProof, "p")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "error")
}

func serveNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func serveBreak(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
