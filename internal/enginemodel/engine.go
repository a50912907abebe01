// Package enginemodel is a model of a model engine that batches continuously:
// the time of a step grows with the batch, KV memory is finite, and when it
// runs out the engine itself preempts the newest stream of the lowest priority
// and computes it again later. It keeps no time: each step returns how long it
// took, so the same code runs on virtual time in the decision bench and on real
// time in the stand-in.
package enginemodel

import (
	"errors"
	"slices"
	"time"
)

// ErrDuplicate is returned for a stream identifier that is in use.
var ErrDuplicate = errors.New("stream identifier in use")

// ErrUnknown is returned for a stream identifier that is not in use.
var ErrUnknown = errors.New("no such stream")

// Settings describe an engine.
type Settings struct {
	// Blocks is the number of KV blocks.
	Blocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// MaxBatch is the most streams in one step.
	MaxBatch int
	// StepBase is the time of a step with an empty batch.
	StepBase time.Duration
	// StepPerStream is added for each stream in the batch.
	StepPerStream time.Duration
	// StepPerPrefill is added for each prompt token computed in the step.
	StepPerPrefill time.Duration
	// PrefillChunk is the most prompt tokens computed in one step.
	PrefillChunk int
}

// DefaultSettings returns an engine of the size used in the measurements:
// 32,000 tokens of KV memory and 48 ms a step at 120 streams.
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
	// Priority is honoured in the queue and in preemption; lower goes first.
	Priority int
	// Prefix holds the chained hashes of the prompt's full blocks.
	Prefix []uint64
	// Computed is the number of the prompt's tokens whose memory was copied from another
	// engine; they are computed anew only if the engine takes that memory away. Such a job
	// goes before all that wait.
	Computed int
}

type seq struct {
	job       Job
	order     int64
	generated int
	toCompute int
	blocks    int
}

func (q *seq) tokens() int { return q.job.Prompt + q.generated }

// Token is one output token of a step.
type Token struct {
	id   string
	n    int
	last bool
}

// ID returns the stream the token belongs to.
func (t Token) ID() string { return t.id }

// N returns the token's number in its stream, from 1.
func (t Token) N() int { return t.n }

// Last reports whether the stream has ended with it.
func (t Token) Last() bool { return t.last }

// Engine is the state of one engine.
type Engine struct {
	settings    Settings
	running     []*seq
	queue       []*seq
	paused      map[string]*seq
	used        int
	order       int64
	preemptions int
	tokens      []Token
	cache       prefixCache
}

// New returns an idle engine.
func New(settings Settings) *Engine {
	return &Engine{settings: settings, paused: map[string]*seq{}, cache: newPrefixCache()}
}

// Used returns the number of KV blocks held by streams.
func (e *Engine) Used() int { return e.used }

// Settings returns the engine's description.
func (e *Engine) Settings() Settings { return e.settings }

// Batch returns the number of streams in the next step.
func (e *Engine) Batch() int { return len(e.running) }

// Queued returns the number of streams waiting for memory in the engine.
func (e *Engine) Queued() int { return len(e.queue) }

// Preemptions returns how often the engine itself took a stream's memory.
func (e *Engine) Preemptions() int { return e.preemptions }

// Idle reports whether a step would do nothing.
func (e *Engine) Idle() bool { return len(e.running) == 0 && len(e.queue) == 0 }

// Submit queues a job.
func (e *Engine) Submit(j Job) error {
	if e.find(j.ID) != nil {
		return ErrDuplicate
	}
	e.order++
	e.enqueue(&seq{job: j, order: e.order})
	return nil
}

func (e *Engine) find(id string) *seq {
	is := func(q *seq) bool { return q.job.ID == id }
	if i := slices.IndexFunc(e.running, is); i >= 0 {
		return e.running[i]
	}
	if i := slices.IndexFunc(e.queue, is); i >= 0 {
		return e.queue[i]
	}
	return e.paused[id]
}

// Hold sets memory for a number of tokens aside, as for a copy that arrives; it returns
// false if there is none. Drop gives it back.
func (e *Engine) Hold(tokens int) bool {
	need := e.blocksFor(tokens)
	if e.used+need > e.settings.Blocks {
		return false
	}
	e.used += need
	return true
}

// Drop gives back what Hold set aside for a number of tokens.
func (e *Engine) Drop(tokens int) { e.used -= e.blocksFor(tokens) }

func (e *Engine) enqueue(q *seq) {
	if q.job.Computed > 0 {
		e.queue = slices.Insert(e.queue, 0, q)
		return
	}
	i, _ := slices.BinarySearchFunc(e.queue, q, func(a, b *seq) int {
		if a.job.Priority != b.job.Priority {
			return a.job.Priority - b.job.Priority
		}
		return int(a.order - b.order)
	})
	e.queue = slices.Insert(e.queue, i, q)
}

func (e *Engine) remove(q *seq) {
	is := func(o *seq) bool { return o == q }
	e.running = slices.DeleteFunc(e.running, is)
	e.queue = slices.DeleteFunc(e.queue, is)
	delete(e.paused, q.job.ID)
	e.used -= q.blocks
	q.blocks = 0
}

// Cancel ends a stream and frees its memory.
func (e *Engine) Cancel(id string) error {
	q := e.find(id)
	if q == nil {
		return ErrUnknown
	}
	e.remove(q)
	return nil
}

// Pause takes a stream out of the batch and frees its memory; Resume brings it
// back at the token where it stopped.
func (e *Engine) Pause(id string) error {
	q := e.find(id)
	if q == nil {
		return ErrUnknown
	}
	e.remove(q)
	e.paused[id] = q
	return nil
}

// Resume queues a paused stream again; its tokens so far are computed anew.
func (e *Engine) Resume(id string) error {
	q, ok := e.paused[id]
	if !ok {
		return ErrUnknown
	}
	delete(e.paused, id)
	e.enqueue(q)
	return nil
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.settings.BlockTokens - 1) / e.settings.BlockTokens
}

// Step runs one decode step and returns its time and the tokens it made. The
// slice is valid until the next step.
func (e *Engine) Step() (time.Duration, []Token) {
	e.tokens = e.tokens[:0]
	e.fill()
	e.grow()
	prefilled := e.prefill()
	batch := len(e.running)
	e.decode()
	took := e.settings.StepBase +
		time.Duration(batch)*e.settings.StepPerStream +
		time.Duration(prefilled)*e.settings.StepPerPrefill
	return took, e.tokens
}

// fill moves queued streams into the batch while memory lasts.
func (e *Engine) fill() {
	for len(e.queue) > 0 && len(e.running) < e.settings.MaxBatch {
		q := e.queue[0]
		need := e.blocksFor(q.tokens() + 1)
		if e.used+need > e.settings.Blocks && len(e.running) > 0 {
			return
		}
		e.queue = e.queue[1:]
		q.blocks = need
		e.used += need
		hit := e.cache.hit(q.job.Prefix) * e.settings.BlockTokens
		q.toCompute = max(1, q.tokens()-max(hit, q.job.Computed))
		copied := q.job.Computed > 0
		q.job.Computed = 0
		e.cache.store(q.job.Prefix)
		if copied {
			// The little that the copy lacks is computed before the prompts of others.
			e.running = slices.Insert(e.running, 0, q)
			continue
		}
		e.running = append(e.running, q)
	}
	e.cache.evict(e.settings.Blocks - e.used)
}

// grow opens the blocks that this step's tokens need, and preempts when there
// are none.
func (e *Engine) grow() {
	for i := 0; i < len(e.running); i++ {
		q := e.running[i]
		need := e.blocksFor(q.tokens()+1) - q.blocks
		for need > 0 && e.used+need > e.settings.Blocks && len(e.running) > 1 {
			v := e.newest()
			e.preempt(v)
			if v == q {
				need = 0
				i--
			} else if j := slices.Index(e.running, q); j >= 0 {
				i = j
			}
		}
		q.blocks += need
		e.used += need
	}
}

func (e *Engine) newest() *seq {
	return slices.MaxFunc(e.running, func(a, b *seq) int {
		if a.job.Priority != b.job.Priority {
			return a.job.Priority - b.job.Priority
		}
		return int(a.order - b.order)
	})
}

func (e *Engine) preempt(q *seq) {
	e.preemptions++
	e.remove(q)
	e.enqueue(q)
}

// prefill computes prompt tokens, at most a chunk a step.
func (e *Engine) prefill() int {
	left := e.settings.PrefillChunk
	for _, q := range e.running {
		n := min(left, q.toCompute)
		q.toCompute -= n
		left -= n
	}
	return e.settings.PrefillChunk - left
}

// decode makes one token for each stream whose prompt is computed.
func (e *Engine) decode() {
	kept := e.running[:0]
	for _, q := range e.running {
		if q.toCompute > 0 {
			kept = append(kept, q)
			continue
		}
		q.generated++
		last := q.generated >= q.job.Output
		e.tokens = append(e.tokens, Token{id: q.job.ID, n: q.generated, last: last})
		if last {
			e.used -= q.blocks
			continue
		}
		kept = append(kept, q)
	}
	clear(e.running[len(kept):])
	e.running = kept
}
