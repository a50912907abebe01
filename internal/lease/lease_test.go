package lease

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// fakeTable keeps one row and can lose a reply or be out.
type fakeTable struct {
	row   platform.Row
	out   bool
	loses int
}

func (f *fakeTable) table() *platform.Table {
	return &platform.Table{
		Get: func(context.Context, platform.Key) (platform.Row, error) {
			switch {
			case f.out:
				return platform.Row{}, platform.ErrUnknownOutcome
			case f.row.Revision == 0:
				return platform.Row{}, platform.ErrNotFound
			}
			return f.row, nil
		},
		Commit: func(_ context.Context, writes ...platform.Write) error {
			w := writes[0].Row
			switch {
			case f.out:
				return platform.ErrUnknownOutcome
			case w.Revision != f.row.Revision+1:
				return platform.ErrConflict
			}
			f.row = w
			if f.loses > 0 {
				f.loses--
				return platform.ErrUnknownOutcome
			}
			return nil
		},
	}
}

var settings = Settings{Term: time.Minute, Skew: time.Second}

func TestSuccessorWaitsForTheEndOfTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{}
		a := New(f.table(), "u", "a", settings, time.Now)
		b := New(f.table(), "u", "b", settings, time.Now)
		if err := a.Renew(t.Context()); err != nil || !a.Valid() || !a.First() || a.Fence() != 1 {
			t.Fatalf("first holder: %v, valid %v, first %v, fence %d", err, a.Valid(), a.First(), a.Fence())
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
		if err := b.Renew(t.Context()); err != nil || !b.Valid() || b.First() || b.Fence() != 2 {
			t.Errorf("successor: %v, valid %v, first %v, fence %d", err, b.Valid(), b.First(), b.Fence())
		}
		if err := a.Renew(t.Context()); !errors.Is(err, ErrHeld) {
			t.Errorf("old holder: %v", err)
		}
	})
}

func TestReleaseLetsASuccessorInAtOnceAndIsFinal(t *testing.T) {
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

func TestRenewalAcrossAnOutageKeepsTheTimeSinceWhichItIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{}
		a := New(f.table(), "u", "a", settings, time.Now)
		if err := a.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		since := a.Since()
		f.out = true
		time.Sleep(2 * time.Minute)
		if err := a.Renew(t.Context()); err == nil || a.Valid() {
			t.Fatalf("during the outage: %v, valid %v", err, a.Valid())
		}
		f.out = false
		if err := a.Renew(t.Context()); err != nil || !a.Valid() || !a.Since().Equal(since) {
			t.Errorf("after the outage: %v, valid %v, since %v, want %v", err, a.Valid(), a.Since(), since)
		}
	})
}

func TestLostReplyIsSettledByReadingAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{loses: 1}
		a := New(f.table(), "u", "a", settings, time.Now)
		if err := a.Renew(t.Context()); !errors.Is(err, platform.ErrUnknownOutcome) || a.Valid() {
			t.Fatalf("lost reply: %v, valid %v", err, a.Valid())
		}
		time.Sleep(time.Second)
		if err := a.Renew(t.Context()); err != nil || !a.Valid() {
			t.Errorf("second try: %v", err)
		}
	})
}
