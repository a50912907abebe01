// Package logline writes log lines without ever holding up the writer: lines
// pass through a bounded queue, and what is beyond a bound a second is left out
// and counted.
package logline

import (
	"io"
	"sync/atomic"
	"time"
)

// Settings bound the volume of a Writer.
type Settings struct {
	// Lines is the most lines a second.
	Lines int
	// Queue is the most lines that wait for the output.
	Queue int
}

// Writer is an io.Writer for whole lines.
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

// New returns a Writer and starts its output.
func New(settings Settings, out io.Writer, now func() time.Time) *Writer {
	w := &Writer{settings: settings, out: out, now: now, queue: make(chan []byte, settings.Queue), done: make(chan struct{})}
	go w.drain()
	return w
}

// Write takes one line over. It never blocks; a line beyond the bounds is
// counted as dropped.
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

// Dropped returns the lines left out since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Close writes what waits and stops. Write must not be called after it.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

func (w *Writer) drain() {
	defer close(w.done)
	for line := range w.queue {
		// There is no other place to report that the output is gone.
		_, _ = w.out.Write(line)
	}
}
