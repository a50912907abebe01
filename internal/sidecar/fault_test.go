package sidecar

import (
	"testing"
	"time"
)

// A generation over which the sidecar panics must not crash the sidecar, which would end everything
// that it serves, and then the next sidecar to which the request is retried.
func TestPanicInAGenerationEndsOnlyThatGeneration(t *testing.T) {
	b := newEngineFixture(t, 3, false)
	link := b.server.runner.link
	b.server.runner.link = nil
	ask := func(sub int64) *endNote {
		var r generateResult
		if err := b.conn.Call(t.Context(), methodGenerate, generateParams{Sub: sub, Request: "r", Version: 1, Model: "m", Path: "/v1/completions", Body: []byte(`{}`)}, &r); err != nil {
			t.Fatal(err)
		}
		for {
			select {
			case n := <-b.notes:
				if n.Sub == sub && n.End != nil {
					return n.End
				}
			case <-time.After(5 * time.Second):
				t.Fatal("no end")
			}
		}
	}
	if end := ask(1); end.Whole || end.Reason != reasonFault {
		t.Errorf("%+v, want %q", end, reasonFault)
	}
	b.server.runner.link = link
	if end := ask(2); !end.Whole {
		t.Errorf("%+v, want the next one whole", end)
	}
	if n := b.server.Load().Running; n != 0 {
		t.Errorf("%d running after the end", n)
	}
}
