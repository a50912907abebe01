package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/protocol"
)

// spoiler is an engine that spoils its first answer and runs on when the connection closes, until it is commanded to stop.
type spoiler struct {
	t *testing.T
	*fixture
	stopped chan struct{}

	mu sync.Mutex
	// by is the engine that has spoiled an answer.
	by string
	// busy is the number of commands to stop that are answered with CopyInProgress.
	busy int
}

// stop answers a command to copy.
func (s *spoiler) stop(w http.ResponseWriter, id string, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := protocol.CopyResult{Outcome: protocol.NoSuchGeneration}
	switch {
	case s.by != id || !last:
	case s.busy > 0:
		s.busy--
		result.Outcome = protocol.CopyInProgress
	default:
		close(s.stopped)
		result = protocol.CopyResult{Outcome: protocol.Copied, Handle: "h"}
	}
	if err := json.NewEncoder(w).Encode(result); err != nil {
		s.t.Error(err)
	}
}

// spoils reports whether an engine spoils its answer, which the first one does.
func (s *spoiler) spoils(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.by != "" {
		return false
	}
	s.by = id
	return true
}

func (s *spoiler) spoil(w http.ResponseWriter, r *http.Request, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.t.Error(err)
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n", testID, r.Header.Get(testID), testProof, id)
	s.holdUntil(s.stopped)
	_ = c.Close()
}

// TestSpoiledStreamRunsTwice guards against a generation that goes on at two engines, if the first one does not drop
// a request whose connection closes.
func TestSpoiledStreamRunsTwice(t *testing.T) {
	for name, busy := range map[string]int{"stopped at once": 0, "beside a copy": 2} {
		t.Run(name, func(t *testing.T) {
			s := &spoiler{t: t, fixture: newFixture(t), stopped: make(chan struct{}), busy: busy}
			for _, id := range []string{"a", "b"} {
				e := &engine{f: s.fixture, stopped: make(chan struct{}), eventInterval: time.Millisecond}
				e.upstream = s.add("llm", id, func(w http.ResponseWriter, r *http.Request) {
					switch {
					case strings.HasPrefix(r.URL.Path, "/copy"):
						if r.Method == http.MethodPost {
							s.stop(w, id, r.URL.Query().Get("last") == "true")
						}
					case s.spoils(id):
						s.spoil(w, r, id)
					default:
						e.serve(w, r)
					}
				})
			}
			if got := s.ask(pathResume); got.err != nil || got.body != wholeStream() {
				t.Fatalf("%v, %q; want every event once", got.err, got.body)
			}
			s.waitSignal("the first run is stopped", s.stopped)
		})
	}
}
