// Package routing orders the upstreams that may take a request and bounds the extra attempts
// that are made for requests. internal/entry uses Order and Budget; internal/gateway uses
// SharedBudget, whose counts entries exchange by gossip. Order depends only on its arguments. Budget
// bounds the retries of one process, SharedBudget the extra attempts of all entries together.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is an upstream that may get the request.
type Candidate struct {
	// Name identifies the upstream.
	Name string
	// SameZone is set for upstreams in the zone of the entry.
	SameZone bool
	// Wait is the reported expected waiting time.
	Wait time.Duration
	// UsedPart is the reported part of memory in use.
	UsedPart float64
	// Age is how old the report is.
	Age time.Duration
	// SentSince is the number of requests that this entry sent there since the report.
	SentSince int
	// PrefixPart is the part of the prompt that is assumed to be cached there.
	PrefixPart float64
}

// Weights are the weights of the terms of an upstream's score, in seconds of wait. A lower
// score is better.
type Weights struct {
	// OtherZone is added for an upstream outside the zone of the entry.
	OtherZone float64
	// Used is added for an upstream whose memory is all in use; a part in use counts by its
	// square.
	Used float64
	// SentSince is added for each request sent since the last report.
	SentSince float64
	// Age is added for each second of the report's age.
	Age float64
	// Prefix is subtracted for a prompt that is cached as a whole, and in proportion for a
	// part.
	Prefix float64
}

// DefaultWeights returns the weights that entries use.
func DefaultWeights() Weights {
	return Weights{OtherZone: 0.25, Used: 1, SentSince: 0.02, Age: 0.05, Prefix: 0.3}
}

func (w Weights) score(c Candidate) float64 {
	s := c.Wait.Seconds() + w.Used*c.UsedPart*c.UsedPart + w.SentSince*float64(c.SentSince) + w.Age*c.Age.Seconds()
	if !c.SameZone {
		s += w.OtherZone
	}
	return s - w.Prefix*c.PrefixPart
}

// Order returns the candidates in the order in which to try them. The first is the better of
// two drawn at random from the better half, so that entries with the same old report do not all
// choose the same upstream.
func Order(candidates []Candidate, w Weights, rng *rand.Rand) []Candidate {
	out := slices.Clone(candidates)
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(w.score(a), w.score(b)) })
	if len(out) < 3 {
		return out
	}
	half := (len(out) + 1) / 2
	i := min(rng.IntN(half), rng.IntN(half))
	first := out[i]
	copy(out[1:i+1], out[:i])
	out[0] = first
	return out
}
