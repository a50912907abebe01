package scenario

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/config"
)

// TestKeyRevokedWhileBodyArrives guards against an entry that checks the key of a request by its headers and runs it with
// that key after it was revoked.
func TestKeyRevokedWhileBodyArrives(t *testing.T) {
	c, entries := deployCluster(t, 1, 1, 1, 1)
	answers := map[string]<-chan int{}
	var bodies []*io.PipeWriter
	for _, path := range []string{"/v1/chat/completions", "/services/ledger/x"} {
		r, w := io.Pipe()
		bodies = append(bodies, w)
		answers[path] = c.postLate(t, entries[0], path, r)
	}
	const body = `{"model":"bins","messages":[{"role":"user","content":"out=3"}]}`
	for _, w := range bodies {
		_, _ = io.WriteString(w, body[:1])
	}
	// The entry has checked the keys when it waits for the rest of the bodies.
	time.Sleep(300 * time.Millisecond)
	if err := c.apply(entries[0], 1, strings.Replace(c.configText(), config.HashKey(apiKey), config.HashKey("another-key"), 1)); err != nil {
		t.Fatal(err)
	}
	for _, w := range bodies {
		_, _ = io.WriteString(w, body[1:])
		_ = w.Close()
	}
	for path, status := range answers {
		if got := <-status; got != http.StatusUnauthorized {
			t.Errorf("%s: status %d, want 401", path, got)
		}
	}
}

// postLate sends a request whose body arrives later. The channel receives the status of the response, 0 if there is none.
func (c *cluster) postLate(t *testing.T, entry, path string, body io.Reader) <-chan int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, c.proc(entry).baseURL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	status := make(chan int, 1)
	go func() {
		defer close(status)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	return status
}
