package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/protocol"
)

// When the record of an engine becomes unreadable, its stream has to end where it runs. New
// streams have to go to other engines until the record is readable again.
func TestStreamOfAnEngineWhoseRecordBecomesUnreadable(t *testing.T) {
	for _, tc := range []struct {
		name string
		full bool
	}{{"in an update", false}, {"in a full list", true}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			a, b := f.addEngine("a"), f.addEngine("b")
			for _, e := range []*engine{a, b} {
				e.copies = []protocol.CopyResult{{Handle: "h1"}}
			}
			result := make(chan answer, 1)
			go func() { result <- f.ask(pathStream) }()
			source, other := a, b
			if f.waitRunning() == "b" {
				source, other = b, a
			}
			good := f.records[1]
			if source == b {
				good = f.records[0]
			}
			f.fleet.UpdateAll(append(f.records[:0:0], good), []string{source.id}, nil, tc.full, time.Time{})
			if got := f.ask(pathStream); got.err != nil || got.status != http.StatusOK {
				t.Errorf("a new stream: %v, status %d", got.err, got.status)
			}
			if got := <-result; got.err != nil || got.body != wholeStream() {
				t.Errorf("%v, %q; want every event once", got.err, got.body)
			}
			if source.runs() != 1 || other.runs() != 1 || f.recorded(events.StreamMoveStarted) {
				t.Errorf("%d and %d runs, moved %v; want one each and no move", source.runs(), other.runs(), f.recorded(events.StreamMoveStarted))
			}
			f.leave(other.id)
			if got := f.ask(pathStream); got.status == http.StatusOK {
				t.Error("the engine with the unreadable record got a new stream")
			}
			f.fleet.Update(f.records, nil, true, time.Time{})
			if got := f.ask(pathStream); got.status != http.StatusOK || source.runs() != 2 {
				t.Errorf("readable again: status %d, %d runs; want the engine used", got.status, source.runs())
			}
		})
	}
}

// An engine whose record is unreadable must not become the target of a move.
func TestMoveAvoidsEngineWithUnreadableRecord(t *testing.T) {
	f := newFixture(t)
	a, b := f.addEngine("a"), f.addEngine("b")
	result := make(chan answer, 1)
	go func() { result <- f.ask(pathStream) }()
	source, other := a, b
	if f.waitRunning() == "b" {
		source, other = b, a
	}
	f.fleet.UpdateAll(nil, []string{other.id}, nil, false, time.Time{})
	f.leave(source.id)
	if got := <-result; got.body != wholeStream() || other.runs() != 0 {
		t.Errorf("%d runs at the other engine, %q; want the stream to end where it runs", other.runs(), got.body)
	}
}

// An upstream whose service is not in the route table must get no requests, and has to be used as
// soon as a later table names the service.
func TestUpstreamOfServiceThatOnlyALaterTableNames(t *testing.T) {
	f := newFixture(t)
	later := f.add("later", "x", serveOK)
	app := f.add("app", "y", serveOK)
	if got := f.ask(pathLater); got.status != http.StatusNotFound {
		t.Errorf("no route yet: status %d", got.status)
	}
	for range 5 {
		if got := f.ask(pathSafe); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	if later.runs() != 0 || app.runs() != 5 {
		t.Fatalf("%d runs at the unknown service, %d at the other; want 0 and 5", later.runs(), app.runs())
	}
	f.routes.Apply(platform.Snapshot{Records: []platform.Record{{Name: "routes", Value: []byte("2 later")}}}, false)
	f.routes.ConfirmCurrent(time.Now(), belief.Evidence{})
	if got := f.ask(pathLater); got.status != http.StatusOK || later.runs() != 1 {
		t.Errorf("service in the table: status %d, %d runs; want 200 and 1", got.status, later.runs())
	}
}
