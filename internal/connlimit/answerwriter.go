package connlimit

import "net/http"

// answerWriter is an answer while it is written. One that begins in a stop says that it is the
// last on its connection: a caller that is not told sends its next request into the close.
type answerWriter struct {
	http.ResponseWriter
	limiter *Limiter
	begun   bool
}

// Begun reports whether an answer has begun, or may have where that is not known.
func Begun(w http.ResponseWriter) bool {
	a, ok := w.(*answerWriter)
	return !ok || a.begun
}

// WriteHeader begins the answer.
func (a *answerWriter) WriteHeader(status int) {
	a.begin(status)
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, and begins the answer if nothing has.
func (a *answerWriter) Write(b []byte) (int, error) {
	a.begin(http.StatusOK)
	return a.ResponseWriter.Write(b)
}

// Unwrap returns the server's own writer, for http.ResponseController.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *answerWriter) begin(status int) {
	if a.begun || status < http.StatusOK {
		return
	}
	a.begun = true
	if a.limiter.stops() {
		a.Header().Set("Connection", "close")
	}
}
