package peer

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
)

// A message that a process fails over ended it with all that it served, and was sent to the
// next one then.
func TestMessageThatEndsNoReader(t *testing.T) {
	noted := make(chan string, 4)
	oops := func(context.Context, *Conn, json.RawMessage) (any, error) { panic("oops") }
	s := start(t, Methods{
		"oops": oops,
		"ok":   func(context.Context, *Conn, json.RawMessage) (any, error) { return 1, nil },
	}.Guarded(func(method string, _ error) { noted <- method }))
	c, err := Dial(t.Context(), s.Addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.Call(t.Context(), "oops", nil, nil); !errors.Is(err, ErrRefused) {
		t.Errorf("%v, want %v", err, ErrRefused)
	}
	if err := c.Notify(t.Context(), "oops", nil); err != nil {
		t.Error(err)
	}
	if err := c.Call(t.Context(), "ok", nil, nil); err != nil {
		t.Errorf("the process does not go on: %v", err)
	}
	for range 2 {
		if method := <-noted; method != "oops" {
			t.Errorf("noted for %q", method)
		}
	}
}
