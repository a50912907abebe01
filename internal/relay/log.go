// Package relay lets entries pass on to each other what the platform's store
// told them. A few entries follow the store; the others ask those few, so that
// calls to the store do not grow with the number of entries. An entry that the
// store turns away gets the changes, and how fresh they are, from one it serves.
package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// keepGone is how long a removed row is remembered: the store keeps its own
// history about as long.
const keepGone = 30 * time.Second

// tableLog is the newest known state of one table.
type tableLog struct {
	rows map[string]entry
	// floor is the version from which the log knows all changes.
	floor   int64
	version int64
	// epoch is that of the store in which the rows were read, and returned is set once the
	// store was restored from a copy. See platform.Snapshot.
	epoch    int64
	returned bool
	made     time.Time
	failing  bool
	signs    signs
	// told is the latest answer, for those that know the table up to toldAfter. One with
	// records holds until the rows change or a call fails.
	told      answer
	toldAfter int64
	// whole is the whole table, encoded; it holds until the rows change.
	whole answer
}

// signs are channels that are closed at the next change of a table, and when it is next known to
// be the newest.
type signs struct {
	changed, confirmed chan struct{}
}

type entry struct {
	record platform.Record
	gone   time.Time
}

// Log keeps the newest known state of the followed tables.
type Log struct {
	now func() time.Time

	mu     sync.Mutex
	tables map[string]*tableLog
}

// NewLog returns an empty Log.
func NewLog(now func() time.Time) *Log { return &Log{now: now, tables: map[string]*tableLog{}} }

func (l *Log) table(name string) *tableLog {
	t, ok := l.tables[name]
	if !ok {
		t = &tableLog{rows: map[string]entry{}, floor: -1, signs: signs{make(chan struct{}), make(chan struct{})}}
		l.tables[name] = t
	}
	return t
}

// note takes over an answer; full marks one that holds the whole table.
func (l *Log) note(table string, s platform.Snapshot, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	if !t.enter(s.Epoch, full) {
		return
	}
	t.failing = false
	if s.Made.After(t.made) {
		t.made = s.Made
		t.signs.confirmed = renew(t.signs.confirmed)
	}
	if full {
		l.replace(t, s)
	}
	for _, r := range s.Records {
		if r.Version == 0 {
			r.Version = s.Version
		}
		t.rows[r.Name] = l.entryOf(r)
	}
	t.version = max(t.version, s.Version)
	if full || len(s.Records) > 0 {
		t.signs.changed = renew(t.signs.changed)
		t.told, t.whole = answer{}, answer{}
		l.forget(t)
	}
}

// enter begins a later epoch of the store, of which only a whole table tells. It returns false for an
// answer that tells nothing: of an earlier epoch, or of changes in one whose table is not known.
func (t *tableLog) enter(epoch int64, full bool) bool {
	switch {
	case epoch == 0 || epoch == t.epoch:
		return true
	case epoch < t.epoch:
		return false
	}
	known := t.epoch != 0 || t.floor >= 0
	t.returned = t.returned || t.epoch != 0
	t.epoch = epoch
	if known {
		t.rows, t.floor, t.version = map[string]entry{}, -1, 0
		t.told, t.whole = answer{}, answer{}
		// Who waits has to read the whole table.
		t.signs.changed = renew(t.signs.changed)
	}
	return full
}

// comparable reports whether versions that an asker knows in an epoch, 0 if it does not say, can be
// compared with those here.
func (t *tableLog) comparable(epoch int64) bool {
	return epoch == 0 || t.epoch == 0 || epoch == t.epoch
}

// tells reports whether an answer made in an epoch, 0 if it is not stated, tells anything: one of an
// earlier epoch does not, nor does one that may be.
func (l *Log) tells(table string, epoch int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	if epoch == 0 {
		return !t.returned
	}
	return epoch >= t.epoch
}

// epoch returns the epoch of the store in which a table was last read.
func (l *Log) epoch(table string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table(table).epoch
}

// Keep puts a row in the place of an older one that the store came back with, for those who ask
// here, until the store has a later one.
func (l *Log) Keep(table string, row platform.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	row.Version = t.version
	t.rows[row.Name] = l.entryOf(row)
	t.told, t.whole = answer{}, answer{}
}

// renew closes a channel and returns the next one.
func renew(c chan struct{}) chan struct{} {
	close(c)
	return make(chan struct{})
}

// replace marks the rows that a whole table lacks as removed.
func (l *Log) replace(t *tableLog, s platform.Snapshot) {
	listed := make(map[string]bool, len(s.Records))
	for _, r := range s.Records {
		listed[r.Name] = true
	}
	for name, e := range t.rows {
		if !listed[name] && !e.record.Gone {
			t.rows[name] = l.entryOf(platform.Record{Name: name, Version: s.Version, Gone: true})
		}
	}
	if t.floor < 0 {
		t.floor = s.Version
	}
}

func (l *Log) entryOf(r platform.Record) entry {
	e := entry{record: r}
	if r.Gone {
		e.gone = l.now()
	}
	return e
}

// forget drops rows that were removed long ago; who is that far behind has to
// read the whole table.
func (l *Log) forget(t *tableLog) {
	for name, e := range t.rows {
		if e.record.Gone && l.now().Sub(e.gone) > keepGone {
			t.floor = max(t.floor, e.record.Version)
			delete(t.rows, name)
		}
	}
}

// made is when the newest answer for the table was made; the zero time if there is
// none.
func (l *Log) made(table string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table(table).made
}

// failed notes that the newest call for the table failed.
func (l *Log) failed(table string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	t.failing, t.told = true, answer{}
}

// answer is since, encoded, with the signs of what comes next. Hundreds of entries ask for the same
// change at once, so it is encoded once for all of them.
func (l *Log) answer(table string, after, epoch int64) (answer, signs, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	switch {
	case !t.comparable(epoch):
		// The epoch tells the asker to read the whole table.
		return answer{version: t.version, epoch: t.epoch, made: t.made, over: true}, t.signs, nil
	case epoch == 0 && t.returned:
		return answer{}, signs{}, errCannotTell
	}
	if t.told.records == nil || t.toldAfter != after {
		s, ok := l.since(table, after)
		if !ok {
			return answer{}, signs{}, errCannotTell
		}
		var err error
		if t.told, err = answerOf(s); err != nil {
			return answer{}, signs{}, err
		}
		t.toldAfter = after
	}
	a := t.told
	a.version, a.epoch, a.made = t.version, t.epoch, t.made
	return a, t.signs, nil
}

// wholeAnswer is the whole table, encoded once for all who ask, with the signs of what comes next;
// the error is errCannotTell while it is not known.
func (l *Log) wholeAnswer(table string) (answer, signs, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	if t.floor < 0 {
		return answer{}, t.signs, errCannotTell
	}
	if t.whole.records == nil {
		var err error
		if t.whole, err = answerOf(l.live(t)); err != nil {
			return answer{}, signs{}, err
		}
	}
	a := t.whole
	a.version, a.epoch, a.made = t.version, t.epoch, t.made
	return a, t.signs, nil
}

// since returns the rows that changed after a version. ok is false when the log cannot
// tell. It needs the lock.
func (l *Log) since(table string, after int64) (s platform.Snapshot, ok bool) {
	t := l.table(table)
	if t.floor < 0 || after < t.floor || t.failing {
		return platform.Snapshot{}, false
	}
	if after >= t.version {
		return platform.Snapshot{Version: t.version, Made: t.made}, true
	}
	return l.snapshot(t, after), true
}

// live returns the whole table but for the rows that are gone. It needs the lock.
func (l *Log) live(t *tableLog) platform.Snapshot {
	s := l.snapshot(t, -1)
	s.Records = slices.DeleteFunc(s.Records, func(r platform.Record) bool { return r.Gone })
	return s
}

func (l *Log) snapshot(t *tableLog, after int64) platform.Snapshot {
	s := platform.Snapshot{Version: t.version, Made: t.made}
	for _, e := range t.rows {
		if e.record.Version > after {
			s.Records = append(s.Records, e.record)
		}
	}
	return s
}
