package lease

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// fakeTable holds one row. It can be unavailable, or store a write and lose the reply.
type fakeTable struct {
	row         platform.Row
	unavailable bool
	lostReplies int
}

func (f *fakeTable) table() *platform.Table {
	return &platform.Table{
		Get: func(context.Context, platform.Key) (platform.Row, error) {
			switch {
			case f.unavailable:
				return platform.Row{}, platform.ErrUnknownOutcome
			case f.row.Revision == 0:
				return platform.Row{}, platform.ErrNotFound
			}
			return f.row, nil
		},
		Commit: func(_ context.Context, writes ...platform.Write) error {
			w := writes[0].Row
			switch {
			case f.unavailable:
				return platform.ErrUnknownOutcome
			case w.Revision != f.row.Revision+1 || writes[0].Expected != nil && !bytes.Equal(writes[0].Expected, f.row.Value):
				return platform.ErrConflict
			}
			f.row = w
			if f.lostReplies > 0 {
				f.lostReplies--
				return platform.ErrUnknownOutcome
			}
			return nil
		},
	}
}

var settings = Settings{Term: time.Minute, Skew: time.Second}

func TestSuccessorWaitsUntilLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{}
		a := New(f.table(), "u", "a", settings, time.Now)
		b := New(f.table(), "u", "b", settings, time.Now)
		if err := a.Renew(t.Context()); err != nil || !a.Valid() || !a.FirstHolder() || a.Fence() != 1 {
			t.Fatalf("first holder: %v, valid %v, first %v, fence %d", err, a.Valid(), a.FirstHolder(), a.Fence())
		}
		for range 60 {
			if err := b.Renew(t.Context()); !errors.Is(err, ErrHeld) {
				t.Fatalf("successor within the term: %v", err)
			}
			if b.Valid() {
				t.Fatal("both hold the lease")
			}
			time.Sleep(time.Second)
		}
		if a.Valid() {
			t.Error("the lease outlived its term")
		}
		time.Sleep(settings.Skew)
		if err := b.Renew(t.Context()); err != nil || !b.Valid() || b.FirstHolder() || b.Fence() != 2 {
			t.Errorf("successor: %v, valid %v, first %v, fence %d", err, b.Valid(), b.FirstHolder(), b.Fence())
		}
		if err := a.Renew(t.Context()); !errors.Is(err, ErrHeld) {
			t.Errorf("old holder: %v", err)
		}
	})
}

func TestReleaseIsFinalAndLetsSuccessorAcquireAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{}
		a := New(f.table(), "u", "a", settings, time.Now)
		b := New(f.table(), "u", "b", settings, time.Now)
		if err := a.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := a.Release(t.Context()); err != nil || a.Valid() {
			t.Fatalf("release: %v", err)
		}
		if err := a.Renew(t.Context()); !errors.Is(err, ErrReleased) {
			t.Errorf("renewal after release: %v", err)
		}
		if err := b.Renew(t.Context()); err != nil || !b.Valid() {
			t.Errorf("successor: %v", err)
		}
	})
}

func TestRenewalAfterOutageKeepsTimeOfAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{}
		a := New(f.table(), "u", "a", settings, time.Now)
		if err := a.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		since := a.Since()
		f.unavailable = true
		time.Sleep(2 * time.Minute)
		if err := a.Renew(t.Context()); err == nil || a.Valid() {
			t.Fatalf("during the outage: %v, valid %v", err, a.Valid())
		}
		f.unavailable = false
		if err := a.Renew(t.Context()); err != nil || !a.Valid() || !a.Since().Equal(since) {
			t.Errorf("after the outage: %v, valid %v, since %v, want %v", err, a.Valid(), a.Since(), since)
		}
	})
}

func TestRenewalAfterLostReplyAcquiresLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{lostReplies: 1}
		a := New(f.table(), "u", "a", settings, time.Now)
		if err := a.Renew(t.Context()); !errors.Is(err, platform.ErrUnknownOutcome) || a.Valid() {
			t.Fatalf("lost reply: %v, valid %v", err, a.Valid())
		}
		time.Sleep(time.Second)
		if err := a.Renew(t.Context()); err != nil || !a.Valid() {
			t.Errorf("second attempt: %v", err)
		}
	})
}

// TestRenewalsAfterOutageStayWithinWriteBudget guards against a burst of writes when the table recovers
// and all sidecars renew their leases. It runs the renewal loop of 870 sidecars on a table that is
// unavailable for ten minutes, and counts the writes in each second after that.
func TestRenewalsAfterOutageStayWithinWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sidecars, budget = 870, 100
		var mu sync.Mutex
		rows := map[string]platform.Row{}
		unavailable := false
		perSecond := map[int64]int{}
		table := &platform.Table{
			Get: func(_ context.Context, k platform.Key) (platform.Row, error) {
				mu.Lock()
				defer mu.Unlock()
				if unavailable {
					return platform.Row{}, platform.ErrUnknownOutcome
				}
				r, ok := rows[k.Name]
				if !ok {
					return r, platform.ErrNotFound
				}
				return r, nil
			},
			Commit: func(_ context.Context, w ...platform.Write) error {
				mu.Lock()
				defer mu.Unlock()
				perSecond[time.Now().Unix()]++
				rows[w[0].Row.Key.Name] = w[0].Row
				return nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		start := func(i int) {
			l := New(table, fmt.Sprint("u", i), fmt.Sprint("h", i), Settings{Term: 10 * time.Minute, Skew: time.Second}, time.Now)
			wg.Go(func() { l.RenewUntilDone(ctx, func(bool, error) {}) })
		}
		for i := range sidecars {
			start(i)
			time.Sleep(20 * time.Millisecond)
		}
		setUnavailable := func(v bool) {
			mu.Lock()
			defer mu.Unlock()
			unavailable = v
		}
		setUnavailable(true)
		time.Sleep(10 * time.Minute)
		setUnavailable(false)
		recoveredAt := time.Now().Unix()
		time.Sleep(10 * time.Minute)
		cancel()
		wg.Wait()
		worst, total := 0, 0
		for second, n := range perSecond {
			if second >= recoveredAt {
				worst = max(worst, n)
				total += n
			}
		}
		t.Logf("after the outage: %d writes in 10 minutes, at most %d in a second", total, worst)
		if worst > budget {
			t.Errorf("%d writes in one second", worst)
		}
		if total < sidecars {
			t.Errorf("%d writes for %d leases", total, sidecars)
		}
	})
}
