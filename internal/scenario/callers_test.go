package scenario

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamResult is what one caller received of one stream, across reconnections.
type streamResult struct {
	mu sync.Mutex
	// prompt follows the number of tokens in the prompt.
	prompt    string
	lastID    string
	tokens    []string
	end       string
	cutError  string
	status    int
	requestID string
	outcome   string
	retry     string
	took      time.Duration
	done      chan struct{}
	stop      context.CancelFunc
}

func newStreamResult() *streamResult { return &streamResult{done: make(chan struct{})} }

func (a *streamResult) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tokens)
}

// sendStream sends a streaming request and reads the stream until it ends. If events
// were received earlier, it resumes the stream after the last event ID.
func (a *streamResult) sendStream(url string, out int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a.mu.Lock()
	a.stop, a.end = cancel, ""
	a.mu.Unlock()
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"out=%d%s"}]}`, modelName, out, a.prompt)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	if a.lastID != "" {
		r.Header.Set("Last-Event-ID", a.lastID)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		a.finish("broken")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.mu.Lock()
	a.requestID = resp.Header.Get("X-Request-Id")
	a.status, a.outcome, a.retry = resp.StatusCode, resp.Header.Get("Sparshore-Outcome"), resp.Header.Get("Retry-After")
	a.mu.Unlock()
	if resp.StatusCode != http.StatusOK {
		a.finish("refused")
		return
	}
	a.finish(a.read(resp.Body))
}

func (a *streamResult) finish(end string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = end
}

// read reads events until the stream ends. As for any reader of server-sent events, an event counts, and its ID
// is the last event ID, only once the empty line after it has arrived: a broken connection may end inside an
// event.
func (a *streamResult) read(body io.Reader) string {
	lines := bufio.NewScanner(body)
	id, data := "", ""
	for lines.Scan() {
		switch name, value, _ := strings.Cut(lines.Text(), ": "); name {
		case "id":
			id = value
		case "data":
			data = value
		case "":
			switch {
			case data == "[DONE]":
				return "whole"
			case strings.Contains(data, `"error"`):
				a.cutError = data
				return "cut"
			}
			a.dispatch(id, data)
			id, data = "", ""
		}
	}
	return "broken"
}

// dispatch records a whole event.
func (a *streamResult) dispatch(id, data string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id != "" {
		a.lastID = id
	}
	if t, ok := chunkToken(data); ok {
		a.tokens = append(a.tokens, t)
	}
}

// chunkToken extracts the token from a chunk. It doesn't unescape JSON, since the
// stand-in's tokens contain no characters that need it.
func chunkToken(chunk string) (string, bool) {
	_, rest, ok := strings.Cut(chunk, `"content":"`)
	if !ok {
		return "", false
	}
	text, _, _ := strings.Cut(rest, `"`)
	return strings.TrimSpace(text), true
}

// verifyTokens checks that the received tokens belong to one generation and arrived
// in order, without gaps or duplicates.
func (a *streamResult) verifyTokens() error {
	generation := ""
	for i, t := range a.tokens {
		g, n, _ := strings.Cut(t, ".")
		if generation != "" && g != generation {
			return fmt.Errorf("token %d is from generation %s, want %s", i+1, g, generation)
		}
		generation = g
		if n != strconv.Itoa(i+1) {
			return fmt.Errorf("token %d has number %s", i+1, n)
		}
	}
	return nil
}

// call is the result of one request to the service pool.
type call struct {
	status  int
	outcome string
	id      string
	retry   string
	err     error
	done    chan struct{}
}

// sendCall sends a non-repeatable call.
func sendCall(ctx context.Context, url, key string) *call {
	return send(ctx, http.MethodPost, url+"/services/ledger/tallies", key)
}

// queryCall queries the outcome of a call.
func queryCall(ctx context.Context, url, key string) *call {
	return send(ctx, http.MethodGet, url+"/services/ledger/_calls/"+key, "")
}

func send(ctx context.Context, method, url, key string) *call {
	c := &call{done: make(chan struct{})}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(`{"row":1}`))
	if err != nil {
		c.err = err
		return c
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		c.err = err
		return c
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	c.status, c.outcome = resp.StatusCode, resp.Header.Get("Sparshore-Outcome")
	c.id, c.retry = resp.Header.Get("Sparshore-Call"), resp.Header.Get("Retry-After")
	return c
}
