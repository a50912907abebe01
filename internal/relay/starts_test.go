package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// TestStartAsksTheDelegate: hundreds of entries that start, at once or after the others, must not
// each read the tables from the store.
func TestStartAsksTheDelegate(t *testing.T) {
	d := newDeployment(t, "a", "b", "c", "d", "e")
	for _, e := range d.entries {
		e.source.settings.Wait = 2 * time.Second
	}
	// The delegate reads the table itself while the others ask it.
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
			s, err := e.seam.List(t.Context(), table)
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

// TestStartWithoutADelegate: an entry that starts reads the store itself where the delegate does
// not know the table in time, or is gone.
func TestStartWithoutADelegate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(delegate *entryFixture)
	}{
		{"it knows nothing yet", func(*entryFixture) {}},
		{"it is gone", func(e *entryFixture) { e.server.Close() }},
		{"it knows only old things", func(e *entryFixture) {
			e.log.note(table, platform.Snapshot{Version: 1, Made: time.Now().Add(-time.Hour)}, true)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDeployment(t, "a", "b")
			tc.spoil(d.entries[0])
			s, err := d.entries[1].seam.List(t.Context(), table)
			if err != nil || s.Version != 5 || d.entries[1].store.calls != 1 {
				t.Errorf("read %+v, %v with %d calls, want the store's table", s, err, d.entries[1].store.calls)
			}
		})
	}
}

// TestStartWaitsForTheList: who asks before the list of entries is read finds no other entry, and
// would read from the store.
func TestStartWaitsForTheList(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	b := d.entries[1].source
	known := make(chan struct{})
	b.listed, b.settings.ListedWithin = known, 10*time.Second
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
	if _, err := d.entries[1].seam.List(t.Context(), table); err != nil || d.entries[1].store.calls != 0 {
		t.Errorf("%v, %d calls to the store; want the table from the other entry", err, d.entries[1].store.calls)
	}
}
