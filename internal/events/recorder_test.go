package events

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

func TestCatalogueMatchesOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			rows++
		}
	}
	if rows != len(Catalogue()) {
		t.Errorf("docs/EVENTS.md has %d rows, the catalogue %d", rows, len(Catalogue()))
	}
	for _, k := range Catalogue() {
		row := fmt.Sprintf("| %d | `%s` | %s |", k.ID(), k.Name(), k.Text())
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/EVENTS.md lacks the row %q", row)
		}
	}
}

// Two events must get different, ordered stamps although the wall clock does not advance between them and
// another process has sent a later stamp.
func TestStampsOrderEventsWhenClockDoesNotAdvance(t *testing.T) {
	fixed := time.Unix(100, 0)
	r := New(LogTo(logr.Discard()), "p", "1", 8, func() time.Time { return fixed })
	r.Observe(Stamp{Wall: fixed.UnixNano() + 5, Logic: 7})
	r.Note(ProcessStarted, "")
	got := r.Select("")[0].Stamp
	want := Stamp{Wall: fixed.UnixNano() + 5, Logic: 8}
	if got != want {
		t.Errorf("stamp = %v, want %v", got, want)
	}
}

func TestSelectReturnsNewestEventsOldestFirst(t *testing.T) {
	r := New(LogTo(logr.Discard()), "p", "1", 3, time.Now)
	for i := range 5 {
		r.Note(RequestEnded, fmt.Sprint(i))
	}
	var got []string
	for _, e := range r.Select("") {
		got = append(got, e.Request)
	}
	if want := "2 3 4"; strings.Join(got, " ") != want {
		t.Errorf("kept %v, want %s", got, want)
	}
}
