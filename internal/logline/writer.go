// Package logline provides a non-blocking io.Writer for the log lines of a process. Lines pass through a
// bounded queue to the output. Lines that exceed the limit per second or the queue are dropped and counted.
package logline

import (
	"io"
	"sync/atomic"
	"time"
)

// Settings bound the number of lines that a Writer accepts.
type Settings struct {
	// Lines is the maximum number of lines per second.
	Lines int
	// Queue is the maximum number of lines that wait for the output.
	Queue int
}

// Writer is an io.Writer that expects one complete line in each Write.
type Writer struct {
	settings Settings
	out      io.Writer
	now      func() time.Time
	queue    chan []byte
	done     chan struct{}
	second   atomic.Int64
	lines    atomic.Int64
	dropped  atomic.Int64
}

// New returns a Writer and starts the goroutine that writes to out.
func New(settings Settings, out io.Writer, now func() time.Time) *Writer {
	w := &Writer{settings: settings, out: out, now: now, queue: make(chan []byte, settings.Queue), done: make(chan struct{})}
	go w.writeQueued()
	return w
}

// Write queues a copy of one line. It never blocks; a line that exceeds the bounds is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	second := w.now().Unix()
	if w.second.Swap(second) != second {
		w.lines.Store(0)
	}
	if w.lines.Add(1) > int64(w.settings.Lines) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Close writes the queued lines and stops the Writer. Write must not be called after Close.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

func (w *Writer) writeQueued() {
	defer close(w.done)
	for line := range w.queue {
		// A failed write is ignored: a failure of the log output cannot be logged.
		_, _ = w.out.Write(line)
	}
}
