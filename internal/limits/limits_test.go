package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// clock is a clock that tests advance.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

// TestLimitInForce checks which answers begin, change and end a limit.
func TestLimitInForce(t *testing.T) {
	const sent = 50 * time.Millisecond
	advertise := func(rate float64) func(*Set, *clock) {
		return func(s *Set, c *clock) {
			c.advance(sent)
			s.NoteLimit("u", rate)
		}
	}
	noLimit := func(s *Set, c *clock) {
		c.advance(time.Millisecond)
		asked := c.at
		c.advance(sent)
		s.NoteNoLimit("u", asked)
	}
	lateNoLimit := func(s *Set, c *clock) {
		asked := c.at.Add(-time.Second)
		c.advance(sent)
		s.NoteNoLimit("u", asked)
	}
	for _, tc := range []struct {
		name    string
		steps   []func(*Set, *clock)
		rate    float64
		inForce bool
	}{
		{"no answer", nil, 0, false},
		{"no limit from the beginning", []func(*Set, *clock){noLimit}, 0, false},
		{"advertised", []func(*Set, *clock){advertise(3)}, 3, true},
		{"changed", []func(*Set, *clock){advertise(3), advertise(1.5)}, 1.5, true},
		{"lifted", []func(*Set, *clock){advertise(3), noLimit}, 3, false},
		{"no limit in an answer to an earlier request", []func(*Set, *clock){advertise(3), lateNoLimit}, 3, true},
		{"advertised again", []func(*Set, *clock){advertise(3), noLimit, advertise(2)}, 2, true},
		{"lifted again", []func(*Set, *clock){advertise(3), noLimit, advertise(2), noLimit}, 2, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			s := newSingleEntry(c.now)
			for _, step := range tc.steps {
				step(s, c)
			}
			l := s.limits["u"]
			if s.Any() != tc.inForce || l == nil && tc.inForce {
				t.Fatalf("a limit is in force: %v, want %v", s.Any(), tc.inForce)
			}
			if l != nil && (l.inForce() != tc.inForce || l.rate != tc.rate) {
				t.Errorf("in force %v with %v a second, want %v with %v", l.inForce(), l.rate, tc.inForce, tc.rate)
			}
		})
	}
}

// The limit of an upstream incarnation is dropped when the incarnation no longer exists; a later
// incarnation has none.
func TestLimitsOfRemovedIncarnationsAreDropped(t *testing.T) {
	c := &clock{at: time.Now()}
	s := newSingleEntry(c.now)
	s.NoteLimit("u", 3)
	s.NoteLimit("v", 3)
	c.advance(rowReadWithin)
	s.Sweep(func(incarnation string) bool { return incarnation == "v" })
	if !s.Any() || len(s.limits) != 1 {
		t.Fatalf("%d limits are kept, want that of the remaining incarnation", len(s.limits))
	}
	s.Sweep(func(string) bool { return false })
	if s.Any() || len(s.limits) != 0 {
		t.Errorf("%d limits are kept of removed incarnations", len(s.limits))
	}
}

func TestLimitsAreBounded(t *testing.T) {
	s := newSingleEntry(time.Now)
	for i := range maxLimits + 10 {
		s.NoteLimit(fmt.Sprint(i), 1)
	}
	if len(s.limits) != maxLimits {
		t.Errorf("%d limits are kept, want at most %d", len(s.limits), maxLimits)
	}
}

// newSingleEntry returns the Set of the only entry of a deployment.
func newSingleEntry(now func() time.Time) *Set {
	s := New("a", "1", Alone(), events.Nop(), now)
	s.SetEntryCount(1)
	return s
}
