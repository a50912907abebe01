// Package peer carries JSON-RPC between the processes of the system, such as entries and sidecars,
// which call each other through it. Two processes share one TCP connection with length-prefixed
// messages and calls in both directions. Calls are handled concurrently, notifications in the
// order in which they were sent.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sparshore/sparshore/internal/guard"
)

// ErrLost is returned when the connection ended before an answer arrived. The remote side may or
// may not have acted on the message.
var ErrLost = errors.New("connection lost")

// ErrUnreachable is returned when no connection could be opened, so that nothing was sent.
var ErrUnreachable = errors.New("peer unreachable")

// ErrRefused is returned when the remote side answered with an error.
var ErrRefused = errors.New("peer refused the message")

// Handler handles one method. Its result is ignored for notifications.
type Handler func(ctx context.Context, c *Conn, params json.RawMessage) (any, error)

// Answer is the result of a Handler that must know when its answer was written. Sent is called
// after the write, or after its failure. A Handler may return an Answer together with an error.
type Answer struct {
	Result any
	Sent   func()
}

// Methods maps method names to their handlers.
type Methods map[string]Handler

// WithRecovery returns the methods with handlers that recover from panics. The remote side then gets an
// error, and note is called with the method and the error.
func (m Methods) WithRecovery(note func(method string, err error)) Methods {
	out := make(Methods, len(m))
	for method, h := range m {
		out[method] = func(ctx context.Context, c *Conn, params json.RawMessage) (result any, err error) {
			err = guard.Do(func() (err error) {
				result, err = h(ctx, c, params)
				return err
			})
			if errors.Is(err, guard.ErrPanic) {
				note(method, err)
				return result, guard.ErrPanic
			}
			return result, err
		}
	}
	return out
}

// Conn is one connection to a peer.
type Conn struct {
	rpc    *jsonrpc2.Conn
	remote string
	// ready is closed once the connection is set up. No message is handled before.
	ready  chan struct{}
	mu     sync.Mutex
	values map[any]any
}

const dialTimeout = time.Second

// Dial connects to addr. The methods handle the messages of the remote side.
func Dial(ctx context.Context, addr string, methods Methods) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
	}
	return newConn(nc, methods), nil
}

func newConn(nc net.Conn, methods Methods) *Conn {
	c := prepareConn(nc, methods)
	close(c.ready)
	return c
}

// prepareConn returns a connection that handles no message until ready is closed.
func prepareConn(nc net.Conn, methods Methods) *Conn {
	c := &Conn{remote: nc.RemoteAddr().String(), ready: make(chan struct{}), values: map[any]any{}}
	stream := jsonrpc2.NewBufferedStream(nc, codec{})
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, &dispatcher{conn: c, methods: methods}, jsonrpc2.SetLogger(discardLogger{}))
	return c
}

// Call sends a request and decodes its answer into result.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	err := c.rpc.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return fmt.Errorf("%w: %s: %s", ErrRefused, method, answered.Message)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%s: %w", method, ctx.Err())
	}
	return fmt.Errorf("%w: %s: %v", ErrLost, method, err)
}

// Notify sends a message that has no answer.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	if err := c.rpc.Notify(ctx, method, params); err != nil {
		return fmt.Errorf("%w: %s: %v", ErrLost, method, err)
	}
	return nil
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Remote returns the network address of the remote side.
func (c *Conn) Remote() string { return c.remote }

// Attach stores a value with the connection. The key should be of a type private to the caller, to
// avoid collisions.
func (c *Conn) Attach(key, value any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[key] = value
}

// Attached returns the value stored under key, or nil.
func (c *Conn) Attached(key any) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[key]
}

type dispatcher struct {
	conn    *Conn
	methods Methods
}

// Handle runs calls concurrently and notifications in order.
func (d *dispatcher) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-d.conn.ready
	h, ok := d.methods[req.Method]
	if !ok {
		if !req.Notif {
			_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method})
		}
		return
	}
	params := json.RawMessage("null")
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		_, _ = h(ctx, d.conn, params)
		return
	}
	go d.answer(ctx, rpc, req, h, params)
}

func (d *dispatcher) answer(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, h Handler, params json.RawMessage) {
	result, err := h(ctx, d.conn, params)
	if a, ok := result.(Answer); ok {
		defer a.Sent()
		result = a.Result
	}
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = rpc.Reply(ctx, req.ID, result)
}

type discardLogger struct{}

// Printf discards the log messages of the library. Callers see lost connections as errors or
// through Done.
func (discardLogger) Printf(string, ...any) {}
