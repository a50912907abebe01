package daemon

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	product "github.com/sparshore/sparshore/internal/platform"
)

// rejectionLines returns the number of log lines about rejected rows.
func (f *rowsFixture) rejectionLines() int {
	n := 0
	for _, e := range f.rec.Select("") {
		if e.Event == events.UpstreamRejected {
			n++
		}
	}
	return n
}

// metricSum returns the sum of a counter or gauge over its labels.
func metricSum(t *testing.T, c prometheus.Collector) float64 {
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

// withVersion returns the row with another version.
func withVersion(row product.Record, v int64) product.Record {
	row.Version = v
	return row
}

func TestBadRowsAreReported(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers [][]product.Record
		full    bool
		lines   int
		total   float64
		current float64
	}{
		{"one row", [][]product.Record{{withVersion(invalidRow("a"), 1)}}, false, 1, 1, 1},
		{"same version in each answer", [][]product.Record{{withVersion(invalidRow("a"), 1)}, {withVersion(invalidRow("a"), 1)}, {withVersion(invalidRow("a"), 1)}}, true, 1, 1, 1},
		{"two versions of a row", [][]product.Record{{withVersion(invalidRow("a"), 1)}, {withVersion(invalidRow("a"), 2)}}, false, 2, 2, 1},
		{"two rows", [][]product.Record{{withVersion(invalidRow("a"), 1), withVersion(invalidRow("b"), 1)}}, true, 2, 2, 2},
		{"row becomes valid", [][]product.Record{{withVersion(invalidRow("a"), 1)}, {withVersion(validRow("a"), 2)}}, false, 1, 1, 0},
		{"row becomes valid and invalid again", [][]product.Record{{withVersion(invalidRow("a"), 1)}, {withVersion(validRow("a"), 2)}, {withVersion(invalidRow("a"), 3)}}, false, 2, 2, 1},
		{"row is removed", [][]product.Record{{withVersion(invalidRow("a"), 1)}, {removedRow("a")}}, false, 1, 1, 0},
		{"row is missing in a complete read", [][]product.Record{{withVersion(invalidRow("a"), 1)}, {validRow("b")}}, true, 1, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newRowsFixture()
			for _, rows := range tc.answers {
				f.apply(rows, tc.full, time.Time{})
			}
			if got := f.rejectionLines(); got != tc.lines {
				t.Errorf("%d lines, want %d", got, tc.lines)
			}
			if got := metricSum(t, f.bad.total); got != tc.total {
				t.Errorf("counted %v, want %v", got, tc.total)
			}
			if got := metricSum(t, f.bad.current); got != tc.current {
				t.Errorf("gauge is %v, want %v", got, tc.current)
			}
		})
	}
}

// TestBadRowLogLinesAreLimited checks that the log lines are bounded, that the counts are not, and
// that a later line gives the number of lines left out.
func TestBadRowLogLinesAreLimited(t *testing.T) {
	f := newRowsFixture()
	const many = 10 * badRowLogLimit
	for i := range many {
		f.apply([]product.Record{withVersion(invalidRow(fmt.Sprint("row-", i)), 1)}, false, time.Time{})
	}
	if got := f.rejectionLines(); got != badRowLogLimit {
		t.Errorf("%d lines, want %d", got, badRowLogLimit)
	}
	if got := metricSum(t, f.bad.total); got != many {
		t.Errorf("counted %v, want %v", got, many)
	}
	f.now = f.now.Add(badRowLogPeriod)
	f.bad.add(withVersion(invalidRow(strings.Repeat("x", 64<<10)), 1), errors.New("bad row"), 0)
	all := f.rec.Select("")
	latest := all[len(all)-1]
	if want := fmt.Sprint(many - badRowLogLimit); latest.Fields["unsaid-before"] != want || len(latest.Fields["upstream"]) > maxRowNameBytes {
		t.Errorf("%.300v, want %s lines left out before", latest.Fields, want)
	}
}

// Guards against a rejected row whose line does not tell how large it is and how long it took.
func TestRejectedRowTellsItsSizeAndTime(t *testing.T) {
	f := newRowsFixture()
	f.decode = func(string, []byte) (fleet.Record, error) {
		f.now = f.now.Add(3 * time.Second)
		return fleet.Record{}, errors.New("bad row")
	}
	f.apply([]product.Record{invalidRow("a")}, false, time.Time{})
	for _, e := range f.rec.Select("") {
		if e.Event == events.UpstreamRejected && (e.Fields["took"] != "3s" || e.Fields["bytes"] != "1") {
			t.Errorf("%v, want 1 byte and 3 s", e.Fields)
		}
	}
	if f.rejectionLines() != 1 {
		t.Errorf("%d lines, want 1", f.rejectionLines())
	}
}
