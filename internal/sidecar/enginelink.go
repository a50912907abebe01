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
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/jsonbound"
	"github.com/sparshore/sparshore/internal/sizebound"
)

// errEngine is wrapped by errors about requests to the engine and its answers.
var errEngine = errors.New("engine")

// engineLink is the HTTP client of the engine's API: OpenAI-compatible streams, the load page and
// fenced commands.
type engineLink struct {
	base   string
	client *http.Client
	fence  func() int64
	// onAnswer gets the header of an answer to a generation. sentAt is when its request was sent;
	// ok reports that the status is 200.
	onAnswer func(h http.Header, sentAt time.Time, ok bool)
	// onHeader, if set, gets status and header of each answer as soon as they arrive.
	onHeader func(status int, h http.Header)
	// largeEvents is the number of bytes beyond smallEventBytes that were read of the events of all streams.
	largeEvents atomic.Int64
}

const controlTimeout = 2 * time.Second

func newEngineLink(base string, fence func() int64) *engineLink {
	// Small buffers: there is a connection for each stream, and a token is about a hundred bytes.
	transport := &http.Transport{
		MaxIdleConnsPerHost: 512, IdleConnTimeout: idleTimeout,
		ReadBufferSize: streamBuffer, WriteBufferSize: streamBuffer,
	}
	return &engineLink{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: boundConnections(transport)}, fence: fence, onAnswer: ignoreAnswer}
}

// ignoreAnswer is the onAnswer of a link whose answers nobody observes.
func ignoreAnswer(http.Header, time.Time, bool) {}

// chunk is one event of the engine's stream.
type chunk struct {
	// number is the event's id field, 0 if the engine does not number its events.
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

type choiceFinish struct {
	FinishReason *string `json:"finish_reason"`
}

// open starts a stream on the engine.
func (e *engineLink) open(ctx context.Context, id string, p generateParams) (io.ReadCloser, error) {
	ctx, bound := withBound(ctx, maxEventWireBytes)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errEngine, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Fencing-Token", strconv.FormatInt(e.fence(), 10))
	sentAt := time.Now()
	resp, err := e.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errEngine, bound.wrap(err))
	}
	if e.onHeader != nil {
		e.onHeader(resp.StatusCode, resp.Header)
	}
	e.onAnswer(resp.Header, sentAt, resp.StatusCode == http.StatusOK)
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: status %d", errEngine, resp.StatusCode)
	}
	return &streamBody{ReadCloser: resp.Body, bound: bound, budget: &e.largeEvents}, nil
}

const (
	streamBuffer = 1 << 10
	// idleTimeout is how long an idle connection is kept after a burst.
	idleTimeout = 5 * time.Second
)

// errMalformed is wrapped for bytes that are not an event of an OpenAI stream.
var errMalformed = errors.New("malformed event")

// readChunks calls take for each event until the stream's [DONE] mark. A stream that stops without
// the mark is an error.
func readChunks(body io.Reader, take func(chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, streamBuffer), maxEventBytes)
	stream, _ := body.(*streamBody)
	number := int64(0)
	for lines.Scan() {
		if errors.Is(lines.Err(), sizebound.ErrTooLong) {
			// The Scanner returns the part of the line up to the bound.
			break
		}
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
			stream.eventRead()
		case "", "event", "retry":
		default:
			return fmt.Errorf("%w: field %.20q", errMalformed, name)
		}
	}
	return streamError(lines.Err())
}

// streamError returns the error for a stream that ended without [DONE], and with err.
func streamError(err error) error {
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return fmt.Errorf("%w: %w: line of more than %d bytes", errEngine, sizebound.ErrTooLong, maxEventBytes)
	case err != nil:
		return fmt.Errorf("%w: %w", errEngine, err)
	default:
		return fmt.Errorf("%w: stream ended without [DONE]", errEngine)
	}
}

func parseChunk(data string) (chunk, error) {
	var c engineChunk
	if err := jsonbound.UnmarshalEmbedded([]byte(data), maxEventBytes, &c); err != nil {
		return chunk{}, fmt.Errorf("%w: %v", errMalformed, err)
	}
	if len(c.Error) > 0 {
		return chunk{}, fmt.Errorf("%w: %.200s", errEngine, c.Error)
	}
	if len(c.Choices) == 0 {
		return chunk{usage: c.Usage}, nil
	}
	var h choiceFinish
	if err := jsonbound.Unmarshal(c.Choices[0], maxEventBytes, &h); err != nil {
		return chunk{}, fmt.Errorf("%w: %v", errMalformed, err)
	}
	return chunk{choice: c.Choices[0], last: h.FinishReason != nil}, nil
}

type commandBody struct {
	Fence  int64  `json:"fence"`
	Kind   string `json:"kind"`
	Stream string `json:"stream,omitempty"`
}

// sendCommand sends a fenced command about one stream.
func (e *engineLink) sendCommand(ctx context.Context, kind, stream string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	ctx, bound := withBound(ctx, maxControlBytes)
	b, err := json.Marshal(commandBody{Fence: e.fence(), Kind: kind, Stream: stream})
	if err != nil {
		return fmt.Errorf("%w: %v", errEngine, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/orders", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("%w: %v", errEngine, err)
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return fmt.Errorf("%w: command %s: %w", errEngine, kind, bound.wrap(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: command %s: status %d", errEngine, kind, resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("%w: command %s: %w", errEngine, kind, bound.wrap(err))
	}
	return nil
}

// engineLoad is the engine's report on its memory and streams, which lags behind.
type engineLoad struct {
	At          int64 `json:"at_unix_ms"`
	BlocksUsed  int   `json:"blocks_used"`
	Blocks      int   `json:"blocks"`
	BlockTokens int   `json:"block_tokens"`
	Running     int   `json:"running"`
	Preemptions int   `json:"preemptions"`
}

func (e *engineLink) load(ctx context.Context) (engineLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	ctx, bound := withBound(ctx, maxControlBytes)
	var l engineLoad
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/load", nil)
	if err != nil {
		return l, fmt.Errorf("%w: %v", errEngine, err)
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return l, fmt.Errorf("%w: load: %w", errEngine, bound.wrap(err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return l, fmt.Errorf("%w: load: %w", errEngine, bound.wrap(err))
	}
	if err := jsonbound.Unmarshal(body, maxControlBytes, &l); err != nil {
		return l, fmt.Errorf("%w: load: %v", errEngine, err)
	}
	return l, nil
}
