package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/sparshore/sparshore/internal/link"
)

// longEvent returns an event of n bytes.
func longEvent(n int) string {
	return "data: " + strings.Repeat("x", n-len("data: ")-len(blankLine)) + string(blankLine)
}

// readEvents returns all events of a body, and the error at its end.
func readEvents(e *eventReader) (string, error) {
	var got strings.Builder
	for {
		b, err := e.next()
		if err != nil {
			return got.String(), err
		}
		got.Write(b)
	}
}

// Guards against bounds that cut sound events, and against an event that is split where its end lies between
// two reads.
func TestEventsWithinTheBounds(t *testing.T) {
	for _, tc := range []struct {
		name string
		body string
	}{
		{"short", "data: 1\n\ndata: 2\n\n"},
		{"other line ends", "data: 1\r\n\r\ndata: 2\r\n\r\n"},
		{"longest", longEvent(maxEventBytes) + "data: 2\n\n"},
		{"several long ones", longEvent(600<<10) + longEvent(300<<10) + longEvent(900<<10) + "data: 2\n\n"},
	} {
		for name, reader := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader,
		} {
			t.Run(tc.name+" in "+name, func(t *testing.T) {
				e := newEventReader(reader(strings.NewReader(tc.body)))
				e.budget = &eventBudget{}
				got, err := readEvents(e)
				if !errors.Is(err, io.EOF) || got != tc.body {
					t.Errorf("%d bytes, %v; want %d", len(got), err, len(tc.body))
				}
				if n := e.budget.used.Load(); n != 0 {
					t.Errorf("%d bytes of the budget are in use after the end", n)
				}
				if len(e.buf) > smallEventBytes {
					t.Errorf("the buffer keeps %d bytes for a short event", len(e.buf))
				}
			})
		}
	}
}

// Guards against an event that fills the memory, and against many at once that do.
func TestLongEventsAreBroken(t *testing.T) {
	for _, tc := range []struct {
		name  string
		used  int64
		event int
		fails bool
	}{
		{"longest", 0, maxEventBytes, false},
		{"too long", 0, maxEventBytes + 1, true},
		{"long beside others", maxLargeEventBytes, smallEventBytes + 1, true},
		{"short beside others", maxLargeEventBytes, smallEventBytes, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newEventReader(strings.NewReader(longEvent(tc.event)))
			e.budget = &eventBudget{}
			e.budget.used.Store(tc.used)
			_, err := e.next()
			if failed := errors.Is(err, link.ErrTooLong) && errors.Is(err, link.ErrBroken); failed != tc.fails {
				t.Errorf("error %v, want one %v", err, tc.fails)
			}
			if n := e.budget.used.Load(); n != tc.used {
				t.Errorf("%d bytes of the budget are in use after the event, want %d", n, tc.used)
			}
		})
	}
}
