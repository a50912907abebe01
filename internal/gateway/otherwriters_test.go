package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/protocol"
)

// TestStreamOfAnEngineWhoseRowTurnsBad: it ends where it runs, and new ones go elsewhere
// until the row is good again.
func TestStreamOfAnEngineWhoseRowTurnsBad(t *testing.T) {
	for _, tc := range []struct {
		name string
		full bool
	}{{"in a change", false}, {"in a whole table", true}} {
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
			if source.runs() != 1 || other.runs() != 1 || f.noted(events.StreamMoveStarted) {
				t.Errorf("%d and %d runs, moved %v; want one each and no move", source.runs(), other.runs(), f.noted(events.StreamMoveStarted))
			}
			f.leave(other.id)
			if got := f.ask(pathStream); got.status == http.StatusOK {
				t.Error("the engine with the bad row got a new stream")
			}
			f.fleet.Update(f.records, nil, true, time.Time{})
			if got := f.ask(pathStream); got.status != http.StatusOK || source.runs() != 2 {
				t.Errorf("good again: status %d, %d runs; want it used", got.status, source.runs())
			}
		})
	}
}

// TestMoveDoesNotGoToABadRow: an engine that leaves finds no target in one whose row
// cannot be read.
func TestMoveDoesNotGoToABadRow(t *testing.T) {
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
		t.Errorf("%d runs at the other engine, %q; want it to end where it runs", other.runs(), got.body)
	}
}

// TestServiceThatALaterTableNames: an upstream of a service that no table names gets
// nothing, and is used as soon as one does.
func TestServiceThatALaterTableNames(t *testing.T) {
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
	f.routes.ConfirmCurrent(time.Now())
	if got := f.ask(pathLater); got.status != http.StatusOK || later.runs() != 1 {
		t.Errorf("named: status %d, %d runs", got.status, later.runs())
	}
}
