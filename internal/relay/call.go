package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
)

// query is a call to a peer for a table or its changes. A peer may hold its answer for wait.
type query struct {
	method, table string
	after, epoch  int64
	wait          time.Duration
	// whole is set if the peer may answer with the whole table.
	whole bool
}

// params returns the parameters of the call if the peer may hold its answer for a time.
func (q query) params(wait time.Duration) any {
	if q.method == methodList {
		return listParams{Table: q.table, WaitMS: wait.Milliseconds()}
	}
	return changesParams{Table: q.table, After: q.after, Epoch: q.epoch, WaitMS: wait.Milliseconds(), Whole: q.whole}
}

// openConn is a connection to a peer and the time at which it was opened.
type openConn struct {
	*peer.Conn
	openedAt time.Time
}

// callRepeated calls a peer. A connection that was open before may have fallen silent, which nothing but a
// missing answer shows. If the answer is overdue there, or the connection ends, the call is repeated on a new
// connection, without a hold time and with a time limit of its own.
func (s *Store) callRepeated(ctx context.Context, p Peer, q query) (platform.Snapshot, error) {
	old, ok := s.openConn(p.Address)
	if !ok {
		return s.call(ctx, p, q, q.wait, q.wait+s.settings.Slack)
	}
	began := s.now()
	snap, err := s.call(ctx, p, q, q.wait, q.wait+s.settings.Overdue)
	if err == nil || errors.Is(err, peer.ErrRefused) || callerCancelled(ctx) {
		return snap, err
	}
	s.closeConn(p.Address, old)
	snap, err = s.call(ctx, p, q, 0, s.settings.Slack)
	if err == nil {
		s.rec.Note(events.ConnectionSilent, "", "peer", p.Name, "table", q.table, "held", q.wait, "answered-after", s.now().Sub(began), "open-for", began.Sub(old.openedAt))
	}
	return snap, err
}

// call calls a peer once, within a time limit that does not depend on the deadline of ctx.
func (s *Store) call(ctx context.Context, p Peer, q query, wait, within time.Duration) (platform.Snapshot, error) {
	ctx, cancel := ownTimeout(ctx, within)
	defer cancel()
	sent := s.now()
	var w wireSnapshot
	if err := s.callPeer(ctx, p, q.method, q.params(wait), &w); err != nil {
		return platform.Snapshot{}, err
	}
	return w.decode(sent)
}

// ownTimeout returns a context with a timeout that does not depend on the deadline of ctx: each attempt has
// its own time, whatever the ones before it took. It is cancelled when ctx is cancelled.
func ownTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), d)
	stop := context.AfterFunc(ctx, func() {
		if callerCancelled(ctx) {
			cancel()
		}
	})
	return own, func() {
		stop()
		cancel()
	}
}

// callerCancelled reports whether the caller cancelled a call. Such a failure shows nothing about
// the remote side, and other calls may be in flight on the same connection.
func callerCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// callPeer calls a method of a peer and closes the connection if the call fails.
func (s *Store) callPeer(ctx context.Context, p Peer, method string, params, result any) error {
	began := s.now()
	c, err := s.conn(ctx, p.Address)
	if err != nil {
		return fmt.Errorf("%w (%s)", err, timeLimit(ctx, began))
	}
	if err := c.Call(ctx, method, params, result); err != nil {
		if !errors.Is(err, peer.ErrRefused) && !callerCancelled(ctx) {
			s.closeConn(p.Address, c)
		}
		return fmt.Errorf("%w (connection open for %s, %s)", err, began.Sub(c.openedAt).Round(time.Millisecond), timeLimit(ctx, began))
	}
	return nil
}

// timeLimit describes the time that a call had when it began.
func timeLimit(ctx context.Context, began time.Time) string {
	deadline, ok := ctx.Deadline()
	if !ok {
		return "no time limit"
	}
	return "time limit " + deadline.Sub(began).Round(time.Millisecond).String()
}

// openConn returns the connection to an address if one is open.
func (s *Store) openConn(address string) (openConn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.conns[address]
	return c, ok
}

// conn returns the open connection to an address or opens one.
func (s *Store) conn(ctx context.Context, address string) (openConn, error) {
	if c, ok := s.openConn(address); ok {
		return c, nil
	}
	opened, err := s.dial(ctx, address)
	if err != nil {
		return openConn{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if other, ok := s.conns[address]; ok {
		opened.Close()
		return other, nil
	}
	c := openConn{Conn: opened, openedAt: s.now()}
	s.conns[address] = c
	return c, nil
}

func (s *Store) closeConn(address string, c openConn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[address] == c {
		delete(s.conns, address)
	}
}
