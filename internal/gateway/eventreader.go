package gateway

import (
	"bytes"
	"io"
)

// eventReader cuts a body into whole events of a text/event-stream, so that an
// event that breaks off half-way never reaches a caller.
type eventReader struct {
	r   io.Reader
	buf []byte
	// start and end bound what was read and not handed out.
	start, end int
}

const eventBuffer = 8 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: r, buf: make([]byte, eventBuffer)}
}

// next returns the bytes of one or more whole events. The bytes hold until the
// next call. At the end of the body it returns what is left over with the error.
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

// The blank line that ends an event, as the two usual line ends write it.
var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
)

// wholeEvents returns the length of the whole events at the start of b.
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

// lastEventID returns the identifier of the last event in b that has one and
// the number of events with one.
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
