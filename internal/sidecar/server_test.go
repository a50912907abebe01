package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/lease"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
)

// engineBench is a sidecar before a small engine, with one entry's connection.
type engineBench struct {
	server *Server
	conn   *peer.Conn
	// notes are the frames the entry's side receives.
	notes chan tokensNote
	// cancelled is closed when the engine's caller goes away.
	cancelled chan struct{}
}

// newEngineBench serves streams of the given number of tokens; with endless the
// engine goes on until it is cancelled.
func newEngineBench(t *testing.T, tokens int, endless bool) *engineBench {
	t.Helper()
	b := &engineBench{notes: make(chan tokensNote, 1000), cancelled: make(chan struct{})}
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range tokens {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"%d\"}]}\n\n", i+1, i+1)
			w.(http.Flusher).Flush()
		}
		if endless {
			<-r.Context().Done()
			close(b.cancelled)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", tokens+1)
	}))
	t.Cleanup(engine.Close)
	cfg, err := config.Parse("t", []byte("pools: [{name: p, kind: engine, upstreams: [{name: u, zone: a}]}]\nmodels: []\naccounts: []\n"))
	if err != nil {
		t.Fatal(err)
	}
	active := config.NewActive(cfg, 1, true, time.UnixMilli(1))
	l := lease.New(tableOf(&platform.Row{}), "u", "i", lease.Settings{Term: time.Hour}, time.Now)
	b.server = New(Settings{
		Upstream: "u", URL: engine.URL, Decision: decision.Settings{Blocks: 1000, BlockTokens: 16},
		Grace: time.Minute, Kept: time.Minute, UnackedBytes: 1 << 20, RetainedBytes: 1 << 17, CallWindow: time.Hour,
	}, membership.NewIdentity("s", membership.RoleSidecar, "a", "u", "i", time.Now()), l, events.Nop(),
		NewMetrics(prometheus.NewRegistry()), func() *config.Active { return active }, time.Now)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(listener, b.server.Methods(), b.server.Open)
	server.Start()
	t.Cleanup(server.Close)
	b.conn, err = peer.Dial(t.Context(), server.Addr(), peer.Methods{methodTokens: b.receive})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.conn.Close)
	return b
}

func (b *engineBench) receive(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
	var notes []tokensNote
	if err := json.Unmarshal(raw, &notes); err != nil {
		return nil, err
	}
	for _, n := range notes {
		b.notes <- n
	}
	return nil, nil
}

// held returns how many streams the sidecar keeps for its connections.
func (b *engineBench) held() int {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	n := 0
	for _, g := range b.server.generations {
		g.mu.Lock()
		if g.holder != nil {
			n++
		}
		g.mu.Unlock()
	}
	return n
}

// TestDeliveredStreamIsLetGo runs streams to their end and checks that the
// connection keeps nothing of them. Found by reading: each finished stream
// stayed with its connection, with all its tokens, for as long as that lived.
func TestDeliveredStreamIsLetGo(t *testing.T) {
	b := newEngineBench(t, 40, false)
	const streams = 5
	for sub := range int64(streams) {
		var r generateResult
		if err := b.conn.Call(t.Context(), methodGenerate, generateParams{Sub: sub, Path: "/", Prompt: 10}, &r); err != nil || r.Refused != nil {
			t.Fatalf("generate: %+v, %v", r, err)
		}
		for {
			n := <-b.notes
			if err := b.conn.Notify(t.Context(), methodAck, ackNote{Sub: n.Sub, Upto: n.First + int64(len(n.Choices)) - 1}); err != nil {
				t.Fatal(err)
			}
			if n.End != nil {
				break
			}
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for b.held() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if n := b.held(); n > 0 {
		t.Errorf("%d delivered streams are still held", n)
	}
}

// TestStreamThatNobodyTakesIsCancelled lets frames arrive at an entry that gave
// the request up before the sidecar had it, as after a freeze: the entry's
// answer to an unknown stream is to cancel it.
func TestStreamThatNobodyTakesIsCancelled(t *testing.T) {
	b := newEngineBench(t, 3, true)
	client := NewClient(events.Nop())
	var r generateResult
	if err := b.conn.Call(t.Context(), methodGenerate, generateParams{Sub: 77, Path: "/", Prompt: 10}, &r); err != nil || r.Refused != nil {
		t.Fatalf("generate: %+v, %v", r, err)
	}
	n := <-b.notes
	raw, err := json.Marshal([]tokensNote{n})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.tokens(t.Context(), b.conn, raw); err != nil {
		t.Fatal(err)
	}
	select {
	case <-b.cancelled:
	case <-time.After(10 * time.Second):
		t.Error("the engine still works for nobody")
	}
}
