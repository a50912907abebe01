package placement

import (
	"cmp"
	"math"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/routetable"
)

// Rank orders generations by urgency. The priority of the account counts first: it is a contract,
// while a route's priority only orders the requests of one account.
type Rank struct {
	// Account and Route are priorities; 0 is the most urgent.
	Account, Route int
}

// Compare returns a negative number if r is more urgent than o, 0 if both are equally urgent and a
// positive number otherwise.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Account, o.Account), cmp.Compare(r.Route, o.Route))
}

const (
	// minForecastArrivals is the number of arrivals, counted with decay, from which a rate is
	// estimated: its standard error is then a third.
	minForecastArrivals = 8
	// minArrivals is the decayed count of arrivals below which there is no forecast: a single
	// arrival counts for about two decay times.
	minArrivals = 0.1
	// minConcurrent is the mean number of concurrent brief generations at all engines from which
	// on they get headroom: fewer seldom meet a long one, and a single one should not count.
	minConcurrent = 1
	// surgeDeviations is the number of standard deviations by which the number of concurrent
	// brief generations may exceed its mean. Arrivals are taken to be independent, so the number
	// has a Poisson distribution, of which 0.97 or more lies below that. Room for twice the mean
	// as well gained nothing in the load of internal/placement/replay and cost 0.01 of the long
	// generations, since the forecast follows a burst of brief ones within its decay time.
	surgeDeviations = 2
	// headroomSizeMargin makes reserved places larger than the mean brief generation, so that
	// most of them fit.
	headroomSizeMargin = 1.25
	// maxHeadroomShare limits the part of the memory and slots that is reserved, so that
	// generations that are not brief are not starved when nearly all demand is urgent.
	maxHeadroomShare = 0.25
	// maxUnreported limits the unreported generations for which room is left at an engine. In
	// the load of internal/placement/replay, 0.87, 0.90 and 0.90 of the urgent ones were on time
	// with a limit of one, two and three.
	maxUnreported = 2
	// unreportedDeviations is the number of standard deviations by which the unreported
	// generations at an engine may exceed their mean; their number has a Poisson distribution. In
	// the load of internal/placement/replay with 30 gateways, 0.971 and 0.979 of the urgent
	// generations were on time with 0.25 and 0.35, and 0.81 of the long ones with either.
	unreportedDeviations = 0.35
	// contendedSpread scales the cost of the generations that other gateways placed unreported,
	// so that brief ones, and those that leave headroom for them, are spread over more than the
	// cheapest engines: several prompts sent to one engine at once delay a brief one more than an
	// engine with less free memory does. In the load of internal/placement/replay with 4
	// gateways, 0.973, 0.977 and 0.984 of the urgent ones were on time with 3, 5 and 8.
	contendedSpread = 8
	// maxForecastRanks limits the number of ranks for which arrivals are counted. Operators
	// configure a few priorities; the limit bounds the memory if a configuration has many.
	maxForecastRanks = 64
)

// forecastWindows are the decay times of the counts of arrivals. The shortest one with
// minForecastArrivals arrivals is used: a forecast should follow a burst, but a gateway that sees
// few of the arrivals has to count them for longer.
var forecastWindows = [...]time.Duration{2 * time.Second, 8 * time.Second, 32 * time.Second}

// briefCounts are counts of brief generations, with decay.
type briefCounts struct {
	// arrivals counts generations. The others are sums over them: tokens is the memory that each
	// takes, tokenSeconds that memory multiplied by the seconds for which it is held, and prompts
	// the size of the prompt.
	arrivals, tokens, tokenSeconds, prompts Decaying
	// limited counts those that have to begin within a time, and startBy is the sum of these
	// times in seconds.
	limited, startBy Decaying
}

// add counts a generation that holds its memory for a time.
func (c *briefCounts) add(g *Generation, hold time.Duration, now time.Time, window time.Duration) {
	tokens := float64(g.totalTokens())
	c.arrivals = c.arrivals.Add(1, now, window)
	c.tokens = c.tokens.Add(tokens, now, window)
	c.tokenSeconds = c.tokenSeconds.Add(tokens*hold.Seconds(), now, window)
	c.prompts = c.prompts.Add(float64(g.Prompt), now, window)
	if g.StartBy > 0 {
		c.limited = c.limited.Add(1, now, window)
		c.startBy = c.startBy.Add(g.StartBy.Seconds(), now, window)
	}
}

// briefSums are the sums of briefCounts at one time.
type briefSums struct{ arrivals, tokens, tokenSeconds, prompts, limited, startBy float64 }

// add adds counts to the sums.
func (s *briefSums) add(c *briefCounts, now time.Time, window time.Duration) {
	s.arrivals += c.arrivals.Value(now, window)
	s.tokens += c.tokens.Value(now, window)
	s.tokenSeconds += c.tokenSeconds.Value(now, window)
	s.prompts += c.prompts.Value(now, window)
	s.limited += c.limited.Value(now, window)
	s.startBy += c.startBy.Value(now, window)
}

// BriefForecast forecasts the memory that brief generations of a service will need, from those
// that arrive at one gateway. It addresses bursts of long generations: they fill all engines for
// as long as they run, so brief ones that arrive later would find no room within their objective.
// The zero value is ready to use.
type BriefForecast struct {
	mu     sync.Mutex
	byRank map[Rank]*[len(forecastWindows)]briefCounts
	// since is when the first arrival was recorded.
	since time.Time
	// othersAt and othersRank are the time and the rank of the latest generation that is not
	// brief, among those of the least urgent rank.
	othersAt   time.Time
	othersRank Rank
}

// Arrived records a generation that is expected to hold its memory for a time.
func (f *BriefForecast) Arrived(g *Generation, hold time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !g.Brief {
		if g.Rank.Compare(f.othersRank) >= 0 || now.Sub(f.othersAt) > contendedWindow {
			f.othersAt, f.othersRank = now, g.Rank
		}
		return
	}
	if f.since.IsZero() {
		f.since = now
	}
	counts := f.byRank[g.Rank]
	if counts == nil {
		if len(f.byRank) >= maxForecastRanks {
			return
		}
		if f.byRank == nil {
			f.byRank = map[Rank]*[len(forecastWindows)]briefCounts{}
		}
		counts = &[len(forecastWindows)]briefCounts{}
		f.byRank[g.Rank] = counts
	}
	for i, window := range forecastWindows {
		counts[i].add(g, hold, now, window)
	}
}

// Headroom returns the memory that brief generations of a rank equal to or more urgent than that
// of g will need, beyond what those that run now hold. Brief generations leave no memory free, but
// are spread while others contend with them. gateways is
// the number of gateways among which the arrivals are spread evenly, and engines the number of
// engines that serve.
func (f *BriefForecast) Headroom(g *Generation, gateways, engines int, now time.Time) Headroom {
	if engines <= 0 {
		return Headroom{}
	}
	if g.Brief {
		return Headroom{contended: f.othersSince(g.Rank, now.Add(-contendedWindow))}
	}
	sums, window := f.sums(g.Rank, now)
	if sums.arrivals < minArrivals {
		return Headroom{}
	}
	// By Little's law, the memory that they hold is the token-seconds that arrive in a second.
	size := sums.tokens / sums.arrivals
	concurrent := float64(max(gateways, 1)) * sums.tokenSeconds / f.counted(window, now) / size
	if concurrent < minConcurrent {
		return Headroom{}
	}
	// The mean number of them runs already and is part of the load of the engines.
	extra := surgeDeviations * math.Sqrt(concurrent)
	h := Headroom{contended: true, tokens: headroomSizeMargin * size, prompt: sums.prompts / sums.arrivals}
	h.places = min(extra/float64(engines), maxPlaces(g.Engine, h.tokens))
	if sums.limited > 0 {
		h.startBy = time.Duration(sums.startBy / sums.limited * float64(time.Second))
	}
	return h
}

// contendedWindow is the time after the latest generation that is not brief for which brief ones
// are taken to contend with such. It covers the time for which long generations run.
const contendedWindow = 32 * time.Second

// othersSince reports whether a generation that is not brief, and not more urgent than a rank,
// arrived after a time.
func (f *BriefForecast) othersSince(rank Rank, after time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.othersAt.After(after) && rank.Compare(f.othersRank) <= 0
}

// maxPlaces returns the mean number of places of a size that may be reserved at an engine.
func maxPlaces(e *routetable.Engine, tokens float64) float64 {
	places := math.Inf(1)
	if e.MemoryTokens > 0 {
		places = maxHeadroomShare * float64(e.MemoryTokens) / tokens
	}
	if e.Slots > 0 {
		places = min(places, maxHeadroomShare*float64(e.Slots))
	}
	return places
}

// sums returns the sums over the brief generations of a rank at least as urgent as the given one
// that arrived at this gateway, and the decay time of the counts that are used.
func (f *BriefForecast) sums(rank Rank, now time.Time) (sums briefSums, window time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range forecastWindows {
		sums, window = briefSums{}, forecastWindows[i]
		for r, counts := range f.byRank {
			if r.Compare(rank) <= 0 {
				sums.add(&counts[i], now, window)
			}
		}
		if sums.arrivals >= minForecastArrivals {
			break
		}
	}
	return sums, window
}

// minCounted is the least time over which arrivals are taken to be counted, so that the first ones
// after a start are not taken for a high rate.
const minCounted = 8 * time.Second

// counted returns the time in seconds, weighted with the decay of a window, over which arrivals
// were counted: less than the window at first.
func (f *BriefForecast) counted(window time.Duration, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := max(now.Sub(f.since), minCounted).Seconds()
	return window.Seconds() * -math.Expm1(-since/window.Seconds())
}

// Headroom is memory that is reserved for brief generations. The zero value reserves nothing.
type Headroom struct {
	// contended is set while brief generations contend with others of equal or less urgent rank.
	contended bool
	// places is the mean number of places reserved at an engine, and tokens the size of each.
	places, tokens float64
	// prompt is the mean size of the prompts of the brief generations, in tokens, and startBy the
	// mean time within which they have to begin; 0 means no limit. The prompts that wait at an
	// engine may not delay the next brief one further.
	prompt  float64
	startBy time.Duration
}

// Tokens returns the memory, in tokens, that is reserved at an engine on average.
func (h Headroom) Tokens() float64 { return h.places * h.tokens }

// at returns the number of places reserved at an engine. A part of a place is of no use, so some
// engines reserve a whole one and others none. Gateways choose these engines alike without
// exchanging messages, by the hash of their ID.
func (h Headroom) at(engine string) int {
	whole := math.Floor(h.places)
	if h.places > whole && hashFraction(engine) < h.places-whole {
		whole++
	}
	return int(whole)
}

// hashFraction returns a number in [0, 1) that depends only on the ID of an engine. It is FNV-1a,
// whose high bits depend little on the last bytes of a short string, with the finalizer of
// MurmurHash3, which spreads them.
func hashFraction(id string) float64 {
	const offset, prime, mix1, mix2 = 0xcbf29ce484222325, 0x100000001b3, 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	x := uint64(offset)
	for i := range len(id) {
		x = (x ^ uint64(id[i])) * prime
	}
	x = (x ^ x>>33) * mix1
	x = (x ^ x>>33) * mix2
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// unreportedLoad returns the expected load of the generations that other gateways placed at an
// engine with room for g and that this gateway has not learned of yet, at most maxUnreported of
// them. They are taken to be of the mean size of those that run. It is empty if g has to leave no
// headroom.
//
// While memory is short, few engines have room, and all gateways choose among the same few. In the
// load of internal/placement/replay, with 30 gateways that learn of each other 350 ms later, up to
// eight long prompts were sent to one engine within that time, ahead of the urgent ones.
func (v *View) unreportedLoad(list []Candidate, g *Generation, usable float64) gossip.Load {
	if g.Headroom.places <= 0 {
		return gossip.Load{}
	}
	var total gossip.Load
	withRoom, unreported := 0, 0.0
	for i := range list {
		c := &list[i]
		total = total.Add(c.Load)
		unreported += c.Rate * v.Delay(c.Zone).Seconds()
		if Room(c.Load, g, c.CachedTokens, usable, v.readToken(c)) == nil {
			withRoom++
		}
	}
	if unreported == 0 || total.Running <= 0 {
		return gossip.Load{}
	}
	mean := unreported / float64(max(withRoom, 1))
	each := min(mean+unreportedDeviations*math.Sqrt(mean), maxUnreported) / float64(total.Running)
	held := int(each * float64(total.Held))
	return gossip.Load{Running: 1, Held: held, Prefill: held, Tokens: int(each * float64(total.Tokens))}
}

// roomBeside is Room for a generation that leaves its headroom free, at an engine with the given
// unreported load. An engine that runs nothing and was sent nothing takes any generation, so that
// each can run somewhere.
func (v *View) roomBeside(c *Candidate, g *Generation, usable float64, unreported gossip.Load) error {
	h, e := g.Headroom, g.Engine
	if err := Room(c.Load, g, c.CachedTokens, usable, v.readToken(c)); err != nil || h.places <= 0 {
		return err
	}
	load := c.Load.Add(unreported)
	if load.Running == 0 {
		return nil
	}
	places := h.at(c.ID)
	if e.Slots > 0 && load.Running+places >= e.Slots {
		return ErrHeadroom
	}
	if Room(load, g, c.CachedTokens, usable-float64(places)*h.tokens, v.readToken(c)) != nil {
		return ErrHeadroom
	}
	if h.startBy > 0 && time.Duration(load.Prefill)*v.readToken(c)+h.delay(g.Prompt-c.CachedTokens, v.readToken(c)) > h.startBy {
		return ErrHeadroom
	}
	return nil
}

// maxDelayShare is the part of the time within which brief generations have to begin that the
// prompt of one other generation counts for at most: one with a large prompt delays them wherever
// it runs, and must not be refused everywhere. With 0.6, one in twelve long generations of the load
// of internal/placement/replay was refused although no memory was short.
const maxDelayShare = 0.43

// delay returns the time until a brief generation begins that arrives right after a prompt of the
// given size.
func (h Headroom) delay(prompt int, readToken time.Duration) time.Duration {
	before := min(time.Duration(prompt)*readToken, time.Duration(maxDelayShare*float64(h.startBy)))
	return before + time.Duration(h.prompt)*readToken
}
