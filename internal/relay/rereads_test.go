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

// countedRows are the rows that a follower was told, whose values only rise in the store. It records the first that
// went back.
type countedRows struct {
	mu    sync.Mutex
	rows  map[string]int
	fault string
}

func (c *countedRows) apply(s platform.Snapshot, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range s.Records {
		n, err := strconv.Atoi(string(r.Value))
		if c.fault == "" && (err != nil || n < c.rows[r.Name]) {
			c.fault = fmt.Sprintf("%s went back from %d to %q", r.Name, c.rows[r.Name], r.Value)
		}
		c.rows[r.Name], listed[r.Name] = n, true
	}
	for name, n := range c.rows {
		if full && !listed[name] && c.fault == "" {
			c.fault = fmt.Sprintf("%s with %d is gone", name, n)
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

// Entries that read the whole table again, beside entries that lost the store, went back to older rows.
func TestRowsNeverGoBackWhileTablesAreReadAgain(t *testing.T) {
	var seeds sync.WaitGroup
	for seed := range uint64(8) {
		seeds.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 13))
			var all []*countedRows
			f := newFollowersWith(t, 5, func(i int, m *member) (*platform.Store, func(s platform.Snapshot, full bool)) {
				c := &countedRows{rows: map[string]int{}}
				all = append(all, c)
				return m.rereads(rand.New(rand.NewPCG(seed, uint64(i)))), c.apply
			})
			for n := range 150 {
				f.store.Put(table, fmt.Sprint("row-", rng.IntN(4)), strconv.Itoa(n+1))
				if cut := f.list[rng.IntN(len(f.list))]; rng.IntN(4) == 0 {
					cut.storeCutOff.Store(!cut.storeCutOff.Load())
				}
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
			for i, c := range all {
				c.mu.Lock()
				if c.fault != "" {
					t.Errorf("seed %d: at e%d %s", seed, i, c.fault)
				}
				c.mu.Unlock()
			}
		})
	}
	seeds.Wait()
}
