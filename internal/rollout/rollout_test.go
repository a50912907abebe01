package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
)

// fakePlatform is an in-memory table and object store that can be unavailable or lose replies.
type fakePlatform struct {
	mu          sync.Mutex
	rows        map[platform.Key]platform.Row
	objects     map[string][]byte
	unavailable bool
	lostReplies int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[platform.Key]platform.Row{}, objects: map[string][]byte{}}
}

func (f *fakePlatform) table() *platform.Table {
	return &platform.Table{Get: f.get, Commit: f.commit}
}

func (f *fakePlatform) get(_ context.Context, k platform.Key) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return platform.Row{}, platform.ErrUnknownOutcome
	}
	r, ok := f.rows[k]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return r, nil
}

func (f *fakePlatform) commit(_ context.Context, writes ...platform.Write) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return platform.ErrUnknownOutcome
	}
	for _, w := range writes {
		before := f.rows[w.Row.Key]
		if before.Revision != w.Row.Revision-1 || w.Expected != nil && !bytes.Equal(before.Value, w.Expected) {
			return platform.ErrConflict
		}
	}
	for _, w := range writes {
		f.rows[w.Row.Key] = w.Row
	}
	if f.lostReplies > 0 {
		f.lostReplies--
		return platform.ErrUnknownOutcome
	}
	return nil
}

func (f *fakePlatform) store() *platform.Objects {
	return &platform.Objects{
		Put: func(_ context.Context, name string, b []byte) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.objects[name] = b
			return nil
		},
		Get: func(_ context.Context, name string) ([]byte, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if b, ok := f.objects[name]; ok {
				return b, nil
			}
			return nil, platform.ErrNotFound
		},
	}
}

// cluster is a set of processes that coordinators reach through function calls.
type cluster struct {
	platform     *fakePlatform
	stores       []*Store
	mu           sync.Mutex
	disconnected map[int]bool
	// onActivate may return an error to fail an activation at process i.
	onActivate func(i int) error
}

func newCluster(n int) *cluster {
	f := &cluster{platform: newFakePlatform(), disconnected: map[int]bool{}}
	for i := range n {
		f.stores = append(f.stores, NewStore(fmt.Sprint("p", i), fmt.Sprint("z", i%4), events.Nop()))
	}
	return f
}

var errDisconnected = errors.New("connection lost")

func (f *cluster) target(i int) Target {
	methods := f.stores[i].Methods()
	return NewTarget(fmt.Sprint("p", i), fmt.Sprint("z", i%4), func(ctx context.Context, method string, params, result any) error {
		f.mu.Lock()
		unreachable, hook := f.disconnected[i], f.onActivate
		f.mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return errDisconnected
		}
		if method == methodActivate && hook != nil {
			if err := hook(i); err != nil {
				return err
			}
		}
		raw, err := json.Marshal(params)
		if err != nil {
			return err
		}
		out, err := methods[method](ctx, nil, raw)
		if err != nil {
			return err
		}
		b, err := json.Marshal(out)
		if err != nil {
			return err
		}
		return json.Unmarshal(b, result)
	})
}

func (f *cluster) targets(context.Context) ([]Target, error) {
	var out []Target
	for i := range f.stores {
		out = append(out, f.target(i))
	}
	return out, nil
}

func (f *cluster) setDisconnected(i int, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected[i] = disconnected
}

func (f *cluster) coordinator(i int) *Coordinator {
	return NewCoordinator(f.stores[i], f.platform.table(), f.platform.store(), f.targets, events.Nop(), DefaultDeadlines(), time.Now)
}

func source(accounts int) []byte {
	s := "pools: [{name: p, kind: engine, upstreams: [{name: u, zone: a}]}]\nmodels: []\naccounts: ["
	for i := range accounts {
		s += fmt.Sprintf("{name: a%d, key_hashes: []},", i)
	}
	return []byte(s + "]\n")
}

func (f *cluster) versions() []config.Version {
	var out []config.Version
	for _, s := range f.stores {
		out = append(out, s.Active().Version())
	}
	return out
}

func (f *cluster) checkMinVersion(t *testing.T, v config.Version) {
	t.Helper()
	for i, got := range f.versions() {
		if got < v {
			t.Errorf("process %d has version %d in force, accepted is %d", i, got, v)
		}
	}
}

func TestAcceptedMeansInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(4)
		out := f.coordinator(0).Submit(t.Context(), Change{ID: "c1", By: "op", Source: source(1)})
		if out.State() != Accepted || out.Version() != 1 {
			t.Fatalf("outcome %+v", out)
		}
		f.checkMinVersion(t, 1)
		again := f.coordinator(1).Submit(t.Context(), Change{ID: "c1", By: "op", Source: source(1)})
		if again.State() != Accepted || again.Version() != 1 {
			t.Errorf("the same change again: %+v", again)
		}
	})
}

func TestExactlyOneOfTwoConcurrentChangesIsAccepted(t *testing.T) {
	for race := range 200 {
		synctest.Test(t, func(t *testing.T) {
			f := newCluster(4)
			outs := make([]Outcome, 2)
			var wg sync.WaitGroup
			for i := range outs {
				wg.Go(func() {
					outs[i] = f.coordinator(i).Submit(t.Context(), Change{ID: fmt.Sprint("c", i), By: fmt.Sprint("op", i), Source: source(i + 1)})
				})
			}
			wg.Wait()
			won, lost := outs[0], outs[1]
			if lost.State() == Accepted {
				won, lost = lost, won
			}
			if won.State() != Accepted || lost.State() != Refused || lost.Version() != 1 || !strings.Contains(strings.Join(lost.Reasons(), " "), "won") {
				t.Errorf("race %d: %+v and %+v", race, outs[0], outs[1])
			}
			f.checkMinVersion(t, 1)
		})
	}
}

// A change that is submitted after another one was accepted must be refused because of its base version. The
// test of concurrent changes does not cover this check, since the conditional write alone may refuse there.
func TestChangeFromAnOlderVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(4)
		if out := f.coordinator(0).Submit(t.Context(), Change{ID: "c0", By: "op0", Source: source(1)}); out.State() != Accepted {
			t.Fatalf("outcome %+v", out)
		}
		out := f.coordinator(1).Submit(t.Context(), Change{ID: "c1", By: "op1", Source: source(2)})
		if out.State() != Refused || out.Version() != 1 {
			t.Errorf("outcome %+v, want refused", out)
		}
		f.checkMinVersion(t, 1)
	})
}

func TestChangeIsRefusedAndNamesUnreachableProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(4)
		f.setDisconnected(2, true)
		out := f.coordinator(0).Submit(t.Context(), Change{ID: "c1", Source: source(1)})
		if out.State() != Refused || len(out.Reasons()) != 1 || !strings.Contains(out.Reasons()[0], "zone z2, process p2") {
			t.Fatalf("outcome %+v", out)
		}
		for i, v := range f.versions() {
			if v != 0 {
				t.Errorf("process %d has a refused change in force", i)
			}
		}
	})
}

func TestChangeUnconfirmedAtOneProcessIsConfirmedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(4)
		f.onActivate = func(i int) error {
			if i == 3 {
				return errDisconnected
			}
			return nil
		}
		out := f.coordinator(0).Submit(t.Context(), Change{ID: "c1", Source: source(1)})
		if out.State() != Committed || len(out.Reasons()) != 1 || !strings.Contains(out.Reasons()[0], "p3") {
			t.Fatalf("outcome %+v", out)
		}
		f.mu.Lock()
		f.onActivate = nil
		f.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { f.coordinator(1).Follow(ctx, time.Second) })
		time.Sleep(5 * time.Second)
		cancel()
		wg.Wait()
		f.checkMinVersion(t, 1)
		if st, err := f.coordinator(2).Status(t.Context(), "c1"); err != nil || st.State() != Accepted {
			t.Errorf("status %+v, %v", st, err)
		}
	})
}

func TestChangeIsConfirmedAfterCoordinatorCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(3)
		submitCtx, cancelSubmit := context.WithCancel(t.Context())
		f.onActivate = func(int) error { cancelSubmit(); return errDisconnected }
		_ = f.coordinator(0).Submit(submitCtx, Change{ID: "c1", Source: source(1)})
		f.mu.Lock()
		f.onActivate = nil
		f.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { f.coordinator(2).Follow(ctx, time.Second) })
		time.Sleep(5 * time.Second)
		cancel()
		wg.Wait()
		f.checkMinVersion(t, 1)
	})
}

// A refusal must name the process that did not answer, even if the deadline interrupts a later read of the VM
// list.
func TestDeadlineDuringVMListReadStillNamesProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(2)
		f.setDisconnected(1, true)
		listReads := 0
		targets := func(ctx context.Context) ([]Target, error) {
			if listReads++; listReads > 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return f.targets(ctx)
		}
		c := NewCoordinator(f.stores[0], f.platform.table(), f.platform.store(), targets, events.Nop(), DefaultDeadlines(), time.Now)
		out := c.Submit(t.Context(), Change{ID: "c1", Source: source(1)})
		if out.State() != Refused || !strings.Contains(strings.Join(out.Reasons(), " "), "process p1") {
			t.Errorf("outcome %+v, want a refusal that names p1", out)
		}
	})
}

// Another process that follows the head may mark it as accepted first. The coordinator's own write then fails
// with a conflict, but the change must still be reported as accepted.
func TestAnotherProcessMarksTheChangeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(3)
		table := f.platform.table()
		commits := 0
		commit := table.Commit
		table.Commit = func(ctx context.Context, writes ...platform.Write) error {
			// The second commit of a change marks its head as accepted. Here another process commits the
			// same record first.
			if commits++; commits == 2 {
				if err := commit(ctx, writes...); err != nil {
					t.Error(err)
				}
			}
			return commit(ctx, writes...)
		}
		c := NewCoordinator(f.stores[0], table, f.platform.store(), f.targets, events.Nop(), DefaultDeadlines(), time.Now)
		out := c.Submit(t.Context(), Change{ID: "c1", Source: source(1)})
		if out.State() != Accepted {
			t.Fatalf("outcome %+v, want accepted", out)
		}
		f.checkMinVersion(t, 1)
	})
}

func TestLostReplyToCommitIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(3)
		f.platform.lostReplies = 1
		out := f.coordinator(0).Submit(t.Context(), Change{ID: "c1", Source: source(1)})
		if out.State() != Accepted {
			t.Fatalf("outcome %+v", out)
		}
		f.checkMinVersion(t, 1)
	})
}

func TestTableOutageAfterCommitIsNotReportedAsRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(2)
		table := f.platform.table()
		commit := table.Commit
		table.Commit = func(ctx context.Context, w ...platform.Write) error {
			err := commit(ctx, w...)
			f.platform.unavailable = true
			return errors.Join(err, platform.ErrUnknownOutcome)
		}
		c := NewCoordinator(f.stores[0], table, f.platform.store(), f.targets, events.Nop(), DefaultDeadlines(), time.Now)
		if out := c.Submit(t.Context(), Change{ID: "c1", Source: source(1)}); out.State() != InDoubt {
			t.Errorf("outcome %+v, want %s", out, InDoubt)
		}
	})
}

func TestVersionNeverGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(2)
		c := f.coordinator(0)
		c.Submit(t.Context(), Change{ID: "c1", Source: source(1)})
		first := f.stores[1].head
		c.Submit(t.Context(), Change{ID: "c2", Base: 1, Source: source(2)})
		f.stores[1].activateStaged(first)
		if err := f.stores[1].activateCanonical(first, f.platform.objects[first.Hash]); err != nil {
			t.Error(err)
		}
		if v := f.stores[1].Active().Version(); v != 2 {
			t.Errorf("version %d after a late activation of 1", v)
		}
	})
}

func TestInvalidConfigurationIsRefused(t *testing.T) {
	f := newCluster(2)
	out := f.coordinator(0).Submit(t.Context(), Change{ID: "c1", Source: []byte("pools: 7\n")})
	if out.State() != Refused {
		t.Errorf("outcome %+v", out)
	}
}

func TestProcessRefusesCandidateThatItCannotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(2)
		f.stores[1].Validate = func(*config.Config) error { return errors.New("policy does not compile") }
		out := f.coordinator(0).Submit(t.Context(), Change{ID: "c1", Source: source(1)})
		if out.State() != Refused || !strings.Contains(strings.Join(out.Reasons(), ""), "process p1: policy does not compile") {
			t.Errorf("outcome %+v", out)
		}
	})
}

// TestRandomDisconnectsAndLostReplies submits changes from concurrent coordinators while processes are
// unreachable and replies are lost. It checks after each round that accepted changes are in force everywhere
// and that refused ones were never committed.
func TestRandomDisconnectsAndLostReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(6)
		rng := rand.New(rand.NewPCG(3, 3))
		highest := make([]config.Version, len(f.stores))
		counts := map[State]int{}
		for n := range 100 {
			unreachable := rng.IntN(len(f.stores))
			f.setDisconnected(unreachable, rng.IntN(3) == 0)
			f.platform.lostReplies = rng.IntN(2)
			var wg sync.WaitGroup
			outs := make([]Outcome, 2)
			base := f.stores[0].Active().Version()
			for i := range outs {
				who := rng.IntN(len(f.stores))
				wg.Go(func() {
					outs[i] = f.coordinator(who).Submit(t.Context(), Change{ID: fmt.Sprintf("c%d-%d", n, i), Base: base, Source: source(n%7 + i)})
				})
			}
			wg.Wait()
			f.setDisconnected(unreachable, false)
			for i, o := range outs {
				counts[o.State()]++
				_, committed := f.platform.rows[platform.Key{Group: changeGroup, Name: fmt.Sprintf("c%d-%d", n, i)}]
				if o.State() == Refused && committed {
					t.Errorf("change c%d-%d is refused and committed", n, i)
				}
				if o.State() == Accepted {
					f.checkMinVersion(t, o.Version())
				}
			}
			if outs[0].State() == Accepted && outs[1].State() == Accepted && outs[0].Version() == outs[1].Version() {
				t.Errorf("round %d: both won version %d", n, outs[0].Version())
			}
			for i, v := range f.versions() {
				if v < highest[i] {
					t.Errorf("process %d went from version %d to %d", i, highest[i], v)
				}
				highest[i] = v
			}
			f.coordinator(0).confirmPending(t.Context())
		}
		t.Logf("outcomes: %v", counts)
	})
}
