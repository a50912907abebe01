// Package placement decides which upstream takes a request: whether an engine has room for
// a generation, which of those with room gets it, where one that has to move goes on, how
// much memory is kept for such moves, and when a caller that found no room comes back. It
// has no clock, network or locks on others' state: what is known comes in, a verdict with
// its reason goes out. internal/gateway keeps the state and carries verdicts out;
// internal/placement/replay plays loads against it.
package placement

import (
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/routetable"
)

// The reasons for which no upstream takes a request.
var (
	ErrNone     = errors.New("no engine serves")
	ErrTooLarge = errors.New("the prompt is larger than the memory of any engine")
	ErrMemory   = errors.New("the memory of all engines is taken")
	ErrSlots    = errors.New("the slots of all engines are taken")
	ErrPrompts  = errors.New("too many prompts wait to be read")
)

// Candidate is an upstream and what is known of its load.
type Candidate struct {
	fleet.Upstream
	// Load is what all entries have in flight there.
	Load gossip.Load
	// Rate is the number of requests a second that other entries lately placed there.
	Rate float64
	// Kept is the part of the prompt that the engine keeps already, in tokens.
	Kept int
	// Trial marks an upstream that runs a request under which another one ended.
	Trial bool
	// Failing marks a plain upstream that fails many requests.
	Failing bool
}

// View is from where and when a decision is made.
type View struct {
	// Zone is the entry's availability zone.
	Zone string
	Now  time.Time
	// Delay is how long after an entry of a zone placed a request this one is expected
	// to hear of it.
	Delay func(zone string) time.Duration
	// ReadToken is the time in which an engine reads a prompt token.
	ReadToken time.Duration
	// Random returns a number from 0 up to 1.
	Random func() float64
}

// Generation is what a generation asks of an engine.
type Generation struct {
	// Engine describes the service's engines.
	Engine *routetable.Engine
	// Prompt is the size of the prompt, and Output the expected length of the answer,
	// in tokens.
	Prompt int
	Output int
	// StartBy is the time left until the generation should begin; 0 for no bound.
	StartBy time.Duration
	// Brief marks a generation that ends within the notice of an engine that leaves.
	Brief bool
	// Repeats marks one that may be sent again: it finds out whether an engine that had a
	// fault is well.
	Repeats bool
}

// need is the memory in tokens that the generation takes in the end.
func (g *Generation) need() int { return g.Prompt + g.Output }
