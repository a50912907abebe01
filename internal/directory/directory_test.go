package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// fakeStore is an in-memory store with its own monotonic clock.
type fakeStore struct {
	rows  map[string][]byte
	clock time.Duration
}

func (f *fakeStore) platformStore() *platform.Store {
	return &platform.Store{
		List: func(context.Context, string) (platform.Snapshot, error) {
			s := platform.Snapshot{Clock: f.clock}
			for name, value := range f.rows {
				s.Records = append(s.Records, platform.Record{Name: name, Value: value})
			}
			return s, nil
		},
		Put: func(_ context.Context, _, name string, value []byte) error {
			f.rows[name] = value
			return nil
		},
		Remove: func(_ context.Context, _ string, names ...string) error {
			for _, n := range names {
				delete(f.rows, n)
			}
			return nil
		},
	}
}

func (f *fakeStore) add(t *testing.T, name string, renewed time.Duration) {
	t.Helper()
	b, err := json.Marshal(row{Address: "10.0.0.1:1", RenewedMS: renewed.Milliseconds(), RenewsEachMS: (30 * time.Second).Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	f.rows[name] = b
}

// TestEntriesThatStartTogether checks that of two entries which read the list before either has
// written its row, one finds the other at once and not only at the next regular read.
func TestEntriesThatStartTogether(t *testing.T) {
	store := &fakeStore{rows: map[string][]byte{}, clock: 1000 * time.Second}
	seam := store.platformStore()
	found := make(chan map[string]roster.Entry, 4)
	d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: time.Hour, CallTimeout: time.Second},
		seam, noContact(func(a map[string]roster.Entry) { found <- a }), noRowData, events.Nop(), time.Now)
	put := seam.Put
	seam.Put = func(ctx context.Context, table, name string, value []byte) error {
		// The other entry writes its row at the same time.
		store.add(t, "other", 1000*time.Second)
		return put(ctx, table, name, value)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	<-found
	select {
	case got := <-found:
		if _, ok := got["other"]; !ok {
			t.Errorf("found %v after this entry's row was written, want the other entry", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("the list is not read again after this entry's row was written")
	}
}

// TestRefusedFirstRowIsRetriedSoon checks that an entry whose first row the store refused does not
// stay unlisted until its next regular renewal.
func TestRefusedFirstRowIsRetriedSoon(t *testing.T) {
	store := &fakeStore{rows: map[string][]byte{}, clock: 1000 * time.Second}
	seam := store.platformStore()
	put, tries := seam.Put, 0
	written := make(chan struct{})
	seam.Put = func(ctx context.Context, table, name string, value []byte) error {
		if tries++; tries == 1 {
			return platform.ErrUnavailable
		}
		defer close(written)
		return put(ctx, table, name, value)
	}
	d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: time.Hour, RenewalRetryDelay: time.Millisecond, CallTimeout: time.Second},
		seam, noContact(func(map[string]roster.Entry) {}), noRowData, events.Nop(), time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Error("the row is not written again")
	}
}

// TestRefusedRenewalIsRetriedSoon checks that a refused renewal is retried after the short delay,
// and that the row is not written again once the store has accepted it.
func TestRefusedRenewalIsRetriedSoon(t *testing.T) {
	store := &fakeStore{rows: map[string][]byte{}, clock: 1000 * time.Second}
	store.add(t, "other", 999*time.Second)
	seam := store.platformStore()
	put, tries := seam.Put, make(chan int, 100)
	n := 0
	seam.Put = func(ctx context.Context, table, name string, value []byte) error {
		n++
		tries <- n
		if n == 2 {
			return platform.ErrUnavailable
		}
		return put(ctx, table, name, value)
	}
	d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: time.Hour, RenewalRetryDelay: time.Millisecond, CallTimeout: time.Second},
		seam, noContact(func(map[string]roster.Entry) {}), noRowData, events.Nop(), time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	await := func(what string, want int) {
		t.Helper()
		select {
		case got := <-tries:
			if got != want {
				t.Errorf("%s: write %d, want %d", what, got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: not written", what)
		}
	}
	await("at the start", 1)
	d.RenewSoon()
	await("when asked", 2)
	await("after the store refused it", 3)
	select {
	case got := <-tries:
		t.Errorf("written again (%d) after the store accepted it", got)
	case <-time.After(50 * time.Millisecond):
	}
}

func TestStaleRowsAreIgnoredAndOldOnesRemoved(t *testing.T) {
	store := &fakeStore{rows: map[string][]byte{}, clock: 1000 * time.Second}
	store.add(t, "fresh", 995*time.Second)
	store.add(t, "stale", 900*time.Second)
	store.add(t, "dead", 100*time.Second)
	store.rows["odd"] = []byte("{")
	at := time.Now()
	var found map[string]roster.Entry
	d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: 10 * time.Second, CallTimeout: time.Second},
		store.platformStore(), noContact(func(a map[string]roster.Entry) { found = a }), noRowData, events.Nop(), func() time.Time { return at })
	if err := d.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := slices.Sorted(maps.Keys(found)); !slices.Equal(got, []string{"fresh"}) {
		t.Errorf("found %v, want the fresh one", got)
	}
	if _, there := store.rows["dead"]; there {
		t.Error("an expired row was not removed")
	}
	if _, there := store.rows["stale"]; !there {
		t.Error("a stale row was removed before it expired")
	}
	at = at.Add(4 * time.Second)
	if err := d.renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	var own row
	if err := json.Unmarshal(store.rows["me"], &own); err != nil || own.RenewedMS != (1004*time.Second).Milliseconds() {
		t.Errorf("this entry's row is %s, %v; want the store's clock advanced by 4 s", store.rows["me"], err)
	}
	d.removeOwnRow()
	if _, there := store.rows["me"]; there {
		t.Error("this entry's row remains after a planned stop")
	}
}

// TestManyEntriesReadLessOften checks that entries read less often the more there are, which bounds
// the calls of all together, and that a row becomes stale by the renewal interval that its writer
// states.
func TestManyEntriesReadLessOften(t *testing.T) {
	const clock = 1000 * time.Second
	for _, tc := range []struct {
		name    string
		entries int
		want    time.Duration
	}{
		{"a few", 4, 10 * time.Second},
		{"a hundred", 100, 50 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := &fakeStore{rows: map[string][]byte{}, clock: clock}
			for i := range tc.entries {
				store.add(t, fmt.Sprintf("e%03d", i), clock)
			}
			var found int
			d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: 10 * time.Second, SharedReadInterval: 500 * time.Millisecond, CallTimeout: time.Second},
				store.platformStore(), noContact(func(a map[string]roster.Entry) { found = len(a) }), noRowData, events.Nop(), time.Now)
			if err := d.read(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := d.readInterval(); got != tc.want {
				t.Errorf("the list of %d entries is read every %s, want every %s", tc.entries, got, tc.want)
			}
			if err := d.renew(t.Context()); err != nil {
				t.Fatal(err)
			}
			for name := range store.rows {
				if name != "me" {
					delete(store.rows, name)
				}
			}
			store.clock += staleAfter*readsPerRenewal*tc.want - time.Second
			if err := d.read(t.Context()); err != nil || found != 1 {
				t.Errorf("%d entries found, %v; want the one whose row is renewed every %s", found, err, readsPerRenewal*tc.want)
			}
		})
	}
}
