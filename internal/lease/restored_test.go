package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// TestHolderAfterTableRestore guards against two failures after the table is restored from a copy that is
// older than the lease. The holder can take its lease for the first one ever, and then runs a key without
// a time of issue again that an earlier holder has run. Or it loses the lease to an earlier holder that no
// longer runs, and refuses keys until the deadline of that holder.
func TestHolderAfterTableRestore(t *testing.T) {
	for _, tc := range []struct {
		name string
		// restoredRow returns the row that the copy contains.
		restoredRow func(beforeAll, underFirst platform.Row) platform.Row
	}{
		{"copy from before the first holder", func(before, _ platform.Row) platform.Row { return before }},
		{"copy with the lease of the first holder", func(_, first platform.Row) platform.Row { return first }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTable{}
				a := New(f.table(), "u", "a", settings, time.Now)
				b := New(f.table(), "u", "b", settings, time.Now)
				before := f.row
				renew(t, a)
				first := f.row
				if err := a.Release(t.Context()); err != nil {
					t.Fatal(err)
				}
				renew(t, b)
				since, fence := b.Since(), b.Fence()
				f.row = tc.restoredRow(before, first)
				time.Sleep(settings.Term / renewalsPerTerm)
				renew(t, b)
				if b.FirstHolder() || !b.Since().Equal(since) || b.Fence() != fence {
					t.Errorf("first %v, since %s later, fence %d; want the lease from before the restore, fence %d", b.FirstHolder(), b.Since().Sub(since), b.Fence(), fence)
				}
				time.Sleep(settings.Term + settings.Skew)
				c := New(f.table(), "u", "c", settings, time.Now)
				renew(t, c)
				if c.FirstHolder() || c.Fence() <= fence {
					t.Errorf("next holder: first %v, fence %d, want a fence above %d", c.FirstHolder(), c.Fence(), fence)
				}
			})
		})
	}
}

// TestLapsedHolderAfterTableRestore guards against a holder that takes its expired lease up again after a
// restore, although there may have been a successor that the copy does not contain.
func TestLapsedHolderAfterTableRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{}
		b := New(f.table(), "u", "b", settings, time.Now)
		empty := f.row
		renew(t, b)
		time.Sleep(settings.Term + settings.Skew)
		since, fence := b.Since(), b.Fence()
		f.row = empty
		renew(t, b)
		if b.FirstHolder() || !b.Since().After(since) || b.Fence() <= fence {
			t.Errorf("first %v, since %s later, fence %d; want a new lease", b.FirstHolder(), b.Since().Sub(since), b.Fence())
		}
	})
}

func renew(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Renew(t.Context()); err != nil || !l.Valid() {
		t.Fatalf("renew: %v, valid %v", err, l.Valid())
	}
}
