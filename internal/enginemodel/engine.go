// Package enginemodel simulates a model engine with continuous batching: a step takes longer with a larger
// batch, KV memory is finite, and when it runs out the engine preempts the newest stream of the lowest
// priority and recomputes it later. Each step returns its duration instead of sleeping, so the decision
// bench runs the model in virtual time and the engine stand-in runs it in real time.
package enginemodel

import (
	"errors"
	"slices"
	"time"
)

// ErrDuplicate is returned for a stream ID that is in use.
var ErrDuplicate = errors.New("stream identifier in use")

// ErrUnknown is returned for a stream ID that is not in use.
var ErrUnknown = errors.New("no such stream")

// Settings configure an engine.
type Settings struct {
	// Blocks is the number of KV blocks.
	Blocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// MaxBatch is the maximum number of streams in one step.
	MaxBatch int
	// StepBase is the duration of a step with an empty batch.
	StepBase time.Duration
	// StepPerStream is added for each stream in the batch.
	StepPerStream time.Duration
	// StepPerPrefill is added for each prompt token computed in the step.
	StepPerPrefill time.Duration
	// PrefillChunk is the maximum number of prompt tokens computed in one step.
	PrefillChunk int
}

// DefaultSettings returns the settings of the engine that the measurements use: 32,000 tokens of KV memory,
// and steps of 48 ms with 120 streams.
func DefaultSettings() Settings {
	return Settings{
		Blocks:         2000,
		BlockTokens:    16,
		MaxBatch:       256,
		StepBase:       12 * time.Millisecond,
		StepPerStream:  300 * time.Microsecond,
		StepPerPrefill: 20 * time.Microsecond,
		PrefillChunk:   2048,
	}
}

// Job is a generation to run.
type Job struct {
	// ID is unique among the streams in the engine.
	ID string
	// Prompt and Output are numbers of tokens.
	Prompt int
	Output int
	// Priority orders the queue and the preemptions; streams with a lower value run first and are
	// preempted last.
	Priority int
	// Prefix holds the chained hashes of the full blocks of the prompt.
	Prefix []uint64
	// CopiedTokens is the number of prompt tokens whose KV memory was copied from another engine. They are
	// recomputed only after a preemption or pause that frees this memory. Such a job goes to the head
	// of the queue.
	CopiedTokens int
}

type stream struct {
	job       Job
	arrival   int64
	generated int
	toCompute int
	blocks    int
}

func (s *stream) tokens() int { return s.job.Prompt + s.generated }

// Token is one output token of a step.
type Token struct {
	id       string
	position int
	last     bool
}

// ID returns the ID of the stream.
func (t Token) ID() string { return t.id }

// Position returns the position of the token in its stream, starting at 1.
func (t Token) Position() int { return t.position }

// Last reports whether this is the last token of the stream.
func (t Token) Last() bool { return t.last }

// Engine is the simulated engine. It is not safe for concurrent use.
type Engine struct {
	settings    Settings
	running     []*stream
	queue       []*stream
	paused      map[string]*stream
	usedBlocks  int
	lastArrival int64
	preemptions int
	tokens      []Token
	cache       prefixCache
}

// New returns an idle engine.
func New(settings Settings) *Engine {
	return &Engine{settings: settings, paused: map[string]*stream{}, cache: newPrefixCache()}
}

// UsedBlocks returns the number of KV blocks in use by streams and by Reserve.
func (e *Engine) UsedBlocks() int { return e.usedBlocks }

// Settings returns the settings of the engine.
func (e *Engine) Settings() Settings { return e.settings }

// BatchSize returns the number of streams in the batch.
func (e *Engine) BatchSize() int { return len(e.running) }

// Queued returns the number of streams that wait for memory or for a place in the batch.
func (e *Engine) Queued() int { return len(e.queue) }

// Preemptions returns the number of preemptions by the engine. Pause does not count.
func (e *Engine) Preemptions() int { return e.preemptions }

// Idle reports whether there is no stream to run.
func (e *Engine) Idle() bool { return len(e.running) == 0 && len(e.queue) == 0 }

// Submit queues a job.
func (e *Engine) Submit(j Job) error {
	if e.find(j.ID) != nil {
		return ErrDuplicate
	}
	e.lastArrival++
	e.enqueue(&stream{job: j, arrival: e.lastArrival})
	return nil
}

func (e *Engine) find(id string) *stream {
	match := func(s *stream) bool { return s.job.ID == id }
	if i := slices.IndexFunc(e.running, match); i >= 0 {
		return e.running[i]
	}
	if i := slices.IndexFunc(e.queue, match); i >= 0 {
		return e.queue[i]
	}
	return e.paused[id]
}

// Reserve reserves KV memory for a number of tokens, such as for a copy in transfer from another engine. It
// returns false if there is not enough free memory. Release frees the reservation.
func (e *Engine) Reserve(tokens int) bool {
	need := e.blocksFor(tokens)
	if e.usedBlocks+need > e.settings.Blocks {
		return false
	}
	e.usedBlocks += need
	return true
}

// Release frees a reservation that Reserve made for the same number of tokens.
func (e *Engine) Release(tokens int) { e.usedBlocks -= e.blocksFor(tokens) }

// enqueue inserts a stream into the queue in the order of priority and arrival. Streams with copied
// memory go first.
func (e *Engine) enqueue(s *stream) {
	if s.job.CopiedTokens > 0 {
		e.queue = slices.Insert(e.queue, 0, s)
		return
	}
	i, _ := slices.BinarySearchFunc(e.queue, s, func(a, b *stream) int {
		if a.job.Priority != b.job.Priority {
			return a.job.Priority - b.job.Priority
		}
		return int(a.arrival - b.arrival)
	})
	e.queue = slices.Insert(e.queue, i, s)
}

// remove takes a stream out of the batch, the queue or the paused streams and frees its memory.
func (e *Engine) remove(s *stream) {
	match := func(o *stream) bool { return o == s }
	e.running = slices.DeleteFunc(e.running, match)
	e.queue = slices.DeleteFunc(e.queue, match)
	delete(e.paused, s.job.ID)
	e.usedBlocks -= s.blocks
	s.blocks = 0
}

// Cancel ends a stream and frees its memory.
func (e *Engine) Cancel(id string) error {
	s := e.find(id)
	if s == nil {
		return ErrUnknown
	}
	e.remove(s)
	return nil
}

// Pause removes a stream from the batch or the queue and frees its memory. Resume continues it at the
// token where it stopped.
func (e *Engine) Pause(id string) error {
	s := e.find(id)
	if s == nil {
		return ErrUnknown
	}
	e.remove(s)
	e.paused[id] = s
	return nil
}

// Resume queues a paused stream again. Its prompt and its tokens so far are recomputed.
func (e *Engine) Resume(id string) error {
	s, ok := e.paused[id]
	if !ok {
		return ErrUnknown
	}
	delete(e.paused, id)
	e.enqueue(s)
	return nil
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.settings.BlockTokens - 1) / e.settings.BlockTokens
}

// Step runs one decode step and returns its duration and its tokens. The slice is valid until the next
// step.
func (e *Engine) Step() (time.Duration, []Token) {
	e.tokens = e.tokens[:0]
	e.fillBatch()
	e.allocateBlocks()
	prefilled := e.prefill()
	batch := len(e.running)
	e.decode()
	duration := e.settings.StepBase +
		time.Duration(batch)*e.settings.StepPerStream +
		time.Duration(prefilled)*e.settings.StepPerPrefill
	return duration, e.tokens
}

// fillBatch moves queued streams into the batch while there is memory for them. An empty batch takes one
// stream regardless of memory, so that a stream larger than the memory does not block the queue.
func (e *Engine) fillBatch() {
	for len(e.queue) > 0 && len(e.running) < e.settings.MaxBatch {
		s := e.queue[0]
		need := e.blocksFor(s.tokens() + 1)
		if e.usedBlocks+need > e.settings.Blocks && len(e.running) > 0 {
			return
		}
		e.queue = e.queue[1:]
		s.blocks = need
		e.usedBlocks += need
		hit := e.cache.cachedBlocks(s.job.Prefix) * e.settings.BlockTokens
		s.toCompute = max(1, s.tokens()-max(hit, s.job.CopiedTokens))
		copied := s.job.CopiedTokens > 0
		s.job.CopiedTokens = 0
		e.cache.store(s.job.Prefix)
		if copied {
			// The few tokens that the copy lacks are computed before the prompts of other streams.
			e.running = slices.Insert(e.running, 0, s)
			continue
		}
		e.running = append(e.running, s)
	}
	e.cache.evict(e.settings.Blocks - e.usedBlocks)
}

// allocateBlocks allocates the blocks for the tokens of this step. It preempts streams when there are not
// enough free blocks.
func (e *Engine) allocateBlocks() {
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		need := e.blocksFor(s.tokens()+1) - s.blocks
		for need > 0 && e.usedBlocks+need > e.settings.Blocks && len(e.running) > 1 {
			victim := e.preemptionVictim()
			e.preempt(victim)
			if victim == s {
				need = 0
				i--
			} else if j := slices.Index(e.running, s); j >= 0 {
				i = j
			}
		}
		s.blocks += need
		e.usedBlocks += need
	}
}

// preemptionVictim returns the newest stream of the lowest priority in the batch.
func (e *Engine) preemptionVictim() *stream {
	return slices.MaxFunc(e.running, func(a, b *stream) int {
		if a.job.Priority != b.job.Priority {
			return a.job.Priority - b.job.Priority
		}
		return int(a.arrival - b.arrival)
	})
}

func (e *Engine) preempt(s *stream) {
	e.preemptions++
	e.remove(s)
	e.enqueue(s)
}

// prefill computes at most PrefillChunk prompt tokens and returns their number.
func (e *Engine) prefill() int {
	budget := e.settings.PrefillChunk
	for _, s := range e.running {
		n := min(budget, s.toCompute)
		s.toCompute -= n
		budget -= n
	}
	return e.settings.PrefillChunk - budget
}

// decode generates one token for each stream whose prompt is fully computed.
func (e *Engine) decode() {
	unfinished := e.running[:0]
	for _, s := range e.running {
		if s.toCompute > 0 {
			unfinished = append(unfinished, s)
			continue
		}
		s.generated++
		last := s.generated >= s.job.Output
		e.tokens = append(e.tokens, Token{id: s.job.ID, position: s.generated, last: last})
		if last {
			e.usedBlocks -= s.blocks
			continue
		}
		unfinished = append(unfinished, s)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
}
