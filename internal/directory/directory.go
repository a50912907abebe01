// Package directory keeps the list of entries in the store, so that they find
// each other. Each entry renews its own row; rows that are no longer renewed are
// ignored and, after a while, removed by whoever sees them.
package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// Settings are the fixed numbers of a Directory.
type Settings struct {
	// Table is the table that holds the rows.
	Table string
	// Name and Entry are the own entry's.
	Name  string
	Entry roster.Entry
	// Every is the least time between two reads; every third one renews the own row.
	Every time.Duration
	// ReadEach is the least time between two reads of all entries together: with many
	// of them each reads less often.
	ReadEach time.Duration
	// Again is the time after which a renewal that the store refused is tried again:
	// of hundreds of entries that start together it takes some hundred rows a second.
	Again time.Duration
	// CallWithin bounds one call to the store.
	CallWithin time.Duration
	// HeardWithin is the time in which one of the entries in the list is heard.
	HeardWithin time.Duration
	// Together tells that all entries start for the first time, and TogetherWithin spreads their
	// first looks at the list: it is empty, and those that look later find the first ones.
	Together       bool
	TogetherWithin time.Duration
	// AloneWithin bounds the pause after which an entry that found no other one looks again.
	AloneWithin time.Duration
	// ToldWithin is the time in which an entry that is heard tells which others there are.
	ToldWithin time.Duration
	// WriteEach is the least time between two rows of all entries together, when they start.
	WriteEach time.Duration
}

// Others are the other entries.
type Others struct {
	// Found takes over those that are listed, by name.
	Found func(listed map[string]roster.Entry)
	// Heard is the number of them that are heard. Those that hear each other tell each other of
	// further ones.
	Heard func() int
	// Known is called once those that are there are known as far as they can be soon.
	Known func()
}

// Carried is what entries keep in their rows for those that start when all others are gone.
type Carried struct {
	// Value returns what the own row is to hold; nil for nothing.
	Value func() []byte
	// Heard takes over what an entry's row holds, which was written some time before.
	Heard func(entry string, value []byte, age time.Duration)
}

const (
	// firstLeast and firstMost bound the mean time between tries until the entry is listed.
	firstLeast = 100 * time.Millisecond
	firstMost  = 2 * time.Second
	// renewEach is the number of reads between two renewals.
	renewEach = 3
	// staleAfter is the number of missed renewals after which a row is ignored.
	staleAfter = 3
	// removeAfter is the number of missed renewals after which a row is removed.
	removeAfter = 10
)

// Directory keeps one entry's row and reads the others'.
type Directory struct {
	settings Settings
	store    *platform.Store
	others   Others
	carried  Carried
	rec      *events.Recorder
	now      func() time.Time
	// soon asks for a renewal.
	soon chan struct{}

	clock   time.Duration
	clockAt time.Time
	failing bool
	// listed is the number of entries that the latest read found.
	listed int
	// alone tells that it found no other one.
	alone bool
	bad   badRows
}

// New returns a Directory.
func New(settings Settings, store *platform.Store, others Others, carried Carried, rec *events.Recorder, now func() time.Time) *Directory {
	return &Directory{settings: settings, store: store, others: others, carried: carried, rec: rec, now: now, soon: make(chan struct{}, 1)}
}

// RenewSoon writes the own row anew, because what it carries has changed.
func (d *Directory) RenewSoon() {
	select {
	case d.soon <- struct{}{}:
	default:
	}
}

// Run renews and reads until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	d.begin(ctx)
	owed := false
	for n := 1; ctx.Err() == nil; n++ {
		every := d.every()
		if owed {
			every = min(every, d.settings.Again)
		}
		select {
		case <-ctx.Done():
			continue
		case <-d.soon:
			owed = true
		case <-time.After(around(every)):
		}
		listed := d.read(ctx)
		d.note(listed)
		if owed || n%renewEach == 0 {
			err := d.renew(ctx)
			d.note(err)
			owed = err != nil
		}
	}
	d.leave()
}

// every is the time between two reads. Entries that are up tell each other of new
// ones, so the list serves starts and those who lost each other; read by each of 350
// entries every 10 s it would cost 35 calls a second.
func (d *Directory) every() time.Duration {
	return max(d.settings.Every, time.Duration(d.listed)*d.settings.ReadEach)
}

func (d *Directory) note(err error) {
	if (err != nil) != d.failing {
		d.failing = err != nil
		if err != nil {
			d.rec.Note(events.RegisterFailed, "", "error", err)
		}
	}
}

// row is the own row at a moment of the store's clock.
func (d *Directory) row(clock time.Duration) row {
	e := d.settings.Entry
	return row{
		Address: e.Address, RenewedMS: clock.Milliseconds(), RenewsEachMS: (renewEach * d.every()).Milliseconds(),
		Relay: e.Relay, Zone: e.Zone, Cores: e.Size.Cores, LinkMbps: e.Size.LinkMbps, Carried: d.carried.Value(),
	}
}

func (d *Directory) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.CallWithin)
	defer cancel()
	clock := d.clock + d.now().Sub(d.clockAt)
	value, err := json.Marshal(d.row(clock))
	if err != nil {
		return err
	}
	return d.store.Put(ctx, d.settings.Table, d.settings.Name, value)
}

// leave takes the own row away in a planned stop; if that fails, the row goes
// stale.
func (d *Directory) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.CallWithin)
	defer cancel()
	d.note(d.store.Remove(ctx, d.settings.Table, d.settings.Name))
}

func (d *Directory) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.CallWithin)
	defer cancel()
	s, err := d.store.List(ctx, d.settings.Table)
	if err != nil {
		return err
	}
	old := d.take(s)
	if len(old) == 0 {
		return nil
	}
	return d.store.Remove(ctx, d.settings.Table, old...)
}

// take takes over the whole table and returns the rows that are long out of date. Rows that
// cannot be used are left to those who wrote them.
func (d *Directory) take(s platform.Snapshot) (old []string) {
	d.clock, d.clockAt = s.Clock, d.now()
	listed := make(map[string]roster.Entry, len(s.Records))
	bad, told := badRows{}, 0
	for _, r := range s.Records {
		v, err := decodeRow(r.Value)
		if err != nil {
			bad[r.Name] = r.Version
			if d.bad.fresh(r) && told < mostLines {
				told++
				d.rec.Note(events.RegisterFailed, "", "row", events.Excerpt(r.Name, mostTold), "version", r.Version, "error", err)
			}
			continue
		}
		if len(v.Carried) > 0 {
			d.carried.Heard(r.Name, v.Carried, v.age(s.Clock))
		}
		switch missed := v.missed(s.Clock); {
		case missed > removeAfter:
			old = append(old, r.Name)
		case missed <= staleAfter:
			listed[r.Name] = v.entry()
		}
	}
	d.bad = bad
	d.listed = len(listed)
	_, own := listed[d.settings.Name]
	d.alone = d.listed == 0 || own && d.listed == 1
	d.others.Found(listed)
	return old
}
