package peer

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
)

// encoded calls a function when it is encoded as JSON.
type encoded func()

// MarshalJSON calls the function.
func (f encoded) MarshalJSON() ([]byte, error) {
	f()
	return []byte(`"told"`), nil
}

// A process that shuts down waits until its answers are written. The return of a handler is too
// early, so Sent must be called after the write, also for an error.
func TestSentIsCalledAfterWrite(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want string
	}{
		{name: "answer", want: "told"},
		{name: "refusal", err: errors.New("no")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sent := make(chan struct{})
			early := false
			s := startServer(t, Methods{"ask": func(context.Context, *Conn, json.RawMessage) (any, error) {
				writing := encoded(func() {
					select {
					case <-sent:
						early = true
					default:
					}
				})
				return Answer{Result: writing, Sent: func() { close(sent) }}, test.err
			}})
			c, err := Dial(t.Context(), s.Addr(), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			var got string
			if err := c.Call(t.Context(), "ask", nil, &got); (err == nil) != (test.err == nil) || got != test.want {
				t.Errorf("answer %q, %v, want %q, %v", got, err, test.want, test.err)
			}
			<-sent
			if early {
				t.Error("Sent was called before the answer was written")
			}
		})
	}
}
