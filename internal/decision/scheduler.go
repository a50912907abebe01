// Package decision says, for one engine, who goes, who waits, who is refused
// and who gives way while the lengths of the answers are unknown. It has no
// clock, network or goroutines of its own: the caller tells it what happened
// and acts on what Decide returns.
package decision

import (
	"math"
	"slices"
	"time"
)

// Kind says what is to be done with a generation.
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

// Action is one decision about one generation.
type Action struct {
	kind    Kind
	id      string
	reason  string
	retryAt time.Time
}

// Kind returns what is to be done.
func (a Action) Kind() Kind { return a.kind }

// ID returns the generation it is about.
func (a Action) ID() string { return a.id }

// Reason returns why, in a word or two.
func (a Action) Reason() string { return a.reason }

// RetryAt returns, for a refusal, when the caller may come back.
func (a Action) RetryAt() time.Time { return a.retryAt }

// Request is what is known of a generation on arrival.
type Request struct {
	// ID is unique among the generations the scheduler holds.
	ID string
	// Account is the client account that pays.
	Account string
	// Weight is the account's share; 0 counts as 1.
	Weight float64
	// Class names the length curve; it comes from the policy.
	Class string
	// Rank orders the queue, lower first; it comes from the policy.
	Rank float64
	// GiveWay multiplies the cost of pausing this stream; 0 counts as 1.
	GiveWay float64
	// Prompt is the number of prompt tokens.
	Prompt int
	// MaxTokens is the caller's own bound on output tokens; 0 means none.
	MaxTokens int
	// StartBy is the latest time at which a start is of use.
	StartBy time.Time
}

// Settings are the fixed numbers of one engine and the switches by which the
// bench takes single parts of the decision out.
type Settings struct {
	// Blocks is the engine's KV capacity in blocks.
	Blocks int
	// BlockTokens is the number of tokens a block holds.
	BlockTokens int
	// MaxBatch bounds the running streams; 0 means the engine has no bound.
	MaxBatch int
	// TokenGap is the wanted time between tokens; 0 turns the batch limit off.
	TokenGap time.Duration
	// Risk is the number of standard deviations of memory growth that must
	// fit before one more stream is admitted.
	Risk float64
	// NoFairness orders the queue by arrival alone within a rank.
	NoFairness bool
	// NoVictimChoice makes the newest stream give way.
	NoVictimChoice bool
	// NoRefusal lets hopeless requests wait until StartBy has passed.
	NoRefusal bool
}

// DefaultRisk is the risk setting chosen on the tuning seeds of the bench; see
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
	virtual   float64
}

func (s *stream) tokens() int { return s.req.Prompt + s.generated }

// charged returns the tokens the account pays for: none if it never ran.
func (s *stream) charged() int {
	if s.state == waiting {
		return 0
	}
	return s.tokens()
}

// Scheduler holds the state of one engine.
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
	history [historySize]reading
	histPos int

	lengths map[string]*Lengths
	shares  shares
	steps   stepModel
	rate    startRate
	backlog bool
	actions []Action
}

// New returns a Scheduler for an engine. now is read on every call that needs
// the time.
func New(settings Settings, now func() time.Time) *Scheduler {
	return &Scheduler{
		settings: settings,
		now:      now,
		streams:  map[string]*stream{},
		lengths:  map[string]*Lengths{},
		shares:   newShares(),
	}
}

// Running returns the number of running streams.
func (s *Scheduler) Running() int { return len(s.running) }

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Paused returns the number of streams that gave way.
func (s *Scheduler) Paused() int { return len(s.paused) }

// Used returns the blocks believed to be in use, with the correction learned
// from the engine's own reports.
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
	st := &stream{req: r, arrived: s.now(), order: s.order, lengths: s.curve(r.Class)}
	st.virtual = s.shares.arrive(r.Account, r.Weight)
	s.streams[r.ID] = st
	s.waiting = append(s.waiting, st)
}

func (s *Scheduler) curve(class string) *Lengths {
	l, ok := s.lengths[class]
	if !ok {
		l = NewLengths()
		s.lengths[class] = l
	}
	return l
}

// Token notes one output token of a generation.
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
		st.lengths.entered(b)
	}
}

// Finish notes that a generation ended by itself.
func (s *Scheduler) Finish(id string) {
	if st, ok := s.streams[id]; ok && st.generated > 0 {
		st.lengths.finished(st.bin)
	}
	s.Drop(id)
}

// Drop forgets a generation that was cancelled or refused.
func (s *Scheduler) Drop(id string) {
	st, ok := s.streams[id]
	if !ok {
		return
	}
	s.leave(st)
	delete(s.streams, id)
	s.shares.charge(st.req.Account, st.req.Weight, st.charged())
}

func (s *Scheduler) leave(st *stream) {
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

func (s *Scheduler) enter(st *stream, to state) {
	s.leave(st)
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

// Decide returns what to do now, in order. The slice is valid until the next
// call.
func (s *Scheduler) Decide() []Action {
	s.actions = s.actions[:0]
	s.remember()
	s.giveWay()
	s.resume()
	s.admit()
	s.refuse()
	return s.actions
}

func (s *Scheduler) act(k Kind, st *stream, reason string) {
	s.actions = append(s.actions, Action{kind: k, id: st.req.ID, reason: reason})
}
