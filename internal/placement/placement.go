// Package placement decides which upstream takes a request: whether an engine has room for a
// generation, which engine with room gets it, where a generation that has to move continues,
// how much memory is reserved for such moves, and when a refused caller should retry. It has no
// clock and no network, and it locks only its own state: callers pass in the known state and
// receive a decision with its reason. internal/gateway keeps the state and carries out the
// decisions; internal/placement/replay simulates loads against them.
package placement

import (
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/routetable"
)

// The reasons why no upstream takes a request.
var (
	ErrNone     = errors.New("no engine serves")
	ErrTooLarge = errors.New("the prompt is larger than the memory of any engine")
	ErrMemory   = errors.New("the memory of all engines is taken")
	ErrSlots    = errors.New("the slots of all engines are taken")
	ErrPrompts  = errors.New("too many prompts wait to be read")
	ErrHeadroom = errors.New("the free memory of all engines is reserved for brief generations")
)

// Candidate is an upstream with its known load.
type Candidate struct {
	fleet.Upstream
	// Load is the sum of what all entries have in flight at the upstream.
	Load gossip.Load
	// Rate is the number of requests a second that other entries recently placed there.
	Rate float64
	// CachedTokens is the part of the prompt that the engine has in its prefix cache, in tokens.
	CachedTokens int
	// Trial marks an upstream that is running a suspect request: another upstream crashed while
	// running it.
	Trial bool
	// Failing marks an upstream of a plain service that fails many requests.
	Failing bool
}

// View is the context of a decision: the zone of the entry, the time and the age of its load
// reports.
type View struct {
	// Zone is the entry's availability zone.
	Zone string
	Now  time.Time
	// Delay returns the expected time until this entry learns that an entry of a zone placed a
	// request.
	Delay func(zone string) time.Duration
	// ReadToken is the time in which an engine prefills one prompt token.
	ReadToken time.Duration
	// Pace is what is known of the speed of each engine; nil if nothing is, or no operator bounds the
	// pauses of streams.
	Pace *pace.Profile
	// Random returns a number in [0, 1).
	Random func() float64
}

// Generation describes what a generation needs from an engine.
type Generation struct {
	// Engine describes the engines of the service.
	Engine *routetable.Engine
	// Prompt is the size of the prompt and Output the expected length of the answer, in tokens.
	Prompt int
	Output int
	// StartBy is the time left until the generation should begin; 0 means no limit.
	StartBy time.Duration
	// MaxPause is the longest pause between two events with which the answer is still in time; 0 means
	// no limit.
	MaxPause time.Duration
	// Copied marks a running generation that goes on from a copy of its memory, so that no prompt is read.
	Copied bool
	// Brief marks a generation that is expected to end within the notice that an engine gets
	// before it leaves.
	Brief bool
	// Rank tells how urgent the generation is, and Headroom what it has to leave free for brief
	// generations of an equal or more urgent rank.
	Rank     Rank
	Headroom Headroom
	// Repeatable marks a generation that may be sent again after a failure. Such generations probe
	// whether an engine that had a fault has recovered.
	Repeatable bool
}

// totalTokens returns the memory that the generation takes by its end, in tokens.
func (g *Generation) totalTokens() int { return g.Prompt + g.Output }
