package gateway

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sparshore/sparshore/internal/link"
)

// eventReader splits a text/event-stream body into complete events, so that a caller never gets
// part of an event.
type eventReader struct {
	r   io.Reader
	buf []byte
	// start and end delimit the bytes that were read but not returned yet.
	start, end int
	// searched is the end of the bytes that hold no end of an event.
	searched int
	// reserved is what buf takes of the budget.
	reserved int64
	budget   *eventBudget
}

const (
	eventBuffer = 8 << 10
	// maxEventBytes bounds one event. Some failing engines send an event without end.
	maxEventBytes = 1 << 20
	// maxEventWireBytes bounds what is read from the connection for one event, which includes the framing of
	// its chunks.
	maxEventWireBytes = maxEventBytes + maxEventBytes/2
	// smallEventBytes is the size up to which buffers are not counted in an eventBudget, so that sound
	// streams are not affected when failing engines use it up.
	smallEventBytes = 64 << 10
	// maxLargeEventBytes bounds the memory of all larger buffers together: many engines may fail at once.
	maxLargeEventBytes = 4 << 20
)

// errEventTooLong is wrapped when an event exceeds a size bound.
var errEventTooLong = fmt.Errorf("%w: %w: event", link.ErrBroken, link.ErrTooLong)

// eventBudget bounds the memory that large event buffers take together.
type eventBudget struct{ used atomic.Int64 }

// largeEvents is the budget of this process. It exists beside the memory budget, which also counts these buffers
// where it is set: its limit is several times maxLargeEventBytes, and failing engines must not use up what
// requests and responses need.
var largeEvents eventBudget

// reserve adds n bytes unless the budget would be exceeded.
func (b *eventBudget) reserve(n int64) bool {
	if b.used.Add(n) <= maxLargeEventBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

// wireLimiter is a body whose reads can be bounded by what they take from the connection.
type wireLimiter interface{ Limit(n int64) }

func newEventReader(r io.Reader) *eventReader {
	e := &eventReader{r: r, buf: make([]byte, eventBuffer), budget: &largeEvents}
	e.limitWire()
	return e
}

// limitWire bounds what is read from the connection until the end of the next event.
func (e *eventReader) limitWire() {
	if l, ok := e.r.(wireLimiter); ok {
		l.Limit(maxEventWireBytes)
	}
}

// next returns the bytes of one or more complete events. They are valid until the next call. At
// the end of the body, next returns the remaining bytes with the error.
func (e *eventReader) next() ([]byte, error) {
	for {
		if n := e.wholeEvents(); n > 0 {
			b := e.buf[e.start : e.start+n]
			e.start += n
			e.release()
			e.limitWire()
			return b, nil
		}
		if err := e.fill(); err != nil {
			e.release()
			return e.buf[e.start:e.end], err
		}
	}
}

// wholeEvents returns the length of the complete events in the buffer. It searches no byte of a long event twice.
func (e *eventReader) wholeEvents() int {
	from := max(e.start, e.searched-len(blankLineCRLF)+1)
	e.searched = e.end
	n := wholeEvents(e.buf[from:e.end])
	if n == 0 {
		return 0
	}
	return from + n - e.start
}

func (e *eventReader) fill() error {
	if e.start > 0 {
		copy(e.buf, e.buf[e.start:e.end])
		e.end -= e.start
		e.searched = max(e.searched-e.start, 0)
		e.start = 0
	}
	if size := e.sizeFor(e.end + 1); size != len(e.buf) {
		if err := e.resize(size); err != nil {
			return err
		}
	}
	n, err := e.r.Read(e.buf[e.end:])
	e.end += n
	if n > 0 {
		return nil
	}
	return err
}

// sizeFor returns the size of the buffer for an event of n bytes or more. It keeps a small buffer as it is, and
// one for a long event until that was returned.
func (e *eventReader) sizeFor(n int) int {
	if n <= len(e.buf) && (len(e.buf) <= smallEventBytes || e.reserved > 0) {
		return len(e.buf)
	}
	size := eventBuffer
	for size < n {
		size *= 2
	}
	return size
}

// resize changes the size of the buffer, whose bytes begin at its start.
func (e *eventReader) resize(size int) error {
	if size > maxEventBytes {
		return fmt.Errorf("%w of more than %d bytes", errEventTooLong, maxEventBytes)
	}
	if size > smallEventBytes {
		more := int64(size) - e.reserved
		if !e.budget.reserve(more) {
			return fmt.Errorf("%w of more than %d bytes beside other long ones", errEventTooLong, len(e.buf))
		}
		e.reserved += more
	}
	buf := make([]byte, size)
	copy(buf, e.buf[:e.end])
	e.buf = buf
	return nil
}

// release returns what the buffer takes of the budget. The event in it is passed on next.
func (e *eventReader) release() {
	e.budget.used.Add(-e.reserved)
	e.reserved = 0
}

// The blank line that ends an event, for both common line endings.
var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
)

// wholeEvents returns the length of the complete events at the start of b.
func wholeEvents(b []byte) int {
	n := 0
	if i := bytes.LastIndex(b, blankLine); i >= 0 {
		n = i + len(blankLine)
	}
	if i := bytes.LastIndex(b, blankLineCRLF); i >= 0 {
		n = max(n, i+len(blankLineCRLF))
	}
	return n
}

var idField = []byte("id:")

// lastEventID returns the ID of the last event in b that has one, and the number of events that
// have one.
func lastEventID(b []byte) (id string, n int) {
	for line := range bytes.Lines(b) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		n++
		id = string(bytes.TrimSpace(line[len(idField):]))
	}
	return id, n
}
