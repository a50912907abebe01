package directory

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// TestEntriesOfOtherWriters: a row that cannot be read names no entry and is left alone; the
// others hold.
func TestEntriesOfOtherWriters(t *testing.T) {
	const good = `{"address":"10.0.0.1:7300","renewed_ms":999000,"renews_each_ms":30000}`
	with := func(old, now string) string { return strings.Replace(good, old, now, 1) }
	for _, tc := range []struct{ name, row string }{
		{"nothing", ``},
		{"null", `null`},
		{"a list", `[` + good + `]`},
		{"truncated", good[:len(good)-1]},
		{"bytes that are no text", with(`{`, "{\"note\":\"\xff\",")},
		{"junk of 64 KB", strings.Repeat("\x00\xfejunk", 64<<10/6)},
		{"deep nesting", strings.Repeat("[", 60000)},
		{"address missing", with(`"address":"10.0.0.1:7300",`, ``)},
		{"address null", with(`"10.0.0.1:7300"`, `null`)},
		{"address a number", with(`"10.0.0.1:7300"`, `7300`)},
		{"address empty", with(`10.0.0.1:7300`, ``)},
		{"address without a port", with(`:7300`, ``)},
		{"address with a name", with(`10.0.0.1`, `entry.example`)},
		{"address of IPv6", with(`10.0.0.1`, `[fd00::1]`)},
		{"address with port 0", with(`7300`, `0`)},
		{"time of renewal missing", with(`"renewed_ms":999000,`, ``)},
		{"time of renewal null", with(`999000`, `null`)},
		{"time of renewal a text", with(`999000`, `"soon"`)},
		{"time of renewal negative", with(`999000`, `-1`)},
		{"time of renewal beyond all durations", with(`999000`, `9000000000000000000`)},
		{"pause missing", with(`,"renews_each_ms":30000`, ``)},
		{"pause a fraction", with(`30000`, `0.5`)},
		{"pause 0", with(`30000`, `0`)},
		{"pause negative", with(`30000`, `-30000`)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := &fakeStore{rows: map[string][]byte{"before": []byte(good), "m": []byte(tc.row), "z": []byte(good)}, clock: 1000 * time.Second}
			var found map[string]roster.Entry
			rec := events.Nop()
			d := New(Settings{Table: "entries", Name: "me", Entry: roster.Entry{Address: "10.0.0.9:1"}, Every: time.Second, CallWithin: time.Second},
				store.seam(), finds(func(a map[string]roster.Entry) { found = a }), nothing, rec, time.Now)
			for range 3 {
				if err := d.read(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if got := slices.Sorted(maps.Keys(found)); !slices.Equal(got, []string{"before", "z"}) {
				t.Errorf("found %v, want the two good ones", got)
			}
			if _, there := store.rows["m"]; !there {
				t.Error("the row of another writer was removed")
			}
			if got := lines(rec); len(got) != 1 || len(got[0].Fields["error"]) > 300 {
				t.Errorf("%d lines for three reads, want a short one", len(got))
			}
		})
	}
}

// lines are the log lines about rows.
func lines(rec *events.Recorder) []events.Entry {
	var out []events.Entry
	for _, e := range rec.Select("") {
		if e.Event == events.RegisterFailed {
			out = append(out, e)
		}
	}
	return out
}

// TestBadRowsAreToldOnce: a further version of a row is told again, and lines of one read
// are bounded.
func TestBadRowsAreToldOnce(t *testing.T) {
	version, rows := int64(1), 1
	rec := events.Nop()
	d := New(Settings{Table: "entries"}, &platform.Store{}, finds(func(map[string]roster.Entry) {}), nothing, rec, time.Now)
	read := func() int {
		before := len(lines(rec))
		var s platform.Snapshot
		for i := range rows {
			s.Records = append(s.Records, platform.Record{Name: strings.Repeat("x", i+1), Version: version})
		}
		d.take(s)
		return len(lines(rec)) - before
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
		{"gone", 2, 0, 0},
		{"there again", 2, 1, 1},
		{"many", 3, 100, mostLines},
		{"many again", 3, 100, 0},
	} {
		version, rows = tc.version, tc.rows
		if got := read(); got != tc.want {
			t.Errorf("%s: %d lines, want %d", tc.name, got, tc.want)
		}
	}
}
