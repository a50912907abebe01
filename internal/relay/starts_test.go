package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// TestInitialListAsksDelegate checks that entries that start, together or one after the other,
// read their tables from a delegate. Otherwise hundreds of entries would each read them from the
// store.
func TestInitialListAsksDelegate(t *testing.T) {
	d := newDeployment(t, "a", "b", "c", "d", "e")
	for _, e := range d.entries {
		e.source.settings.Wait = 2 * time.Second
	}
	// The delegate is still reading the table when the others ask for it.
	read := make(chan struct{})
	direct := d.entries[0].source.direct
	list := direct.List
	direct.List = func(ctx context.Context, name string) (platform.Snapshot, error) {
		<-read
		return list(ctx, name)
	}
	var all sync.WaitGroup
	for _, e := range d.entries {
		all.Go(func() {
			s, err := e.relayed.List(t.Context(), table)
			if err != nil || len(s.Records) != 1 || s.Version != 5 {
				t.Errorf("%s read %+v, %v; want the whole table", e.name, s, err)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	close(read)
	all.Wait()
	for _, e := range d.entries[1:] {
		if e.store.calls != 0 {
			t.Errorf("%s made %d calls to the store, want none", e.name, e.store.calls)
		}
	}
	if d.entries[0].store.calls != 1 {
		t.Errorf("the delegate made %d calls, want one", d.entries[0].store.calls)
	}
}

// TestInitialListFallsBackToStore checks that a starting entry reads the store itself if the
// delegate is down or does not have the table in time.
func TestInitialListFallsBackToStore(t *testing.T) {
	for _, tc := range []struct {
		name          string
		breakDelegate func(delegate *entryFixture)
	}{
		{"delegate has no table yet", func(*entryFixture) {}},
		{"delegate is down", func(e *entryFixture) { e.server.Close() }},
		{"table of the delegate is stale", func(e *entryFixture) {
			mustApply(t, e.log, platform.Snapshot{Version: 1, AsOf: time.Now().Add(-time.Hour)}, true)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDeployment(t, "a", "b")
			tc.breakDelegate(d.entries[0])
			s, err := d.entries[1].relayed.List(t.Context(), table)
			if err != nil || s.Version != 5 || d.entries[1].store.calls != 1 {
				t.Errorf("read %+v, %v with %d calls, want the store's table", s, err, d.entries[1].store.calls)
			}
		})
	}
}

// TestInitialListWaitsForPeers checks that the first read waits for the list of peers. An entry
// that reads earlier finds no peer and calls the store.
func TestInitialListWaitsForPeers(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	b := d.entries[1].source
	known := make(chan struct{})
	b.peersReady, b.settings.PeerListTimeout = known, 10*time.Second
	others := b.peers
	b.peers = func() []Peer {
		select {
		case <-known:
			return others()
		default:
			return nil
		}
	}
	time.AfterFunc(30*time.Millisecond, func() { close(known) })
	if _, err := d.entries[1].relayed.List(t.Context(), table); err != nil || d.entries[1].store.calls != 0 {
		t.Errorf("%v, %d calls to the store; want the table from the peer", err, d.entries[1].store.calls)
	}
}
