package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/sparshore/sparshore/internal/peer"
)

// idle reports whether a stop would go on now.
func idle(s *Server) bool {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return s.Idle(ended)
}

// A sidecar stops while the answer to a call is being written. The call was no longer
// counted once its handler returned, so that the stop went on and closed the connection
// under the answer: a call that was done was told to be of unknown outcome.
func TestStopWaitsForAnswersBeingWritten(t *testing.T) {
	b := newBench(t, false)
	for _, call := range []struct {
		name, method string
		params       any
	}{
		{"call", methodInvoke, invokeParams{ID: "acct/k", Pool: "p", Version: 1, Method: http.MethodPost, Path: "/"}},
		{"call that may be repeated", methodInvoke, invokeParams{ID: "acct/r", Pool: "p", Version: 1, Method: http.MethodGet, Path: "/", Repeatable: true}},
		{"question about a call", methodSettle, settleParams{ID: "acct/k", Pool: "p", Version: 1}},
	} {
		raw, err := json.Marshal(call.params)
		if err != nil {
			t.Fatal(err)
		}
		result, err := b.Methods()[call.method](t.Context(), nil, raw)
		if err != nil {
			t.Fatal(err)
		}
		if idle(b.Server) {
			t.Errorf("%s: the stop goes on before the answer is out", call.name)
		}
		if a, ok := result.(peer.Answer); ok {
			a.Sent()
		}
		if !idle(b.Server) {
			t.Errorf("%s: the stop waits although the answer is out", call.name)
		}
	}
}

// A stream's last token is acknowledged before the engine says that the stream is whole.
// The sidecar stopped then, without the word that it is whole, and the entry cut a stream
// of which its caller had every token.
func TestStopWaitsForTheEndOfAStream(t *testing.T) {
	b := newBench(t, false)
	g := newGeneration("u~i~1", "r", "a", bufferLimits{unacked: 1 << 20, retained: 1 << 17})
	b.generations[g.id] = g
	d := &delivery{sub: 1}
	g.attach(d, 0)
	g.append(json.RawMessage(`{}`), true)
	g.ack(d, 1)
	g.finishOnce(true, "")
	if idle(b.Server) {
		t.Error("the stop goes on before the entry has the end of the stream")
	}
	if note, _, ok := g.frame(d); !ok || note == nil || note.End == nil {
		t.Fatalf("frame %+v, %v", note, ok)
	}
	if idle(b.Server) {
		t.Error("the stop goes on before the entry acknowledged the end of the stream")
	}
	if !g.ack(d, 1) || !g.detach(d) {
		t.Fatal("the end was not taken")
	}
	if !idle(b.Server) {
		t.Error("the stop waits for a stream that was taken")
	}
}
