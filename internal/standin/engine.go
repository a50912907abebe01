package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/sparshore/sparshore/internal/enginemodel"
)

// EngineSettings describe an engine stand-in.
type EngineSettings struct {
	// Model is the engine's memory and speed.
	Model enginemodel.Settings
	// Speed divides all step times; 1 is real time.
	Speed float64
	// LoadLag is how old the load page is.
	LoadLag time.Duration
	// ChecksOrders makes the engine refuse orders with an old fencing token.
	ChecksOrders bool
	// Seed draws the output lengths.
	Seed uint64
}

// engineFaults is what the engine was told to do wrong.
type engineFaults struct {
	// Garbage sends bytes that are no SSE after that many tokens.
	Garbage int `json:"garbage"`
	// StopAfter closes the connection after that many tokens.
	StopAfter int `json:"stop_after"`
	// Repeat sends each token that many more times.
	Repeat int `json:"repeat"`
	// Stall stops all decoding.
	Stall bool `json:"stall"`
	// GapEvery leaves out every n-th cache event.
	GapEvery int `json:"gap_every"`
}

// Engine is a stand-in for a model engine with the OpenAI-compatible API.
type Engine struct {
	settings EngineSettings

	mu      sync.Mutex
	model   *enginemodel.Engine
	streams map[string]*feed
	wake    chan struct{}
	faults  engineFaults
	fence   int64
	load    []loadPage
	cache   []cacheEvent
	loaded  map[string]bool
	counts  map[string]int
	nextID  int
}

// loadPage is the engine's report of its load.
type loadPage struct {
	At          int64 `json:"at_unix_ms"`
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	BlocksUsed  int   `json:"blocks_used"`
	Blocks      int   `json:"blocks"`
	BlockTokens int   `json:"block_tokens"`
	Preemptions int   `json:"preemptions"`
}

type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Hash   uint64 `json:"hash"`
	Stored bool   `json:"stored"`
}

// NewEngine returns an idle engine.
func NewEngine(settings EngineSettings) *Engine {
	return &Engine{
		settings: settings,
		model:    enginemodel.New(settings.Model),
		streams:  map[string]*feed{},
		wake:     make(chan struct{}, 1),
		loaded:   map[string]bool{},
		counts:   map[string]int{},
	}
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/load", e.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/cache/events", e.getCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/orders", e.order).Methods(http.MethodPost)
	r.HandleFunc("/control/faults", e.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/control/counts", e.getCounts).Methods(http.MethodGet)
	return r
}

// Run decodes until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		idle := e.model.Idle() || e.faults.Stall
		var took time.Duration
		if !idle {
			var tokens []enginemodel.Token
			took, tokens = e.model.Step()
			e.deliver(tokens)
		}
		e.report()
		e.mu.Unlock()
		e.pause(ctx, idle, time.Duration(float64(took)/e.settings.Speed))
	}
}

const idlePoll = 20 * time.Millisecond

func (e *Engine) pause(ctx context.Context, idle bool, took time.Duration) {
	if !idle {
		time.Sleep(took)
		return
	}
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-time.After(idlePoll):
	}
}

func (e *Engine) deliver(tokens []enginemodel.Token) {
	for _, t := range tokens {
		e.counts["tokens"]++
		if f, ok := e.streams[t.ID()]; ok {
			f.made, f.last = t.N(), t.Last()
			f.poke()
		}
	}
}

const keptReports = 512

func (e *Engine) report() {
	page := loadPage{
		At:          time.Now().UnixMilli(),
		Running:     e.model.Batch(),
		Queued:      e.model.Queued(),
		BlocksUsed:  e.model.Used(),
		Blocks:      e.settings.Model.Blocks,
		BlockTokens: e.settings.Model.BlockTokens,
		Preemptions: e.model.Preemptions(),
	}
	e.load = append(e.load, page)
	if len(e.load) > keptReports {
		e.load = e.load[len(e.load)-keptReports:]
	}
	for _, c := range e.model.CacheEvents() {
		if e.faults.GapEvery > 0 && c.Seq()%uint64(e.faults.GapEvery) == 0 {
			continue
		}
		e.cache = append(e.cache, cacheEvent{Seq: c.Seq(), Hash: c.Hash(), Stored: c.Stored()})
	}
	if len(e.cache) > 4*keptReports {
		e.cache = e.cache[len(e.cache)-2*keptReports:]
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := time.Now().Add(-e.settings.LoadLag).UnixMilli()
	page := loadPage{At: limit, Blocks: e.settings.Model.Blocks, BlockTokens: e.settings.Model.BlockTokens}
	for _, p := range e.load {
		if p.At <= limit {
			page = p
		}
	}
	writeJSON(w, page)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, c := range e.cache {
		if c.Seq > after {
			out = append(out, c)
		}
	}
	writeJSON(w, map[string]any{"events": out})
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f engineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts["running"] = e.model.Batch() + e.model.Queued()
	e.counts["preemptions"] = e.model.Preemptions()
	writeJSON(w, e.counts)
}

// engineOrder is a fenced order of the system to the engine.
type engineOrder struct {
	Fence  int64  `json:"fence"`
	Kind   string `json:"kind"`
	Stream string `json:"stream"`
	Model  string `json:"model"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksOrders && o.Fence < e.fence {
		e.counts["fenced"]++
		http.Error(w, "fencing token is too old", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	if err := e.obey(o); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	e.counts["order_"+o.Kind]++
	writeJSON(w, map[string]any{})
	e.poke()
}

var errUnknownOrder = errors.New("unknown order")

func (e *Engine) obey(o engineOrder) error {
	switch o.Kind {
	case "cancel":
		e.end(o.Stream)
		return e.model.Cancel(o.Stream)
	case "pause":
		return e.model.Pause(o.Stream)
	case "resume":
		return e.model.Resume(o.Stream)
	case "load":
		e.loaded[o.Model] = true
		return nil
	case "unload":
		delete(e.loaded, o.Model)
		return nil
	default:
		return fmt.Errorf("%w: %s", errUnknownOrder, o.Kind)
	}
}

func (e *Engine) end(id string) {
	if f, ok := e.streams[id]; ok {
		f.ended = true
		f.poke()
		delete(e.streams, id)
	}
}

// feed tells the writer of one stream how far decoding has come.
type feed struct {
	made  int
	last  bool
	ended bool
	wake  chan struct{}
}

func newFeed() *feed { return &feed{wake: make(chan struct{}, 1)} }

func (f *feed) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// completionRequest is the part of the OpenAI request that matters here.
type completionRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

func (c completionRequest) text() string {
	s := c.Prompt
	for _, m := range c.Messages {
		s += m.Content + "\n"
	}
	return s
}

func (c completionRequest) promptTokens() int { return len(c.text())/bytesPerToken + 1 }

var outputMark = regexp.MustCompile(`out=(\d+)`)

// bytesPerToken turns text into a number of prompt tokens.
const bytesPerToken = 4

func (e *Engine) job(id string, c completionRequest, priority int) enginemodel.Job {
	text := c.text()
	out := e.draw(id)
	if m := outputMark.FindStringSubmatch(text); m != nil {
		out, _ = strconv.Atoi(m[1])
	}
	if limit := max(c.MaxTokens, c.MaxCompletionTokens); limit > 0 {
		out = min(out, limit)
	}
	return enginemodel.Job{
		ID:       id,
		Prompt:   c.promptTokens(),
		Output:   max(1, out),
		Priority: priority,
		Prefix:   Prefix(text, e.settings.Model.BlockTokens),
	}
}

// Prefix returns the chained hashes of a prompt's full blocks.
func Prefix(text string, blockTokens int) []uint64 {
	h := fnv.New64a()
	size := blockTokens * bytesPerToken
	var out []uint64
	for len(text) >= size {
		_, _ = h.Write([]byte(text[:size]))
		out = append(out, h.Sum64())
		text = text[size:]
	}
	return out
}

const (
	medianOutput = 60
	outputSpread = 1.2
)

func (e *Engine) draw(id string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	rng := rand.New(rand.NewPCG(e.settings.Seed, h.Sum64()))
	return int(medianOutput * math.Exp(outputSpread*rng.NormFloat64()))
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, f, faults, err := e.submit(r, c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	defer e.forget(id)
	out := &chunkWriter{w: w, id: id, model: c.Model, prompt: c.promptTokens(), chat: c.Messages != nil, faults: faults}
	out.begin()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-f.wake:
		}
		if !e.write(out, f) {
			return
		}
	}
}

// write sends the tokens made since the last call; it returns false at the
// end of the stream.
func (e *Engine) write(out *chunkWriter, f *feed) bool {
	e.mu.Lock()
	made, last, ended := f.made, f.last, f.ended
	e.mu.Unlock()
	for out.sent < made {
		if !out.token(out.sent + 1) {
			return false
		}
	}
	if last {
		out.finish()
	}
	return !last && !ended
}

func (e *Engine) submit(r *http.Request, c completionRequest) (string, *feed, engineFaults, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		e.nextID++
		id = "direct-" + strconv.Itoa(e.nextID)
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if err := e.model.Submit(e.job(id, c, priority)); err != nil {
		return "", nil, e.faults, fmt.Errorf("stream %s: %w", id, err)
	}
	f := newFeed()
	e.streams[id] = f
	e.counts["submitted"]++
	e.poke()
	return id, f, e.faults, nil
}

func (e *Engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
	if e.model.Cancel(id) == nil {
		e.counts["cancelled"]++
	}
}

// Tag returns the mark that all tokens of one stream carry, so that a reader
// can tell tokens of different generations apart.
func Tag(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return fmt.Sprintf("%08x", h.Sum32())
}
