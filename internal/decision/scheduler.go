// Package decision schedules the generations of one engine while the lengths of their answers
// are unknown: it decides which requests start, wait or are refused, and which streams are
// paused when memory runs short. internal/sidecar calls it for a live engine, internal/bench
// compares it with other policies, and internal/ctl explains policies with it. It has no clock,
// network or goroutines of its own: the caller reports what happened and carries out what
// Decide returns.
package decision

import (
	"math"
	"slices"
	"time"
)

// Kind is the kind of an action.
type Kind int

// The kinds of actions.
const (
	Admit Kind = iota + 1
	Refuse
	Pause
	Resume
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"none", "admit", "refuse", "pause", "resume"}[k]
}

// Action is a decision about one generation.
type Action struct {
	kind    Kind
	id      string
	reason  string
	retryAt time.Time
}

// Kind returns the kind of the action.
func (a Action) Kind() Kind { return a.kind }

// ID returns the ID of the generation.
func (a Action) ID() string { return a.id }

// Reason returns the reason in a word or two.
func (a Action) Reason() string { return a.reason }

// RetryAt returns when the caller of a refused generation may retry.
func (a Action) RetryAt() time.Time { return a.retryAt }

// Request describes a generation on arrival.
type Request struct {
	// ID is unique among the generations the scheduler holds.
	ID string
	// Account is the client account that is charged.
	Account string
	// Weight is the weight of the account in fair queueing; 0 counts as 1.
	Weight float64
	// Class names the estimate of lengths that applies; it comes from the policy.
	Class string
	// Rank orders the queue, lower first; it comes from the policy.
	Rank float64
	// GiveWay multiplies the cost of pausing this stream; 0 counts as 1.
	GiveWay float64
	// Prompt is the number of prompt tokens.
	Prompt int
	// MaxTokens is the limit on output tokens that the caller set; 0 means none.
	MaxTokens int
	// StartBy is the latest time at which a start is useful; zero means no limit.
	StartBy time.Time
}

// Settings describe one engine and hold the switches with which the benchmark disables single
// parts of the decision.
type Settings struct {
	// Blocks is the engine's KV capacity in blocks.
	Blocks int
	// BlockTokens is the number of tokens a block holds.
	BlockTokens int
	// MaxBatch limits the number of running streams; 0 means no limit.
	MaxBatch int
	// TokenGap is the target time between tokens; 0 turns the batch limit that follows from it
	// off.
	TokenGap time.Duration
	// Risk is the number of standard deviations of the forecast memory use that must fit,
	// beyond its mean, before one more stream is admitted.
	Risk float64
	// NoFairness orders the queue by arrival alone within a rank.
	NoFairness bool
	// NoVictimChoice pauses the newest stream instead of the cheapest one to pause.
	NoVictimChoice bool
	// NoRefusal refuses requests only once StartBy has passed, even if they cannot start in
	// time.
	NoRefusal bool
}

// DefaultRisk is the value of Settings.Risk chosen on the tuning seeds of the benchmark; see
// docs/DECISIONS.md, decision 8.
const DefaultRisk = 2.5

type state int

const (
	waiting state = iota
	running
	paused
)

type stream struct {
	req       Request
	state     state
	arrived   time.Time
	order     int64
	generated int
	bin       int
	since     time.Time
	pauses    int
	lengths   *Lengths
	startTag  float64
}

func (s *stream) tokens() int { return s.req.Prompt + s.generated }

// charged returns the number of tokens that the account is charged for: 0 if the request never
// ran.
func (s *stream) charged() int {
	if s.state == waiting {
		return 0
	}
	return s.tokens()
}

// Scheduler schedules the generations of one engine. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	now      func() time.Time

	streams map[string]*stream
	waiting []*stream
	running []*stream
	paused  []*stream
	order   int64

	used    int
	bias    float64
	history [historySize]usageSample
	histPos int

	lengths   map[string]*Lengths
	fairQueue fairQueue
	steps     stepModel
	rate      startRate
	backlog   bool
	actions   []Action
}

// New returns a Scheduler for an engine. now is read on every call that needs
// the time.
func New(settings Settings, now func() time.Time) *Scheduler {
	return &Scheduler{
		settings:  settings,
		now:       now,
		streams:   map[string]*stream{},
		lengths:   map[string]*Lengths{},
		fairQueue: newFairQueue(),
	}
}

// Running returns the number of running streams.
func (s *Scheduler) Running() int { return len(s.running) }

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Paused returns the number of paused streams.
func (s *Scheduler) Paused() int { return len(s.paused) }

// Used returns the number of blocks in use: the scheduler's own count, corrected by the reports
// of the engine.
func (s *Scheduler) Used() int { return max(0, s.used+int(math.Round(s.bias))) }

// Arrive queues a request.
func (s *Scheduler) Arrive(r Request) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if r.GiveWay <= 0 {
		r.GiveWay = 1
	}
	s.order++
	st := &stream{req: r, arrived: s.now(), order: s.order, lengths: s.lengthsFor(r.Class)}
	st.startTag = s.fairQueue.arrive(r.Account, r.Weight)
	s.streams[r.ID] = st
	s.waiting = append(s.waiting, st)
}

func (s *Scheduler) lengthsFor(class string) *Lengths {
	l, ok := s.lengths[class]
	if !ok {
		l = NewLengths()
		s.lengths[class] = l
	}
	return l
}

// Token records one output token of a generation.
func (s *Scheduler) Token(id string) {
	st, ok := s.streams[id]
	if !ok {
		return
	}
	before := s.blocks(st.tokens())
	st.generated++
	if st.state == running {
		s.used += s.blocks(st.tokens()) - before
	}
	if b := binOf(st.generated); b != st.bin || st.generated == 1 {
		st.bin = b
		st.lengths.recordEntered(b)
	}
}

// Finish records that a generation ended by itself, and removes it.
func (s *Scheduler) Finish(id string) {
	if st, ok := s.streams[id]; ok && st.generated > 0 {
		st.lengths.recordEnded(st.bin)
	}
	s.Drop(id)
}

// Drop removes a generation and settles what its account is charged, for instance after a
// cancellation or a refusal.
func (s *Scheduler) Drop(id string) {
	st, ok := s.streams[id]
	if !ok {
		return
	}
	s.removeFromList(st)
	delete(s.streams, id)
	s.fairQueue.charge(st.req.Account, st.req.Weight, st.charged())
}

func (s *Scheduler) removeFromList(st *stream) {
	is := func(o *stream) bool { return o == st }
	switch st.state {
	case waiting:
		s.waiting = slices.DeleteFunc(s.waiting, is)
	case running:
		s.running = slices.DeleteFunc(s.running, is)
		s.used -= s.blocks(st.tokens())
	case paused:
		s.paused = slices.DeleteFunc(s.paused, is)
	}
}

func (s *Scheduler) moveTo(st *stream, to state) {
	s.removeFromList(st)
	st.state = to
	st.since = s.now()
	switch to {
	case running:
		s.running = append(s.running, st)
		s.used += s.blocks(st.tokens())
	case paused:
		s.paused = append(s.paused, st)
	}
}

func (s *Scheduler) blocks(tokens int) int {
	return (tokens + s.settings.BlockTokens - 1) / s.settings.BlockTokens
}

// Decide returns the actions to carry out now, in order. The slice is valid until the next
// call.
func (s *Scheduler) Decide() []Action {
	s.actions = s.actions[:0]
	s.recordUsage()
	s.pauseForMemory()
	s.resume()
	s.admit()
	s.refuse()
	return s.actions
}

func (s *Scheduler) addAction(k Kind, st *stream, reason string) {
	s.actions = append(s.actions, Action{kind: k, id: st.req.ID, reason: reason})
}
