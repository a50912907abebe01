package loadgen

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamEnd is how a stream ended for the caller.
type streamEnd int

const (
	endComplete streamEnd = iota + 1
	endCut
	endRefused
	endBroken
)

// ErrBreach is wrapped when a stream violates its guarantees: a token is repeated, missing, out of order
// or from another generation, or a refusal lacks Retry-After.
var ErrBreach = errors.New("stream guarantee violated")

// stream checks the response to one request across reconnections.
type stream struct {
	now func() time.Time
	// direct is set for engines, whose event IDs are not the generation and offset that entries send.
	direct bool

	generation      string
	offset          int64
	tag             string
	tokens          int64
	lastID          string
	started         time.Time
	lastTokenAt     time.Time
	firstTokenDelay time.Duration
	gaps            []time.Duration
	stallTime       time.Duration
	outcome         string
	breach          error
}

type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// read reads the body of one response. It returns endBroken if the connection ends before the stream.
func (s *stream) read(body io.Reader) streamEnd {
	lines := bufio.NewScanner(body)
	id := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			id = value
		case name == "data" && value == "[DONE]":
			return endComplete
		case name == "data":
			if e, done := s.handleEvent(id, value); done {
				return e
			}
			id = ""
		}
	}
	return endBroken
}

// handleEvent checks one event. The second result is true if the event ends the stream.
func (s *stream) handleEvent(id, data string) (streamEnd, bool) {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		s.recordBreach("event is not valid JSON: %v", err)
		return endBroken, true
	}
	if e.Error != nil {
		return endCut, true
	}
	if id != "" && !s.direct {
		s.checkID(id)
	}
	for _, c := range e.Choices {
		if text := c.Delta.Content + c.Text; text != "" {
			s.checkToken(text)
		}
	}
	return 0, false
}

// recordBreach keeps the first violation.
func (s *stream) recordBreach(format string, args ...any) {
	if s.breach == nil {
		s.breach = fmt.Errorf("%w: "+format, append([]any{ErrBreach}, args...)...)
	}
}

// checkID checks that all event IDs belong to one generation and that their offsets are consecutive.
func (s *stream) checkID(id string) {
	i := strings.LastIndexByte(id, ':')
	n, err := strconv.ParseInt(id[i+1:], 10, 64)
	if i < 0 || err != nil {
		s.recordBreach("event ID %q has no offset", id)
		return
	}
	if s.generation != "" && s.generation != id[:i] {
		s.recordBreach("generation changed from %s to %s", s.generation, id[:i])
	}
	if n != s.offset+1 {
		s.recordBreach("event offset is %d after %d", n, s.offset)
	}
	s.generation, s.offset, s.lastID = id[:i], n, id
}

// checkToken checks the tag and the number that the engine stand-in writes into the text of each token.
// This does not depend on the event IDs of the system under test.
func (s *stream) checkToken(text string) {
	now := s.now()
	if s.tokens == 0 {
		s.firstTokenDelay = now.Sub(s.started)
	} else {
		s.recordGap(now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	tag, number, ok := strings.Cut(strings.TrimSpace(text), ".")
	n, err := strconv.ParseInt(number, 10, 64)
	s.tokens++
	if !ok || err != nil {
		return
	}
	if s.tag != "" && tag != s.tag {
		s.recordBreach("token has tag %s in a stream with tag %s", tag, s.tag)
	}
	if n != s.tokens {
		s.recordBreach("token number %d received at position %d", n, s.tokens)
	}
	s.tag = tag
}

// stallThreshold is the gap between two tokens above which the excess counts as stall time.
const stallThreshold = 250 * time.Millisecond

func (s *stream) recordGap(d time.Duration) {
	s.gaps = append(s.gaps, d)
	if d > stallThreshold {
		s.stallTime += d - stallThreshold
	}
}

// send sends the request. If events were received before, it asks to resume after the last of them.
func (s *stream) send(ctx context.Context, client *http.Client, url, key, body string) (streamEnd, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return endBroken, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	if s.lastID != "" {
		r.Header.Set("Last-Event-ID", s.lastID)
	}
	resp, err := client.Do(r)
	if err != nil {
		return endBroken, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.outcome = resp.Header.Get("Sparshore-Outcome")
		if s.lastID == "" && s.outcome == "not-run" && resp.Header.Get("Retry-After") == "" && resp.StatusCode == http.StatusTooManyRequests {
			s.recordBreach("refusal with status 429 has no Retry-After header")
		}
		return endRefused, nil
	}
	return s.read(resp.Body), nil
}
