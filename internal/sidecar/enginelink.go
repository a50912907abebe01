package sidecar

import (
	"bufio"
	"bytes"
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

// errEngine is wrapped by errors about the engine's answers.
var errEngine = errors.New("engine")

// engineLink speaks the engine's API: OpenAI-compatible streams, the load page
// and fenced orders.
type engineLink struct {
	base   string
	client *http.Client
	fence  func() int64
	// heard gets the heads of answers to generations: when each was asked for, and whether
	// it is no failure.
	heard func(h http.Header, asked time.Time, whole bool)
	// noticed, if set, gets the head of each answer as soon as it has come.
	noticed func(status int, h http.Header)
}

const orderTimeout = 2 * time.Second

func newEngineLink(base string, fence func() int64) *engineLink {
	// Small buffers: there is a connection for each stream, and a token is
	// about a hundred bytes.
	transport := &http.Transport{
		MaxIdleConnsPerHost: 512, IdleConnTimeout: idleConnection,
		ReadBufferSize: streamBuffer, WriteBufferSize: streamBuffer,
	}
	return &engineLink{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: transport}, fence: fence, heard: hearsNothing}
}

// hearsNothing is for links whose answers' heads nobody reads.
func hearsNothing(http.Header, time.Time, bool) {}

// chunk is one event of the engine's stream.
type chunk struct {
	// number is the event's own number, 0 if the engine numbers nothing.
	number int64
	choice json.RawMessage
	usage  json.RawMessage
	last   bool
}

type engineChunk struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   json.RawMessage   `json:"usage"`
	Error   json.RawMessage   `json:"error"`
}

type choiceHead struct {
	FinishReason *string `json:"finish_reason"`
}

// open starts a stream on the engine.
func (e *engineLink) open(ctx context.Context, id string, p generateParams) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errEngine, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Fencing-Token", strconv.FormatInt(e.fence(), 10))
	asked := time.Now()
	resp, err := e.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errEngine, err)
	}
	if e.noticed != nil {
		e.noticed(resp.StatusCode, resp.Header)
	}
	e.heard(resp.Header, asked, resp.StatusCode == http.StatusOK)
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: status %d", errEngine, resp.StatusCode)
	}
	return resp.Body, nil
}

const (
	maxEngineLine = 1 << 20
	streamBuffer  = 1 << 10
	// idleConnection is how long a connection is kept after a burst.
	idleConnection = 5 * time.Second
)

// errMalformed is returned for bytes that are no event of an OpenAI stream.
var errMalformed = errors.New("malformed event")

// readChunks calls take for each event until the stream's own end mark. A
// stream that stops without it is an error.
func readChunks(body io.Reader, take func(chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, streamBuffer), maxEngineLine)
	number := int64(0)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return fmt.Errorf("%w: id %q", errMalformed, value)
			}
			number = n
		case "data":
			if value == "[DONE]" {
				return nil
			}
			c, err := parseChunk(value)
			if err != nil {
				return err
			}
			c.number = number
			if err := take(c); err != nil {
				return err
			}
		case "", "event", "retry":
		default:
			return fmt.Errorf("%w: field %.20q", errMalformed, name)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w: %v", errEngine, err)
	}
	return fmt.Errorf("%w: stream ended without [DONE]", errEngine)
}

func parseChunk(data string) (chunk, error) {
	var c engineChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return chunk{}, fmt.Errorf("%w: %v", errMalformed, err)
	}
	if len(c.Error) > 0 {
		return chunk{}, fmt.Errorf("%w: %.200s", errEngine, c.Error)
	}
	if len(c.Choices) == 0 {
		return chunk{usage: c.Usage}, nil
	}
	var h choiceHead
	if err := json.Unmarshal(c.Choices[0], &h); err != nil {
		return chunk{}, fmt.Errorf("%w: %v", errMalformed, err)
	}
	return chunk{choice: c.Choices[0], last: h.FinishReason != nil}, nil
}

type orderBody struct {
	Fence  int64  `json:"fence"`
	Kind   string `json:"kind"`
	Stream string `json:"stream,omitempty"`
}

// order sends a fenced order about one stream.
func (e *engineLink) order(ctx context.Context, kind, stream string) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	b, err := json.Marshal(orderBody{Fence: e.fence(), Kind: kind, Stream: stream})
	if err != nil {
		return fmt.Errorf("%w: %v", errEngine, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/orders", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("%w: %v", errEngine, err)
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return fmt.Errorf("%w: order %s: %v", errEngine, kind, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: order %s: status %d", errEngine, kind, resp.StatusCode)
	}
	return nil
}

// engineLoad is the engine's own, late word on its memory.
type engineLoad struct {
	At          int64 `json:"at_unix_ms"`
	BlocksUsed  int   `json:"blocks_used"`
	Blocks      int   `json:"blocks"`
	BlockTokens int   `json:"block_tokens"`
	Running     int   `json:"running"`
	Preemptions int   `json:"preemptions"`
}

func (e *engineLink) load(ctx context.Context) (engineLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var l engineLoad
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/load", nil)
	if err != nil {
		return l, fmt.Errorf("%w: %v", errEngine, err)
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return l, fmt.Errorf("%w: load: %v", errEngine, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return l, fmt.Errorf("%w: load: %v", errEngine, err)
	}
	return l, nil
}
