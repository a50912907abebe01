package connlimit

import "net/http"

// responseWriter wraps the ResponseWriter of a request and records whether the response has
// started. A response that starts during a planned stop gets the header "Connection: close":
// without it, the caller would send its next request on a connection that is about to close.
type responseWriter struct {
	http.ResponseWriter
	limiter *Limiter
	started bool
}

// ResponseStarted reports whether the response has started. It returns true for a ResponseWriter of another
// type, for which this is unknown.
func ResponseStarted(w http.ResponseWriter) bool {
	rw, ok := w.(*responseWriter)
	return !ok || rw.started
}

// WriteHeader starts the response.
func (w *responseWriter) WriteHeader(status int) {
	w.start(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body. It starts the response with status 200 if WriteHeader was not
// called.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.start(http.StatusOK)
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the ResponseWriter of net/http, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) start(status int) {
	if w.started || status < http.StatusOK {
		return
	}
	w.started = true
	if w.limiter.isDraining() {
		w.Header().Set("Connection", "close")
	}
}
