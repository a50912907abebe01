package gateway

import (
	"net/http"
	"strconv"
	"testing"
)

// An engine's failure that is longer than is held back was passed on cut, with the engine's proof
// and a length of its own, as if it were whole.
func TestFailureThatIsTooLong(t *testing.T) {
	f := newFixture(t)
	const size = maxBuffered + 1
	f.add("llm", "e", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		serveError(w, r)
		_, _ = w.Write(make([]byte, size-len("error")))
	})
	got := f.ask(pathStream)
	if got.status == http.StatusInternalServerError || len(got.body) >= maxBuffered {
		t.Errorf("status %d with %d bytes of a failure of %d", got.status, len(got.body), size)
	}
}
