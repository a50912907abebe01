package daemon

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/events"
	product "github.com/sparshore/sparshore/internal/platform"
)

const (
	// badLines bounds the log lines about rows that cannot be used within badLinesEach: a
	// writer that fills the table with them, or writes one anew without end, would push
	// the other lines out of the log.
	badLines     = 20
	badLinesEach = 10 * time.Second
)

// badRows tells operators which rows of a table cannot be used: a log line and a count for
// each row and version, and a gauge of those there are. It keeps no more rows than the
// table has. All but list is used by one goroutine.
type badRows struct {
	event  events.ID
	reason func(err error) string
	rec    *events.Recorder
	now    func() time.Time
	total  *prometheus.CounterVec
	there  *prometheus.GaugeVec

	mu   sync.Mutex
	rows map[string]badRow
	// lines were written since the last period began, and unsaid left out since a line.
	lines, unsaid int
	nextPeriod    time.Time
}

// badRow is a row that cannot be used.
type badRow struct {
	version int64
	reason  string
}

// newBadRows registers the metrics; reason names one of a few reasons for an error.
func newBadRows(event events.ID, reason func(err error) string, reg prometheus.Registerer, rec *events.Recorder, now func() time.Time) *badRows {
	b := &badRows{
		event: event, reason: reason, rec: rec, now: now, rows: map[string]badRow{},
		total: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_bad_rows_total", Help: "Versions of upstreams' rows that cannot be used, by reason."}, []string{"reason"}),
		there: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sparshore_gateway_bad_rows", Help: "Upstreams' rows in the store that cannot be used, by reason."}, []string{"reason"}),
	}
	reg.MustRegister(b.total, b.there)
	return b
}

// add takes over a row that cannot be used. A version that is known is not told again:
// answers repeat rows, as when the whole table is read.
func (b *badRows) add(row product.Record, err error) {
	old, known := b.rows[row.Name]
	if known && old.version == row.Version {
		return
	}
	b.remove(row.Name)
	reason := b.reason(err)
	b.mu.Lock()
	b.rows[row.Name] = badRow{version: row.Version, reason: reason}
	b.mu.Unlock()
	b.there.WithLabelValues(reason).Inc()
	b.total.WithLabelValues(reason).Inc()
	b.say(row, reason, err)
}

// say writes a log line, unless there were too many.
func (b *badRows) say(row product.Record, reason string, err error) {
	if now := b.now(); !now.Before(b.nextPeriod) {
		b.lines, b.nextPeriod = 0, now.Add(badLinesEach)
	}
	if b.lines >= badLines {
		b.unsaid++
		return
	}
	b.lines++
	b.rec.Note(b.event, "", "upstream", events.Excerpt(row.Name, longestName), "version", row.Version, "reason", reason, "error", err, "unsaid-before", b.unsaid)
	b.unsaid = 0
}

// remove forgets a row that is gone or can be used.
func (b *badRows) remove(name string) {
	if old, ok := b.rows[name]; ok {
		b.there.WithLabelValues(old.reason).Dec()
		b.mu.Lock()
		delete(b.rows, name)
		b.mu.Unlock()
	}
}

// keep forgets the rows that a whole table does not hold.
func (b *badRows) keep(held map[string]int) {
	for name := range b.rows {
		if _, ok := held[name]; !ok {
			b.remove(name)
		}
	}
}

// list returns the rows that cannot be used, by name, and at most as many as are told.
func (b *badRows) list() []badRowStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]badRowStatus, 0, min(len(b.rows), mostBadRows))
	for _, name := range slices.Sorted(maps.Keys(b.rows)) {
		if len(out) == mostBadRows {
			break
		}
		out = append(out, badRowStatus{Name: events.Excerpt(name, longestName), Version: b.rows[name].version, Reason: b.rows[name].reason})
	}
	return out
}

// mostBadRows bounds the rows that the status page tells of.
const mostBadRows = 100

// longestName bounds in bytes what a log line repeats of a row's name.
const longestName = 128
