package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/link"
)

const (
	// maxReadAhead limits in bytes the events of a stream that wait for its caller.
	maxReadAhead = 1 << 20
	// readAheadChunk is the least size in bytes of the buffers of waiting events. Events are much
	// smaller, and several share a buffer.
	readAheadChunk = 4 << 10
	// readingAhead is the value of readAhead.writes while events are read ahead.
	readingAhead = -1
)

// readAhead reads the events of one answer. As long as the caller reads, the handler reads an event and
// writes it, without another goroutine. If a write to the caller does not return, events are read ahead
// into a queue, since an upstream aborts an answer that is left unread for some seconds. Once the
// caller has read all of them, the handler reads the answer itself again.
type readAhead struct {
	s       *stream
	step    step
	ctx     context.Context
	answer  *link.Answer
	body    io.Reader
	enabled bool

	// reader and counted are used by the handler, and by fetch while events are read ahead. counted is
	// the size of the reader's buffer that is counted against the memory budget. rest are bytes that an
	// earlier reader had left, which the reader reads before the answer.
	reader  *eventReader
	counted int64
	rest    []byte

	// writeCount is odd while the handler writes to the caller. direct is set while it reads the
	// answer itself. Both are used only by the handler.
	writeCount int64
	direct     bool
	// writes is writeCount, or readingAhead. seen is its value at the previous sweep, which shows
	// whether a write takes long without a look at the clock for each event.
	writes atomic.Int64
	seen   int64

	mu      sync.Mutex
	changed *sync.Cond
	queue   [][]byte
	// queued is the size of the buffers in the queue and of the one that is being written, and writing
	// the size of that one. replaced is the counted size of the buffer of an earlier reader that is
	// being written.
	queued, writing, replaced int64
	// fetching is set while fetch runs, waiting while the handler has nothing to write, and closed
	// once the answer is not relayed any more. done is closed when fetch has ended.
	fetching, waiting, closed bool
	done                      chan struct{}
	// last and lastErr are what fetch read last and has not queued.
	last    []byte
	lastErr error
}

// newReadAhead returns a reader of the events in the body of an answer. Without a memory budget it never
// reads ahead.
func (s *stream) newReadAhead(ctx context.Context, st step, answer *link.Answer, body io.Reader) *readAhead {
	s.endProof = nil
	a := &readAhead{s: s, step: st, ctx: ctx, answer: answer, body: body, direct: true, enabled: s.rq.memory != nil}
	if !a.enabled {
		a.reader = newEventReader(body)
		return a
	}
	a.changed = sync.NewCond(&a.mu)
	a.reader = newEventReader(a)
	s.g.readAheads.add(a)
	return a
}

// Limit bounds what is read from the connection for the next event.
func (a *readAhead) Limit(n int64) {
	if l, ok := a.body.(wireLimiter); ok {
		l.Limit(n)
	}
}

// Read reads for the event reader, whose buffer it counts first.
func (a *readAhead) Read(p []byte) (int, error) {
	n := int64(len(a.reader.buf)) - eventBuffer
	if n > a.counted {
		if err := a.s.g.growMemory(a.s.rq, n-a.counted); err != nil {
			return 0, err
		}
	} else if n < a.counted {
		a.s.rq.memory.Shrink(a.counted - n)
	}
	a.counted = n
	if len(a.rest) > 0 {
		taken := copy(p, a.rest)
		a.rest = a.rest[taken:]
		return taken, nil
	}
	return a.body.Read(p)
}

// next returns one or more complete events. They are valid until the next call. At the end of the
// answer, next returns the remaining bytes with the error.
func (a *readAhead) next() ([]byte, error) {
	if a.direct {
		return a.reader.next()
	}
	return a.nextQueued()
}

// beginWrite is to be called before events are written to the caller, and endWrite after it.
func (a *readAhead) beginWrite() {
	a.writeCount++
	if a.enabled && a.direct {
		a.writes.Store(a.writeCount)
	}
}

func (a *readAhead) endWrite() {
	a.writeCount++
	if a.enabled && a.direct {
		a.direct = a.writes.CompareAndSwap(a.writeCount-1, a.writeCount)
	}
}

// nextQueued is next while events are read ahead.
func (a *readAhead) nextQueued() ([]byte, error) {
	memory := a.s.rq.memory
	a.mu.Lock()
	defer a.mu.Unlock()
	memory.EndAwait()
	memory.Shrink(a.writing + a.replaced)
	a.queued -= a.writing
	a.writing, a.replaced = 0, 0
	a.waiting = true
	a.changed.Broadcast()
	for len(a.queue) == 0 && a.fetching {
		a.changed.Wait()
	}
	a.waiting = false
	if len(a.queue) > 0 {
		b := a.queue[0]
		a.queue[0] = nil
		a.queue = a.queue[1:]
		a.writing = int64(cap(b))
		memory.Await(a.s.g.now())
		return b, nil
	}
	b, err := a.last, a.lastErr
	a.last = nil
	a.direct = true
	a.writes.Store(a.writeCount)
	return b, err
}

// start begins to read ahead if the write with the given number is still in progress.
func (a *readAhead) start(write int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.writes.CompareAndSwap(write, readingAhead) {
		return
	}
	// The buffer of the present reader is being written.
	a.rest = append(bytes.Clone(a.reader.buf[a.reader.start:a.reader.end]), a.rest...)
	a.reader = newEventReader(a)
	a.replaced, a.counted = a.counted, 0
	a.s.rq.memory.Await(now)
	a.fetching, a.done = true, make(chan struct{})
	go a.fetch(a.done)
}

// fetch reads events into the queue until the caller has read all of them or the answer ends.
func (a *readAhead) fetch(done chan struct{}) {
	defer close(done)
	defer func() {
		// Unrecovered, a panic would end the process and all requests in it.
		if v := recover(); v != nil {
			a.s.g.logPanic(a.s.rq, v)
			a.pass(nil, errPanicked)
		}
	}()
	for {
		b, err := a.reader.next()
		if errors.Is(err, io.EOF) && len(b) == 0 && !a.answer.Framed {
			// By the time the caller has read all events, the engine may have ended as well.
			proof := a.s.proveEnd(a.ctx, a.step, a.answer)
			a.s.endProof = &proof
		}
		if !a.pass(b, err) {
			return
		}
	}
}

// pass queues events, waiting until there is room for them. It returns false if nothing more is to be
// read ahead.
func (a *readAhead) pass(b []byte, err error) (more bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		switch {
		case a.closed:
			a.fetching = false
			return false
		case err != nil || a.waiting && len(a.queue) == 0:
			a.last, a.lastErr = b, err
			a.fetching = false
			a.changed.Broadcast()
			return false
		case a.push(b):
			a.changed.Broadcast()
			return true
		}
		a.changed.Wait()
	}
}

// push queues events. It returns false if there is no room for them. a.mu must be held.
func (a *readAhead) push(b []byte) bool {
	if i := len(a.queue) - 1; i >= 0 && cap(a.queue[i])-len(a.queue[i]) >= len(b) {
		a.queue[i] = append(a.queue[i], b...)
		return true
	}
	size := int64(max(len(b), readAheadChunk))
	if a.queued+size > maxReadAhead || !a.s.rq.memory.Grow(size) {
		return false
	}
	a.queued += size
	a.queue = append(a.queue, append(make([]byte, 0, size), b...))
	return true
}

// close ends the reading ahead. The answer may be closed after that.
func (a *readAhead) close() {
	if !a.enabled {
		return
	}
	a.s.g.readAheads.remove(a)
	a.mu.Lock()
	a.closed = true
	a.changed.Broadcast()
	fetching, done := a.fetching, a.done
	a.mu.Unlock()
	if fetching {
		// The caller is gone, and with it the request.
		a.s.cancel()
	}
	if done != nil {
		<-done
	}
}

// readAheadSet holds the answers that are being relayed.
type readAheadSet struct {
	mu  sync.Mutex
	all map[*readAhead]bool
}

func (r *readAheadSet) add(a *readAhead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[*readAhead]bool{}
	}
	r.all[a] = true
}

func (r *readAheadSet) remove(a *readAhead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, a)
}

// sweep begins to read ahead where a write that was in progress at the previous sweep still is.
func (r *readAheadSet) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.all {
		write := a.writes.Load()
		switch {
		case write == readingAhead:
			// There may be memory again for the events of a stream that waits for it.
			a.mu.Lock()
			a.changed.Broadcast()
			a.mu.Unlock()
		case write%2 == 1 && write == a.seen:
			a.start(write, now)
		}
		a.seen = write
	}
}
