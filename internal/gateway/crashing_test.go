package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/quarantine"
)

// crashingBody is the body of a request that crashes each upstream that starts to run it.
const crashingBody = "crash"

const (
	// restartDelay is how long after a crash an upstream of these tests restarts.
	restartDelay = 150 * time.Millisecond
	// knownWithin is the time after the third crash within which entries learn of it here.
	knownWithin = 300 * time.Millisecond
	// maxLateArrivals is how often the request may reach upstreams later than that.
	maxLateArrivals = 3
	// maxCrashes is how many upstreams the request may crash in all: three, and those that it had
	// reached before the first of them crashed.
	maxCrashes = 6
)

// crasher is an upstream that closes its connections and its address when it starts to run the
// crashing body, and restarts a while later as another incarnation.
type crasher struct {
	f       *fixture
	group   *crashers
	record  fleet.Record
	answers http.HandlerFunc
}

// crashers are the upstreams of a test, with the times of requests and crashes.
type crashers struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
	stopped  bool
	servers  []*http.Server
	serving  sync.WaitGroup
}

// start starts serving as a new incarnation.
func (c *crasher) start(address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		c.f.t.Error(err)
		return
	}
	s := &http.Server{ReadHeaderTimeout: time.Minute}
	var once sync.Once
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(s, &once, w, r) })
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.group.stopped {
		_ = l.Close()
		return
	}
	c.group.servers = append(c.group.servers, s)
	c.record.Address = l.Addr().String()
	c.record.Born++
	c.record.Version++
	c.f.fleet.Update([]fleet.Record{c.record}, nil, false, time.Time{})
	c.group.serving.Go(func() { _ = s.Serve(l) })
}

func (c *crasher) serve(s *http.Server, once *sync.Once, w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	body, _ := io.ReadAll(r.Body)
	if string(body) != crashingBody {
		c.answers(w, r)
		return
	}
	c.group.mu.Lock()
	c.group.arrivals = append(c.group.arrivals, time.Now())
	c.group.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	once.Do(func() { c.crash(s) })
	panic(http.ErrAbortHandler)
}

// crash ends this incarnation with all its requests and schedules the next one.
func (c *crasher) crash(s *http.Server) {
	_ = s.Close()
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.group.crashes = append(c.group.crashes, time.Now())
	address := c.record.Address
	c.group.serving.Go(func() {
		time.Sleep(restartDelay)
		c.start(address)
	})
}

// addCrashers starts upstreams of a service that the crashing body crashes.
func (f *fixture) addCrashers(service string, n int, answers http.HandlerFunc) *crashers {
	group := &crashers{}
	for i := range n {
		c := &crasher{f: f, group: group, answers: answers, record: fleet.Record{Name: service + "-" + strconv.Itoa(i), Service: service, Slots: 6}}
		c.start("127.0.0.1:0")
	}
	f.t.Cleanup(func() {
		group.mu.Lock()
		group.stopped = true
		for _, s := range group.servers {
			_ = s.Close()
		}
		group.mu.Unlock()
		group.serving.Wait()
	})
	return group
}

// afterThirdCrash returns how often the crashing request reached an upstream later than knownWithin
// after the third crash, and the number of crashes.
func (c *crashers) afterThirdCrash() (reached, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		return 0, len(c.crashes)
	}
	known := c.crashes[2].Add(knownWithin)
	for _, at := range c.arrivals {
		if at.After(known) {
			reached++
		}
	}
	return reached, len(c.crashes)
}

func withBody(body string) func(r *http.Request) {
	return func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
}

// TestPoisonRequestIsQuarantined guards against a poison request that crashes one upstream after
// another. Unless entries track the requests during which upstreams crashed, each repetition at
// any entry is routed like a new request, sent to a second upstream once the first has crashed,
// and crashes both. One such request crashed 26 engines within 35 s, and half of the chats beside
// it were cut.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name, path, service string
		answers             http.HandlerFunc
	}{
		{"a call that may be repeated", pathSafe, "app", serveOK},
		{"a call that may not be repeated", pathOnce, "app", serveOK},
		{"a generation", pathStream, "llm", serveShortStream},
		{"a generation that may be resumed", pathResume, "llm", serveShortStream},
	} {
		f := newFixture(t)
		group := f.addCrashers(tc.service, 8, tc.answers)
		asked, served := f.askBesidePoison(tc.path)
		if reached, crashes := group.afterThirdCrash(); reached > maxLateArrivals || crashes > maxCrashes {
			t.Errorf("%s: the request reached upstreams %d times after the third crash and crashed %d; want at most %d and %d", tc.name, reached, crashes, maxLateArrivals, maxCrashes)
		}
		if served*10 < asked*9 {
			t.Errorf("%s: %d of %d healthy requests served", tc.name, served, asked)
		}
	}
}

// askBesidePoison sends healthy requests while a crashing one is repeated.
func (f *fixture) askBesidePoison(path string) (asked, served int) {
	var callers sync.WaitGroup
	defer callers.Wait()
	end := time.Now().Add(1500 * time.Millisecond)
	callers.Go(func() {
		for time.Now().Before(end) {
			f.ask(path, withBody(crashingBody))
			time.Sleep(20 * time.Millisecond)
		}
	})
	for time.Now().Before(end) {
		asked++
		if f.ask(path, withBody("healthy "+strconv.Itoa(asked))).status == http.StatusOK {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}
	return asked, served
}

// serveShortStream answers with a stream of one event.
func serveShortStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testProof, "p")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
}

// TestOnlyCrashesMakeASuspect covers which broken answers make a request a suspect.
func TestOnlyCrashesMakeASuspect(t *testing.T) {
	for _, tc := range []struct {
		name      string
		leaves    bool
		crashes   bool
		suspected bool
	}{
		{"its upstream crashed", false, true, true},
		{"its upstream stopped as planned", true, true, false},
		{"only its answer was lost", false, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			var a *upstream
			var server *httptest.Server
			a = f.add("app", "a", func(http.ResponseWriter, *http.Request) {
				if tc.leaves {
					f.fleet.MarkLeaving(a.id, "test")
				}
				if tc.crashes {
					_ = server.Listener.Close()
				}
				panic(http.ErrAbortHandler)
			})
			server = f.lastServer
			if got := f.ask(pathOnce); got.status != http.StatusBadGateway {
				t.Fatalf("status %d, %v", got.status, got.err)
			}
			if !tc.suspected {
				time.Sleep(50 * time.Millisecond)
			}
			f.waitUntil("the broken answer is judged", func() bool { return (len(f.gateway.Quarantine().List()) == 1) == tc.suspected })
		})
	}
}

// TestSuspectIsNotHedged: a slow call is not sent to a second upstream as well if an upstream
// crashed during an earlier run of it.
func TestSuspectIsNotHedged(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes int
		runs    int
	}{
		{"a request without crashes", 0, 2},
		{"a suspect", 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			slow := func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(150 * time.Millisecond)
				serveOK(w, r)
			}
			upstreams := []*upstream{f.add("app", "a", slow), f.add("app", "b", slow)}
			run, err := f.gateway.quarantine.Enter(t.Context(), quarantine.Request{Fingerprint: quarantine.FingerprintOf(http.MethodPost, "host", pathSafe, "acme", []byte("body"))}, 0)
			if err != nil {
				t.Fatal(err)
			}
			for i := range tc.crashes {
				start := strconv.Itoa(i)
				run.ResponseLost(start)
				f.gateway.quarantine.ConfirmCrash(start)
			}
			run.Leave()
			if got := f.ask(pathSafe); got.status != http.StatusOK {
				t.Fatalf("status %d, %v", got.status, got.err)
			}
			if runs := upstreams[0].runs() + upstreams[1].runs(); runs != tc.runs {
				t.Errorf("%d runs, want %d", runs, tc.runs)
			}
		})
	}
}

// TestRequestToBackOffClearsNoSuspect guards against an upstream in overload that clears a poison request: it
// answers without running it, but does not say so.
func TestRequestToBackOffClearsNoSuspect(t *testing.T) {
	for _, tc := range []struct {
		name, path, service string
		answer              http.HandlerFunc
		cleared             bool
	}{
		{"a call is answered", pathOnce, "app", serveError, true},
		{"a call is to come back later", pathOnce, "app", serveBackOff, false},
		{"a generation is answered", pathStream, "llm", serveError, true},
		{"a generation is to come back later", pathStream, "llm", serveBackOff, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.add(tc.service, "a", tc.answer)
			run, err := f.gateway.quarantine.Enter(t.Context(), quarantine.Request{Fingerprint: quarantine.FingerprintOf(http.MethodPost, "host", tc.path, "acme", []byte("body"))}, 0)
			if err != nil {
				t.Fatal(err)
			}
			run.ResponseLost("earlier")
			f.gateway.quarantine.ConfirmCrash("earlier")
			run.Leave()
			f.ask(tc.path)
			if cleared := len(f.gateway.Quarantine().List()) == 0; cleared != tc.cleared {
				t.Errorf("cleared: %v, want %v", cleared, tc.cleared)
			}
		})
	}
}

// serveBackOff answers that the request is to come back later, but not whether it ran.
func serveBackOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testProof, "p")
	w.Header().Set(testRetryMs, "50")
	w.WriteHeader(http.StatusServiceUnavailable)
}
