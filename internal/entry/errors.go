package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// headerOutcome is the header that tells whether the request ran: not-run, done or unknown.
const headerOutcome = "Sparshore-Outcome"

// apiError is an error in the format of the OpenAI API, with its HTTP status.
type apiError struct {
	status  int
	kind    string
	code    string
	param   string
	message string
}

// The errors that callers and operators can get.
var (
	errNotReady       = &apiError{http.StatusServiceUnavailable, "server_error", "not_ready", "", "this entry has no configuration yet"}
	errBadKey         = &apiError{http.StatusUnauthorized, "invalid_request_error", "invalid_api_key", "", "incorrect API key provided"}
	errConcurrency    = &apiError{http.StatusTooManyRequests, "rate_limit_error", "concurrency_limit", "", "the account has too many requests in flight"}
	errTooLarge       = &apiError{http.StatusRequestEntityTooLarge, "invalid_request_error", "body_too_large", "", "the request body is larger than this entry accepts"}
	errBadBody        = &apiError{http.StatusBadRequest, "invalid_request_error", "invalid_body", "", "the request body cannot be read"}
	errNoModel        = &apiError{http.StatusNotFound, "invalid_request_error", "model_not_found", "model", "the model does not exist"}
	errNoPool         = &apiError{http.StatusNotFound, "invalid_request_error", "pool_not_found", "", "the service does not exist"}
	errNoStream       = &apiError{http.StatusNotFound, "invalid_request_error", "stream_not_found", "", "the stream is not kept any more, or not from this offset on"}
	errNoRoute        = &apiError{http.StatusNotFound, "invalid_request_error", "not_found", "", "no such path"}
	errMethod         = &apiError{http.StatusMethodNotAllowed, "invalid_request_error", "method_not_allowed", "", "the path does not take this method"}
	errOverloaded     = &apiError{http.StatusTooManyRequests, "rate_limit_error", "overloaded", "", "no upstream can start the request in time"}
	errNoUpstream     = &apiError{http.StatusServiceUnavailable, "server_error", "no_upstream", "", "no upstream can take the request"}
	errConnectionLost = &apiError{http.StatusBadGateway, "server_error", "outcome_unknown", "", "the link to the upstream was lost; the request may have run"}
	errStreamCut      = &apiError{http.StatusBadGateway, "server_error", "stream_cut", "", "the stream was cut"}
	errNotRun         = &apiError{http.StatusServiceUnavailable, "server_error", "not_run", "", "the call was not run"}
	errQuarantined    = &apiError{http.StatusServiceUnavailable, "server_error", "request_held", "", quarantine.ErrQuarantined.Error()}
	errOnTrial        = &apiError{http.StatusServiceUnavailable, "server_error", "request_on_trial", "", quarantine.ErrOnTrial.Error()}
	errUnknown        = &apiError{http.StatusBadGateway, "server_error", "outcome_unknown", "", "it is not known whether the call ran"}
	errOperator       = &apiError{http.StatusUnauthorized, "invalid_request_error", "invalid_operator_token", "", "incorrect operator token"}
)

// withMessage returns a copy of the error with another message.
func (a *apiError) withMessage(message string) *apiError {
	c := *a
	c.message = message
	return &c
}

// withParam returns a copy of the error that names the faulty field or header of the request.
func (a *apiError) withParam(param string) *apiError {
	c := *a
	c.param = param
	return &c
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Outcome and Offset are extensions of the OpenAI format.
	Outcome sidecar.Outcome `json:"outcome,omitempty"`
	Offset  *int64          `json:"offset,omitempty"`
}

// body returns the JSON body of the error with the outcome of the request.
func (a *apiError) body(o sidecar.Outcome) errorBody {
	d := errorDetail{Message: a.message, Type: a.kind, Code: a.code, Outcome: o}
	if a.param != "" {
		d.Param = &a.param
	}
	return errorBody{Error: d}
}

// writeError writes the final error to a request. If retryAt is not zero, the answer has a Retry-After
// header.
func writeError(w http.ResponseWriter, a *apiError, o sidecar.Outcome, retryAt, now time.Time) {
	w.Header().Set(headerOutcome, string(o))
	if !retryAt.IsZero() {
		seconds := max(1, int(math.Ceil(retryAt.Sub(now).Seconds())))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, a.status, a.body(o))
}

func (e *Entry) notFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, errNoRoute, sidecar.NotRun, time.Time{}, e.now())
}

func (e *Entry) notAllowed(w http.ResponseWriter, _ *http.Request) {
	writeError(w, errMethod, sidecar.NotRun, time.Time{}, e.now())
}
