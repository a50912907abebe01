package directory

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// TestFailedFirstReadsAreRetriedSoon guards against an entry that does not learn of the others for 5 to
// 15 s after its start, because a failed first read is only repeated at the next regular one.
func TestFailedFirstReadsAreRetriedSoon(t *testing.T) {
	store := &fakeStore{rows: map[string][]byte{}, clock: 1000 * time.Second}
	store.add(t, "other", 999*time.Second)
	fake := store.platformStore()
	list, reads := fake.List, 0
	fake.List = func(ctx context.Context, table string) (platform.Snapshot, error) {
		reads++
		if reads <= 4 {
			return platform.Snapshot{}, errors.New("the store is slow")
		}
		return list(ctx, table)
	}
	found := make(chan map[string]roster.Entry, 4)
	d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: time.Hour, RenewalRetryDelay: time.Hour, CallTimeout: time.Second},
		fake, noContact(func(a map[string]roster.Entry) { found <- a }), noRowData, events.Nop(), time.Now)
	go d.Run(t.Context())
	select {
	case a := <-found:
		if a["other"] == (roster.Entry{}) {
			t.Errorf("found %v, want the other entry", a)
		}
		if a = <-found; a["me"] == (roster.Entry{}) {
			t.Errorf("found %v, want this entry listed as well", a)
		}
	case <-time.After(5 * time.Second):
		t.Error("the list is not read again")
	}
}
