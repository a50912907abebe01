// Package logline provides a non-blocking io.Writer for the log lines of a process. Lines pass through a
// bounded queue to the output. Lines that exceed the limit per second or the queue are dropped and counted.
package logline

import (
	"io"
	"sync/atomic"
	"time"
)

// Settings bound the number of lines that a Writer accepts. The bounds apply to the usual and the reserved lines
// separately.
type Settings struct {
	// Lines is the maximum number of lines per second.
	Lines int
	// Queue is the maximum number of lines that wait for the output.
	Queue int
}

// Writer is an io.Writer that expects one complete line in each Write.
type Writer struct {
	out     io.Writer
	usual   *lane
	reserve *lane
	closed  chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// lane holds the lines of one kind that wait for the output.
type lane struct {
	settings Settings
	now      func() time.Time
	dropped  *atomic.Int64
	queue    chan []byte
	second   atomic.Int64
	lines    atomic.Int64
}

// New returns a Writer and starts the goroutine that writes to out.
func New(settings Settings, out io.Writer, now func() time.Time) *Writer {
	w := &Writer{out: out, closed: make(chan struct{}), done: make(chan struct{})}
	newLane := func() *lane {
		return &lane{settings: settings, now: now, dropped: &w.dropped, queue: make(chan []byte, settings.Queue)}
	}
	w.usual, w.reserve = newLane(), newLane()
	go w.writeQueued()
	return w
}

// Write queues a copy of one line. It never blocks; a line that exceeds the bounds is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) { return w.usual.Write(line) }

// Reserved returns a writer for lines that are still written when there are too many usual lines.
func (w *Writer) Reserved() io.Writer { return w.reserve }

// Write queues a copy of one line.
func (l *lane) Write(line []byte) (int, error) {
	second := l.now().Unix()
	if l.second.Swap(second) != second {
		l.lines.Store(0)
	}
	if l.lines.Add(1) > int64(l.settings.Lines) {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Close writes the queued lines and stops the Writer. Lines that are written later are lost.
func (w *Writer) Close() {
	close(w.closed)
	<-w.done
}

func (w *Writer) writeQueued() {
	defer close(w.done)
	for {
		select {
		case line := <-w.usual.queue:
			w.write(line)
		case line := <-w.reserve.queue:
			w.write(line)
		case <-w.closed:
			w.drain(w.reserve)
			w.drain(w.usual)
			return
		}
	}
}

// drain writes the lines that are queued.
func (w *Writer) drain(l *lane) {
	for {
		select {
		case line := <-l.queue:
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	// A failed write is ignored: a failure of the log output cannot be logged.
	_, _ = w.out.Write(line)
}
