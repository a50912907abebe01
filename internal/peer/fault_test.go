package peer

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
)

// Without recovery, a message that makes its handler panic ends the process with everything it
// serves, and the sender then delivers the message to the next process.
func TestPanicInHandlerIsRecovered(t *testing.T) {
	noted := make(chan string, 4)
	panicking := func(context.Context, *Conn, json.RawMessage) (any, error) { panic("oops") }
	s := startServer(t, Methods{
		"oops": panicking,
		"ok":   func(context.Context, *Conn, json.RawMessage) (any, error) { return 1, nil },
	}.WithRecovery(func(method string, _ error) { noted <- method }))
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
		t.Errorf("call after the panic: %v", err)
	}
	for range 2 {
		if method := <-noted; method != "oops" {
			t.Errorf("note was called for method %q", method)
		}
	}
}
