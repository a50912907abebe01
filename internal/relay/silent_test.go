package relay

import (
	"context"
	"flag"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/standin"
)

// patience is the time limit of calls to peers in tests with silent connections. A call that took a quarter
// of it has waited for a limit.
const patience = 20 * time.Second

// behindProxy makes the other entries reach an entry through a proxy.
func (d *deployment) behindProxy(i int) *standin.TCPProxy {
	d.t.Helper()
	proxy, err := standin.NewTCPProxy("127.0.0.1:0", d.entries[i].addr)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(proxy.Close)
	d.entries[i].addr = proxy.Addr()
	return proxy
}

// TestChangesAreLateThroughSilentPeers guards against calls that wait for their time limit on connections to
// peers which have fallen silent, and against peers that are avoided for it.
func TestChangesAreLateThroughSilentPeers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		silence func(p *standin.TCPProxy)
	}{
		{"silent", (*standin.TCPProxy).Silence},
		{"reset", (*standin.TCPProxy).Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDeployment(t, "a", "b")
			proxy := d.behindProxy(0)
			d.entries[1].source.settings.Overdue, d.entries[1].source.settings.Slack = 100*time.Millisecond, patience
			d.list()
			for range 3 {
				tc.silence(proxy)
				began := time.Now()
				if _, err := d.entries[1].changes(t); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(began); took > patience/4 {
					t.Errorf("changes came after %s", took)
				}
				if d.entries[1].source.avoided("a") {
					t.Error("the peer is avoided, though it answers on a new connection")
				}
			}
			if n := d.entries[1].store.calls; n != 0 {
				t.Errorf("%d calls to the store, want the answers of the peer", n)
			}
		})
	}
}

// TestSilentStoreUsesUpTheTimeOfPeers guards against calls to peers that begin with the spent deadline of the
// call to the store, and against peers that are avoided for failing in no time.
func TestSilentStoreUsesUpTheTimeOfPeers(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	d.list()
	a := d.entries[0].source
	a.settings.StoreSlack, a.settings.Slack = 100*time.Millisecond, patience
	a.direct.Changes = func(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Snapshot, error) {
		<-ctx.Done()
		return platform.Snapshot{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := d.entries[0].relayed.Changes(ctx, table, 5, 0); err != nil {
		t.Errorf("%v, want the answer of a peer", err)
	}
	for _, name := range []string{"b", "c"} {
		if a.avoided(name) {
			t.Errorf("%s is avoided", name)
		}
	}
}

// TestPeersUseUpTheTimeOfTheStore guards against a call to the store that has only what silent peers left of
// its time.
func TestPeersUseUpTheTimeOfTheStore(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	proxy := d.behindProxy(0)
	proxy.Cut(true)
	b := d.entries[1].source
	b.settings.Slack, b.settings.StoreSlack = 100*time.Millisecond, patience
	b.closeConn(d.entries[0].server.Addr(), b.conns[d.entries[0].server.Addr()])
	answer := b.direct.Changes
	b.direct.Changes = func(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
		if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) < patience/2 {
			t.Errorf("%s left for the call to the store", time.Until(deadline))
		}
		return answer(ctx, table, after, wait)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := d.entries[1].relayed.Changes(ctx, table, 5, 0); err != nil {
		t.Error(err)
	}
	if !b.avoided("a") {
		t.Error("a peer that cannot be reached on a new connection is not avoided")
	}
}

// TestInterruptedCallGoesOn guards against calls with a time limit of their own that outlast their caller.
func TestInterruptedCallGoesOn(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	b := d.entries[1].source
	b.settings.Wait = patience
	d.entries[1].store.down = true
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	_, err := d.entries[1].relayed.Changes(ctx, table, 5, 0)
	if took := time.Since(began); err == nil || took > patience/4 {
		t.Errorf("%v after %s, want an error at once", err, took)
	}
	if b.avoided("a") {
		t.Error("the peer is avoided for a call that was cancelled here")
	}
}

// TestPeersThatCannotAnswer checks that peers that cannot answer cost a bounded time, and for how long they
// are avoided.
func TestPeersThatCannotAnswer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(d *deployment)
		// avoided is set if the peers are avoided for long.
		avoided bool
	}{
		{"accept connections and never answer", func(d *deployment) {
			for _, e := range d.entries[1:] {
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					d.t.Fatal(err)
				}
				d.t.Cleanup(func() { _ = l.Close() })
				e.addr = l.Addr().String()
			}
		}, true},
		{"refuse", func(d *deployment) {
			for _, e := range d.entries[1:] {
				e.log.markFailed(table)
			}
		}, false},
		{"know only an old table", func(d *deployment) {
			for _, e := range d.entries[1:] {
				e.log.mu.Lock()
				e.log.table(table).asOf = time.Now().Add(-time.Minute)
				e.log.mu.Unlock()
			}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDeployment(t, "a", "b", "c")
			d.list()
			a := d.entries[0]
			a.store.down = true
			a.source.settings.Overdue, a.source.settings.Slack = 50*time.Millisecond, 100*time.Millisecond
			a.source.settings.AvoidStaleFor = 0
			tc.spoil(d)
			began := time.Now()
			if _, err := a.changes(t); err == nil {
				t.Error("an answer, want an error")
			}
			if took := time.Since(began); took > patience/4 {
				t.Errorf("the call took %s", took)
			}
			if got := a.source.avoided("b") && a.source.avoided("c"); got != tc.avoided {
				t.Errorf("avoided %t, want %t", got, tc.avoided)
			}
		})
	}
}

// manyEntries is the largest number of entries in TestEntriesCutFromTheStoreAreLate.
var manyEntries = flag.Int("relay.entries", 30, "largest number of entries in TestEntriesCutFromTheStoreAreLate")

// TestEntriesCutFromTheStoreAreLate guards against entries that learn of changes late because their calls to
// the store get no answer, though other entries reach it. The delegates are among them.
func TestEntriesCutFromTheStoreAreLate(t *testing.T) {
	for _, entries := range []int{4, *manyEntries} {
		for _, part := range []int{3, 2} {
			for _, restored := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d entries with 1 in %d cut and restored %t", entries, part, restored), func(t *testing.T) {
					newFollowers(t, entries).cutSilently(t, entries/part, restored)
				})
			}
		}
	}
}

// cutSilently cuts the first entries from the store and checks that all entries learn of changes, also if the
// store was restored from a copy at that moment.
func (f *followers) cutSilently(t *testing.T, cut int, restored bool) {
	t.Helper()
	f.store.Put(table, "row", "kept")
	if diff := f.converges(t); diff != "" {
		t.Fatal("at the start: " + diff)
	}
	backup := f.store.Backup()
	f.store.Put(table, "row", "lost")
	time.Sleep(50 * time.Millisecond)
	for _, m := range f.list[:cut] {
		m.storeSilent.Store(true)
	}
	if restored {
		f.store.Restore(backup)
	}
	var took []time.Duration
	for n := range 5 {
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		f.store.Put(table, "row", fmt.Sprint("change ", n))
		if diff := f.converges(t); diff != "" {
			t.Errorf("change %d after %s: %s", n, convergeTimeout, diff)
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	t.Logf("all entries have a change after %s in the middle, %s at worst", took[len(took)/2], took[len(took)-1])
}

// TestTurnsGoToTheNextDelegates guards against turns that only entries have which a fault of the delegates, such
// as that of a zone, is likely to cut off as well.
func TestTurnsGoToTheNextDelegates(t *testing.T) {
	const entries = 300
	var all []Peer
	for i := range entries {
		all = append(all, Peer{Name: fmt.Sprintf("front-%c-%d", 'a'+rune(i/100), i%100), Zone: "z"})
	}
	ranked(all)
	takers := [3]int{}
	for i, own := range all {
		s := New(Settings{Name: own.Name, Zone: "z"}, nil, nil, func() []Peer { return slices.Delete(slices.Clone(all), i, i+1) }, closedChannel(), events.Nop(), time.Now)
		if s.takeTurn() {
			takers[i*len(takers)/entries]++
		}
	}
	if slices.Min(takers[:]) < maxTurnTakers/6 || takers[0]+takers[1]+takers[2] != maxTurnTakers {
		t.Errorf("turns of %d entries in the order of delegates %v, want %d spread evenly", entries, takers, maxTurnTakers)
	}
}
