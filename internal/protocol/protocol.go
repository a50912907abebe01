// Package protocol is the seam between the gateway's decisions and the way
// requests, answers and engine orders are spelled on the wire. Its types hold
// what the gateway needs to know, in the product's words; a deployment fills the
// function fields.
package protocol

import (
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/link"
)

// Call is a caller's request.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the API key, empty if there is none.
	Key    string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	// Header holds what is passed on to upstreams.
	Header http.Header
	// Deadline is the steady time until which the caller waits; zero if it did
	// not say.
	Deadline time.Time
	// Prompt and MaxOutput are the sizes in tokens that the caller stated.
	Prompt    int
	MaxOutput int
	// Shared are the leading parts of the prompt that other requests may share, in order.
	Shared []PromptPart
	// Hint is the caller's guess of the output in tokens, 0 if there is none.
	Hint int
	// LastEvent is set when the caller goes on with a stream.
	LastEvent string
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	// ID is the same for the same text after the same parts.
	ID string
	// Tokens is its size.
	Tokens int
}

// Copy names the copy of a generation's memory.
type Copy struct {
	// Source is the IP:port of the engine the copy was made from.
	Source string
	// Handle names the copy at its source.
	Handle string
}

// Attempt is what an upstream is told besides the caller's request.
type Attempt struct {
	// Upstream is the name of the one that is meant; any other must not run the request.
	// A later start under that name may run what was meant for an earlier one, which
	// then never got it.
	Upstream string
	// Account is the name of the client account, empty on public routes.
	Account string
	// Deadline is the steady time at which the upstream is to give up.
	Deadline time.Time
	// From is the copy from which the generation goes on, nil for a new one.
	From *Copy
	// LastEvent is the last event that the caller has.
	LastEvent string
}

// Verdict is what an answer says about the request it belongs to.
type Verdict int

// The verdicts.
const (
	// Ran: the upstream worked on the request.
	Ran Verdict = iota
	// NotRun: the upstream states that it did not run the request.
	NotRun
	// WrongUpstream: another upstream has the address; the request was not run.
	WrongUpstream
)

// CopyResult is an engine's answer to an order to copy a generation's memory.
type CopyResult struct {
	Outcome CopyOutcome
	// Handle names the copy.
	Handle string
	// Events is the number of events the generation had made.
	Events int
}

// CopyOutcome tells how an order to copy ended.
type CopyOutcome int

// The outcomes of an order to copy.
const (
	// Copied: the target holds the memory.
	Copied CopyOutcome = iota
	// NoSuchRun: the generation has ended or is not there.
	NoSuchRun
	// CopyUnderWay: another order for the generation is not done yet.
	CopyUnderWay
	// NoRoom: the target has no room or cannot be reached.
	NoRoom
	// CopyFailed: the answer says nothing of the above.
	CopyFailed
)

// EngineState is what an engine says of itself, as it was some time before.
type EngineState struct {
	// Born is the Unix millisecond of its start, 0 if it does not say.
	Born int64
	// Leaving tells that the engine is about to leave.
	Leaving bool
	// Waiting is the number of requests that it has not let in.
	Waiting int
	// Unbegun is the number of those let in that have made nothing yet: their prompts
	// are being read.
	Unbegun int
}

// Limit is what an answer says of how much its upstream takes.
type Limit struct {
	// Named tells that it takes no more than Rate requests a second from all entries
	// together.
	Named bool
	Rate  float64
}

// Notice is what the head of an answer says of its upstream itself, whatever became of the request.
type Notice struct {
	// Leaving tells that the upstream is about to leave.
	Leaving bool
	// BackOffUntil is the steady time until which the upstream wants no requests from this
	// process; zero if it does not say.
	BackOffUntil time.Time
}

// Refusal is a final answer of the system's own.
type Refusal struct {
	Status int
	// Reason is for the caller's logs.
	Reason string
	// ComeBack is the steady time from which the caller may try again; zero for none.
	ComeBack time.Time
}

// Protocol spells requests, answers and orders.
type Protocol struct {
	// IDHeader is the header that names a request in answers.
	IDHeader string
	// Decode reads a caller's request; its body is not touched.
	Decode func(r *http.Request, now time.Time) Call
	// Forward returns the request for an upstream. The body is added by the caller.
	Forward func(c *Call, a Attempt, now time.Time) link.Request
	// Verdict reads what an upstream's answer says about the request.
	Verdict func(status int, h http.Header) Verdict
	// Complete reports whether the head of an answer marks an upstream's whole
	// answer that may be passed on as a success.
	Complete func(status int, h http.Header) bool
	// Limit reads what an upstream's answer says of its limit; an error tells that this
	// cannot be read.
	Limit func(h http.Header) (Limit, error)
	// Notice reads what an upstream's answer says of the upstream itself.
	Notice func(status int, h http.Header, now time.Time) Notice
	// ComeBack returns the steady time from which an upstream that refused a request wants
	// others again; zero if it does not say.
	ComeBack func(h http.Header, now time.Time) time.Time
	// PassHeader copies the headers of an upstream's answer for the caller.
	PassHeader func(from, to http.Header)
	// Refuse writes a refusal.
	Refuse func(w http.ResponseWriter, c *Call, r Refusal, now time.Time)
	// Copy returns the order to copy a generation's memory to the engine at
	// target; last stops the generation first.
	Copy func(call, target string, last bool) link.Request
	// CopyResult decodes the answer to such an order.
	CopyResult func(status int, body []byte) CopyResult
	// Release returns the order to give up a copy that nobody will use.
	Release func(handle string) link.Request
	// Report returns the question for an engine's state.
	Report func() link.Request
	// State decodes the answer.
	State func(status int, body []byte) (EngineState, error)
}
