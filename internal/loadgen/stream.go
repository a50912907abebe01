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

// end says how a stream ended for the caller.
type end int

const (
	endWhole end = iota + 1
	endCut
	endRefused
	endBroken
)

// ErrBreach is wrapped when a stream breaks a promise: a token repeated, left
// out, out of order, or from another generation.
var ErrBreach = errors.New("promise broken")

// stream follows one answer as its caller sees it, over reconnections.
type stream struct {
	now func() time.Time
	// direct is set for an engine, whose event identifiers are its own.
	direct bool

	generation string
	offset     int64
	tag        string
	tokens     int64
	lastID     string
	started    time.Time
	last       time.Time
	first      time.Duration
	gaps       []time.Duration
	stall      time.Duration
	outcome    string
	breach     error
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

// read follows the body of one response. It returns endBroken when the
// connection ended without the stream's own end.
func (s *stream) read(body io.Reader) end {
	lines := bufio.NewScanner(body)
	id := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			id = value
		case name == "data" && value == "[DONE]":
			return endWhole
		case name == "data":
			if e, done := s.take(id, value); done {
				return e
			}
			id = ""
		}
	}
	return endBroken
}

func (s *stream) take(id, data string) (end, bool) {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		s.fault("event is no JSON: %v", err)
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
			s.token(text)
		}
	}
	return 0, false
}

func (s *stream) fault(format string, args ...any) {
	if s.breach == nil {
		s.breach = fmt.Errorf("%w: "+format, append([]any{ErrBreach}, args...)...)
	}
}

// checkID checks that offsets of one generation come one after another.
func (s *stream) checkID(id string) {
	i := strings.LastIndexByte(id, ':')
	n, err := strconv.ParseInt(id[i+1:], 10, 64)
	if i < 0 || err != nil {
		s.fault("event identifier %q has no offset", id)
		return
	}
	if s.generation != "" && s.generation != id[:i] {
		s.fault("generation changed from %s to %s", s.generation, id[:i])
	}
	if n != s.offset+1 {
		s.fault("offset %d followed %d", n, s.offset)
	}
	s.generation, s.offset, s.lastID = id[:i], n, id
}

// token checks the engine stand-in's own mark and number in a token's text, so
// that the check does not rest on the system's word.
func (s *stream) token(text string) {
	now := s.now()
	if s.tokens == 0 {
		s.first = now.Sub(s.started)
	} else {
		s.gap(now.Sub(s.last))
	}
	s.last = now
	tag, number, ok := strings.Cut(strings.TrimSpace(text), ".")
	n, err := strconv.ParseInt(number, 10, 64)
	s.tokens++
	if !ok || err != nil {
		return
	}
	if s.tag != "" && tag != s.tag {
		s.fault("token of generation %s among those of %s", tag, s.tag)
	}
	if n != s.tokens {
		s.fault("token %d came as number %d", n, s.tokens)
	}
	s.tag = tag
}

// stallAfter is the gap between tokens above which a stream counts as stalled.
const stallAfter = 250 * time.Millisecond

func (s *stream) gap(d time.Duration) {
	s.gaps = append(s.gaps, d)
	if d > stallAfter {
		s.stall += d - stallAfter
	}
}

// ask sends the request, or asks to go on after the last event received.
func (s *stream) ask(ctx context.Context, client *http.Client, url, key, body string) (end, error) {
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
			s.fault("refusal without Retry-After")
		}
		return endRefused, nil
	}
	return s.read(resp.Body), nil
}
