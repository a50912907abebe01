package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
)

// restartedUpstream is an upstream that has started again at its address under a new name. It refuses requests for
// the earlier name, and sends each refusal once more when a request for the new name has arrived.
type restartedUpstream struct {
	address string
	name    string
	// onRefusal and onRun are called before a request is refused or runs.
	onRefusal, onRun func()
	// stream is set if requests are answered with an event stream.
	stream bool

	mu      sync.Mutex
	refused []refusedRequest
	ran     int
}

// refusedRequest is a request that was refused, and its connection.
type refusedRequest struct {
	id   string
	conn net.Conn
}

func newRestartedUpstream(t *testing.T, name string) *restartedUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &restartedUpstream{address: l.Addr().String(), name: name, onRefusal: func() {}, onRun: func() {}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *restartedUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(testID)
		if req.Header.Get(testUpstream) != u.name {
			u.mu.Lock()
			u.refused = append(u.refused, refusedRequest{id, c})
			u.mu.Unlock()
			u.onRefusal()
			refuse(c, id)
			continue
		}
		u.run(c, id)
	}
}

// refuse writes the answer to a request for another upstream.
func refuse(c net.Conn, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", testID, id)
}

// run answers a request after the surplus refusals.
func (u *restartedUpstream) run(c net.Conn, id string) {
	u.mu.Lock()
	u.ran++
	refused := u.refused
	u.refused = nil
	u.mu.Unlock()
	u.onRun()
	for _, r := range refused {
		refuse(r.conn, r.id)
	}
	time.Sleep(20 * time.Millisecond)
	body := "ok"
	if u.stream {
		body = wholeStream()
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p\r\nContent-Length: %d\r\n\r\n%s", testID, id, testProof, len(body), body)
}

func (u *restartedUpstream) runs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran
}

// A late second refusal of the first attempt was taken for the answer to the second one, so that a request that may
// not be repeated ran twice, or was refused although it had run.
func TestSurplusRefusalOfAnEarlierAttempt(t *testing.T) {
	for _, tc := range []struct {
		name, service, path string
		third               bool
	}{
		{"call with a third upstream", "app", pathOnce, true},
		{"call without a third upstream", "app", pathOnce, false},
		{"stream with a third engine", "llm", pathStream, true},
		{"stream without a third engine", "llm", pathStream, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			restarted := newRestartedUpstream(t, "new")
			restarted.stream = tc.service == "llm"
			record := func(name, address string) fleet.Record {
				return fleet.Record{Name: name, Service: tc.service, Address: address, Slots: 6}
			}
			list := func(records ...fleet.Record) { f.fleet.Update(records, nil, false, time.Time{}) }
			third := newRestartedUpstream(t, "third")
			third.stream = restarted.stream
			restarted.onRun = func() {
				if tc.third {
					list(record("third", third.address))
				}
			}
			restarted.onRefusal = func() { list(record("new", restarted.address)) }
			list(record("old", restarted.address))
			got := f.ask(tc.path)
			if ran := restarted.runs() + third.runs(); ran != 1 {
				t.Errorf("the request ran %d times, want once", ran)
			}
			if got.err != nil || got.status != http.StatusOK {
				t.Errorf("%d, %q, %v; want the answer of the upstream that ran the request", got.status, got.body, got.err)
			}
		})
	}
}

// The limit, the backoff and the leave that an answer states were taken for those of the upstream although the answer
// was to another request, or from another upstream.
func TestAnswerThatIsNotOfTheAttemptHasNoEffect(t *testing.T) {
	for _, tc := range []struct {
		name   string
		id     string
		status int
		header []string
	}{
		{"leave in an answer to another request", "another", http.StatusOK, []string{testLeaving, "1"}},
		{"backoff in an answer to another request", "another", http.StatusServiceUnavailable, []string{testRetryMs, "5000"}},
		{"limit in an answer to another request", "another", http.StatusOK, []string{testLimit, "1"}},
		{"limit of another upstream", "", http.StatusMisdirectedRequest, []string{testLimit, "1"}},
	} {
		for _, path := range []string{pathOnce, pathStream} {
			t.Run(tc.name+" "+path, func(t *testing.T) {
				f := newFixture(t)
				f.add(map[string]string{pathOnce: "app", pathStream: "llm"}[path], "a", withHeaders(func(w http.ResponseWriter, _ *http.Request) {
					if tc.id != "" {
						w.Header().Set(testID, tc.id)
					}
					w.WriteHeader(tc.status)
				}, tc.header...))
				f.ask(path)
				u, _ := f.fleet.Get("a")
				if f.gateway.limits.Any() || len(f.fleet.KnownLeaving()) > 0 || u.InBackOff(time.Now()) {
					t.Errorf("limits %v, leaving %v, backoff until %v; want none", f.gateway.limits.Any(), f.fleet.KnownLeaving(), u.BackOffUntil())
				}
			})
		}
	}
}
