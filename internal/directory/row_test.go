package directory

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// TestUnusableRowsAreIgnored checks that a row that cannot be decoded is neither listed nor
// removed, is logged once, and does not affect the other rows.
func TestUnusableRowsAreIgnored(t *testing.T) {
	const good = `{"address":"10.0.0.1:7300","renewed_ms":999000,"renews_each_ms":30000}`
	with := func(old, replacement string) string { return strings.Replace(good, old, replacement, 1) }
	for _, tc := range []struct{ name, row string }{
		{"empty", ``},
		{"null", `null`},
		{"array", `[` + good + `]`},
		{"truncated", good[:len(good)-1]},
		{"invalid UTF-8", with(`{`, "{\"note\":\"\xff\",")},
		{"64 KB of binary data", strings.Repeat("\x00\xfejunk", 64<<10/6)},
		{"deep nesting", strings.Repeat("[", 60000)},
		{"address missing", with(`"address":"10.0.0.1:7300",`, ``)},
		{"address null", with(`"10.0.0.1:7300"`, `null`)},
		{"address a number", with(`"10.0.0.1:7300"`, `7300`)},
		{"address empty", with(`10.0.0.1:7300`, ``)},
		{"address without a port", with(`:7300`, ``)},
		{"address with a host name", with(`10.0.0.1`, `entry.example`)},
		{"address of IPv6", with(`10.0.0.1`, `[fd00::1]`)},
		{"address with port 0", with(`7300`, `0`)},
		{"renewal time missing", with(`"renewed_ms":999000,`, ``)},
		{"renewal time null", with(`999000`, `null`)},
		{"renewal time a string", with(`999000`, `"soon"`)},
		{"renewal time negative", with(`999000`, `-1`)},
		{"renewal time too large for a duration", with(`999000`, `9000000000000000000`)},
		{"renewal interval missing", with(`,"renews_each_ms":30000`, ``)},
		{"renewal interval a fraction", with(`30000`, `0.5`)},
		{"renewal interval 0", with(`30000`, `0`)},
		{"renewal interval negative", with(`30000`, `-30000`)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := &fakeStore{rows: map[string][]byte{"before": []byte(good), "m": []byte(tc.row), "z": []byte(good)}, clock: 1000 * time.Second}
			var found map[string]roster.Entry
			rec := events.Nop()
			d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, ReadInterval: time.Second, CallTimeout: time.Second},
				store.platformStore(), noContact(func(a map[string]roster.Entry) { found = a }), noRowData, rec, time.Now)
			for range 3 {
				if err := d.read(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if got := slices.Sorted(maps.Keys(found)); !slices.Equal(got, []string{"before", "z"}) {
				t.Errorf("found %v, want the two valid ones", got)
			}
			if _, there := store.rows["m"]; !there {
				t.Error("the row of another writer was removed")
			}
			if got := badRowLogs(rec); len(got) != 1 || len(got[0].Fields["error"]) > 300 {
				t.Errorf("%d log lines for three reads, want a short one", len(got))
			}
		})
	}
}

// badRowLogs returns the log entries about unusable rows.
func badRowLogs(rec *events.Recorder) []events.Event {
	var out []events.Event
	for _, e := range rec.Select("") {
		if e.Event == events.RegisterFailed {
			out = append(out, e)
		}
	}
	return out
}

// TestBadRowsAreLoggedOncePerVersion checks that each version of an unusable row is logged once,
// also after it was absent for a while, and that the log lines of one read are limited.
func TestBadRowsAreLoggedOncePerVersion(t *testing.T) {
	version, rows := int64(1), 1
	rec := events.Nop()
	d := New(Settings{Table: "entries"}, &platform.Store{}, noContact(func(map[string]roster.Entry) {}), noRowData, rec, time.Now)
	read := func() int {
		before := len(badRowLogs(rec))
		var s platform.Snapshot
		for i := range rows {
			s.Records = append(s.Records, platform.Record{Name: strings.Repeat("x", i+1), Version: version})
		}
		d.applySnapshot(s)
		return len(badRowLogs(rec)) - before
	}
	for _, tc := range []struct {
		name    string
		version int64
		rows    int
		want    int
	}{
		{"first seen", 1, 1, 1},
		{"seen again", 1, 1, 0},
		{"another version", 2, 1, 1},
		{"removed", 2, 0, 0},
		{"written again", 2, 1, 1},
		{"many", 3, 100, maxBadRowLogs},
		{"many again", 3, 100, 0},
	} {
		version, rows = tc.version, tc.rows
		if got := read(); got != tc.want {
			t.Errorf("%s: %d log lines, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against a log line for each read about data of another writer in a row that can be used otherwise.
func TestUnreadableDataIsLoggedOncePerVersion(t *testing.T) {
	rec := events.Nop()
	data := RowData{OnRead: func(string, []byte, time.Duration) error { return ErrRow }}
	d := New(Settings{Table: "entries"}, &platform.Store{}, noContact(func(map[string]roster.Entry) {}), data, rec, time.Now)
	value := []byte(`{"address":"10.0.0.1:7300","renewed_ms":999000,"renews_each_ms":30000,"carried":"eA=="}`)
	for _, version := range []int64{1, 1, 2, 2} {
		d.applySnapshot(platform.Snapshot{Clock: 1000 * time.Second, Records: []platform.Record{{Name: "odd", Version: version, Value: value}}})
	}
	if n := len(badRowLogs(rec)); n != 2 {
		t.Errorf("%d log lines for two versions, want 2", n)
	}
}

// Guards against hundreds of expired rows, which the store would refuse to remove in one call.
func TestExpiredRowsAreRemovedInPartsThatTheStoreAccepts(t *testing.T) {
	removed := 0
	store := &platform.Store{
		List: func(context.Context, string) (s platform.Snapshot, err error) {
			s.Clock = time.Hour
			for i := range 3 * maxRemoved {
				s.Records = append(s.Records, platform.Record{Name: strconv.Itoa(i), Value: []byte(`{"address":"10.0.0.1:7300","renewed_ms":1,"renews_each_ms":1000}`)})
			}
			return s, nil
		},
		Remove: func(_ context.Context, _ string, names ...string) error { removed = len(names); return nil },
	}
	d := New(Settings{Table: "entries", CallTimeout: time.Second}, store, noContact(func(map[string]roster.Entry) {}), noRowData, events.Nop(), time.Now)
	if err := d.read(t.Context()); err != nil || removed != maxRemoved {
		t.Errorf("%d rows removed at once, %v; want %d", removed, err, maxRemoved)
	}
}
