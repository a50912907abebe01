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
	"github.com/sparshore/sparshore/internal/jsonbound"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// completionAPI describes one of the two completion endpoints of the OpenAI API.
type completionAPI struct {
	path           string
	idPrefix       string
	chunkObject    string
	responseObject string
	inputField     string
}

var (
	chatAPI = completionAPI{"/v1/chat/completions", "chatcmpl-", "chat.completion.chunk", "chat.completion", "messages"}
	textAPI = completionAPI{"/v1/completions", "cmpl-", "text_completion", "text_completion", "prompt"}
)

// completionRequest holds the fields of a caller's body that the entry reads. The other fields go to the
// engine unchanged.
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

// bytesPerToken is the size of a token that promptTokens assumes to estimate the length of the input.
const bytesPerToken = 4

func (c completionRequest) promptTokens() int {
	return (len(c.Messages)+len(c.Prompt))/bytesPerToken + 1
}

// maxTokens returns the limit on output tokens, 0 if the request has none.
func (c completionRequest) maxTokens() int {
	n := 0
	for _, m := range []*int{c.MaxTokens, c.MaxCompletionTokens} {
		if m != nil {
			n = *m
		}
	}
	return n
}

func parseCompletion(body []byte, api completionAPI) (completionRequest, *apiError) {
	if err := jsonbound.CheckEmbedded(body, len(body)); err != nil {
		return completionRequest{}, errBadBody.withMessage("the request body: " + err.Error())
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return c, errBadBody.withMessage(fmt.Sprintf("%s must not be a JSON %s", wrong.Field, wrong.Value)).withParam(wrong.Field)
		}
		return c, errBadBody.withMessage("the request body is no JSON object: " + err.Error())
	}
	return c, c.check(api)
}

// check returns an error for a field that is missing or invalid.
func (c completionRequest) check(api completionAPI) *apiError {
	input := c.Messages
	if api.inputField == "prompt" {
		input = c.Prompt
	}
	switch {
	case c.Model == "":
		return errBadBody.withMessage("you must provide a model").withParam("model")
	case len(input) == 0 || string(input) == "null":
		return errBadBody.withMessage("you must provide " + api.inputField).withParam(api.inputField)
	case api.inputField == "messages" && input[0] != '[':
		return errBadBody.withMessage("messages must be an array").withParam("messages")
	case c.N != nil && *c.N != 1:
		return errBadBody.withMessage("n must be 1").withParam("n")
	case c.MaxTokens != nil && *c.MaxTokens < 1:
		return errBadBody.withMessage("max_tokens must be at least 1").withParam("max_tokens")
	case c.MaxCompletionTokens != nil && *c.MaxCompletionTokens < 1:
		return errBadBody.withMessage("max_completion_tokens must be at least 1").withParam("max_completion_tokens")
	default:
		return nil
	}
}

// engineBody returns the caller's body with streaming and usage reports turned on.
func engineBody(body []byte) (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// job is a completion request in progress.
type job struct {
	callerRequest
	api     completionAPI
	req     completionRequest
	pool    *config.Pool
	body    []byte
	gen     sidecar.Generate
	created int64
	run     *quarantine.Run
}

// completions returns the handler for a completion endpoint. A request with a Last-Event-ID header resumes
// a stream.
func (e *Entry) completions(api completionAPI) callerHandler {
	return func(w http.ResponseWriter, r callerRequest) {
		if id := r.Header.Get("Last-Event-ID"); id != "" {
			e.resumeStream(w, r, api, id)
			return
		}
		j, apiErr := e.newJob(w, &r, api)
		if apiErr != nil {
			e.refuse(w, r.id, apiErr, time.Time{})
			return
		}
		run, ok := e.enterQuarantine(w, r, api.path, j.body)
		if !ok {
			return
		}
		defer run.Leave()
		j.run = run
		e.serve(w, j)
	}
}

func (e *Entry) newJob(w http.ResponseWriter, r *callerRequest, api completionAPI) (*job, *apiError) {
	body, apiErr := e.readCallerBody(w, r)
	if apiErr != nil {
		return nil, apiErr
	}
	req, apiErr := parseCompletion(body, api)
	if apiErr != nil {
		return nil, apiErr
	}
	model, ok := r.active.Config().Model(req.Model)
	if !ok {
		return nil, errNoModel.withMessage(fmt.Sprintf("the model %q does not exist", req.Model))
	}
	pool, _ := r.active.Config().Pool(model.Pool)
	full, err := engineBody(body)
	if err != nil {
		return nil, errBadBody.withMessage(err.Error())
	}
	return &job{
		callerRequest: *r, api: api, req: req, pool: pool, body: body, created: e.now().Unix(),
		gen: sidecar.Generate{
			Request: r.id, Version: r.active.Version(), Account: r.account.Name, Model: req.Model, Path: api.path,
			Body: full, Prompt: req.promptTokens(), MaxTokens: req.maxTokens(),
			StartBy: e.now().Add(e.settings.StartWithin),
		},
	}, nil
}

// refuse writes the final error to a request that has not run. fields are added to its log event.
func (e *Entry) refuse(w http.ResponseWriter, id string, a *apiError, retryAt time.Time, fields ...any) {
	e.rec.Note(events.RequestRefused, id, append([]any{"code", a.code}, fields...)...)
	e.metrics.requests.WithLabelValues(a.code).Inc()
	writeError(w, a, sidecar.NotRun, retryAt, e.now())
}

// serve starts the completion on an upstream and relays its stream to the caller.
func (e *Entry) serve(w http.ResponseWriter, j *job) {
	opened, failed := e.start(j)
	if failed != nil {
		if j.Context().Err() == nil {
			e.metrics.requests.WithLabelValues(failed.apiErr.code).Inc()
			e.rec.Note(events.RequestRefused, j.id, "code", failed.apiErr.code, "outcome", failed.outcome)
			writeError(w, failed.apiErr, failed.outcome, failed.retryAt, e.now())
		}
		return
	}
	rl := e.newRelay(w, j.callerRequest, j.api, opened)
	rl.run = j.run
	rl.model, rl.created, rl.includeUsage = j.req.Model, j.created, j.req.StreamOptions.IncludeUsage
	if j.req.Stream {
		rl.stream()
	} else {
		rl.collect()
	}
}

// openedStream is a stream and the first part received from it.
type openedStream struct {
	stream *sidecar.Stream
	first  sidecar.Part
}

// failure is the final error to a request for which no stream was started.
type failure struct {
	apiErr  *apiError
	outcome sidecar.Outcome
	retryAt time.Time
}

// defaultRetryDelay is the retry delay that callers get if no upstream names one.
const defaultRetryDelay = time.Second

// start sends the request to one upstream after another until one of them starts a stream. It tries another
// upstream only while nothing has reached the caller: the sidecar was unreachable or refused the request,
// or the generation or the connection ended before the first token. A request that may have run is sent
// again only if the quarantine permits it.
func (e *Entry) start(j *job) (openedStream, *failure) {
	e.retryBudget(j.pool.Name).Request()
	fail := &failure{apiErr: errNoUpstream, outcome: sidecar.NotRun, retryAt: e.retryAt(j.pool)}
	for i, p := range e.isolatePeers(j.run, e.route(j.pool)) {
		if i >= e.settings.Attempts || !j.run.MaySend() || (i > 0 && !e.retryBudget(j.pool.Name).Retry()) {
			break
		}
		j.run.SentTo(p.Identity().Upstream())
		if i > 0 {
			e.metrics.retries.Inc()
			e.rec.Note(events.RequestRetried, j.id, "upstream", p.Identity().Upstream())
		}
		opened, err := e.attempt(j, p)
		if err == nil {
			return opened, nil
		}
		next, retryable := e.classifyFailure(err, fail)
		fail = next
		if !retryable || j.Context().Err() != nil || fail.outcome != sidecar.NotRun && !j.run.MayRepeat() {
			break
		}
	}
	return openedStream{}, fail
}

// errNoToken is returned when a generation ended before its first token.
var errNoToken = errors.New("generation ended before its first token")

// attempt sends the request to one upstream and waits for the first part of the stream.
func (e *Entry) attempt(j *job, p *membership.Peer) (openedStream, error) {
	upstream := p.Identity().Upstream()
	e.noteSent(upstream)
	e.rec.Note(events.RequestRouted, j.id, "upstream", upstream)
	ctx, stop := e.cancelWhenSuspected(j.Context(), p)
	defer stop()
	sentTo := p.Identity()
	s, err := e.client.Generate(ctx, p, j.gen)
	if err != nil {
		e.reportLostSidecar(j.run, p, sentTo, err)
		return openedStream{}, err
	}
	part, err := s.Next(ctx)
	switch {
	case err != nil:
		s.Cancel()
		e.reportLostSidecar(j.run, p, sentTo, err)
		return openedStream{}, err
	case part.Ended() && !part.Whole() && len(part.Choices()) == 0:
		s.Close()
		e.reportCrash(j.run, part.EndedIncarnation())
		return openedStream{}, fmt.Errorf("%w: %s", errNoToken, part.Reason())
	}
	return openedStream{stream: s, first: part}, nil
}

// probeInterval is the time between probes of a peer while a request waits for its answer.
const probeInterval = 150 * time.Millisecond

// cancelWhenSuspected returns a context that is canceled once the failure detector suspects p, so that a
// request that waits for p can soon try another upstream. It probes p until then.
func (e *Entry) cancelWhenSuspected(ctx context.Context, p *membership.Peer) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(probeInterval):
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

// classifyFailure returns the failure to report if no other attempt follows the one that failed with err, and
// whether another attempt is useful. previous is the failure of the earlier
// attempts.
func (e *Entry) classifyFailure(err error, previous *failure) (*failure, bool) {
	var refusal *sidecar.Refusal
	switch {
	case errors.As(err, &refusal):
		f := &failure{apiErr: errOverloaded.withMessage(errOverloaded.message + ": " + refusal.Reason()), outcome: previous.outcome, retryAt: refusal.RetryAt()}
		if f.retryAt.IsZero() {
			f.apiErr, f.retryAt = errNoUpstream.withMessage(refusal.Reason()), e.now().Add(defaultRetryDelay)
		}
		return f, refusal.Elsewhere()
	case errors.Is(err, peer.ErrUnreachable):
		return previous, true
	case errors.Is(err, errNoToken):
		// The engine may have processed the request, but no token has reached the caller.
		return &failure{apiErr: errNoUpstream.withMessage(err.Error()), outcome: sidecar.Unknown, retryAt: e.now().Add(defaultRetryDelay)}, true
	default:
		return &failure{apiErr: errConnectionLost, outcome: sidecar.Unknown, retryAt: e.now().Add(defaultRetryDelay)}, true
	}
}

// eventID returns the SSE event ID of an offset in a generation.
func eventID(generation string, offset int64) string {
	return generation + ":" + strconv.FormatInt(offset, 10)
}

// parseEventID splits an SSE event ID into generation and offset.
func parseEventID(id string) (generation string, offset int64, ok bool) {
	i := strings.LastIndexByte(id, ':')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.ParseInt(id[i+1:], 10, 64)
	return id[:i], n, err == nil && n >= 0
}

// upstreamOf returns the upstream that runs a generation, whose name precedes the first ~ of its ID.
func upstreamOf(generation string) string {
	name, _, _ := strings.Cut(generation, "~")
	return name
}

// resumeStream resumes a stream that this entry or another one started.
func (e *Entry) resumeStream(w http.ResponseWriter, r callerRequest, api completionAPI, lastID string) {
	generation, offset, ok := parseEventID(lastID)
	if !ok {
		e.refuse(w, r.id, errBadBody.withMessage("Last-Event-ID names no stream offset").withParam("Last-Event-ID"), time.Time{})
		return
	}
	model := ""
	if body, apiErr := e.readBody(w, r.Request); apiErr == nil {
		c, _ := parseCompletion(body, api)
		model = c.Model
	}
	if apiErr := r.authenticate(e.activeConfig()); apiErr != nil {
		e.refuse(w, r.id, apiErr, time.Time{})
		return
	}
	st, err := e.resume(r.Context(), generation, offset, r.account.Name)
	if err != nil {
		e.rec.Note(events.RequestRefused, r.id, "code", errNoStream.code, "error", err)
		writeError(w, errNoStream, sidecar.Unknown, time.Time{}, e.now())
		return
	}
	e.metrics.resumes.Inc()
	rl := e.newRelay(w, r, api, openedStream{stream: st})
	rl.model, rl.created, rl.offset = model, e.now().Unix(), offset
	rl.stream()
}

// sidecarRetryDelay is the time between attempts to reach the sidecar that runs a generation or a call.
const sidecarRetryDelay = 50 * time.Millisecond

// resume reopens the stream of a generation after an offset, at the sidecar that runs it. It retries for at
// most Settings.ResumeWithin, unless the sidecar answers that it does not have the generation.
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
		case <-time.After(sidecarRetryDelay):
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
