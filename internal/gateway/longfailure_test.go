package gateway

import (
	"net/http"
	"strconv"
	"testing"
)

// TestErrorAnswerAboveBufferLimitIsNotForwarded guards against an engine's error answer that is
// longer than maxBuffered and passed on truncated, with the engine's proof and a new length, as
// if it were complete.
func TestErrorAnswerAboveBufferLimitIsNotForwarded(t *testing.T) {
	f := newFixture(t)
	const size = maxBuffered + 1
	f.add("llm", "e", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		serveError(w, r)
		_, _ = w.Write(make([]byte, size-len("error")))
	})
	got := f.ask(pathStream)
	if got.status == http.StatusInternalServerError || len(got.body) >= maxBuffered {
		t.Errorf("status %d with %d bytes of an error answer of %d", got.status, len(got.body), size)
	}
}
