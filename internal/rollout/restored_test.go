package rollout

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
)

// copyRows returns a function that restores the table from the copy that is made now.
func (f *fakePlatform) copyRows() (restore func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := maps.Clone(f.rows)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rows = maps.Clone(rows)
	}
}

// follow lets processes follow the head for a while.
func (f *fleet) follow(t *testing.T, within time.Duration, who ...int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	var wg sync.WaitGroup
	for _, i := range who {
		wg.Go(func() { f.coordinator(i).Follow(ctx, time.Second) })
	}
	wg.Wait()
}

// accepted submits a change that must be accepted, and in force at each process.
func (f *fleet) accepted(t *testing.T, who int, c Change) {
	t.Helper()
	out := f.coordinator(who).Submit(t.Context(), c)
	if out.State() != Accepted {
		t.Fatalf("change %s: %+v, want accepted", c.ID, out)
	}
	f.runs(t, c)
}

// runs checks that a change is in force at each process.
func (f *fleet) runs(t *testing.T, c Change) {
	t.Helper()
	cfg, err := config.Parse("candidate", c.Source)
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range f.stores {
		if a := s.Active(); a == nil || a.Config().Hash() != cfg.Hash() {
			t.Errorf("process %d does not run change %s, which was accepted; it has version %d in force", i, c.ID, a.Version())
		}
	}
}

// After the table was restored from an older copy the version in force was given out again. A change
// was answered as accepted that no process took: each had that version, of another change.
func TestChangeAcceptedThatNoProcessTookAfterTheTableWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.accepted(t, 0, Change{ID: "c1", Source: source(1)})
		restore := f.platform.copyRows()
		f.accepted(t, 0, Change{ID: "c2", Base: 1, Source: source(2)})
		restore()
		c := Change{ID: "c3", Base: 1, Source: source(3)}
		if out := f.coordinator(1).Submit(t.Context(), c); out.State() == Accepted {
			f.runs(t, c)
		}
		f.accepted(t, 2, Change{ID: "c4", Base: f.stores[0].Active().Version(), Source: source(4)})
	})
}

// A process that started after the table was restored from an older copy ran the configuration of the
// copy, and the others the later one, for as long as no operator changed it.
func TestProcessesDisagreedAfterTheTableWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.accepted(t, 0, Change{ID: "c1", Source: source(1)})
		restore := f.platform.copyRows()
		last := Change{ID: "c2", Base: 1, Source: source(2)}
		f.accepted(t, 0, last)
		restore()
		f.stores[3] = NewStore("p3", "z3", events.Nop())
		f.follow(t, 5*time.Second, 0, 1, 2, 3)
		f.runs(t, last)
		if out, err := f.coordinator(3).Status(t.Context(), last.ID); err != nil || out.State() != Accepted {
			t.Errorf("status of the change in force: %+v, %v; it was accepted", out, err)
		}
		f.accepted(t, 3, Change{ID: "c3", Base: 2, Source: source(3)})
	})
}

// TestRandomRestores submits changes from racing coordinators while the table is restored from copies
// at any moment, and checks that what was accepted is in force at each process until a later change is.
func TestRandomRestores(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(4)
				rng := rand.New(rand.NewPCG(seed, 1))
				last := Change{ID: "c0", Source: source(1)}
				f.accepted(t, 0, last)
				restore := f.platform.copyRows()
				for n := 1; n < 40; n++ {
					if rng.IntN(3) == 0 {
						restore = f.platform.copyRows()
					}
					if rng.IntN(3) == 0 {
						restore()
					}
					if rng.IntN(4) == 0 {
						f.follow(t, time.Second, 0, 1, 2, 3)
					}
					base := f.stores[rng.IntN(4)].Active().Version()
					c := Change{ID: fmt.Sprint("c", n), Base: base - config.Version(rng.IntN(2)), Source: source(n%9 + 2)}
					out := f.coordinator(rng.IntN(4)).Submit(t.Context(), c)
					if out.State() == Accepted {
						last = c
					}
					f.runs(t, last)
					if t.Failed() {
						t.Fatalf("round %d, after %+v", n, out)
					}
				}
			})
		})
	}
}

// The copy may lack the rows of a change whose content is still to be read, and the object store may be
// away: what is in force stays, and the head is written once it can be.
func TestHeadIsWrittenAgainOnceTheTableTakesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		restore := f.platform.copyRows()
		last := Change{ID: "c1", Source: source(1)}
		f.accepted(t, 0, last)
		restore()
		f.platform.out = true
		if err := f.coordinator(0).Refresh(t.Context()); !errors.Is(err, platform.ErrUnknownOutcome) {
			t.Errorf("refresh while the table is away: %v", err)
		}
		f.platform.out = false
		f.follow(t, 3*time.Second, 0, 1)
		f.runs(t, last)
		h, _, err := f.coordinator(0).readHead(t.Context())
		if err != nil || h.Version != 1 || !h.Accepted {
			t.Errorf("head %+v, %v; want version 1, accepted", h, err)
		}
	})
}

// The copy may lack only the mark that the head is in force, and the object store the content: both are
// written again.
func TestMarkOfTheHeadAfterTheTableWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.onActivate = func(int) error { return errCut }
		last := Change{ID: "c1", Source: source(1)}
		if out := f.coordinator(0).Submit(t.Context(), last); out.State() != Committed {
			t.Fatalf("outcome %+v, want committed", out)
		}
		f.onActivate = nil
		restore := f.platform.copyRows()
		f.follow(t, 3*time.Second, 0)
		f.runs(t, last)
		restore()
		clear(f.platform.objects)
		if err := f.coordinator(1).Refresh(t.Context()); err != nil {
			t.Error(err)
		}
		h, _, err := f.coordinator(1).readHead(t.Context())
		if err != nil || !h.Accepted || f.platform.objects[h.Hash] == nil {
			t.Errorf("head %+v, %v; want it accepted, with its content", h, err)
		}
	})
}

// Revisions of the head's row were given out again, and a coordinator that had read the row before the
// restore overwrote a change that had been committed since at the same revision.
func TestRevisionGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.accepted(t, 0, Change{ID: "c1", Source: source(1)})
		restore := f.platform.copyRows()
		f.accepted(t, 0, Change{ID: "c2", Base: 1, Source: source(2)})
		table := f.platform.table()
		commit := table.Commit
		var once sync.Once
		table.Commit = func(ctx context.Context, writes ...platform.Write) error {
			once.Do(func() {
				restore()
				f.onActivate = func(int) error { return errCut }
				if out := f.coordinator(1).Submit(ctx, Change{ID: "c3", Base: 2, Source: source(3)}); out.State() != Committed {
					t.Errorf("outcome %+v, want committed", out)
				}
				f.onActivate = nil
			})
			return commit(ctx, writes...)
		}
		late := NewCoordinator(f.stores[0], table, f.platform.store(), f.targets, events.Nop(), DefaultDeadlines(), time.Now)
		if out := late.Submit(t.Context(), Change{ID: "c4", Base: 2, Source: source(4)}); out.State() != Refused {
			t.Errorf("the change that came too late: %+v, want refused", out)
		}
		f.follow(t, 3*time.Second, 0, 1)
		f.runs(t, Change{ID: "c3", Source: source(3)})
	})
}

// A change that was committed before the table was restored, and taken only then, had another one's head
// marked as in force everywhere: they have one version.
func TestAnotherChangeOfTheVersionIsNotMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.accepted(t, 0, Change{ID: "c1", Source: source(1)})
		restore := f.platform.copyRows()
		f.onActivate = func(int) error { return errCut }
		lost := head{Version: 2, Change: "lost"}
		if out := f.coordinator(0).Submit(t.Context(), Change{ID: lost.Change, Base: 1, Source: source(2)}); out.State() != Committed {
			t.Fatalf("outcome %+v, want committed", out)
		}
		restore()
		if out := f.coordinator(0).Submit(t.Context(), Change{ID: "kept", Base: 1, Source: source(3)}); out.State() != Committed {
			t.Fatalf("outcome %+v, want committed", out)
		}
		if _, err := f.coordinator(0).recordAccepted(t.Context(), lost); !errors.Is(err, errOtherChange) {
			t.Errorf("mark the lost change: %v, want %v", err, errOtherChange)
		}
		if h, _, err := f.coordinator(0).readHead(t.Context()); err != nil || h.Change != "kept" || h.Accepted {
			t.Errorf("head %+v, %v; want the change that was kept, not marked", h, err)
		}
	})
}

// An earlier release states neither the version that a change is to get nor the change in force.
func TestRestoreBesideAnEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.accepted(t, 0, Change{ID: "c1", Source: source(1)})
		cfg, err := config.Parse("candidate", source(2))
		if err != nil {
			t.Fatal(err)
		}
		c := f.coordinator(0)
		for version, refused := range map[config.Version]bool{1: true, 2: false, 0: false} {
			cand := c.candidate(Change{ID: "c2"}, version, cfg)
			cand.params.Parts = cand.all
			if r := f.stores[0].stageParts(cand.params); (r.Refused != "") != refused {
				t.Errorf("a change that would get version %d: %+v, want it refused: %v", version, r, refused)
			}
		}
		h := head{Version: 1, Change: "c1", Accepted: true}
		for _, tc := range []struct {
			name   string
			result activateResult
			want   bool
		}{
			{"the change", activateResult{Mark: config.MarkOf(1, true), Change: "c1"}, true},
			{"another change of this version", activateResult{Mark: config.MarkOf(1, true), Change: "c2"}, false},
			{"a later version", activateResult{Mark: config.MarkOf(2, false), Change: "c2"}, true},
			{"a lower version", activateResult{Mark: config.MarkOf(0, true)}, false},
			{"this version of an earlier release", activateResult{Mark: config.MarkOf(1, true)}, true},
		} {
			if got := tc.result.runs(h); got != tc.want {
				t.Errorf("%s: in force %v, want %v", tc.name, got, tc.want)
			}
		}
	})
}
