package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// A table was restored from a copy older than the lease. The holder took its lease for the first one that
// there ever was, so a key without time of issue that had run at an earlier holder ran again; or it lost
// the lease to a holder that is long gone, and refused keys until that one's deadline.
func TestHolderAfterTheTableWasRestored(t *testing.T) {
	for _, tc := range []struct {
		name string
		// copied is when the table was copied.
		copied func(beforeAll, underFirst platform.Row) platform.Row
	}{
		{"from before the first holder", func(before, _ platform.Row) platform.Row { return before }},
		{"from the time of the holder before", func(_, first platform.Row) platform.Row { return first }},
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
				f.row = tc.copied(before, first)
				time.Sleep(settings.Term / renewals)
				renew(t, b)
				if b.First() || !b.Since().Equal(since) || b.Fence() != fence {
					t.Errorf("first %v, since %s later, fence %d; want the lease of before, fence %d", b.First(), b.Since().Sub(since), b.Fence(), fence)
				}
				time.Sleep(settings.Term + settings.Skew)
				c := New(f.table(), "u", "c", settings, time.Now)
				renew(t, c)
				if c.First() || c.Fence() <= fence {
					t.Errorf("the next holder: first %v, fence %d, want one above %d", c.First(), c.Fence(), fence)
				}
			})
		})
	}
}

// A holder whose lease ran out meanwhile may have had a successor that the copy does not show.
func TestLapsedHolderAfterTheTableWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{}
		b := New(f.table(), "u", "b", settings, time.Now)
		empty := f.row
		renew(t, b)
		time.Sleep(settings.Term + settings.Skew)
		since, fence := b.Since(), b.Fence()
		f.row = empty
		renew(t, b)
		if b.First() || !b.Since().After(since) || b.Fence() <= fence {
			t.Errorf("first %v, since %s later, fence %d; want a new lease", b.First(), b.Since().Sub(since), b.Fence())
		}
	})
}

func renew(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Renew(t.Context()); err != nil || !l.Valid() {
		t.Fatalf("renew: %v, valid %v", err, l.Valid())
	}
}
