package daemon

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/events"
	product "github.com/sparshore/sparshore/internal/platform"
)

// linesOf counts the log lines about bad rows.
func (f *rowsFixture) linesOf() int {
	n := 0
	for _, e := range f.rec.Select("") {
		if e.Event == events.UpstreamRejected {
			n++
		}
	}
	return n
}

// valueOf is the sum of a counter or gauge over its labels.
func valueOf(t *testing.T, c prometheus.Collector) float64 {
	t.Helper()
	reg := prometheus.NewRegistry()
	reg.MustRegister(c)
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sum
}

// inVersion is a row in one of its versions.
func inVersion(row product.Record, v int64) product.Record {
	row.Version = v
	return row
}

func TestBadRowsAreTold(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers [][]product.Record
		full    bool
		lines   int
		total   float64
		there   float64
	}{
		{"once", [][]product.Record{{inVersion(bad("a"), 1)}}, false, 1, 1, 1},
		{"not again with each answer", [][]product.Record{{inVersion(bad("a"), 1)}, {inVersion(bad("a"), 1)}, {inVersion(bad("a"), 1)}}, true, 1, 1, 1},
		{"each version", [][]product.Record{{inVersion(bad("a"), 1)}, {inVersion(bad("a"), 2)}}, false, 2, 2, 1},
		{"each row", [][]product.Record{{inVersion(bad("a"), 1), inVersion(bad("b"), 1)}}, true, 2, 2, 2},
		{"good again", [][]product.Record{{inVersion(bad("a"), 1)}, {inVersion(good("a"), 2)}}, false, 1, 1, 0},
		{"bad, good and bad", [][]product.Record{{inVersion(bad("a"), 1)}, {inVersion(good("a"), 2)}, {inVersion(bad("a"), 3)}}, false, 2, 2, 1},
		{"gone", [][]product.Record{{inVersion(bad("a"), 1)}, {gone("a")}}, false, 1, 1, 0},
		{"missing in the table", [][]product.Record{{inVersion(bad("a"), 1)}, {good("b")}}, true, 1, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newRowsFixture()
			for _, rows := range tc.answers {
				f.apply(rows, tc.full, time.Time{})
			}
			if got := f.linesOf(); got != tc.lines {
				t.Errorf("%d lines, want %d", got, tc.lines)
			}
			if got := valueOf(t, f.bad.total); got != tc.total {
				t.Errorf("counted %v, want %v", got, tc.total)
			}
			if got := valueOf(t, f.bad.there); got != tc.there {
				t.Errorf("there are %v, want %v", got, tc.there)
			}
		})
	}
}

// TestManyBadRows: the lines are bounded, the counts are not, and a later line tells how
// many were left out.
func TestManyBadRows(t *testing.T) {
	f := newRowsFixture()
	const many = 10 * badLines
	for i := range many {
		f.apply([]product.Record{inVersion(bad(fmt.Sprint("row-", i)), 1)}, false, time.Time{})
	}
	if got := f.linesOf(); got != badLines {
		t.Errorf("%d lines, want %d", got, badLines)
	}
	if got := valueOf(t, f.bad.total); got != many {
		t.Errorf("counted %v, want %v", got, many)
	}
	f.at = f.at.Add(badLinesEach)
	f.bad.add(inVersion(bad(strings.Repeat("x", 64<<10)), 1), errors.New("bad row"))
	all := f.rec.Select("")
	latest := all[len(all)-1]
	if want := fmt.Sprint(many - badLines); latest.Fields["unsaid-before"] != want || len(latest.Fields["upstream"]) > longestName {
		t.Errorf("%.300v, want %s left out before", latest.Fields, want)
	}
}
