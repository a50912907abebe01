// Package sidecar puts a server process in front of one upstream, and all requests to the upstream
// go through it. Server runs beside the upstream: it queues and admits generations, buffers their
// tokens until they are delivered, and runs a call that may not be repeated at most once. Client is
// the other end, with which entries start generations, receive their tokens and run calls.
package sidecar

import (
	"encoding/json"
	"net/http"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membership"
)

// The methods of the protocol between entry and sidecar.
const (
	methodGenerate = "sidecar.generate"
	methodResume   = "sidecar.resume"
	methodTokens   = "sidecar.tokens"
	methodAck      = "sidecar.ack"
	methodCancel   = "sidecar.cancel"
	methodInvoke   = "sidecar.invoke"
	methodSettle   = "sidecar.settle"
	methodDrain    = "sidecar.drain"
)

// generateParams starts a generation. Deadlines are Unix milliseconds.
type generateParams struct {
	Sub         int64           `json:"sub"`
	Request     string          `json:"request"`
	Incarnation string          `json:"incarnation"`
	Version     config.Version  `json:"version"`
	Account     string          `json:"account"`
	Model       string          `json:"model"`
	Path        string          `json:"path"`
	Body        json.RawMessage `json:"body"`
	Prompt      int             `json:"prompt"`
	MaxTokens   int             `json:"max_tokens,omitempty"`
	StartBy     int64           `json:"start_by"`
	Stamp       events.Stamp    `json:"stamp"`
}

// refusal says why nothing ran and when to retry.
type refusal struct {
	Reason  string `json:"reason"`
	RetryAt int64  `json:"retry_at,omitempty"`
	// Elsewhere is set when another upstream may accept the request.
	Elsewhere bool `json:"elsewhere,omitempty"`
}

type generateResult struct {
	Generation string          `json:"generation,omitempty"`
	Refused    *refusal        `json:"refused,omitempty"`
	Load       membership.Load `json:"load"`
	Stamp      events.Stamp    `json:"stamp"`
}

// tokensNote carries choices with consecutive offsets. First is the offset of the first one;
// offsets count from 1.
type tokensNote struct {
	Sub        int64             `json:"sub"`
	Generation string            `json:"generation"`
	First      int64             `json:"first"`
	Choices    []json.RawMessage `json:"choices,omitempty"`
	End        *endNote          `json:"end,omitempty"`
}

// endNote is the explicit end of a generation.
type endNote struct {
	Whole bool `json:"whole"`
	// Reason is empty for a whole generation.
	Reason string `json:"reason,omitempty"`
	// EndedIncarnation is the incarnation of the engine that ended while it ran the generation; empty if
	// none did.
	EndedIncarnation string `json:"ended_with,omitempty"`
	// Total is the number of offsets of the generation.
	Total int64 `json:"total"`
	// Output is the number of output tokens.
	Output int64 `json:"output"`
	// Usage is the engine's own token count, if it gave one.
	Usage json.RawMessage `json:"usage,omitempty"`
}

type ackNote struct {
	Sub  int64 `json:"sub"`
	Upto int64 `json:"upto"`
}

type cancelNote struct {
	Sub int64 `json:"sub"`
}

type resumeParams struct {
	Sub        int64  `json:"sub"`
	Generation string `json:"generation"`
	After      int64  `json:"after"`
	Account    string `json:"account"`
}

// invokeParams is one call to a plain service.
type invokeParams struct {
	Request    string         `json:"request"`
	ID         string         `json:"id"`
	Pool       string         `json:"pool"`
	Version    config.Version `json:"version"`
	Method     string         `json:"method"`
	Path       string         `json:"path"`
	Header     http.Header    `json:"header,omitempty"`
	Body       []byte         `json:"body,omitempty"`
	Repeatable bool           `json:"repeatable,omitempty"`
	StartBy    int64          `json:"start_by"`
}

// invokeResult is the reply to invoke and settle.
type invokeResult struct {
	Outcome Outcome      `json:"outcome"`
	Reason  string       `json:"reason,omitempty"`
	Status  int          `json:"status,omitempty"`
	Header  http.Header  `json:"header,omitempty"`
	Body    []byte       `json:"body,omitempty"`
	RetryAt int64        `json:"retry_at,omitempty"`
	Stamp   events.Stamp `json:"stamp"`
	// EndedIncarnation is the incarnation of the service that ended while it ran the call; empty if none
	// did.
	EndedIncarnation string `json:"ended_with,omitempty"`
	// Load is set only if the service accepts no more calls now.
	Load *membership.Load `json:"load,omitempty"`
}

type settleParams struct {
	Request string         `json:"request"`
	ID      string         `json:"id"`
	Pool    string         `json:"pool"`
	Version config.Version `json:"version"`
}

type drainParams struct {
	By string `json:"by"`
}
