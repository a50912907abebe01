// Package protocol defines the interface between the gateway and the wire format of requests, answers and
// engine commands. Its types hold the decoded values that the gateway works with. A deployment implements
// the wire format in the function fields of Protocol.
package protocol

import (
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/link"
)

// Call is a caller's request.
type Call struct {
	// ID identifies this request as the caller sent it; the same request sent again has another ID.
	ID string
	// Key is the API key, empty if there is none.
	Key    string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	// Header holds the headers that are forwarded to upstreams.
	Header http.Header
	// Deadline is the steady time until which the caller waits; zero if the caller set none.
	Deadline time.Time
	// Prompt and MaxOutput are the sizes in tokens that the caller stated.
	Prompt    int
	MaxOutput int
	// Shared lists the leading parts of the prompt that other requests may share, in order.
	Shared []PromptPart
	// Hint is the expected output in tokens as the caller estimates it, 0 if there is no estimate.
	Hint int
	// LastEvent identifies the last event that the caller received; it is set when the caller resumes a stream.
	LastEvent string
	// Resumes is the ID of the request whose answer began the stream that the caller resumes; empty if the
	// caller does not state it.
	Resumes string
}

// ResumesStream reports whether the caller resumes a stream that an earlier answer began.
func (c *Call) ResumesStream() bool { return c.LastEvent != "" || c.Resumes != "" }

// PromptPart is a part of a prompt.
type PromptPart struct {
	// ID is equal for equal text that follows the same earlier parts.
	ID string
	// Tokens is the size of the part.
	Tokens int
}

// Copy identifies a copy of a generation's memory.
type Copy struct {
	// Source is the IP:port of the engine from which the copy was made.
	Source string
	// Handle identifies the copy at its source.
	Handle string
}

// Attempt holds the values that an upstream receives in addition to the caller's request.
type Attempt struct {
	// Upstream is the name of the intended upstream; an upstream with another name must not run the request.
	// A later incarnation may run a request that was meant for an earlier one, because the earlier one then
	// never received it.
	Upstream string
	// Account is the name of the client account, empty on public routes.
	Account string
	// Deadline is the steady time at which the upstream must abandon the request.
	Deadline time.Time
	// From is the copy from which the generation continues, nil for a new generation.
	From *Copy
	// LastEvent is the last event that the caller received.
	LastEvent string
}

// Verdict tells whether an upstream ran the request that it answered.
type Verdict int

// The verdicts.
const (
	// Ran: the upstream worked on the request.
	Ran Verdict = iota
	// NotRun: the upstream reports that it did not run the request.
	NotRun
	// WrongUpstream: another upstream uses the address, and it did not run the request.
	WrongUpstream
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case WrongUpstream:
		return "wrong upstream"
	default:
		return "ran"
	}
}

// CopyResult is an engine's answer to a copy command.
type CopyResult struct {
	Outcome CopyOutcome
	// Handle identifies the copy.
	Handle string
	// Events is the number of events that the generation had produced when the copy was made.
	Events int
}

// CopyOutcome tells how a copy command ended.
type CopyOutcome int

// The outcomes of a copy command.
const (
	// Copied: the target holds the memory.
	Copied CopyOutcome = iota
	// NoSuchGeneration: the engine does not run the generation, or it has ended.
	NoSuchGeneration
	// CopyInProgress: another copy command for the generation is still in progress.
	CopyInProgress
	// NoRoom: the target lacks memory or cannot be reached.
	NoRoom
	// CopyFailed: the answer reports none of the other outcomes.
	CopyFailed
)

// EngineState is the state that an engine reports about itself; it may already be out of date.
type EngineState struct {
	// StartedAt is the engine's start time in Unix milliseconds, 0 if the engine does not report it.
	StartedAt int64
	// Leaving is set when the engine is about to leave.
	Leaving bool
	// Waiting is the number of requests that the engine has not admitted yet.
	Waiting int
	// Prefilling is the number of admitted requests that have produced no output yet, because their prompts
	// are still being processed.
	Prefilling int
}

// Identity is what the answer to a health check tells about the upstream that gave it.
type Identity struct {
	// Name is the name of the upstream, empty if the answer does not state it.
	Name string
	// StartedAt is the upstream's start time in Unix milliseconds, 0 if the answer does not state it.
	StartedAt int64
	// Other is set if the answer comes from another upstream than the one that was asked.
	Other bool
}

// Limit is the rate limit that an upstream states in an answer.
type Limit struct {
	// Limited is set when the upstream accepts at most Rate requests per second from all entries together.
	Limited bool
	Rate    float64
}

// Notice is the information about the upstream itself in the head of an answer. It is valid whether the
// request succeeded or not.
type Notice struct {
	// Leaving is set when the upstream is about to leave.
	Leaving bool
	// BackOffUntil is the steady time until which the upstream asks this process to send no requests; zero
	// if the upstream asks for no backoff.
	BackOffUntil time.Time
}

// Refusal is a final answer that the gateway itself gives instead of an upstream.
type Refusal struct {
	Status int
	// Reason is a text for the caller's logs.
	Reason string
	// RetryAt is the steady time after which the caller may retry; zero if none is stated.
	RetryAt time.Time
}

// Protocol encodes and decodes requests, answers and engine commands.
type Protocol struct {
	// IDHeader is the name of the header that carries the request ID in answers.
	IDHeader string
	// Decode decodes a caller's request without reading its body.
	Decode func(r *http.Request, now time.Time) Call
	// Forward returns the request for an upstream; the calling code adds the body.
	Forward func(c *Call, a Attempt, now time.Time) link.Request
	// Verdict tells from an upstream's answer whether the upstream ran the request.
	Verdict func(status int, h http.Header) Verdict
	// Complete reports whether the head belongs to a complete answer of an upstream that may be forwarded
	// as a success.
	Complete func(status int, h http.Header) bool
	// Limit returns the rate limit that an upstream's answer states; it returns an error if the limit is
	// invalid.
	Limit func(h http.Header) (Limit, error)
	// Notice returns the information about the upstream itself in an answer.
	Notice func(status int, h http.Header, now time.Time) Notice
	// RetryAt returns the steady time after which an upstream that refused a request accepts requests
	// again; zero if the answer states no retry delay.
	RetryAt func(h http.Header, now time.Time) time.Time
	// CopyHeaders copies the headers of an upstream's answer that are forwarded to the caller.
	CopyHeaders func(from, to http.Header)
	// Refuse writes a refusal.
	Refuse func(w http.ResponseWriter, c *Call, r Refusal, now time.Time)
	// Copy returns the command to copy a generation's memory to the engine at target; if last is set, the
	// engine stops the generation first.
	Copy func(call, target string, last bool) link.Request
	// CopyResult decodes the answer to a copy command.
	CopyResult func(status int, body []byte) CopyResult
	// Release returns the command to release a copy that is no longer needed.
	Release func(handle string) link.Request
	// StateQuery returns the query for an engine's state.
	StateQuery func() link.Request
	// DecodeState decodes the answer to the query that StateQuery returns.
	DecodeState func(status int, body []byte) (EngineState, error)
	// HealthCheck returns the health check of an upstream at its service's path.
	HealthCheck func(upstream, path string) link.Request
	// DecodeIdentity decodes the answer to the health check of an upstream.
	DecodeIdentity func(upstream string, status int, h http.Header, body []byte) Identity
}
