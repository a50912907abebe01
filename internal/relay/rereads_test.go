package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// writes are the rows that were written, each with a higher value than all before.
type writes struct {
	mu   sync.Mutex
	list []write
}

type write struct {
	row   string
	value int
	at    time.Time
}

func (w *writes) note(row string, value int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list, write{row, value, time.Now()})
}

// countedRows are the rows that the process of an entry knows. It records the first fault.
type countedRows struct {
	writes *writes

	mu    sync.Mutex
	rows  map[string]int
	fault string
}

// start forgets all, as a new process does.
func (c *countedRows) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = map[string]int{}
}

func (c *countedRows) fail(format string, args ...any) {
	if c.fault == "" {
		c.fault = fmt.Sprintf(format, args...)
	}
}

func (c *countedRows) apply(s platform.Snapshot, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range s.Records {
		n, err := strconv.Atoi(string(r.Value))
		if err != nil || n < c.rows[r.Name] {
			c.fail("%s went back from %d to %q", r.Name, c.rows[r.Name], r.Value)
		}
		c.rows[r.Name], listed[r.Name] = n, true
	}
	for name, n := range c.rows {
		if full && !listed[name] {
			c.fail("%s with %d is gone", name, n)
		}
	}
}

// confirm checks that all that was written before the given time is known.
func (c *countedRows) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	for _, w := range c.writes.list {
		if w.at.Before(at) && c.rows[w.row] < w.value {
			c.fail("%s with %d is confirmed %s after %d was written", w.row, c.rows[w.row], at.Sub(w.at), w.value)
		}
	}
}

// rereads makes random calls for changes of a member fail, so that the whole table is read again.
func (m *member) rereads(rng *rand.Rand) *platform.Store {
	store := m.source.Platform()
	changes := store.Changes
	store.Changes = func(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
		if rng.IntN(4) == 0 {
			return platform.Snapshot{}, platform.ErrHistoryGone
		}
		return changes(ctx, table, after, wait)
	}
	return store
}

// restart runs the member as several processes one after the other until ctx ends.
func (m *member) restart(ctx context.Context, c *countedRows, rng *rand.Rand) {
	for ctx.Err() == nil {
		m.log.mu.Lock()
		m.log.tables = map[string]*tableLog{}
		m.log.mu.Unlock()
		c.start()
		process, kill := context.WithTimeout(ctx, time.Duration(100+rng.IntN(900))*time.Millisecond)
		m.follow(process, m.rereads(rng), c.apply, c.confirm)
		kill()
	}
}

// Entries that read the whole table again, beside entries that lost the store, went back to older rows, and others that
// started counted these as the newest.
func TestRowsNeverGoBackWhileTablesAreReadAgain(t *testing.T) {
	var seeds sync.WaitGroup
	for seed := range uint64(8) {
		seeds.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 13))
			f, done := newMembers(t, 5), &writes{}
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			var all []*countedRows
			for i, m := range f.list {
				c := &countedRows{writes: done}
				all = append(all, c)
				running.Go(func() { m.restart(ctx, c, rand.New(rand.NewPCG(seed, uint64(i)))) })
			}
			for n := range 150 {
				row := fmt.Sprint("row-", rng.IntN(4))
				f.store.Put(table, row, strconv.Itoa(n+1))
				done.note(row, n+1)
				if cut := f.list[rng.IntN(len(f.list))]; rng.IntN(4) == 0 {
					cut.storeCutOff.Store(!cut.storeCutOff.Load())
				}
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
			cancel()
			running.Wait()
			for i, c := range all {
				if c.fault != "" {
					t.Errorf("seed %d: at e%d %s", seed, i, c.fault)
				}
			}
		})
	}
	seeds.Wait()
}
