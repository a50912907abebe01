package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/jsonbound"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// relay forwards the stream of one generation to one caller.
type relay struct {
	entry  *Entry
	w      http.ResponseWriter
	req    callerRequest
	api    completionAPI
	source *sidecar.Stream
	first  sidecar.Part
	// run is the request in the quarantine, nil for a stream that another request started.
	run          *quarantine.Run
	startedAt    time.Time
	model        string
	created      int64
	includeUsage bool
	// offset is the last offset written to the caller, acked the last one acknowledged to the sidecar.
	offset int64
	acked  int64
}

func (e *Entry) newRelay(w http.ResponseWriter, r callerRequest, api completionAPI, opened openedStream) *relay {
	return &relay{entry: e, w: w, req: r, api: api, source: opened.stream, first: opened.first, startedAt: time.Now()}
}

type chunkBody struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   json.RawMessage   `json:"usage,omitempty"`
}

func (r *relay) chunk(choices []json.RawMessage, usage json.RawMessage) chunkBody {
	return chunkBody{
		ID: r.api.idPrefix + r.source.Generation(), Object: r.api.chunkObject,
		Created: r.created, Model: r.model, Choices: choices, Usage: usage,
	}
}

// next returns the next part of the stream. If the connection to the sidecar is lost, it resumes the same
// generation over a new connection.
func (r *relay) next(ctx context.Context) (sidecar.Part, error) {
	if p := r.first; p.First() > 0 {
		r.first = sidecar.Part{}
		r.reportPart(p)
		return p, nil
	}
	for {
		p, err := r.await(ctx)
		if err == nil || ctx.Err() != nil {
			r.reportPart(p)
			return p, err
		}
		generation := r.source.Generation()
		r.source.Close()
		s, err := r.entry.resume(ctx, generation, r.offset, r.req.account.Name)
		if err != nil {
			return sidecar.Part{}, err
		}
		r.entry.metrics.resumes.Inc()
		r.source = s
	}
}

// reportPart reports to the quarantine what a part of the stream tells about the request.
func (r *relay) reportPart(p sidecar.Part) {
	switch {
	case r.run == nil:
	case p.Whole():
		r.run.Served()
	case p.Ended():
		r.entry.reportCrash(r.run, p.EndedIncarnation())
	case time.Since(r.startedAt) > steadyAfter:
		r.run.EndTrial()
	}
}

// streamProbeDelay is the time without a part of the stream after which the sidecar is probed.
const streamProbeDelay = time.Second

// await waits for the next part, and probes the sidecar once if it takes longer than streamProbeDelay.
func (r *relay) await(ctx context.Context) (sidecar.Part, error) {
	probe := time.AfterFunc(streamProbeDelay, func() {
		if p, ok := r.entry.set.Upstream(upstreamOf(r.source.Generation())); ok {
			p.Probe()
		}
	})
	defer probe.Stop()
	return r.source.Next(ctx)
}

// stream forwards the generation as server-sent events.
func (r *relay) stream() {
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	r.w.WriteHeader(http.StatusOK)
	for {
		p, err := r.next(r.req.Context())
		switch {
		case r.req.Context().Err() != nil:
			r.handleDisconnect()
			return
		case err != nil:
			r.writeCut(err.Error())
			return
		}
		if err := r.forward(p); err != nil {
			r.handleDisconnect()
			return
		}
		if p.Ended() {
			r.finish(p)
			return
		}
	}
}

// forward writes the choices of a part, each as an event with its own ID.
func (r *relay) forward(p sidecar.Part) error {
	for i, c := range p.Choices() {
		b, err := json.Marshal(r.chunk([]json.RawMessage{c}, nil))
		if err != nil {
			return fmt.Errorf("chunk: %w", err)
		}
		id := eventID(r.source.Generation(), p.First()+int64(i))
		if _, err := fmt.Fprintf(r.w, "id: %s\ndata: %s\n\n", id, b); err != nil {
			return err
		}
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return err
	}
	r.offset = p.First() + int64(len(p.Choices())) - 1
	r.ack(p.Ended())
	return nil
}

// ackInterval is the number of offsets written between two acknowledgements. The sidecar keeps
// unacknowledged offsets, and keeping this many costs little.
const ackInterval = 16

// ack acknowledges the written offsets to the sidecar, after every ackInterval offsets and at the end.
func (r *relay) ack(ended bool) {
	if ended || r.offset-r.acked >= ackInterval {
		r.source.Ack(r.offset)
		r.acked = r.offset
	}
}

// finish writes the end of the stream: the usage and [DONE] if it is complete, otherwise an error.
func (r *relay) finish(p sidecar.Part) {
	r.source.Close()
	if !p.Whole() {
		r.writeCut(p.Reason())
		return
	}
	if r.includeUsage && p.Usage() != nil {
		if b, err := json.Marshal(r.chunk([]json.RawMessage{}, p.Usage())); err == nil {
			_, _ = fmt.Fprintf(r.w, "data: %s\n\n", b)
		}
	}
	_, _ = fmt.Fprint(r.w, "data: [DONE]\n\n")
	r.done()
}

// done records that the caller got the complete answer.
func (r *relay) done() {
	r.entry.metrics.requests.WithLabelValues("whole").Inc()
	r.entry.rec.Note(events.RequestEnded, r.req.id, "generation", r.source.Generation(), "offset", r.offset)
}

// writeCut ends the stream with an error event, which tells the caller that the stream is incomplete and the
// last offset that was sent.
func (r *relay) writeCut(reason string) {
	r.entry.metrics.requests.WithLabelValues("cut").Inc()
	r.entry.rec.Note(events.StreamCut, r.req.id, "generation", r.source.Generation(), "offset", r.offset, "reason", reason)
	body := errStreamCut.withMessage("the stream was cut: " + reason).body(sidecar.Unknown)
	body.Error.Offset = &r.offset
	if b, err := json.Marshal(body); err == nil {
		_, _ = fmt.Fprintf(r.w, "data: %s\n\n", b)
	}
}

// handleDisconnect handles a caller that has disconnected. The caller can resume the stream at any entry
// within Settings.DisconnectGrace. After that time the generation is canceled on the engine.
func (r *relay) handleDisconnect() {
	r.entry.rec.Note(events.CallerGone, r.req.id, "generation", r.source.Generation(), "offset", r.offset)
	r.entry.metrics.requests.WithLabelValues("caller-gone").Inc()
	s := r.source
	time.AfterFunc(r.entry.settings.DisconnectGrace, s.Cancel)
}

// collect collects the generation and writes the answer as one body.
func (r *relay) collect() {
	merged := map[string]any{}
	finish := json.RawMessage("null")
	var last sidecar.Part
	for !last.Ended() {
		p, err := r.next(r.req.Context())
		if r.req.Context().Err() != nil {
			r.handleDisconnect()
			return
		}
		if err != nil {
			r.writeFailure(err.Error())
			return
		}
		for _, c := range p.Choices() {
			if err := mergeChoice(merged, &finish, c); err != nil {
				r.writeFailure(err.Error())
				return
			}
		}
		r.offset = p.First() + int64(len(p.Choices())) - 1
		r.ack(p.Ended())
		last = p
	}
	r.source.Close()
	if !last.Whole() {
		r.writeFailure(last.Reason())
		return
	}
	r.answer(merged, finish, last.Usage())
}

// writeFailure writes an error instead of the answer to a request without streaming.
func (r *relay) writeFailure(reason string) {
	r.entry.metrics.requests.WithLabelValues("cut").Inc()
	r.entry.rec.Note(events.StreamCut, r.req.id, "reason", reason, "offset", r.offset)
	writeError(r.w, errStreamCut.withMessage("the answer could not be completed: "+reason), sidecar.Unknown, r.entry.now().Add(defaultRetryDelay), r.entry.now())
}

// answer writes the collected generation as one body.
func (r *relay) answer(merged map[string]any, finish, usage json.RawMessage) {
	choice := map[string]any{"index": 0, "finish_reason": finish, "logprobs": nil}
	if r.api == chatAPI {
		merged["role"] = "assistant"
		if _, ok := merged["content"]; !ok {
			merged["content"] = nil
		}
		choice["message"] = merged
	} else {
		choice["text"] = merged["text"]
	}
	b, err := json.Marshal(choice)
	if err != nil {
		r.writeFailure(err.Error())
		return
	}
	body := r.chunk([]json.RawMessage{b}, usage)
	body.Object = r.api.responseObject
	r.w.Header().Set(headerOutcome, string(sidecar.Done))
	writeJSON(r.w, http.StatusOK, body)
	r.done()
}

type choiceBody struct {
	Delta        map[string]any  `json:"delta"`
	Text         string          `json:"text"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

var errChoice = errors.New("malformed choice")

// mergeChoice adds a streamed choice to the fields collected so far and updates the finish reason.
func mergeChoice(into map[string]any, finish *json.RawMessage, raw json.RawMessage) error {
	var c choiceBody
	if err := jsonbound.Unmarshal(raw, len(raw), &c); err != nil {
		return fmt.Errorf("%w: %v", errChoice, err)
	}
	if len(c.FinishReason) > 0 && string(c.FinishReason) != "null" {
		*finish = c.FinishReason
	}
	if c.Text != "" {
		c.Delta = map[string]any{"text": c.Text}
	}
	mergeDelta(into, c.Delta)
	return nil
}

// mergeDelta merges a delta into the collected fields as the OpenAI stream format defines it: strings are
// concatenated, objects are merged, and list elements are merged by their index field.
func mergeDelta(into, delta map[string]any) {
	for k, v := range delta {
		switch v := v.(type) {
		case string:
			if repeatsValue(k) {
				into[k] = v
				break
			}
			text := joinedTextOf(into[k])
			text.b = append(text.b, v...)
			into[k] = text
		case map[string]any:
			old, ok := into[k].(map[string]any)
			if !ok {
				old = map[string]any{}
				into[k] = old
			}
			mergeDelta(old, v)
		case []any:
			into[k] = mergeList(into[k], v)
		case nil:
		default:
			into[k] = v
		}
	}
}

// joinedText collects the pieces of a string. Joining strings would copy all earlier pieces for each one.
type joinedText struct{ b []byte }

func joinedTextOf(old any) *joinedText {
	switch old := old.(type) {
	case *joinedText:
		return old
	case string:
		return &joinedText{[]byte(old)}
	}
	return &joinedText{}
}

// MarshalText implements encoding.TextMarshaler.
func (t *joinedText) MarshalText() ([]byte, error) { return t.b, nil }

// repeatsValue reports whether a field repeats its whole value in each delta, instead of continuing it.
func repeatsValue(field string) bool { return field == "role" || field == "type" || field == "id" }

// mergeList merges list elements by their index field, and appends elements without one.
func mergeList(old any, add []any) []any {
	list, _ := old.([]any)
	for _, v := range add {
		m, ok := v.(map[string]any)
		index, indexed := m["index"].(float64)
		if !ok || !indexed {
			list = append(list, v)
			continue
		}
		for len(list) <= int(index) && len(list) < maxMergedList {
			list = append(list, map[string]any{})
		}
		if element, ok := elementAt(list, int(index)); ok {
			mergeDelta(element, m)
		}
	}
	return list
}

// maxMergedList is the largest length to which an element's index can extend a list. Without a limit a wrong
// index from an engine could use up the memory.
const maxMergedList = 256

func elementAt(list []any, i int) (map[string]any, bool) {
	if i < 0 || i >= len(list) {
		return nil, false
	}
	m, ok := list[i].(map[string]any)
	return m, ok
}
