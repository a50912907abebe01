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

// An entry whose first reads of the list failed tried again 5 to 15 s later, and did not know the
// others until then, unless one of them heard of it.
func TestFirstReadsThatFail(t *testing.T) {
	store := &fakeStore{rows: map[string][]byte{}, clock: 1000 * time.Second}
	store.add(t, "other", 999*time.Second)
	seam := store.seam()
	list, reads := seam.List, 0
	seam.List = func(ctx context.Context, table string) (platform.Snapshot, error) {
		reads++
		if reads <= 4 {
			return platform.Snapshot{}, errors.New("the store is slow")
		}
		return list(ctx, table)
	}
	found := make(chan map[string]roster.Entry, 4)
	d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, Every: time.Hour, Again: time.Hour, CallWithin: time.Second},
		seam, finds(func(a map[string]roster.Entry) { found <- a }), nothing, events.Nop(), time.Now)
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
