package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
)

func startServer(t *testing.T, m Methods) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, m, nil)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func TestNotificationOrderAndErrorKinds(t *testing.T) {
	var got []int
	s := startServer(t, Methods{
		"put": func(_ context.Context, _ *Conn, p json.RawMessage) (any, error) {
			var n int
			err := json.Unmarshal(p, &n)
			got = append(got, n)
			return nil, err
		},
		"count": func(context.Context, *Conn, json.RawMessage) (any, error) { return len(got), nil },
		"fail":  func(context.Context, *Conn, json.RawMessage) (any, error) { return nil, errors.New("no") },
	})
	c, err := Dial(t.Context(), s.Addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const n = 500
	for i := range n {
		if err := c.Notify(t.Context(), "put", i); err != nil {
			t.Fatal(err)
		}
	}
	var count int
	if err := c.Call(t.Context(), "count", nil, &count); err != nil || count != n {
		t.Fatalf("count = %d, %v", count, err)
	}
	for i, v := range got {
		if v != i {
			t.Fatalf("notification %d has value %d", i, v)
		}
	}
	if err := c.Call(t.Context(), "fail", nil, nil); !errors.Is(err, ErrRefused) {
		t.Errorf("fail: %v", err)
	}
	s.Close()
	if err := c.Call(t.Context(), "count", nil, &count); !errors.Is(err, ErrLost) {
		t.Errorf("after close: %v", err)
	}
	if _, err := Dial(t.Context(), s.Addr(), nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("dial after close: %v", err)
	}
}
