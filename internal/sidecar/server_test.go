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

// engineFixture is a sidecar in front of a small engine, with the connection of one entry.
type engineFixture struct {
	server *Server
	conn   *peer.Conn
	// notes gets the frames that the entry receives.
	notes chan tokensNote
	// cancelled is closed when the request to the engine is cancelled.
	cancelled chan struct{}
}

// newEngineFixture returns a fixture whose engine streams the given number of tokens. With endless
// the streams then stay open until they are cancelled.
func newEngineFixture(t *testing.T, tokens int, endless bool) *engineFixture {
	t.Helper()
	b := &engineFixture{notes: make(chan tokensNote, 1000), cancelled: make(chan struct{})}
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
	l := lease.New(oneRowTable(&platform.Row{}), "u", "i", lease.Settings{Term: time.Hour}, time.Now)
	b.server = New(Settings{
		Upstream: "u", URL: engine.URL, Decision: decision.Settings{Blocks: 1000, BlockTokens: 16},
		DetachGrace: time.Minute, KeepEnded: time.Minute, UnackedBytes: 1 << 20, RetainedBytes: 1 << 17, CallWindow: time.Hour,
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

func (b *engineFixture) receive(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
	var notes []tokensNote
	if err := json.Unmarshal(raw, &notes); err != nil {
		return nil, err
	}
	for _, n := range notes {
		b.notes <- n
	}
	return nil, nil
}

// receivedStreams returns the number of streams that have a receiver.
func (b *engineFixture) receivedStreams() int {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	n := 0
	for _, g := range b.server.generations {
		g.mu.Lock()
		if g.receiver != nil {
			n++
		}
		g.mu.Unlock()
	}
	return n
}

// A stream that was delivered to its end must be released. Otherwise each finished stream would
// stay with its connection, with all its tokens, for as long as the connection lives.
func TestDeliveredStreamIsReleased(t *testing.T) {
	b := newEngineFixture(t, 40, false)
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
	for b.receivedStreams() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if n := b.receivedStreams(); n > 0 {
		t.Errorf("%d delivered streams still have a receiver", n)
	}
}

// Frames arrive at an entry that gave up the request before the sidecar received it, for example
// after a pause of the process. The entry must cancel the unknown stream, so that the engine does
// not go on with it.
func TestStreamWithoutAReceiverIsCancelled(t *testing.T) {
	b := newEngineFixture(t, 3, true)
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
		t.Error("the engine still runs the stream")
	}
}
