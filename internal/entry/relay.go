package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// relay writes one generation to one caller.
type relay struct {
	entry  *Entry
	w      http.ResponseWriter
	req    callerRequest
	shape  shape
	source *sidecar.Stream
	first  sidecar.Part
	// run is nil for a stream that another request began.
	run     *quarantine.Run
	began   time.Time
	model   string
	created int64
	usage   bool
	// offset is the last offset written to the caller, acked the last one the
	// sidecar was told of.
	offset int64
	acked  int64
}

func (e *Entry) newRelay(w http.ResponseWriter, r callerRequest, s shape, at started) *relay {
	return &relay{entry: e, w: w, req: r, shape: s, source: at.stream, first: at.first, began: time.Now()}
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
		ID: r.shape.idPrefix + r.source.Generation(), Object: r.shape.chunkObject,
		Created: r.created, Model: r.model, Choices: choices, Usage: usage,
	}
}

// next returns the next piece; when the link to the sidecar breaks it goes on
// with the same generation over a new one.
func (r *relay) next(ctx context.Context) (sidecar.Part, error) {
	if p := r.first; p.First() > 0 {
		r.first = sidecar.Part{}
		r.noteRun(p)
		return p, nil
	}
	for {
		p, err := r.await(ctx)
		if err == nil || ctx.Err() != nil {
			r.noteRun(p)
			return p, err
		}
		generation := r.source.Generation()
		r.source.Close()
		s, err := r.entry.resume(ctx, generation, r.offset, r.req.account.Name)
		if err != nil {
			return sidecar.Part{}, err
		}
		r.entry.met.resumes.Inc()
		r.source = s
	}
}

// noteRun notes what a piece tells about the request.
func (r *relay) noteRun(p sidecar.Part) {
	switch {
	case r.run == nil:
	case p.Whole():
		r.run.Served()
	case p.Ended():
		r.entry.lost(r.run, p.EndedWith())
	case time.Since(r.began) > trialLasts:
		r.run.Steady()
	}
}

// longSilence is how long a stream may be silent before its sidecar is probed.
const longSilence = time.Second

// await waits for the next piece and probes the sidecar while it is silent.
func (r *relay) await(ctx context.Context) (sidecar.Part, error) {
	probe := time.AfterFunc(longSilence, func() {
		if p, ok := r.entry.set.Upstream(upstreamOf(r.source.Generation())); ok {
			p.Probe()
		}
	})
	defer probe.Stop()
	return r.source.Next(ctx)
}

// stream relays the generation as server-sent events.
func (r *relay) stream() {
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	r.w.WriteHeader(http.StatusOK)
	for {
		p, err := r.next(r.req.Context())
		switch {
		case r.req.Context().Err() != nil:
			r.gone()
			return
		case err != nil:
			r.cut(err.Error())
			return
		}
		if err := r.forward(p); err != nil {
			r.gone()
			return
		}
		if p.Ended() {
			r.end(p)
			return
		}
	}
}

// forward writes the choices of a piece, each under its own event identifier.
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

// ackEvery is how many offsets may be written before the sidecar hears of it.
// Until then it keeps them, which costs it little.
const ackEvery = 16

// ack acknowledges what was written, now and then and at the end.
func (r *relay) ack(ended bool) {
	if ended || r.offset-r.acked >= ackEvery {
		r.source.Ack(r.offset)
		r.acked = r.offset
	}
}

// end tells the caller that the stream is whole, or where and why it was cut.
func (r *relay) end(p sidecar.Part) {
	r.source.Close()
	if !p.Whole() {
		r.cut(p.Reason())
		return
	}
	if r.usage && p.Usage() != nil {
		if b, err := json.Marshal(r.chunk([]json.RawMessage{}, p.Usage())); err == nil {
			_, _ = fmt.Fprintf(r.w, "data: %s\n\n", b)
		}
	}
	_, _ = fmt.Fprint(r.w, "data: [DONE]\n\n")
	r.done()
}

func (r *relay) done() {
	r.entry.met.requests.WithLabelValues("whole").Inc()
	r.entry.rec.Note(events.RequestEnded, r.req.id, "generation", r.source.Generation(), "offset", r.offset)
}

// cut ends the stream with an error event: the caller knows that it is not
// whole, and up to which offset it has it.
func (r *relay) cut(reason string) {
	r.entry.met.requests.WithLabelValues("cut").Inc()
	r.entry.rec.Note(events.StreamCut, r.req.id, "generation", r.source.Generation(), "offset", r.offset, "reason", reason)
	body := errCut.with("the stream was cut: " + reason).body(sidecar.Unknown)
	body.Error.Offset = &r.offset
	if b, err := json.Marshal(body); err == nil {
		_, _ = fmt.Fprintf(r.w, "data: %s\n\n", b)
	}
}

// gone keeps the generation for a short time, in which the caller may come
// back through any entry, and then cancels it on the engine.
func (r *relay) gone() {
	r.entry.rec.Note(events.CallerGone, r.req.id, "generation", r.source.Generation(), "offset", r.offset)
	r.entry.met.requests.WithLabelValues("caller-gone").Inc()
	s := r.source
	time.AfterFunc(r.entry.settings.GoneGrace, s.Cancel)
}

// whole collects the generation and answers with one body.
func (r *relay) whole() {
	merged := map[string]any{}
	finish := json.RawMessage("null")
	var last sidecar.Part
	for !last.Ended() {
		p, err := r.next(r.req.Context())
		if r.req.Context().Err() != nil {
			r.gone()
			return
		}
		if err != nil {
			r.failed(err.Error())
			return
		}
		for _, c := range p.Choices() {
			if err := mergeChoice(merged, &finish, c); err != nil {
				r.failed(err.Error())
				return
			}
		}
		r.offset = p.First() + int64(len(p.Choices())) - 1
		r.ack(p.Ended())
		last = p
	}
	r.source.Close()
	if !last.Whole() {
		r.failed(last.Reason())
		return
	}
	r.answer(merged, finish, last.Usage())
}

func (r *relay) failed(reason string) {
	r.entry.met.requests.WithLabelValues("cut").Inc()
	r.entry.rec.Note(events.StreamCut, r.req.id, "reason", reason, "offset", r.offset)
	writeError(r.w, errCut.with("the answer could not be completed: "+reason), sidecar.Unknown, r.entry.now().Add(overloadRetry), r.entry.now())
}

func (r *relay) answer(merged map[string]any, finish, usage json.RawMessage) {
	choice := map[string]any{"index": 0, "finish_reason": finish, "logprobs": nil}
	if r.shape == chatShape {
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
		r.failed(err.Error())
		return
	}
	body := r.chunk([]json.RawMessage{b}, usage)
	body.Object = r.shape.wholeObject
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

// mergeChoice adds one streamed choice to the whole one.
func mergeChoice(into map[string]any, finish *json.RawMessage, raw json.RawMessage) error {
	var c choiceBody
	if err := json.Unmarshal(raw, &c); err != nil {
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

// mergeDelta joins strings, merges objects, and merges list elements by their
// index field, as the OpenAI stream format has it.
func mergeDelta(into, delta map[string]any) {
	for k, v := range delta {
		switch v := v.(type) {
		case string:
			if old, ok := into[k].(string); ok && !isName(k) {
				v = old + v
			}
			into[k] = v
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

// isName reports whether a field holds a name, which is repeated and not
// continued.
func isName(field string) bool { return field == "role" || field == "type" || field == "id" }

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
		if at, ok := elementAt(list, int(index)); ok {
			mergeDelta(at, m)
		}
	}
	return list
}

// maxMergedList bounds a list that an engine's index could blow up.
const maxMergedList = 256

func elementAt(list []any, i int) (map[string]any, bool) {
	if i < 0 || i >= len(list) {
		return nil, false
	}
	m, ok := list[i].(map[string]any)
	return m, ok
}
