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
	// badRowLogLimit bounds the log lines about rejected rows within badRowLogPeriod. Without a
	// bound, a writer that fills the table with invalid rows, or rewrites one of them in a loop,
	// would push other lines out of the log.
	badRowLogLimit  = 20
	badRowLogPeriod = 10 * time.Second
)

// badRows reports the rows of a table that cannot be used: one log line and one count for each
// version of a row, and a gauge of the rows that are rejected now. It stores no more rows than the
// table has. All methods but list are called by one goroutine.
type badRows struct {
	event   events.ID
	reason  func(err error) string
	rec     *events.Recorder
	now     func() time.Time
	total   *prometheus.CounterVec
	current *prometheus.GaugeVec

	mu   sync.Mutex
	rows map[string]badRow
	// logged is the number of lines written in this period. suppressed is the number of lines left
	// out since the last line that was written.
	logged, suppressed int
	nextPeriod         time.Time
}

// badRow is a row that cannot be used.
type badRow struct {
	version int64
	reason  string
}

// newBadRows returns an empty badRows and registers its metrics. reason maps an error to one of a
// few label values.
func newBadRows(event events.ID, reason func(err error) string, reg prometheus.Registerer, rec *events.Recorder, now func() time.Time) *badRows {
	b := &badRows{
		event: event, reason: reason, rec: rec, now: now, rows: map[string]badRow{},
		total:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_bad_rows_total", Help: "Versions of upstream rows that were rejected, by reason."}, []string{"reason"}),
		current: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sparshore_gateway_bad_rows", Help: "Upstream rows in the store that are rejected now, by reason."}, []string{"reason"}),
	}
	reg.MustRegister(b.total, b.current)
	return b
}

// add records a row that cannot be used, and how long its decoding took. A version that is recorded already is not reported again,
// because rows are repeated, for example when the whole table is read.
func (b *badRows) add(row product.Record, err error, took time.Duration) {
	old, known := b.rows[row.Name]
	if known && old.version == row.Version {
		return
	}
	b.remove(row.Name)
	reason := b.reason(err)
	b.mu.Lock()
	b.rows[row.Name] = badRow{version: row.Version, reason: reason}
	b.mu.Unlock()
	b.current.WithLabelValues(reason).Inc()
	b.total.WithLabelValues(reason).Inc()
	b.logRow(row, reason, err, took)
}

// logRow writes a log line about a row unless the limit for this period is reached.
func (b *badRows) logRow(row product.Record, reason string, err error, took time.Duration) {
	if now := b.now(); !now.Before(b.nextPeriod) {
		b.logged, b.nextPeriod = 0, now.Add(badRowLogPeriod)
	}
	if b.logged >= badRowLogLimit {
		b.suppressed++
		return
	}
	b.logged++
	b.rec.Note(b.event, "", "upstream", events.Excerpt(row.Name, maxRowNameBytes), "version", row.Version, "reason", reason, "bytes", len(row.Value), "took", took, "error", err, "unsaid-before", b.suppressed)
	b.suppressed = 0
}

// remove deletes a row that was removed or can be used again.
func (b *badRows) remove(name string) {
	if old, ok := b.rows[name]; ok {
		b.current.WithLabelValues(old.reason).Dec()
		b.mu.Lock()
		delete(b.rows, name)
		b.mu.Unlock()
	}
}

// retainListed deletes the rows that are not in a complete read of the table.
func (b *badRows) retainListed(listed map[string]int) {
	for name := range b.rows {
		if _, ok := listed[name]; !ok {
			b.remove(name)
		}
	}
}

// list returns the rows that cannot be used, sorted by name, up to maxStatusBadRows.
func (b *badRows) list() []badRowStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]badRowStatus, 0, min(len(b.rows), maxStatusBadRows))
	for _, name := range slices.Sorted(maps.Keys(b.rows)) {
		if len(out) == maxStatusBadRows {
			break
		}
		out = append(out, badRowStatus{Name: events.Excerpt(name, maxRowNameBytes), Version: b.rows[name].version, Reason: b.rows[name].reason})
	}
	return out
}

// maxStatusBadRows bounds the rejected rows in the status page.
const maxStatusBadRows = 100

// maxRowNameBytes bounds how much of the name of a row a log line repeats.
const maxRowNameBytes = 128
