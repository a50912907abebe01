package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// shape is one of the two forms of the OpenAI completion API.
type shape struct {
	path        string
	idPrefix    string
	chunkObject string
	wholeObject string
	inputField  string
}

var (
	chatShape = shape{"/v1/chat/completions", "chatcmpl-", "chat.completion.chunk", "chat.completion", "messages"}
	textShape = shape{"/v1/completions", "cmpl-", "text_completion", "text_completion", "prompt"}
)

// completionRequest is what the entry itself reads of a caller's body; the
// rest goes to the engine as it is.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// bytesPerToken turns the size of the input into an estimate of its tokens.
const bytesPerToken = 4

func (c completionRequest) promptTokens() int {
	return (len(c.Messages)+len(c.Prompt))/bytesPerToken + 1
}

func (c completionRequest) maxTokens() int {
	n := 0
	for _, m := range []*int{c.MaxTokens, c.MaxCompletionTokens} {
		if m != nil {
			n = *m
		}
	}
	return n
}

func parseCompletion(body []byte, s shape) (completionRequest, *apiError) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return c, errBadBody.with(fmt.Sprintf("%s must not be a JSON %s", wrong.Field, wrong.Value)).about(wrong.Field)
		}
		return c, errBadBody.with("the request body is no JSON object: " + err.Error())
	}
	return c, c.check(s)
}

func (c completionRequest) check(s shape) *apiError {
	input := c.Messages
	if s.inputField == "prompt" {
		input = c.Prompt
	}
	switch {
	case c.Model == "":
		return errBadBody.with("you must provide a model").about("model")
	case len(input) == 0 || string(input) == "null":
		return errBadBody.with("you must provide " + s.inputField).about(s.inputField)
	case s.inputField == "messages" && input[0] != '[':
		return errBadBody.with("messages must be an array").about("messages")
	case c.N != nil && *c.N != 1:
		return errBadBody.with("n must be 1").about("n")
	case c.MaxTokens != nil && *c.MaxTokens < 1:
		return errBadBody.with("max_tokens must be at least 1").about("max_tokens")
	case c.MaxCompletionTokens != nil && *c.MaxCompletionTokens < 1:
		return errBadBody.with("max_completion_tokens must be at least 1").about("max_completion_tokens")
	default:
		return nil
	}
}

// engineBody is the caller's body with streaming and usage turned on.
func engineBody(body []byte) (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// job is one completion on its way.
type job struct {
	callerRequest
	shape   shape
	req     completionRequest
	pool    *config.Pool
	body    []byte
	gen     sidecar.Generate
	created int64
	run     *quarantine.Run
}

func (e *Entry) completions(s shape) callerHandler {
	return func(w http.ResponseWriter, r callerRequest) {
		if id := r.Header.Get("Last-Event-ID"); id != "" {
			e.resumeStream(w, r, s, id)
			return
		}
		j, apiErr := e.newJob(w, r, s)
		if apiErr != nil {
			e.refuse(w, r.id, apiErr, time.Time{})
			return
		}
		run, ok := e.enterRun(w, r, s.path, j.body)
		if !ok {
			return
		}
		defer run.Leave()
		j.run = run
		e.serve(w, j)
	}
}

func (e *Entry) newJob(w http.ResponseWriter, r callerRequest, s shape) (*job, *apiError) {
	body, apiErr := e.readBody(w, r.Request)
	if apiErr != nil {
		return nil, apiErr
	}
	req, apiErr := parseCompletion(body, s)
	if apiErr != nil {
		return nil, apiErr
	}
	model, ok := r.active.Config().Model(req.Model)
	if !ok {
		return nil, errNoModel.with(fmt.Sprintf("the model %q does not exist", req.Model))
	}
	pool, _ := r.active.Config().Pool(model.Pool)
	full, err := engineBody(body)
	if err != nil {
		return nil, errBadBody.with(err.Error())
	}
	return &job{
		callerRequest: r, shape: s, req: req, pool: pool, body: body, created: e.now().Unix(),
		gen: sidecar.Generate{
			Request: r.id, Version: r.active.Version(), Account: r.account.Name, Model: req.Model, Path: s.path,
			Body: full, Prompt: req.promptTokens(), MaxTokens: req.maxTokens(),
			StartBy: e.now().Add(e.settings.StartWithin),
		},
	}, nil
}

// refuse gives the final answer to a request that has not run; fields are for its log line.
func (e *Entry) refuse(w http.ResponseWriter, id string, a *apiError, retryAt time.Time, fields ...any) {
	e.rec.Note(events.RequestRefused, id, append([]any{"code", a.code}, fields...)...)
	e.met.requests.WithLabelValues(a.code).Inc()
	writeError(w, a, sidecar.NotRun, retryAt, e.now())
}

// serve tries upstreams until one yields a first piece, then relays it.
func (e *Entry) serve(w http.ResponseWriter, j *job) {
	at, failed := e.start(j)
	if failed != nil {
		if j.Context().Err() == nil {
			e.met.requests.WithLabelValues(failed.api.code).Inc()
			e.rec.Note(events.RequestRefused, j.id, "code", failed.api.code, "outcome", failed.outcome)
			writeError(w, failed.api, failed.outcome, failed.retryAt, e.now())
		}
		return
	}
	rl := e.newRelay(w, j.callerRequest, j.shape, at)
	rl.run = j.run
	rl.model, rl.created, rl.usage = j.req.Model, j.created, j.req.StreamOptions.IncludeUsage
	if j.req.Stream {
		rl.stream()
	} else {
		rl.whole()
	}
}

// started is a stream with its first piece at hand.
type started struct {
	stream *sidecar.Stream
	first  sidecar.Part
}

// failure is the final answer to a request that yields no stream.
type failure struct {
	api     *apiError
	outcome sidecar.Outcome
	retryAt time.Time
}

const overloadRetry = time.Second

// start sends the request to one upstream after another. It goes on only when
// it is proven that nothing reached the caller: the sidecar refused, or the
// generation ended before its first token.
func (e *Entry) start(j *job) (started, *failure) {
	e.budget(j.pool.Name).Request()
	fail := &failure{api: errNoUpstream, outcome: sidecar.NotRun, retryAt: e.retryAt(j.pool)}
	for i, p := range e.isolated(j.run, e.route(j.pool)) {
		if i >= e.settings.Attempts || !j.run.MaySend() || (i > 0 && !e.budget(j.pool.Name).Retry()) {
			break
		}
		j.run.SentTo(p.Identity().Upstream())
		if i > 0 {
			e.met.retries.Inc()
			e.rec.Note(events.RequestRetried, j.id, "upstream", p.Identity().Upstream())
		}
		at, err := e.attempt(j, p)
		if err == nil {
			return at, nil
		}
		next, again := e.failureOf(err, fail)
		fail = next
		if !again || j.Context().Err() != nil || fail.outcome != sidecar.NotRun && !j.run.MayRepeat() {
			break
		}
	}
	return started{}, fail
}

// errNoToken is returned when a generation ended before its first token.
var errNoToken = errors.New("generation ended before its first token")

func (e *Entry) attempt(j *job, p *membership.Peer) (started, error) {
	upstream := p.Identity().Upstream()
	e.noteSent(upstream)
	e.rec.Note(events.RequestRouted, j.id, "upstream", upstream)
	ctx, stop := e.watch(j.Context(), p)
	defer stop()
	sent := p.Identity()
	s, err := e.client.Generate(ctx, p, j.gen)
	if err != nil {
		e.sidecarLost(j.run, p, sent, err)
		return started{}, err
	}
	part, err := s.Next(ctx)
	switch {
	case err != nil:
		s.Cancel()
		e.sidecarLost(j.run, p, sent, err)
		return started{}, err
	case part.Ended() && !part.Whole() && len(part.Choices()) == 0:
		s.Close()
		e.lost(j.run, part.EndedWith())
		return started{}, fmt.Errorf("%w: %s", errNoToken, part.Reason())
	}
	return started{stream: s, first: part}, nil
}

// silence is how long an answer may take before the peer is probed.
const silence = 150 * time.Millisecond

// watch probes a peer whose answer is awaited and ends the context once it is
// suspected, so that the request moves on while the wait is still short.
func (e *Entry) watch(ctx context.Context, p *membership.Peer) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(silence):
			}
			if p.Suspected() {
				cancel()
				return
			}
			p.Probe()
		}
	}()
	return ctx, cancel
}

// failureOf turns an attempt's error into the answer to give if no other
// attempt follows, and says whether another one is safe.
func (e *Entry) failureOf(err error, before *failure) (*failure, bool) {
	var refusal *sidecar.Refusal
	switch {
	case errors.As(err, &refusal):
		f := &failure{api: errOverloaded.with(errOverloaded.message + ": " + refusal.Reason()), outcome: before.outcome, retryAt: refusal.RetryAt()}
		if f.retryAt.IsZero() {
			f.api, f.retryAt = errNoUpstream.with(refusal.Reason()), e.now().Add(overloadRetry)
		}
		return f, refusal.Elsewhere()
	case errors.Is(err, peer.ErrUnreachable):
		return before, true
	case errors.Is(err, errNoToken):
		// The engine may have worked on it, but nobody has seen a token.
		return &failure{api: errNoUpstream.with(err.Error()), outcome: sidecar.Unknown, retryAt: e.now().Add(overloadRetry)}, true
	default:
		return &failure{api: errLost, outcome: sidecar.Unknown, retryAt: e.now().Add(overloadRetry)}, true
	}
}

// eventID names an offset of a generation in the SSE id field.
func eventID(generation string, offset int64) string {
	return generation + ":" + strconv.FormatInt(offset, 10)
}

func parseEventID(id string) (generation string, offset int64, ok bool) {
	i := strings.LastIndexByte(id, ':')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.ParseInt(id[i+1:], 10, 64)
	return id[:i], n, err == nil && n >= 0
}

func upstreamOf(generation string) string {
	name, _, _ := strings.Cut(generation, "~")
	return name
}

// resumeStream goes on with a stream that this or another entry began.
func (e *Entry) resumeStream(w http.ResponseWriter, r callerRequest, s shape, lastID string) {
	generation, offset, ok := parseEventID(lastID)
	if !ok {
		e.refuse(w, r.id, errBadBody.with("Last-Event-ID names no stream offset").about("Last-Event-ID"), time.Time{})
		return
	}
	model := ""
	if body, apiErr := e.readBody(w, r.Request); apiErr == nil {
		var c completionRequest
		_ = json.Unmarshal(body, &c)
		model = c.Model
	}
	st, err := e.resume(r.Context(), generation, offset, r.account.Name)
	if err != nil {
		e.rec.Note(events.RequestRefused, r.id, "code", errNoStream.code, "error", err)
		writeError(w, errNoStream, sidecar.Unknown, time.Time{}, e.now())
		return
	}
	e.met.resumes.Inc()
	rl := e.newRelay(w, r, s, started{stream: st})
	rl.model, rl.created, rl.offset = model, e.now().Unix(), offset
	rl.stream()
}

const resumePause = 50 * time.Millisecond

// resume asks the sidecar named in the generation, again and again while it
// cannot be reached, up to the deadline.
func (e *Entry) resume(ctx context.Context, generation string, after int64, account string) (*sidecar.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.ResumeWithin)
	defer cancel()
	last := fmt.Errorf("%w: %s", peer.ErrUnreachable, upstreamOf(generation))
	for {
		if p, ok := e.set.Upstream(upstreamOf(generation)); ok {
			st, err := e.client.Resume(ctx, p, generation, after, account)
			if err == nil || errors.Is(err, sidecar.ErrNoGeneration) {
				return st, err
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return nil, last
		case <-time.After(resumePause):
		}
	}
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func modelOf(m *config.Model) modelBody {
	return modelBody{ID: m.Name, Object: "model", OwnedBy: m.Pool}
}

func (e *Entry) listModels(w http.ResponseWriter, r callerRequest) {
	data := []modelBody{}
	for _, m := range r.active.Config().Models() {
		data = append(data, modelOf(&m))
	}
	writeJSON(w, http.StatusOK, struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}{"list", data})
}

func (e *Entry) getModel(w http.ResponseWriter, r callerRequest) {
	m, ok := r.active.Config().Model(mux.Vars(r.Request)["model"])
	if !ok {
		writeError(w, errNoModel, sidecar.NotRun, time.Time{}, e.now())
		return
	}
	writeJSON(w, http.StatusOK, modelOf(m))
}
