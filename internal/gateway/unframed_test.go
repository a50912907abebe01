package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/protocol"
)

// serveUnframed answers with a stream that has neither a length nor chunks, up to an event, and a part of the
// next one if torn is set. The end of the connection ends it.
func serveUnframed(w http.ResponseWriter, r *http.Request, last int, torn bool, beforeClose func()) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p\r\n\r\n", testID, r.Header.Get(testID), testProof)
	from := 0
	_, _ = fmt.Sscan(r.Header.Get(testLastEvent), &from)
	for i := from + 1; i <= last; i++ {
		_, _ = fmt.Fprintf(c, "id: %d\ndata: x\n\n", i)
		time.Sleep(time.Millisecond)
	}
	if torn {
		_, _ = fmt.Fprintf(c, "id: %d\nda", last+1)
	}
	beforeClose()
}

// serveRest answers with the rest of a stream, in chunks. Unlike an engine, it can be added while a request runs.
func serveRest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testProof, "p")
	from := 0
	_, _ = fmt.Sscan(r.Header.Get(testLastEvent), &from)
	for i := from + 1; i <= lastTestEvent; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
	}
}

// checkUnframed asks for a stream that the engine first begins, and that a second one can continue. It checks whether
// the caller gets the whole stream, or a broken part of it, and the number of runs.
func (f *fixture) checkUnframed(first *upstream, path string, whole bool, runs int) {
	f.t.Helper()
	result := make(chan answer, 1)
	go func() { result <- f.ask(path) }()
	for first.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	second := f.add("llm", "b", serveRest)
	got := <-result
	if ended := got.err == nil; ended != whole || ended && got.body != wholeStream() || !strings.HasPrefix(wholeStream(), got.body) {
		f.t.Errorf("%v, %q; want the whole stream %v", got.err, got.body, whole)
	}
	if n := first.runs() + second.runs(); n != runs {
		f.t.Errorf("%d runs, want %d", n, runs)
	}
}

// TestUnframedStreamIsTakenForABrokenOne guards against whole streams that are aborted, or sent again, because
// only the end of the connection marks their end, and against broken ones that look whole.
func TestUnframedStreamIsTakenForABrokenOne(t *testing.T) {
	for _, tc := range []struct {
		name string
		path string
		last int
		torn bool
		// crash makes the engine's address refuse connections before the stream ends.
		crash bool
		whole bool
		runs  int
	}{
		{name: "whole", path: pathStream, last: lastTestEvent, whole: true, runs: 1},
		{name: "whole on a resumable route", path: pathResume, last: lastTestEvent, whole: true, runs: 1},
		{name: "torn", path: pathStream, last: 7, torn: true, runs: 1},
		{name: "torn on a resumable route", path: pathResume, last: 7, torn: true, whole: true, runs: 2},
		{name: "its engine crashes after an event", path: pathStream, last: 7, crash: true, runs: 1},
		{name: "its engine crashes after an event on a resumable route", path: pathResume, last: 7, crash: true, whole: true, runs: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			var server *httptest.Server
			first := f.add("llm", "a", func(w http.ResponseWriter, r *http.Request) {
				serveUnframed(w, r, tc.last, tc.torn, func() {
					if tc.crash {
						_ = server.Listener.Close()
					}
				})
			})
			server = f.lastServer
			f.checkUnframed(first, tc.path, tc.whole, tc.runs)
		})
	}
}

// TestUnframedStreamWithoutEventsLooksWhole guards against a success without an event after a crash.
func TestUnframedStreamWithoutEventsLooksWhole(t *testing.T) {
	for name, lastEvent := range map[string]string{"begun": "", "resumed": "3"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var server *httptest.Server
			f.add("llm", "a", func(w http.ResponseWriter, r *http.Request) {
				serveCut(w, r, "", "", "", func() { _ = server.Listener.Close() })
			})
			server = f.lastServer
			got := f.ask(pathStream, func(r *http.Request) { r.Header.Set(testLastEvent, lastEvent) })
			if got.status != http.StatusBadGateway {
				t.Errorf("status %d, %q, %v; want 502", got.status, got.body, got.err)
			}
		})
	}
}

// TestUnframedStreamThatIsMovedLooksWhole guards against a stream that ends where its engine stopped it for a
// move.
func TestUnframedStreamThatIsMovedLooksWhole(t *testing.T) {
	for _, tc := range []struct {
		name string
		// ended is set if the stream is complete before the engine gets the command to stop it.
		ended bool
		runs  int
	}{
		{"stopped", false, 1},
		{"complete before it is stopped", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			stop := make(chan struct{})
			source := f.add("llm", "a", func(w http.ResponseWriter, r *http.Request) {
				switch {
				case strings.HasPrefix(r.URL.Path, "/copy") && r.URL.Query().Get("last") == "true":
					if tc.ended {
						_, _ = fmt.Fprintf(w, `{"Outcome":%d}`, protocol.NoSuchGeneration)
						return
					}
					close(stop)
					_, _ = w.Write([]byte(`{"Handle":"h2"}`))
				case strings.HasPrefix(r.URL.Path, "/copy"):
					_, _ = w.Write([]byte(`{"Handle":"h1"}`))
					if tc.ended {
						close(stop)
					}
				case r.URL.Path == "/report":
					_, _ = w.Write([]byte("serving"))
				default:
					last := 7
					if tc.ended {
						last = lastTestEvent
					}
					serveUnframed(w, r, last, false, func() { f.holdUntil(stop) })
				}
			})
			result := make(chan answer, 1)
			go func() { result <- f.ask(pathStream) }()
			for source.runs() == 0 {
				time.Sleep(time.Millisecond)
			}
			target := f.add("llm", "b", serveRest)
			time.Sleep(100 * time.Millisecond)
			f.leave("a")
			if got := <-result; got.err != nil || got.body != wholeStream() {
				t.Errorf("%v, %q; want the whole stream", got.err, got.body)
			}
			if target.runs() != tc.runs {
				t.Errorf("%d runs at the target, want %d", target.runs(), tc.runs)
			}
		})
	}
}

// TestUnframedStreamOfARestartedEngineLooksWhole guards against a stream that is taken for complete because the
// next incarnation of its engine accepts connections at the same address before its row is read.
func TestUnframedStreamOfARestartedEngineLooksWhole(t *testing.T) {
	for _, tc := range []struct {
		name string
		path string
		// restarted is set if the engine that answers after the end of the stream is the next incarnation.
		restarted bool
		// named is set if that incarnation has another name and states no time of birth. Its row states none either
		// if unborn is set.
		named, unborn bool
		last          int
		whole         bool
		runs          int
	}{
		{name: "the same incarnation", path: pathStream, last: lastTestEvent, whole: true, runs: 1},
		{name: "the next incarnation", path: pathStream, restarted: true, last: 7, runs: 1},
		{name: "the same incarnation, known by its name", path: pathStream, named: true, unborn: true, last: lastTestEvent, whole: true, runs: 1},
		{name: "the next incarnation, known by its name", path: pathStream, restarted: true, named: true, unborn: true, last: 7, runs: 1},
		{name: "the next incarnation, whose report states no birth", path: pathStream, restarted: true, named: true, last: 7, runs: 1},
		{name: "the next incarnation, known by its name, on a resumable route", path: pathResume, restarted: true, named: true, unborn: true, last: 7, whole: true, runs: 2},
		{name: "the next incarnation on a resumable route", path: pathResume, restarted: true, last: 7, whole: true, runs: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			var born atomic.Int64
			born.Store(2)
			first := f.add("llm", "a", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/report" && tc.named {
					_, _ = io.WriteString(w, "serving")
					return
				}
				if r.URL.Path == "/report" {
					_, _ = fmt.Fprintf(w, "serving born %d", born.Load())
					return
				}
				serveUnframed(w, r, tc.last, false, func() {
					if tc.restarted {
						born.Store(3)
					}
				})
			})
			if tc.named {
				first.health = func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(testOwnID, map[int64]string{2: "a", 3: "c"}[born.Load()])
				}
			}
			if !tc.unborn {
				f.records[0].Born = 2
				f.fleet.Update(f.records, nil, true, time.Time{})
			}
			f.checkUnframed(first, tc.path, tc.whole, tc.runs)
		})
	}
}
