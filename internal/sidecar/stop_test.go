package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/sparshore/sparshore/internal/peer"
)

// stopWouldProceed reports whether a planned stop would proceed now.
func stopWouldProceed(s *Server) bool {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return s.WaitIdle(ended)
}

// A sidecar stops while the answer to a call is being written. If the call were no longer counted
// once its handler has returned, the stop would close the connection, and a call that is done would
// be reported with unknown outcome.
func TestStopWaitsForAnswersBeingWritten(t *testing.T) {
	b := newCallFixture(t, false)
	for _, call := range []struct {
		name, method string
		params       any
	}{
		{"call", methodInvoke, invokeParams{ID: "acct/k", Pool: "p", Version: 1, Method: http.MethodPost, Path: "/"}},
		{"call that may be repeated", methodInvoke, invokeParams{ID: "acct/r", Pool: "p", Version: 1, Method: http.MethodGet, Path: "/", Repeatable: true}},
		{"settle", methodSettle, settleParams{ID: "acct/k", Pool: "p", Version: 1}},
	} {
		raw, err := json.Marshal(call.params)
		if err != nil {
			t.Fatal(err)
		}
		result, err := b.Methods()[call.method](t.Context(), nil, raw)
		if err != nil {
			t.Fatal(err)
		}
		if stopWouldProceed(b.Server) {
			t.Errorf("%s: the stop proceeds before the answer is written", call.name)
		}
		if a, ok := result.(peer.Answer); ok {
			a.Sent()
		}
		if !stopWouldProceed(b.Server) {
			t.Errorf("%s: the stop waits although the answer is written", call.name)
		}
	}
}

// The last token of a stream is acknowledged before the engine reports that the stream is whole. If
// the sidecar stopped in between, the entry would cut a stream of which its caller has every token.
func TestStopWaitsForTheEndOfAStream(t *testing.T) {
	b := newCallFixture(t, false)
	g := newGeneration("u~i~1", "r", "a", bufferLimits{unacked: 1 << 20, retained: 1 << 17})
	b.generations[g.id] = g
	d := &delivery{sub: 1}
	g.attach(d, 0)
	g.append(json.RawMessage(`{}`), true)
	g.ack(d, 1)
	g.finish(true, "")
	if stopWouldProceed(b.Server) {
		t.Error("the stop proceeds before the entry has the end of the stream")
	}
	if note, _, ok := g.frame(d); !ok || note == nil || note.End == nil {
		t.Fatalf("frame %+v, %v", note, ok)
	}
	if stopWouldProceed(b.Server) {
		t.Error("the stop proceeds before the entry acknowledged the end of the stream")
	}
	if !g.ack(d, 1) || !g.detach(d) {
		t.Fatal("the end was not acknowledged")
	}
	if !stopWouldProceed(b.Server) {
		t.Error("the stop waits for a stream whose end was acknowledged")
	}
}
