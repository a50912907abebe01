package directory

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/roster"
)

// noContact returns the callbacks of an entry that never gets a message from another one.
func noContact(found func(map[string]roster.Entry)) Callbacks {
	return Callbacks{OnList: found, ContactCount: func() int { return 0 }, OnReady: func() {}}
}

// noRowData is for entries without data to keep in their rows.
var noRowData = RowData{Value: func() []byte { return nil }, OnRead: func(string, []byte, time.Duration) error { return nil }}

// TestCarriedValueSurvivesTheLossOfAllEntries checks that an entry which starts after all others
// have stopped reads the data in their rows, and in its own earlier row, before it overwrites its
// row. Otherwise this data would be lost.
func TestCarriedValueSurvivesTheLossOfAllEntries(t *testing.T) {
	const clock = 1000 * time.Second
	store := &fakeStore{rows: map[string][]byte{}, clock: clock}
	for name, age := range map[string]time.Duration{"me": 2 * time.Second, "gone": 3 * time.Second} {
		b, err := json.Marshal(row{Address: "10.0.0.1:1", RenewedMS: (clock - age).Milliseconds(), RenewsEachMS: 30_000, Carried: []byte("of " + name)})
		if err != nil {
			t.Fatal(err)
		}
		store.rows[name] = b
	}
	ages, writes := map[string]time.Duration{}, make(chan []byte)
	carried := RowData{
		Value:  func() []byte { return []byte("all") },
		OnRead: func(_ string, value []byte, age time.Duration) error { ages[string(value)] = age; return nil },
	}
	fake := store.platformStore()
	put := fake.Put
	fake.Put = func(ctx context.Context, table, name string, value []byte) error {
		if ages["of me"] != 2*time.Second || ages["of gone"] != 3*time.Second {
			t.Errorf("ages %v before the first write", ages)
		}
		select {
		case writes <- value:
		case <-ctx.Done():
		}
		return put(ctx, table, name, value)
	}
	d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: time.Hour, CallTimeout: time.Second},
		fake, noContact(func(map[string]roster.Entry) {}), carried, events.Nop(), time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	for _, what := range []string{"at the start", "when asked"} {
		select {
		case value := <-writes:
			if r, err := decodeRow(value); err != nil || string(r.Carried) != "all" {
				t.Errorf("%s: row %s, %v", what, value, err)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("not written %s", what)
		}
		d.RenewSoon()
	}
}
