package logline

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks every write until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(Settings{Lines: 1000, Queue: 4}, out, time.Now)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	// Besides the queued lines, one line may be blocked in the output.
	if n := w.Dropped(); n < 95 || n > 96 {
		t.Errorf("%d lines dropped, want all but the queued ones", n)
	}
	close(out.release)
	w.Close()
	if n := bytes.Count(out.written.Bytes(), []byte("\n")); n < 4 || n > 5 {
		t.Errorf("%d lines written, want the queued ones", n)
	}
}

func TestWriterBoundsLines(t *testing.T) {
	at := time.Unix(100, 0)
	var out bytes.Buffer
	w := New(Settings{Lines: 10, Queue: 1000}, &out, func() time.Time { return at })
	for range 25 {
		_, _ = w.Write([]byte("line\n"))
	}
	at = at.Add(time.Second)
	for range 7 {
		_, _ = w.Write([]byte("line\n"))
	}
	if n := w.Dropped(); n != 15 {
		t.Errorf("%d lines dropped, want 15 of the first second", n)
	}
	w.Close()
	if n := bytes.Count(out.Bytes(), []byte("\n")); n != 17 {
		t.Errorf("%d lines written, want 17", n)
	}
}

// The lines of a request that was sent twice were left out because the log was full.
func TestFullLogLeavesOutReservedLines(t *testing.T) {
	var out bytes.Buffer
	w := New(Settings{Lines: 10, Queue: 1000}, &out, func() time.Time { return time.Unix(100, 0) })
	for range 25 {
		_, _ = w.Write([]byte("usual\n"))
	}
	for range 12 {
		_, _ = w.Reserved().Write([]byte("reserved\n"))
	}
	w.Close()
	usual, reserved := bytes.Count(out.Bytes(), []byte("usual")), bytes.Count(out.Bytes(), []byte("reserved"))
	if usual != 10 || reserved != 10 || w.Dropped() != 17 {
		t.Errorf("%d usual and %d reserved lines written, want 10 of each", usual, reserved)
	}
}
