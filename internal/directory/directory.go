// Package directory registers the entries (gateway processes) of a deployment in a table of the
// store, so that they find each other. The gateway daemon runs one Directory, which renews the
// entry's own row, reads the rows of the others and removes expired rows. A row that is no longer
// renewed is ignored after a few missed renewals, so a crashed entry leaves the list without help.
package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// Settings holds the fixed parameters of a Directory.
type Settings struct {
	// Table is the store's table that holds the rows.
	Table string
	// Name and Entry describe this entry; its row is made from them.
	Name  string
	Entry roster.Entry
	// ReadInterval is the minimum interval between two reads of the table. Each third read also renews the
	// own row.
	ReadInterval time.Duration
	// SharedReadInterval is the minimum interval between the reads of all entries together. With many entries
	// each one reads less often than ReadInterval.
	SharedReadInterval time.Duration
	// RenewalRetryDelay is the delay before a failed renewal is retried. When hundreds of entries start
	// together, the store accepts only a few hundred rows a second and refuses the others.
	RenewalRetryDelay time.Duration
	// CallTimeout is the timeout of one call to the store.
	CallTimeout time.Duration
	// ContactTimeout is how long an entry that starts waits for a message from one of the listed
	// entries.
	ContactTimeout time.Duration
	// FirstDeployment is set when all entries of the deployment start for the first time. The table is
	// empty then, so the first reads are spread over FirstReadSpread: entries that read later find
	// the rows of earlier ones.
	FirstDeployment bool
	FirstReadSpread time.Duration
	// RereadDelayMax is the maximum delay before an entry that found no other one reads the table
	// again.
	RereadDelayMax time.Duration
	// IntroductionDelay is how long an entry in contact with another one takes to learn of further
	// entries from it.
	IntroductionDelay time.Duration
	// SharedWriteInterval is the minimum interval between the writes of all entries together when they start.
	SharedWriteInterval time.Duration
}

// Callbacks holds the callbacks that connect a Directory to the entry's exchange of messages with the
// others.
type Callbacks struct {
	// OnList receives the listed entries by name after each read. They include this entry once its
	// row is written.
	OnList func(listed map[string]roster.Entry)
	// ContactCount returns the number of other entries whose messages arrive. Entries in contact inform
	// each other of further ones.
	ContactCount func() int
	// OnReady is called when the entry knows as many of the others as it can learn soon. It may be
	// called again.
	OnReady func()
}

// RowData holds the callbacks for data that entries keep in their rows, where it survives a stop of
// all entries at once.
type RowData struct {
	// Value returns the data for this entry's row, or nil if there is none.
	Value func() []byte
	// OnRead receives the data in an entry's row and the time since that row was written. An error marks data
	// that cannot be used; it is logged once for each version of the row.
	OnRead func(entry string, value []byte, age time.Duration) error
}

const (
	// retryDelayMin and retryDelayMax bound the mean delay between attempts of the calls that an
	// entry makes to join the list.
	retryDelayMin = 100 * time.Millisecond
	retryDelayMax = 2 * time.Second
	// readsPerRenewal is the number of reads for each renewal of this entry's row.
	readsPerRenewal = 3
	// staleAfter is the number of missed renewals after which a row is ignored.
	staleAfter = 3
	// removeAfter is the number of missed renewals after which a row is removed.
	removeAfter = 10
	// maxRemoved is the number of rows that one call removes; the store refuses a call with more.
	maxRemoved = 100
)

// Directory maintains this entry's row and reads the rows of the others.
type Directory struct {
	settings  Settings
	store     *platform.Store
	callbacks Callbacks
	rowData   RowData
	rec       *events.Recorder
	now       func() time.Time
	// renewRequests holds a request of RenewSoon until this entry's row is written.
	renewRequests chan struct{}

	// clock is the store's monotonic clock at the last read, and clockAt the local time of that read.
	clock   time.Duration
	clockAt time.Time
	failing bool
	// listed is the number of entries that the latest read found.
	listed int
	// alone is set when the latest read found no other entry.
	alone bool
	bad   badRows
}

// New returns a Directory; Run starts its work.
func New(settings Settings, store *platform.Store, callbacks Callbacks, rowData RowData, rec *events.Recorder, now func() time.Time) *Directory {
	return &Directory{settings: settings, store: store, callbacks: callbacks, rowData: rowData, rec: rec, now: now, renewRequests: make(chan struct{}, 1)}
}

// RenewSoon requests that this entry's row be written again, because the data it carries has
// changed or the store has lost the row.
func (d *Directory) RenewSoon() {
	select {
	case d.renewRequests <- struct{}{}:
	default:
	}
}

// Run joins the list of entries, then reads and renews until ctx ends, and removes this entry's row
// at the end.
func (d *Directory) Run(ctx context.Context) {
	d.join(ctx)
	renewalDue := false
	for n := 1; ctx.Err() == nil; n++ {
		interval := d.readInterval()
		if renewalDue {
			interval = min(interval, d.settings.RenewalRetryDelay)
		}
		select {
		case <-ctx.Done():
			continue
		case <-d.renewRequests:
			renewalDue = true
		case <-time.After(withJitter(interval)):
		}
		readErr := d.read(ctx)
		d.recordResult(readErr)
		if renewalDue || n%readsPerRenewal == 0 {
			err := d.renew(ctx)
			d.recordResult(err)
			renewalDue = err != nil
		}
	}
	d.removeOwnRow()
}

// readInterval returns the time between two reads. Entries in contact tell each other of new ones,
// so the table serves only entries that start or have lost contact. If each of 350 entries read it
// every 10 s, that would cost 35 calls a second.
func (d *Directory) readInterval() time.Duration {
	return max(d.settings.ReadInterval, time.Duration(d.listed)*d.settings.SharedReadInterval)
}

// recordResult records whether the last call failed, and logs the first of consecutive failures.
func (d *Directory) recordResult(err error) {
	if (err != nil) != d.failing {
		d.failing = err != nil
		if err != nil {
			d.rec.Note(events.RegisterFailed, "", "error", err)
		}
	}
}

// row returns this entry's row as of clock, a time on the store's monotonic clock.
func (d *Directory) row(clock time.Duration) row {
	e := d.settings.Entry
	return row{
		Address: e.Address, RenewedMS: clock.Milliseconds(), RenewsEachMS: (readsPerRenewal * d.readInterval()).Milliseconds(),
		Relay: e.Relay, Zone: e.Zone, Cores: e.Size.Cores, LinkMbps: e.Size.LinkMbps, Carried: d.rowData.Value(),
	}
}

// renew writes this entry's row. Its time is the store's clock at the last read, advanced by the
// local clock.
func (d *Directory) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.CallTimeout)
	defer cancel()
	clock := d.clock + d.now().Sub(d.clockAt)
	value, err := json.Marshal(d.row(clock))
	if err != nil {
		return err
	}
	return d.store.Put(ctx, d.settings.Table, d.settings.Name, value)
}

// removeOwnRow removes this entry's row in a planned stop. If the call fails, the row expires like
// that of a crashed entry.
func (d *Directory) removeOwnRow() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.CallTimeout)
	defer cancel()
	d.recordResult(d.store.Remove(ctx, d.settings.Table, d.settings.Name))
}

func (d *Directory) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.CallTimeout)
	defer cancel()
	s, err := d.store.List(ctx, d.settings.Table)
	if err != nil {
		return err
	}
	expired := d.applySnapshot(s)
	if len(expired) == 0 {
		return nil
	}
	return d.store.Remove(ctx, d.settings.Table, expired[:min(len(expired), maxRemoved)]...)
}

// applySnapshot processes the whole table and returns the names of expired rows, which are to be
// removed. Rows that cannot be used are left in place, since they may belong to another writer.
func (d *Directory) applySnapshot(s platform.Snapshot) (expired []string) {
	d.clock, d.clockAt = s.Clock, d.now()
	listed := make(map[string]roster.Entry, len(s.Records))
	bad, logged := badRows{}, 0
	reject := func(r platform.Record, err error) {
		bad[r.Name] = r.Version
		if d.bad.isNew(r) && logged < maxBadRowLogs {
			logged++
			d.rec.Note(events.RegisterFailed, "", "row", events.Excerpt(r.Name, maxExcerptBytes), "version", r.Version, "error", err)
		}
	}
	for _, r := range s.Records {
		v, err := decodeRow(r.Value)
		if err != nil {
			reject(r, err)
			continue
		}
		if len(v.Carried) > 0 {
			if err := d.rowData.OnRead(r.Name, v.Carried, v.age(s.Clock)); err != nil {
				reject(r, err)
			}
		}
		switch missed := v.missed(s.Clock); {
		case missed > removeAfter:
			expired = append(expired, r.Name)
		case missed <= staleAfter:
			listed[r.Name] = v.entry()
		}
	}
	d.bad = bad
	d.listed = len(listed)
	_, own := listed[d.settings.Name]
	d.alone = d.listed == 0 || own && d.listed == 1
	d.callbacks.OnList(listed)
	return expired
}
