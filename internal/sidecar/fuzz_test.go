package sidecar

import (
	"bytes"
	"errors"
	"net"
	"testing"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
)

// FuzzReadChunks feeds arbitrary bytes to the reader of an engine's stream. A stream must be whole
// only after its [DONE] mark, and nothing may panic.
func FuzzReadChunks(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {]\n\n"))
	f.Add([]byte("id: -5\ndata: {\"choices\":[{}]}\n"))
	f.Add([]byte("data: {\"choices\":[],\"usage\":{}}\n\ndata: [DONE]"))
	f.Add([]byte("data: {\"error\":{\"message\":\"x\"}}\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		err := readChunks(bytes.NewReader(body), func(chunk) error { return nil })
		if err == nil && !bytes.Contains(body, []byte("[DONE]")) {
			t.Fatal("whole without [DONE]")
		}
		if err != nil && !errors.Is(err, errMalformed) && !errors.Is(err, errEngine) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
	})
}

// closedConn returns a connection that has ended. The client tries to cancel unknown streams on it,
// and these messages reach nobody.
func closedConn(t *testing.T) *peer.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := peer.Dial(t.Context(), l.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	return c
}

// FuzzTokensFrame feeds frames to an entry's stream. Only the next offset of the stream's own
// generation may be accepted.
func FuzzTokensFrame(f *testing.F) {
	f.Add([]byte(`[{"sub":1,"generation":"g","first":1,"choices":[{"text":"a"}]}]`))
	f.Add([]byte(`[{"sub":1,"generation":"h","first":1,"choices":[{}],"end":{"whole":true}}]`))
	f.Add([]byte(`[{"sub":1,"generation":"g","first":9223372036854775807,"choices":[1,2]}]`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := NewClient(events.Nop())
		conn := closedConn(t)
		s := c.newStream(conn, 0)
		s.setGeneration("g")
		_, _ = c.tokens(t.Context(), conn, raw)
		if p, ok := s.ready(); ok && len(p.Choices()) > 0 && p.First() != 1 {
			t.Fatalf("accepted offset %d first", p.First())
		}
	})
}
