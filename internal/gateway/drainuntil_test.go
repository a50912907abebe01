package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/routetable"
)

// A gateway on a busy machine cannot tell how late it noticed the signal to stop. If it counts the
// whole stop from the earliest time at which the signal may have come, it cuts generations too
// early: after 2.7 s of 4 s when it noticed up to 971 ms late. Requests in flight must therefore
// go on until the later deadline, while new requests are judged by the earlier one.
func TestDrainUntilKeepsRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	begun := make(chan struct{}, 2)
	f.add("app", "a", func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		time.Sleep(250 * time.Millisecond)
		serveOK(w, r)
	})
	inFlight := make(chan answer, 1)
	go func() { inFlight <- f.ask(pathOnce) }()
	f.waitSignal("the request has reached the upstream", begun)
	now := time.Now()
	f.gateway.DrainUntil(StopDeadlines{NewRequests: now.Add(50 * time.Millisecond), Unanswered: now.Add(time.Second), End: now.Add(time.Second)})
	time.Sleep(60 * time.Millisecond)
	if got := f.ask(pathOnce); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a request after the earlier deadline, want 503", got.status)
	}
	if got := <-inFlight; got.status != http.StatusOK {
		t.Errorf("status %d for a request in flight, want 200", got.status)
	}
}

// TestBegunAnswerOutlastsUnansweredDeadline guards against a planned stop that cuts streams long before
// its end, because the gateway did not run when the signal came and counts its time from before that.
func TestBegunAnswerOutlastsUnansweredDeadline(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	f.add("llm", "eng-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testProof, "p")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		f.holdUntil(release)
		_, _ = io.WriteString(w, "id: 2\ndata: y\n\n")
	})
	resp, err := f.open(t.Context(), pathStream)
	if err != nil {
		close(release)
		t.Fatal(err)
	}
	now := time.Now()
	f.gateway.DrainUntil(StopDeadlines{NewRequests: now, Unanswered: now.Add(AnswerReserve), End: now.Add(time.Minute)})
	<-f.gateway.unansweredStopped.Done()
	// A cut of the stream would happen now.
	time.Sleep(50 * time.Millisecond)
	close(release)
	if got := readAnswer(resp); got.err != nil || got.body != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" {
		t.Errorf("body %q, %v; want the whole stream", got.body, got.err)
	}
}

// TestStopAcceptsStreamsThatItCuts guards against streams that are accepted during a planned stop although they are
// expected to begin after unanswered requests are given up, or to end after answers are cut.
func TestStopAcceptsStreamsThatItCuts(t *testing.T) {
	const ms = time.Millisecond
	f, now := newFixture(t), time.Now()
	f.gateway.now = func() time.Time { return now }
	f.gateway.DrainUntil(StopDeadlines{NewRequests: now.Add(1000 * ms), NewStreams: now.Add(1300 * ms), Unanswered: now.Add(time.Minute), End: now.Add(time.Minute)})
	for _, tc := range []struct {
		name            string
		start, expected time.Duration
		refused         bool
	}{
		{"begins and ends in time", 999 * ms, 1299 * ms, false},
		{"ends late", 200 * ms, 1301 * ms, true},
		{"begins late", 1001 * ms, 1200 * ms, true},
	} {
		rq := &request{service: &routetable.Service{Engine: &routetable.Engine{}}, forecast: forecast{start: tc.start}, expected: tc.expected}
		if got := f.gateway.stopsBefore(rq, rq.expected, rq.forecast); got != tc.refused {
			t.Errorf("%s: refused %t, want %t", tc.name, got, tc.refused)
		}
	}
}

// TestStopAcceptsStreamsWhoseEndsAreProvedLate guards against whole streams that a planned stop cuts, because they have
// neither a length nor chunks and their upstream is asked for long whether it survived their end.
func TestStopAcceptsStreamsWhoseEndsAreProvedLate(t *testing.T) {
	const proofTime, expected = 300 * time.Millisecond, time.Second
	f := newFixture(t)
	a := f.add("llm", "a", func(w http.ResponseWriter, r *http.Request) { serveUnframed(w, r, 3, false, func() {}) })
	a.health = func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(proofTime)
		w.Header().Set(testOwnID, "a")
	}
	if got := f.ask(pathStream); got.err != nil || got.status != http.StatusOK {
		t.Fatalf("status %d, %v", got.status, got.err)
	}
	now := time.Now()
	f.gateway.DrainUntil(StopDeadlines{NewRequests: now.Add(time.Minute), NewStreams: now.Add(expected + proofTime/2), Unanswered: now.Add(time.Minute), End: now.Add(time.Minute)})
	rq := &request{service: &routetable.Service{Name: "llm", Engine: &routetable.Engine{}}, route: &routetable.Route{Objective: time.Millisecond}, expected: expected}
	if !f.gateway.stopsBefore(rq, rq.expected, rq.forecast) {
		t.Error("a stream is accepted whose end is proved after streams are cut")
	}
	rq.service = &routetable.Service{Name: "other", Engine: &routetable.Engine{}}
	if f.gateway.stopsBefore(rq, rq.expected, rq.forecast) {
		t.Error("a stream of a service whose answers need no proof is refused")
	}
}

// TestUnansweredRequestsAreGivenUpFirst guards against requests that get no answer because the gateway is killed
// before it gives them up: it noticed the signal late.
func TestUnansweredRequestsAreGivenUpFirst(t *testing.T) {
	for _, path := range []string{pathOnce, pathStream} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			begun, release := make(chan struct{}, 1), make(chan struct{})
			defer close(release)
			serve := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testProof, "p")
				_ = http.NewResponseController(w).Flush()
				begun <- struct{}{}
				f.holdUntil(release)
			}
			f.add("app", "app-1", serve)
			f.add("llm", "eng-1", serve)
			go func() {
				f.holdUntil(begun)
				now := time.Now()
				f.gateway.DrainUntil(StopDeadlines{NewRequests: now, Unanswered: now.Add(AnswerReserve), End: now.Add(time.Minute)})
			}()
			if got := f.ask(path); got.status != http.StatusGatewayTimeout || !strings.Contains(got.body, errStopped.Error()) {
				t.Errorf("status %d, %q, %v; want 504 because of the stop", got.status, got.body, got.err)
			}
		})
	}
}

// TestCutByAStopTellsItsTimes guards against cut answers whose log line does not tell why the stop could not await them.
func TestCutByAStopTellsItsTimes(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	defer close(release)
	f.add("llm", "eng-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testProof, "p")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		f.holdUntil(release)
	})
	resp, err := f.open(t.Context(), pathStream)
	if err != nil {
		t.Fatal(err)
	}
	f.gateway.Drain(time.Now().Add(AnswerReserve + 100*time.Millisecond))
	if got := readAnswer(resp); got.err == nil {
		t.Fatalf("body %q, want a cut answer", got.body)
	}
	for _, e := range f.rec.Select("") {
		if e.Event != events.StreamCut {
			continue
		}
		read, err := time.ParseDuration(e.Fields["read-after-stop"])
		if err != nil || read >= 0 || e.Fields["body-in"] == "" || e.Fields["sent-in"] == "" || e.Fields["expected"] == "0s" {
			t.Errorf("the line has %v", e.Fields)
		}
		return
	}
	t.Error("no line of the cut answer")
}

// TestStopCutsStreamsThatBeginLate guards against an answer that begins so late that a planned stop cuts it.
func TestStopCutsStreamsThatBeginLate(t *testing.T) {
	const ms = time.Millisecond
	const delay, interval, testEvents, left = 700 * ms, 2 * ms, 250, 1000 * ms
	for _, tc := range []struct {
		name   string
		before bool
		status int
	}{{"accepted during the stop", false, http.StatusBadGateway}, {"accepted before the stop", true, http.StatusOK}} {
		t.Run(tc.name, func(t *testing.T) {
			f, begun := newFixture(t), make(chan struct{}, 1)
			f.add("llm", "e", func(w http.ResponseWriter, _ *http.Request) {
				select {
				case begun <- struct{}{}:
				default: // The engine is asked for its report as well.
				}
				time.Sleep(delay)
				w.Header().Set(testProof, "p")
				for i := range testEvents {
					_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: x\n\n", i+1))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(interval)
				}
			})
			now := time.Now()
			for range 20 {
				f.gateway.durations.noteEvents("e", "llm", 1, interval, now)
			}
			f.gateway.durations.ended(f.gateway.durations.sent(awaitedStart{engine: "e", service: "llm", sentAt: now}), true, now)
			stop := func() { f.gateway.Drain(time.Now().Add(left)) }
			if tc.before {
				go func() {
					f.holdUntil(begun)
					stop()
				}()
			} else {
				stop()
			}
			got := f.ask(pathStream)
			if got.status != tc.status || !tc.before && got.err != nil {
				t.Errorf("status %d, %v; want %d", got.status, got.err, tc.status)
			}
		})
	}
}

// TestStopClosesUnreadAnswerWithoutALine guards against a stream that a planned stop ends while its caller does not read,
// and that no line of the log names as cut.
func TestStopClosesUnreadAnswerWithoutALine(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int64
	f.add("llm", "eng-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testProof, "p")
		data := strings.Repeat("x", 16<<10)
		for err := error(nil); err == nil; sent.Add(1) {
			_, err = io.WriteString(w, "data: "+data+"\n\n")
		}
	})
	resp, err := f.open(t.Context(), pathStream)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	before := int64(-1)
	f.waitUntil("the caller does not take more", func() bool {
		time.Sleep(50 * time.Millisecond)
		now := sent.Load()
		defer func() { before = now }()
		return now == before
	})
	f.gateway.GiveUp()
	f.server.CloseClientConnections()
	f.waitUntil("the cut is logged", func() bool { return f.recorded(events.StreamCut) })
}
