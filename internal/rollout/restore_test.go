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

// snapshotRows copies the rows of the table and returns a function that restores the table from this copy.
func (f *fakePlatform) snapshotRows() (restore func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := maps.Clone(f.rows)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rows = maps.Clone(rows)
	}
}

// runFollowers runs Follow in the given processes for a time and waits until they have returned.
func (f *cluster) runFollowers(t *testing.T, within time.Duration, processes ...int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	var wg sync.WaitGroup
	for _, i := range processes {
		wg.Go(func() { f.coordinator(i).Follow(ctx, time.Second) })
	}
	wg.Wait()
}

// mustAccept submits a change and checks that it is accepted and in force at each process.
func (f *cluster) mustAccept(t *testing.T, process int, c Change) {
	t.Helper()
	out := f.coordinator(process).Submit(t.Context(), c)
	if out.State() != Accepted {
		t.Fatalf("change %s: %+v, want accepted", c.ID, out)
	}
	f.checkInForce(t, c)
}

// checkInForce checks that a change is in force at each process.
func (f *cluster) checkInForce(t *testing.T, c Change) {
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

// Guards against an accepted change that no process has in force. A table that was restored from an older copy
// assigns the version in force a second time. The processes then ignore the new change, since they already
// have its version from another change.
func TestAcceptedChangeIsInForceAfterTableRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(4)
		f.mustAccept(t, 0, Change{ID: "c1", Source: source(1)})
		restore := f.platform.snapshotRows()
		f.mustAccept(t, 0, Change{ID: "c2", Base: 1, Source: source(2)})
		restore()
		c := Change{ID: "c3", Base: 1, Source: source(3)}
		if out := f.coordinator(1).Submit(t.Context(), c); out.State() == Accepted {
			f.checkInForce(t, c)
		}
		f.mustAccept(t, 2, Change{ID: "c4", Base: f.stores[0].Active().Version(), Source: source(4)})
	})
}

// Guards against processes with different configurations. A process that starts after the table was restored
// from an older copy reads the configuration of that copy, while the others keep the later one until an
// operator submits a change.
func TestProcessesAgreeAfterTableRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(4)
		f.mustAccept(t, 0, Change{ID: "c1", Source: source(1)})
		restore := f.platform.snapshotRows()
		last := Change{ID: "c2", Base: 1, Source: source(2)}
		f.mustAccept(t, 0, last)
		restore()
		f.stores[3] = NewStore("p3", "z3", events.Nop())
		f.runFollowers(t, 5*time.Second, 0, 1, 2, 3)
		f.checkInForce(t, last)
		if out, err := f.coordinator(3).Status(t.Context(), last.ID); err != nil || out.State() != Accepted {
			t.Errorf("status of the change in force: %+v, %v; it was accepted", out, err)
		}
		f.mustAccept(t, 3, Change{ID: "c3", Base: 2, Source: source(3)})
	})
}

// TestRandomRestores submits changes from random coordinators and restores the table from older copies between
// them. It checks that an accepted change is in force at each process until a later change is accepted.
func TestRandomRestores(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCluster(4)
				rng := rand.New(rand.NewPCG(seed, 1))
				last := Change{ID: "c0", Source: source(1)}
				f.mustAccept(t, 0, last)
				restore := f.platform.snapshotRows()
				for n := 1; n < 40; n++ {
					if rng.IntN(3) == 0 {
						restore = f.platform.snapshotRows()
					}
					if rng.IntN(3) == 0 {
						restore()
					}
					if rng.IntN(4) == 0 {
						f.runFollowers(t, time.Second, 0, 1, 2, 3)
					}
					base := f.stores[rng.IntN(4)].Active().Version()
					c := Change{ID: fmt.Sprint("c", n), Base: base - config.Version(rng.IntN(2)), Source: source(n%9 + 2)}
					out := f.coordinator(rng.IntN(4)).Submit(t.Context(), c)
					if out.State() == Accepted {
						last = c
					}
					f.checkInForce(t, last)
					if t.Failed() {
						t.Fatalf("round %d, after %+v", n, out)
					}
				}
			})
		})
	}
}

// The older copy may lack the records of the change in force, and the table may be unavailable when a process
// tries to restore them. The configuration in force must stay, and the head must be written once the table is
// available again.
func TestHeadIsRestoredAfterTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(2)
		restore := f.platform.snapshotRows()
		last := Change{ID: "c1", Source: source(1)}
		f.mustAccept(t, 0, last)
		restore()
		f.platform.unavailable = true
		if err := f.coordinator(0).Refresh(t.Context()); !errors.Is(err, platform.ErrUnknownOutcome) {
			t.Errorf("refresh while the table is away: %v", err)
		}
		f.platform.unavailable = false
		f.runFollowers(t, 3*time.Second, 0, 1)
		f.checkInForce(t, last)
		h, _, err := f.coordinator(0).readHead(t.Context())
		if err != nil || h.Version != 1 || !h.Accepted {
			t.Errorf("head %+v, %v; want version 1, accepted", h, err)
		}
	})
}

// The older copy may lack only the mark that the head is accepted, and the object store may lack the content.
// Both must be written again.
func TestAcceptedMarkAndContentAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(2)
		f.onActivate = func(int) error { return errDisconnected }
		last := Change{ID: "c1", Source: source(1)}
		if out := f.coordinator(0).Submit(t.Context(), last); out.State() != Committed {
			t.Fatalf("outcome %+v, want committed", out)
		}
		f.onActivate = nil
		restore := f.platform.snapshotRows()
		f.runFollowers(t, 3*time.Second, 0)
		f.checkInForce(t, last)
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

// Guards against a lost change. A restored table assigns revisions of the head record a second time. A
// coordinator that read the record before the restore must not overwrite a change that was committed since
// with the same revision.
func TestReusedRevisionDoesNotOverwriteChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(2)
		f.mustAccept(t, 0, Change{ID: "c1", Source: source(1)})
		restore := f.platform.snapshotRows()
		f.mustAccept(t, 0, Change{ID: "c2", Base: 1, Source: source(2)})
		table := f.platform.table()
		commit := table.Commit
		var once sync.Once
		table.Commit = func(ctx context.Context, writes ...platform.Write) error {
			once.Do(func() {
				restore()
				f.onActivate = func(int) error { return errDisconnected }
				if out := f.coordinator(1).Submit(ctx, Change{ID: "c3", Base: 2, Source: source(3)}); out.State() != Committed {
					t.Errorf("outcome %+v, want committed", out)
				}
				f.onActivate = nil
			})
			return commit(ctx, writes...)
		}
		lateCoordinator := NewCoordinator(f.stores[0], table, f.platform.store(), f.targets, events.Nop(), DefaultDeadlines(), time.Now)
		if out := lateCoordinator.Submit(t.Context(), Change{ID: "c4", Base: 2, Source: source(4)}); out.State() != Refused {
			t.Errorf("the change based on the record from before the restore: %+v, want refused", out)
		}
		f.runFollowers(t, 3*time.Second, 0, 1)
		f.checkInForce(t, Change{ID: "c3", Source: source(3)})
	})
}

// Guards against marking the wrong change as accepted. After a restore, two changes can have the same version:
// one committed before the restore and confirmed after it, and one committed after the restore. Confirming
// the first must not mark the head of the second.
func TestOtherChangeWithSameVersionIsNotMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(1)
		f.mustAccept(t, 0, Change{ID: "c1", Source: source(1)})
		restore := f.platform.snapshotRows()
		f.onActivate = func(int) error { return errDisconnected }
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

// An earlier release sends neither the version that a change gets in a stage call, nor the change in force in
// the reply to an activate call.
func TestRestoreWithProcessesOfEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(1)
		f.mustAccept(t, 0, Change{ID: "c1", Source: source(1)})
		cfg, err := config.Parse("candidate", source(2))
		if err != nil {
			t.Fatal(err)
		}
		c := f.coordinator(0)
		for version, refused := range map[config.Version]bool{1: true, 2: false, 0: false} {
			cand := c.candidate(Change{ID: "c2"}, version, cfg)
			cand.params.ChunkContents = cand.contents
			if r := f.stores[0].stageChunks(cand.params); (r.Refused != "") != refused {
				t.Errorf("a change that would get version %d: %+v, want it refused: %v", version, r, refused)
			}
		}
		h := head{Version: 1, Change: "c1", Accepted: true}
		for _, tc := range []struct {
			name   string
			result activateResult
			want   bool
		}{
			{"the same change", activateResult{Mark: config.MarkOf(1, true), Change: "c1"}, true},
			{"another change with this version", activateResult{Mark: config.MarkOf(1, true), Change: "c2"}, false},
			{"a later version", activateResult{Mark: config.MarkOf(2, false), Change: "c2"}, true},
			{"a lower version", activateResult{Mark: config.MarkOf(0, true)}, false},
			{"this version reported by an earlier release", activateResult{Mark: config.MarkOf(1, true)}, true},
		} {
			if got := tc.result.atLeast(h); got != tc.want {
				t.Errorf("%s: in force %v, want %v", tc.name, got, tc.want)
			}
		}
	})
}
