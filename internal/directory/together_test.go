package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// crowd is entries that start at the same moment, and a store that takes some rows a second.
type crowd struct {
	mu sync.Mutex
	// calls counts all, and refused those of them that the store refused.
	calls, refused int
	rows           map[string][]byte
	// free is when the store takes the next row without delay.
	free time.Time
	// hears tells which entries hear another one: who finds one speaks to it.
	hears map[string]bool
	began time.Time
}

const (
	// crowdRows is the number of rows that the store takes in a second; it refuses those that
	// would wait for longer than that.
	crowdRows = 200
	// crowdCall is the time that a call takes.
	crowdCall = 5 * time.Millisecond
	// crowdWay is the time until an entry that is spoken to hears it.
	crowdWay = 3 * time.Millisecond
)

func (c *crowd) seam() *platform.Store {
	return &platform.Store{
		List: func(context.Context, string) (platform.Snapshot, error) {
			time.Sleep(crowdCall)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.calls++
			s := platform.Snapshot{Clock: time.Since(c.began) + time.Hour}
			for name, value := range c.rows {
				s.Records = append(s.Records, platform.Record{Name: name, Value: value})
			}
			return s, nil
		},
		Put: func(_ context.Context, _, name string, value []byte) error {
			wait, err := c.takeRow()
			if err != nil {
				return err
			}
			time.Sleep(wait + crowdCall)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.rows[name] = value
			return nil
		},
		Remove: func(context.Context, string, ...string) error { return nil },
	}
}

// takeRow returns how long a row waits until the store takes it.
func (c *crowd) takeRow() (wait time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	now := time.Now()
	if c.free.Before(now) {
		c.free = now
	}
	if wait = c.free.Sub(now); wait > time.Second {
		c.refused++
		return 0, platform.ErrUnavailable
	}
	c.free = c.free.Add(time.Second / crowdRows)
	return wait, nil
}

// others are those of an entry: it speaks to those that it finds.
func (c *crowd) others(name string, known func()) Others {
	return Others{
		Found: func(listed map[string]roster.Entry) {
			for other := range listed {
				if other != name {
					time.AfterFunc(crowdWay, func() { c.hear(name, other) })
				}
			}
		},
		Heard: func() int {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.hears[name] {
				return len(c.hears)
			}
			return 0
		},
		Known: known,
	}
}

func (c *crowd) hear(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.hears[name] = true
	}
}

// TestHundredsThatStartTogether: each reads the list and writes its row, and few do so again. All
// know of others soon, and no row is refused by a store that takes some hundred a second.
func TestHundredsThatStartTogether(t *testing.T) {
	for _, tc := range []struct {
		name    string
		entries int
		// first tells that the entries know that all start together.
		first bool
		// calls is the most for each entry, known the time by which all know of others.
		calls float64
		known time.Duration
	}{
		{"a few", 4, true, 4, 2 * time.Second},
		{"a hundred", 103, true, 2.5, 2 * time.Second},
		{"412", 412, true, 2.2, 2 * time.Second},
		{"1,000", 1000, true, 2.2, 2 * time.Second},
		{"412 of which none knows that others start", 412, false, 12, 20 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &crowd{rows: map[string][]byte{}, hears: map[string]bool{}, began: time.Now()}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var last time.Duration
				for i := range tc.entries {
					name := fmt.Sprintf("e%04d", i)
					known := func() {
						c.mu.Lock()
						defer c.mu.Unlock()
						last = max(last, time.Since(c.began))
					}
					go New(Settings{
						Table: "entries", Name: name, Entry: roster.Entry{Address: "10.0.0.9:1"}, Every: time.Hour, Again: time.Hour, CallWithin: 10 * time.Second,
						HeardWithin: time.Second, Together: tc.first, TogetherWithin: time.Second, AloneWithin: 300 * time.Millisecond, ToldWithin: 50 * time.Millisecond, WriteEach: 10 * time.Millisecond,
					}, c.seam(), c.others(name, sync.OnceFunc(known)), nothing, events.Nop(), time.Now).Run(ctx)
				}
				time.Sleep(30 * time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				if each := float64(c.calls) / float64(tc.entries); each > tc.calls {
					t.Errorf("%.2f calls for each entry, want %.2f at most", each, tc.calls)
				}
				if tc.first && c.refused > 0 {
					t.Errorf("%d rows were refused", c.refused)
				}
				if len(c.rows) != tc.entries || last > tc.known {
					t.Errorf("%d of %d listed, others known after %s, want %s", len(c.rows), tc.entries, last, tc.known)
				}
				cancel()
				c.mu.Unlock()
				synctest.Wait()
				c.mu.Lock()
			})
		})
	}
}
