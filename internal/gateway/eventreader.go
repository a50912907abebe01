package gateway

import (
	"bytes"
	"io"
)

// eventReader splits a text/event-stream body into complete events, so that a caller never gets
// part of an event.
type eventReader struct {
	r   io.Reader
	buf []byte
	// start and end delimit the bytes that were read but not returned yet.
	start, end int
}

const eventBuffer = 8 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: r, buf: make([]byte, eventBuffer)}
}

// next returns the bytes of one or more complete events. They are valid until the next call. At
// the end of the body, next returns the remaining bytes with the error.
func (e *eventReader) next() ([]byte, error) {
	for {
		if n := wholeEvents(e.buf[e.start:e.end]); n > 0 {
			b := e.buf[e.start : e.start+n]
			e.start += n
			return b, nil
		}
		if err := e.fill(); err != nil {
			return e.buf[e.start:e.end], err
		}
	}
}

func (e *eventReader) fill() error {
	if e.start > 0 {
		copy(e.buf, e.buf[e.start:e.end])
		e.end -= e.start
		e.start = 0
	}
	if e.end == len(e.buf) {
		e.buf = append(e.buf, make([]byte, len(e.buf))...)
	}
	n, err := e.r.Read(e.buf[e.end:])
	e.end += n
	if n > 0 {
		return nil
	}
	return err
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
