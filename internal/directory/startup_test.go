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

// startupSim simulates a store with a limited write rate and entries that start at the same moment.
type startupSim struct {
	mu sync.Mutex
	// calls counts all calls to the store, refused the writes that it refused.
	calls, refused int
	rows           map[string][]byte
	// nextWrite is when the store accepts the next row without delay.
	nextWrite time.Time
	// hasPeer marks the entries that are in contact with another one. An entry contacts those that
	// it finds.
	hasPeer map[string]bool
	began   time.Time
}

const (
	// simRowsPerSecond is the write rate of the store, which refuses rows that would wait for
	// longer than a second.
	simRowsPerSecond = 200
	// simCallTime is the duration of a call to the store.
	simCallTime = 5 * time.Millisecond
	// simDatagramTime is the delay of a message between entries.
	simDatagramTime = 3 * time.Millisecond
)

func (c *startupSim) platformStore() *platform.Store {
	return &platform.Store{
		List: func(context.Context, string) (platform.Snapshot, error) {
			time.Sleep(simCallTime)
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
			wait, err := c.reserveWrite()
			if err != nil {
				return err
			}
			time.Sleep(wait + simCallTime)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.rows[name] = value
			return nil
		},
		Remove: func(context.Context, string, ...string) error { return nil },
	}
}

// reserveWrite returns how long a row waits until the store accepts it.
func (c *startupSim) reserveWrite() (wait time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	now := time.Now()
	if c.nextWrite.Before(now) {
		c.nextWrite = now
	}
	if wait = c.nextWrite.Sub(now); wait > time.Second {
		c.refused++
		return 0, platform.ErrUnavailable
	}
	c.nextWrite = c.nextWrite.Add(time.Second / simRowsPerSecond)
	return wait, nil
}

// others returns the callbacks of an entry that contacts those that it finds.
func (c *startupSim) others(name string, known func()) Callbacks {
	return Callbacks{
		OnList: func(listed map[string]roster.Entry) {
			for other := range listed {
				if other != name {
					time.AfterFunc(simDatagramTime, func() { c.markContact(name, other) })
				}
			}
		},
		ContactCount: func() int {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.hasPeer[name] {
				return len(c.hasPeer)
			}
			return 0
		},
		OnReady: known,
	}
}

func (c *startupSim) markContact(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.hasPeer[name] = true
	}
}

// TestHundredsThatStartTogether checks that entries which start at the same moment make few calls,
// learn of others soon, and have no row refused by a store that accepts a few hundred a second.
// Without random delays all would write at once.
func TestHundredsThatStartTogether(t *testing.T) {
	for _, tc := range []struct {
		name    string
		entries int
		// first is the setting for entries that all start together.
		first bool
		// calls is the maximum number of calls per entry, known the time by which all have learned of
		// others.
		calls float64
		known time.Duration
	}{
		{"a few", 4, true, 4, 2 * time.Second},
		{"a hundred", 103, true, 2.5, 2 * time.Second},
		{"412", 412, true, 2.2, 2 * time.Second},
		{"1,000", 1000, true, 2.2, 2 * time.Second},
		{"412 that start together, without the setting for it", 412, false, 12, 20 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &startupSim{rows: map[string][]byte{}, hasPeer: map[string]bool{}, began: time.Now()}
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
						Table: "entries", Name: name, Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: time.Hour, RenewalRetryDelay: time.Hour, CallTimeout: 10 * time.Second,
						ContactTimeout: time.Second, FirstDeployment: tc.first, FirstReadSpread: time.Second, RereadDelayMax: 300 * time.Millisecond, IntroductionDelay: 50 * time.Millisecond, SharedWriteInterval: 10 * time.Millisecond,
					}, c.platformStore(), c.others(name, sync.OnceFunc(known)), noRowData, events.Nop(), time.Now).Run(ctx)
				}
				time.Sleep(30 * time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				if each := float64(c.calls) / float64(tc.entries); each > tc.calls {
					t.Errorf("%.2f calls per entry, want %.2f at most", each, tc.calls)
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
