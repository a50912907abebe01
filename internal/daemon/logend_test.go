package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// slowLog is a log output that takes a moment for each line.
type slowLog struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (l *slowLog) Write(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written.Write(p)
}

// TestLinesOfTheEndAreWritten guards against log lines that are still queued when the process ends and are lost.
func TestLinesOfTheEndAreWritten(t *testing.T) {
	const cut = 100
	out := &slowLog{}
	b := newGatewayBuilder(GatewaySettings{Name: "g", KeyBound: 5 * time.Second, LogLines: 2 * cut, TimelineSize: 1}, out)
	for i := range cut {
		b.rec.NoteReserved(events.StreamCut, fmt.Sprint("r-", i))
	}
	if err := b.logService().Stop(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.written.String(), `"stream-cut"`); n != cut {
		t.Errorf("%d of %d lines written", n, cut)
	}
	if !strings.Contains(out.written.String(), `"process-stopped"`) {
		t.Error("the last line is missing")
	}
}
