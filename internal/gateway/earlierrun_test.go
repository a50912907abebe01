package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/protocol"
)

// TestSpoiledStreamRunsTwice guards against a generation that goes on at two engines, if the first one does not drop
// a request whose connection closes.
func TestSpoiledStreamRunsTwice(t *testing.T) {
	f := newFixture(t)
	var once sync.Once
	stopped := make(chan struct{})
	for _, id := range []string{"a", "b"} {
		e := &engine{f: f, stopped: stopped, eventInterval: time.Millisecond, copies: []protocol.CopyResult{{Handle: "h"}}}
		e.upstream = f.add("llm", id, func(w http.ResponseWriter, r *http.Request) {
			spoils := false
			if !strings.HasPrefix(r.URL.Path, "/copy") {
				once.Do(func() { spoils = true })
			}
			if !spoils {
				e.serve(w, r)
				return
			}
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n", testID, r.Header.Get(testID), testProof, id)
			f.holdUntil(stopped)
			_ = c.Close()
		})
	}
	if got := f.ask(pathResume); got.err != nil || got.body != wholeStream() {
		t.Fatalf("%v, %q; want every event once", got.err, got.body)
	}
	f.waitSignal("the first run is stopped", stopped)
}
