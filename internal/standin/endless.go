package standin

import (
	"io"
	"net/http"
	"strings"
)

// The values of the endless fault.
const (
	endlessHead  = "head"
	endlessEvent = "event"
)

// endlessMarker in the prompt of a request makes the endless fault apply to it. The others are served.
const endlessMarker = "endless"

// endlessFor returns the part of the response that a request gets without end; empty for none.
func (f engineFaults) endlessFor(c completionRequest) string {
	if !strings.Contains(c.text(), endlessMarker) {
		return ""
	}
	return f.Endless
}

// sendEndlessHead sends header lines until the connection is closed.
func (e *Engine) sendEndlessHead(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"); err != nil {
		return
	}
	e.sendEndless(c, "X-Filler: "+strings.Repeat("x", 8<<10)+"\r\n")
}

// hasDecoded reports whether a stream has a token.
func (e *Engine) hasDecoded(progress *streamProgress) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress.decoded > 0
}

// sendEndlessEvent sends the first token of a stream, and then one event until the connection is closed. The stream
// may have been decoded to its end by then.
func (e *Engine) sendEndlessEvent(out *chunkWriter) {
	out.writeToken(1)
	if _, err := io.WriteString(out.w, "data: "); err != nil {
		return
	}
	e.sendEndless(out.w, strings.Repeat("x", 1<<10))
}

// sendEndless writes text over and over until the connection is closed, and counts what it does.
func (e *Engine) sendEndless(w io.Writer, text string) {
	block := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
	e.count("endless", 1)
	defer e.count("endless_closed", 1)
	for {
		n, err := w.Write(block)
		e.count("endless_bytes", n)
		if err != nil {
			return
		}
	}
}

func (e *Engine) count(name string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[name] += n
}
