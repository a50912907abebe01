package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// fleet is a set of entries that all have each other as peers. Nothing is sent between them.
type fleet struct {
	peers   []Peer
	sources map[string]*Store
	zones   map[string]string
}

// newFleet returns a fleet in six zones in which every sixth entry of a zone has a large machine.
// The names of small machines sort first, so that an order by name would pick the wrong delegates.
func newFleet(entries int, storeLost func(i int) bool) *fleet {
	f := &fleet{sources: map[string]*Store{}, zones: map[string]string{}}
	small, large := roster.Size{Cores: 0.144, LinkMbps: 20}, roster.Size{Cores: 1.6, LinkMbps: 1000}
	for i := range entries {
		p := Peer{Name: fmt.Sprintf("a-small-%04d", i), Zone: fmt.Sprint(i % 6), Size: small, StoreLost: storeLost(i)}
		if i/6%6 == 5 {
			p.Name, p.Size = fmt.Sprintf("large-%04d", i), large
		}
		f.peers = append(f.peers, p)
		f.zones[p.Name] = p.Zone
	}
	for _, p := range f.peers {
		s := New(Settings{Name: p.Name, Zone: p.Zone, Size: p.Size, Delegates: 2, RetryAfter: time.Minute}, &platform.Store{}, NewLog(time.Now), func() []Peer {
			return slices.DeleteFunc(slices.Clone(f.peers), func(o Peer) bool { return o.Name == p.Name })
		}, closedChannel(), events.Nop(), time.Now)
		if p.StoreLost {
			s.storeFailedAt = time.Now()
		}
		f.sources[p.Name] = s
	}
	return f
}

// TestRelayTopology checks how data of the store reaches all entries: how many entries poll the
// store, how many ask the same entry, how many calls cross between zones, and that each path ends
// at an entry that polls the store.
func TestRelayTopology(t *testing.T) {
	none := func(int) bool { return false }
	for _, tc := range []struct {
		name      string
		entries   int
		storeLost func(i int) bool
		// followers and crossings limit the entries that poll the store and those that ask an
		// entry of another zone. askers limits the entries that ask the same one, and hops the
		// length of the longest path.
		followers, crossings, askers, hops int
	}{
		{"30", 30, none, 2, 30, 20, 1},
		{"103", 103, none, 2, 68, 68, 1},
		{"412", 412, none, 2, 12, 64, 2},
		{"412, a third cut off from the store", 412, func(i int) bool { return i%3 == 0 }, 2, 12, 64, 2},
		{"412, large machines cut off from the store", 412, func(i int) bool { return i/6%6 == 5 }, 2, 12, 64, 2},
		{"1,000", 1000, none, 2, 18, 90, 2},
		{"2,000", 2000, none, 2, 36, 100, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(tc.entries, tc.storeLost)
			asked, asks := map[string]int{}, map[string]string{}
			followers, crossings := 0, 0
			for name, s := range f.sources {
				p, ok, self := s.source()
				switch {
				case self:
					followers++
				case !ok:
					t.Fatalf("%s has no entry to ask", name)
				default:
					asks[name] = p.Name
					asked[p.Name]++
					if p.Zone != f.zones[name] {
						crossings++
					}
				}
			}
			most, longest := 0, 0
			for name, n := range asked {
				most = max(most, n)
				if n > 20 && tc.entries > 400 && f.sources[name].settings.Size.Cores < 1 {
					t.Errorf("%d entries ask %s, which has a small machine", n, name)
				}
			}
			for name := range f.sources {
				hops := 0
				for at := asks[name]; at != "" && hops <= tc.entries; at = asks[at] {
					hops++
				}
				longest = max(longest, hops)
			}
			if followers > tc.followers || crossings > tc.crossings || most > tc.askers || longest > tc.hops {
				t.Errorf("%d poll the store, %d ask another zone, %d ask one entry, %d hops; want at most %d, %d, %d, %d",
					followers, crossings, most, longest, tc.followers, tc.crossings, tc.askers, tc.hops)
			}
		})
	}
}

// TestZoneDelegateFailover checks that the next entries of a zone replace delegates that fail, and
// that the entries that poll the store are asked if none of the zone is left.
func TestZoneDelegateFailover(t *testing.T) {
	f := newFleet(412, func(int) bool { return false })
	s := f.sources["a-small-0006"]
	var before []string
	for range 4 {
		p, ok, self := s.source()
		if !ok || self || p.Zone != s.settings.Zone || slices.Contains(before, p.Name) {
			t.Fatalf("asks %+v after %v failed", p, before)
		}
		before = append(before, p.Name)
		s.avoidUntil[p.Name] = time.Now().Add(time.Minute)
	}
	for _, p := range f.peers {
		if p.Zone == s.settings.Zone {
			s.avoidUntil[p.Name] = time.Now().Add(time.Minute)
		}
	}
	if p, ok, self := s.source(); !ok || self || p.Zone == s.settings.Zone {
		t.Errorf("asks %+v, %v, %v; want an entry of another zone", p, ok, self)
	}
}

// TestConfirmationEndsLongPoll checks that a confirmation is relayed at once. Otherwise data that
// passes through two entries ages by the length of both long polls.
func TestConfirmationEndsLongPoll(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	d.entries[1].source.settings.Wait = 20 * time.Second
	got := make(chan platform.Snapshot)
	go func() {
		s, err := d.entries[1].changes(t)
		if err != nil {
			t.Error(err)
		}
		got <- s
	}()
	time.Sleep(20 * time.Millisecond)
	made := time.Now()
	mustApply(t, d.entries[0].log, platform.Snapshot{Version: 5, AsOf: made}, false)
	select {
	case s := <-got:
		if made.Sub(s.AsOf) > 10*time.Millisecond {
			t.Errorf("the answer is %s older than the confirmation", made.Sub(s.AsOf))
		}
	case <-time.After(time.Second):
		t.Error("the long poll goes on although the table was confirmed")
	}
}

// TestTurnsAreLimitedInLargeDeployments checks that hundreds of entries make no more calls to a
// store that is down than a few tens do, and that each entry that takes turns has one within a few
// seconds. If all took turns, an entry would wait for longer than routes are trusted, 41 s with
// 412 entries.
func TestTurnsAreLimitedInLargeDeployments(t *testing.T) {
	const each, step, away = 100 * time.Millisecond, 50 * time.Millisecond, 5 * time.Second
	for _, entries := range []int{103, 412, 1000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := newFleet(entries, func(int) bool { return true })
			now, i := time.Now(), uint64(0)
			for _, s := range f.sources {
				i++
				s.now, s.random, s.storeFailedAt = func() time.Time { return now }, rand.New(rand.NewPCG(i, 1)).Float64, now
				s.settings.StoreCallInterval, s.settings.RetryAfter = each, time.Hour
			}
			calls, tookTurn := 0, map[string]bool{}
			for range away / step {
				now = now.Add(step)
				for name, s := range f.sources {
					if s.takeTurn() {
						calls++
						tookTurn[name] = true
					}
				}
			}
			if most := int(away / each); calls > most*3/2 {
				t.Errorf("%d calls in %s, want about %d", calls, away, most)
			}
			if len(tookTurn) != maxTurnTakers {
				t.Errorf("%d entries had a turn within %s, want %d", len(tookTurn), away, maxTurnTakers)
			}
		})
	}
}
