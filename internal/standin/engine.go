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

// EngineSettings configures an Engine.
type EngineSettings struct {
	// Model sets the memory size and step times of the simulated engine.
	Model enginemodel.Settings
	// Speed divides all step times; 1 is real time.
	Speed float64
	// LoadLag is the age of the load report that GET /load returns.
	LoadLag time.Duration
	// ChecksFencing makes the engine reject commands with a fencing token lower than the highest it has
	// received.
	ChecksFencing bool
	// Seed seeds the random output lengths.
	Seed uint64
}

// engineFaults are the faults to inject, set by PUT /control/faults.
type engineFaults struct {
	// Garbage makes a stream send bytes that are not valid SSE after this many tokens, and then end.
	Garbage int `json:"garbage"`
	// StopAfter closes the connection after this many tokens.
	StopAfter int `json:"stop_after"`
	// Repeat sends each token this many additional times.
	Repeat int `json:"repeat"`
	// Stall stops decoding of all streams.
	Stall bool `json:"stall"`
	// GapEvery drops every cache event whose sequence number is a multiple of it; 0 drops none.
	GapEvery int `json:"gap_every"`
	// Endless is the part of the response that requests with endlessMarker get without end: endlessHead or,
	// after the first token, endlessEvent.
	Endless string `json:"endless"`
}

// Engine is a simulated model engine with an OpenAI-compatible API. Run has to be running for requests to
// make progress.
type Engine struct {
	settings EngineSettings

	mu           sync.Mutex
	model        *enginemodel.Engine
	streams      map[string]*streamProgress
	wake         chan struct{}
	faults       engineFaults
	highestFence int64
	loadReports  []loadReport
	cacheEvents  []cacheEvent
	loadedModels map[string]bool
	counts       map[string]int
	nextID       int
}

// loadReport is the load of the engine at one moment, as GET /load returns it.
type loadReport struct {
	At          int64 `json:"at_unix_ms"`
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	BlocksUsed  int   `json:"blocks_used"`
	Blocks      int   `json:"blocks"`
	BlockTokens int   `json:"block_tokens"`
	Preemptions int   `json:"preemptions"`
}

// cacheEvent reports that a prefix block was stored in the cache or evicted from it.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Hash   uint64 `json:"hash"`
	Stored bool   `json:"stored"`
}

// NewEngine returns an idle engine.
func NewEngine(settings EngineSettings) *Engine {
	return &Engine{
		settings:     settings,
		model:        enginemodel.New(settings.Model),
		streams:      map[string]*streamProgress{},
		wake:         make(chan struct{}, 1),
		loadedModels: map[string]bool{},
		counts:       map[string]int{},
	}
}

// Handler serves the API of the engine and the control endpoints of its faults and counters.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/load", e.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/cache/events", e.getCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/orders", e.handleCommand).Methods(http.MethodPost)
	r.HandleFunc("/control/faults", e.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/control/counts", e.getCounts).Methods(http.MethodGet)
	return r
}

// Run executes decode steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		idle := e.model.Idle() || e.faults.Stall
		var stepTime time.Duration
		if !idle {
			var tokens []enginemodel.Token
			stepTime, tokens = e.model.Step()
			e.deliver(tokens)
		}
		e.recordReports()
		e.mu.Unlock()
		e.waitForNextStep(ctx, idle, time.Duration(float64(stepTime)/e.settings.Speed))
	}
}

const idlePoll = 20 * time.Millisecond

// waitForNextStep sleeps for the duration of the last step. An idle engine waits for a new request or
// command, at most idlePoll, so that its load reports stay current.
func (e *Engine) waitForNextStep(ctx context.Context, idle bool, stepTime time.Duration) {
	if !idle {
		time.Sleep(stepTime)
		return
	}
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-time.After(idlePoll):
	}
}

// deliver updates the progress of each stream that got a token and notifies its writer.
func (e *Engine) deliver(tokens []enginemodel.Token) {
	for _, t := range tokens {
		e.counts["tokens"]++
		if progress, ok := e.streams[t.ID()]; ok {
			progress.decoded, progress.finished = t.Position(), t.Last()
			progress.notify()
		}
	}
}

// reportHistory is the number of load reports kept. Cache events are cut to twice that number when they
// exceed four times that number.
const reportHistory = 512

// recordReports appends the current load report and the new cache events to their histories.
func (e *Engine) recordReports() {
	report := loadReport{
		At:          time.Now().UnixMilli(),
		Running:     e.model.BatchSize(),
		Queued:      e.model.Queued(),
		BlocksUsed:  e.model.UsedBlocks(),
		Blocks:      e.settings.Model.Blocks,
		BlockTokens: e.settings.Model.BlockTokens,
		Preemptions: e.model.Preemptions(),
	}
	e.loadReports = append(e.loadReports, report)
	if len(e.loadReports) > reportHistory {
		e.loadReports = e.loadReports[len(e.loadReports)-reportHistory:]
	}
	for _, c := range e.model.CacheEvents() {
		if e.faults.GapEvery > 0 && c.Seq()%uint64(e.faults.GapEvery) == 0 {
			continue
		}
		e.cacheEvents = append(e.cacheEvents, cacheEvent{Seq: c.Seq(), Hash: c.Hash(), Stored: c.Stored()})
	}
	if len(e.cacheEvents) > 4*reportHistory {
		e.cacheEvents = e.cacheEvents[len(e.cacheEvents)-2*reportHistory:]
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := time.Now().Add(-e.settings.LoadLag).UnixMilli()
	report := loadReport{At: limit, Blocks: e.settings.Model.Blocks, BlockTokens: e.settings.Model.BlockTokens}
	for _, p := range e.loadReports {
		if p.At <= limit {
			report = p
		}
	}
	writeJSON(w, report)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, c := range e.cacheEvents {
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
	e.counts["running"] = e.model.BatchSize() + e.model.Queued()
	e.counts["preemptions"] = e.model.Preemptions()
	writeJSON(w, e.counts)
}

// fencedCommand is a command to the engine with the fencing token of its sender.
type fencedCommand struct {
	Fence  int64  `json:"fence"`
	Kind   string `json:"kind"`
	Stream string `json:"stream"`
	Model  string `json:"model"`
}

func (e *Engine) handleCommand(w http.ResponseWriter, r *http.Request) {
	var command fencedCommand
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && command.Fence < e.highestFence {
		e.counts["fenced"]++
		http.Error(w, "fencing token is too old", http.StatusConflict)
		return
	}
	e.highestFence = max(e.highestFence, command.Fence)
	if err := e.execute(command); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	e.counts["order_"+command.Kind]++
	writeJSON(w, map[string]any{})
	e.notify()
}

var errUnknownCommand = errors.New("unknown order")

func (e *Engine) execute(command fencedCommand) error {
	switch command.Kind {
	case "cancel":
		e.endStream(command.Stream)
		return e.model.Cancel(command.Stream)
	case "pause":
		return e.model.Pause(command.Stream)
	case "resume":
		return e.model.Resume(command.Stream)
	case "load":
		e.loadedModels[command.Model] = true
		return nil
	case "unload":
		delete(e.loadedModels, command.Model)
		return nil
	default:
		return fmt.Errorf("%w: %s", errUnknownCommand, command.Kind)
	}
}

func (e *Engine) endStream(id string) {
	if progress, ok := e.streams[id]; ok {
		progress.cancelled = true
		progress.notify()
		delete(e.streams, id)
	}
}

// streamProgress is the state of one stream that the decode loop passes to the goroutine that writes the
// response.
type streamProgress struct {
	decoded   int
	finished  bool
	cancelled bool
	wake      chan struct{}
}

func newStreamProgress() *streamProgress { return &streamProgress{wake: make(chan struct{}, 1)} }

func (p *streamProgress) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// completionRequest holds the fields of an OpenAI completion request that the stand-in uses.
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

// outputLengthPattern finds the output length that a prompt asks for. Load generators and tests write it
// into the prompt to choose the length of each stream.
var outputLengthPattern = regexp.MustCompile(`out=(\d+)`)

// bytesPerToken is the length of text that counts as one prompt token.
const bytesPerToken = 4

func (e *Engine) newJob(id string, c completionRequest, priority int) enginemodel.Job {
	text := c.text()
	out := e.drawOutputLength(id)
	if m := outputLengthPattern.FindStringSubmatch(text); m != nil {
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
		Prefix:   PrefixHashes(text, e.settings.Model.BlockTokens),
	}
}

// PrefixHashes returns the chained hashes of the full blocks of a prompt: each hash covers its block
// and all blocks before it.
func PrefixHashes(text string, blockTokens int) []uint64 {
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
	medianOutput    = 60
	outputLogStdDev = 1.2
)

// drawOutputLength returns a log-normally distributed output length that depends only on the seed and the
// request ID.
func (e *Engine) drawOutputLength(id string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	rng := rand.New(rand.NewPCG(e.settings.Seed, h.Sum64()))
	return int(medianOutput * math.Exp(outputLogStdDev*rng.NormFloat64()))
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, progress, faults, err := e.submit(r, c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	defer e.releaseStream(id)
	endless := faults.endlessFor(c)
	if endless == endlessHead {
		e.sendEndlessHead(w)
		return
	}
	out := &chunkWriter{w: w, id: id, model: c.Model, promptTokens: c.promptTokens(), chat: c.Messages != nil, faults: faults}
	out.begin()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-progress.wake:
		}
		if endless == endlessEvent && e.hasDecoded(progress) {
			e.sendEndlessEvent(out)
			return
		}
		if !e.writeTokens(out, progress) {
			return
		}
	}
}

// writeTokens sends the tokens decoded since the last call. It returns false at the end of the stream.
func (e *Engine) writeTokens(out *chunkWriter, progress *streamProgress) bool {
	e.mu.Lock()
	decoded, finished, cancelled := progress.decoded, progress.finished, progress.cancelled
	e.mu.Unlock()
	for out.sent < decoded {
		if !out.writeToken(out.sent + 1) {
			return false
		}
	}
	if finished {
		out.finish()
	}
	return !finished && !cancelled
}

func (e *Engine) submit(r *http.Request, c completionRequest) (string, *streamProgress, engineFaults, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		e.nextID++
		id = "direct-" + strconv.Itoa(e.nextID)
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if err := e.model.Submit(e.newJob(id, c, priority)); err != nil {
		return "", nil, e.faults, fmt.Errorf("stream %s: %w", id, err)
	}
	progress := newStreamProgress()
	e.streams[id] = progress
	e.counts["submitted"]++
	e.notify()
	return id, progress, e.faults, nil
}

// releaseStream frees a stream whose response has ended. If it was still being decoded, it counts as
// cancelled.
func (e *Engine) releaseStream(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
	if e.model.Cancel(id) == nil {
		e.counts["cancelled"]++
	}
}

// StreamTag returns the prefix of all token texts of one stream. Readers use it to detect a token that
// belongs to another generation.
func StreamTag(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return fmt.Sprintf("%08x", h.Sum32())
}
