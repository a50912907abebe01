// Package originstore keeps in the store what a process needs to resume streams after all entries were lost at
// once. Entries tell each other which software version began a stream (package origin), and nobody knows it once
// all of them have been killed.
//
// A row for each software version of a service tells which versions may have begun a stream that can still be
// resumed. An entry that finds a new version writes the row before it passes on the first event of such a stream,
// and the row is removed only once the version has been gone for longer than any stream runs. A process that
// finds one version there knows that it began all streams of the service, however short its own view is.
//
// While there are several versions, each process writes the streams that it passed on to a row of its own. The
// gateway daemon runs one Keeper. Nothing is read or written while the versions stay the same and no caller
// resumes a stream that no entry knows.
package originstore

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

var (
	// errInvalidRow is wrapped for rows that cannot be used.
	errInvalidRow = errors.New("invalid row")
	// errReadRecently is returned while a failed read is not repeated.
	errReadRecently = errors.New("the last read failed, the next one is not due")
)

const (
	// writerDelay is the time after which the next entry takes its turn to write the row of a version that is
	// still missing.
	writerDelay = 250 * time.Millisecond
	// removers is the number of entries that remove the row of a version, or write since when the table has been
	// kept.
	removers = 3
	// peersWait bounds how long a starting process waits until it knows the other entries.
	peersWait = 2 * time.Second
	// confirmTimeout bounds how long streams of a new version wait for its row.
	confirmTimeout = 500 * time.Millisecond
	// neededReadInterval is the time after which an entry reads again whether a row is there that a stream
	// waits for. It doubles with each read.
	neededReadInterval = 50 * time.Millisecond
	// minReadInterval is the least time between two reads of an entry, and readSpacing the one between the
	// reads of all entries.
	minReadInterval = 250 * time.Millisecond
	readSpacing     = 5 * time.Millisecond
	// maxRetryDelay bounds the time before a failed call is repeated, unless there are more entries than
	// the store could serve then.
	maxRetryDelay = 2 * time.Second
	// removalMargin is added to the retention of versions before a row is removed, since entries lose sight
	// of an upstream at different times.
	removalMargin = time.Minute
	// maxRemoved is the number of expired rows that are removed after a read.
	maxRemoved = 4
	// maxExcerptBytes limits how much of a row's name is logged.
	maxExcerptBytes = 128
)

// Settings holds the fixed parameters of a Keeper.
type Settings struct {
	// Table is the table of the store that holds the rows.
	Table string
	// Name and Incarnation identify this entry and its process.
	Name        string
	Incarnation string
	// TickInterval is the time between two checks for what to write.
	TickInterval time.Duration
	// CallTimeout bounds a call to the store.
	CallTimeout time.Duration
	// FirstDeployment is set if no entry ever ran before.
	FirstDeployment bool
	// Retention is how long a version is kept after its last upstream: longer than any stream runs.
	Retention time.Duration
}

// Fleet gives access to what this entry knows of the upstreams.
type Fleet struct {
	// Software returns the versions of upstreams within the retention, by service.
	Software func() map[string][]string
	// FollowedSince returns the time since which this entry has known all upstreams without a gap; ok is
	// false if it does not know them now.
	FollowedSince func() (since time.Time, ok bool)
}

// Peers gives access to the other entries.
type Peers struct {
	// Known returns the names of all other entries. Ready is closed once they are known.
	Known func() []string
	Ready <-chan struct{}
	// StoreInterval returns the least time between two writes of the streams of this entry. It grows with the
	// number of entries.
	StoreInterval func() time.Duration
}

// Keeper reads and writes the rows.
type Keeper struct {
	settings Settings
	store    *platform.Store
	fleet    Fleet
	peers    Peers
	own      func() []origin.Stream
	rec      *events.Recorder
	now      func() time.Time
	// wake is signalled when a stream waits for the row of its version.
	wake chan struct{}

	// reading holds a value during a read, so that those that need one share it.
	reading chan struct{}

	mu    sync.Mutex
	table table
	// readFailures counts the reads that failed since the last successful one, and nextRead is when the next
	// one is due.
	readFailures int
	nextRead     time.Time
	// versions holds the versions that this entry knows by their upstreams.
	versions map[origin.Origin]*version
	// goneSince holds when this entry forgot a version that has a row.
	goneSince map[origin.Origin]time.Time
	// changed is closed when a version is confirmed.
	changed chan struct{}
	// restores counts how often the store was restored from a backup. nextKept is when this entry may write since when
	// the table has been kept; zero if that row is there.
	restores int
	nextKept time.Time
	// written holds the streams in the row of this process; nil if there is no row.
	written map[origin.Key]bool
	// nextWrite is when that row may be written again; zero while there is nothing to write.
	nextWrite time.Time
}

// table is what a read of the rows returned.
type table struct {
	// readAt is when the read began; zero before the first one. clock is the store's clock then or later.
	readAt  time.Time
	clock   time.Duration
	streams map[origin.Key]origin.Origin
	// software holds the versions in service, with their rows.
	software map[origin.Origin]platform.Record
	// unreadable is set if the row of a version cannot be decoded, so that more versions than known may be in
	// service.
	unreadable bool
	// spoilt are these rows, as far as they can be removed.
	spoilt []platform.Record
	// epoch is the store's epoch. kept is set if the table has been kept in this epoch, since keptSince on the
	// store's clock.
	epoch     int64
	kept      bool
	keptSince time.Duration
}

// version is the state of the row of a version that this entry knows.
type version struct {
	// seenAt is when this entry learned of the version, and readAfter when it reads whether another
	// entry has written the row.
	seenAt    time.Time
	readAfter time.Time
	// failures counts the writes of the row that failed, and nextWrite is when the next one is due.
	failures  int
	nextWrite time.Time
	confirmed bool
	// needed is set once a stream waits for the row, and reads counts the reads since then that lacked it.
	needed bool
	reads  int
}

// New returns a Keeper; Run starts its work. own returns the streams that this entry passed on.
func New(settings Settings, store *platform.Store, fleet Fleet, peers Peers, own func() []origin.Stream, rec *events.Recorder, now func() time.Time) *Keeper {
	return &Keeper{
		settings: settings, store: store, fleet: fleet, peers: peers, own: own, rec: rec, now: now,
		wake: make(chan struct{}, 1), reading: make(chan struct{}, 1), versions: map[origin.Origin]*version{}, goneSince: map[origin.Origin]time.Time{}, changed: make(chan struct{}),
	}
}

// Run writes the rows of versions and streams until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.awaitPeers(ctx)
	tick := time.NewTicker(k.settings.TickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if k.confirmVersions(ctx) {
			k.writeKept(ctx)
		}
		k.writeStreams(ctx)
		k.removeVersions(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-k.wake:
		}
	}
}

// awaitPeers waits until the other entries are known, or a stream needs the row of its version: an entry that knows
// no others writes rows that they write as well.
func (k *Keeper) awaitPeers(ctx context.Context) {
	wait := time.NewTimer(peersWait)
	defer wait.Stop()
	select {
	case <-k.peers.Ready:
	case <-wait.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// Restored makes the Keeper write all rows again: the store was restored from a backup that may lack them.
func (k *Keeper) Restored() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = table{}
	k.restores++
	clear(k.versions)
	k.written = nil
}

// readInterval is the least time between two reads of this entry.
func (k *Keeper) readInterval() time.Duration {
	return max(minReadInterval, time.Duration(len(k.peers.Known())+1)*readSpacing)
}

// retryDelay returns the time before a call is repeated that has failed a number of times.
func (k *Keeper) retryDelay(failures int) time.Duration {
	return min(k.readInterval()<<min(failures-1, 16), max(k.readInterval(), maxRetryDelay))
}

// read reads the rows unless that was done at or after the given time. While the store does not answer, it fails
// at once between two attempts.
func (k *Keeper) read(ctx context.Context, after time.Time) (table, error) {
	select {
	case k.reading <- struct{}{}:
		defer func() { <-k.reading }()
	case <-ctx.Done():
		return table{}, ctx.Err()
	}
	k.mu.Lock()
	known, nextRead, restores := k.table, k.nextRead, k.restores
	k.mu.Unlock()
	switch {
	case !known.readAt.IsZero() && !known.readAt.Before(after):
		return known, nil
	case k.now().Before(nextRead):
		return table{}, errReadRecently
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.settings.CallTimeout)
	defer cancel()
	sent := k.now()
	s, err := k.store.List(ctx, k.settings.Table)
	if err != nil {
		k.rec.Note(events.OriginStoreFailed, "", "call", "read", "error", err)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.readFailures++
		k.nextRead = k.now().Add(k.retryDelay(k.readFailures))
		return table{}, err
	}
	read, expired := k.decode(s, sent)
	k.mu.Lock()
	if k.restores != restores {
		// What was read before the restore tells nothing of the rows now.
		k.mu.Unlock()
		return table{}, platform.ErrRestored
	}
	k.table, k.readFailures, k.nextRead = read, 0, time.Time{}
	k.confirmRead(read)
	k.mu.Unlock()
	for _, r := range expired[:min(len(expired), maxRemoved)] {
		// What cannot be removed now is removed after a later read.
		_ = k.store.RemoveVersion(ctx, k.settings.Table, r.Name, r.Version)
	}
	return read, nil
}

// decode decodes the rows and returns those whose streams can all no longer be resumed.
func (k *Keeper) decode(s platform.Snapshot, sent time.Time) (t table, expired []platform.Record) {
	t = table{readAt: sent, clock: s.Clock, epoch: s.Epoch, streams: map[origin.Key]origin.Origin{}, software: map[origin.Origin]platform.Record{}}
	for _, r := range s.Records {
		switch {
		case r.Name == "" || strings.HasPrefix(r.Name, softwarePrefix):
			k.decodeVersion(&t, r)
		case r.Name == keptRow:
			var w wireKept
			// A row that cannot be used is written anew.
			if cbor.Unmarshal(r.Value, &w) == nil && w.Epoch == s.Epoch {
				t.kept, t.keptSince = true, time.Duration(w.SinceMS)*time.Millisecond
			}
		case strings.HasPrefix(r.Name, streamsPrefix):
			n, err := decodeStreams(r.Value, s.Clock, func(key origin.Key, o origin.Origin, _ time.Duration) { t.streams[key] = o })
			if err != nil {
				k.rec.Note(events.OriginStoreFailed, "", "call", "read", "row", events.Excerpt(r.Name, maxExcerptBytes), "error", err)
			}
			if err == nil && n == 0 && r.Name != k.streamsRow() && k.rank(r.Name) == 0 {
				expired = append(expired, r)
			}
		}
	}
	return t, expired
}

// decodeVersion adds the row of a version to a table.
func (k *Keeper) decodeVersion(t *table, r platform.Record) {
	o, err := decodeSoftware(r.Value)
	if err == nil {
		t.software[o] = r
		return
	}
	t.unreadable = true
	if r.Name != "" {
		t.spoilt = append(t.spoilt, r)
	}
	k.rec.Note(events.OriginStoreFailed, "", "call", "read", "row", events.Excerpt(r.Name, maxExcerptBytes), "error", err)
}

// confirmRead confirms the versions whose rows were read. The caller must hold k.mu.
func (k *Keeper) confirmRead(t table) {
	for o, v := range k.versions {
		if _, stored := t.software[o]; stored {
			v.confirmed = true
		}
	}
	k.broadcast()
}

// broadcast wakes the streams that wait for a version. The caller must hold k.mu.
func (k *Keeper) broadcast() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Stored is what the store has for a stream.
type Stored struct {
	// Origin began the stream, if Known is set.
	Origin origin.Origin
	Known  bool
	// Versions are the versions of the service that may have begun a stream which can still be resumed, as
	// of AsOf. They are complete for streams that began within KeptFor before that; 0 if there may be more.
	Versions []string
	AsOf     time.Time
	KeptFor  time.Duration
}

// Find returns what the store has for a stream of a service, as it was at the given time and a short time ago, or
// later.
func (k *Keeper) Find(ctx context.Context, key origin.Key, service string, after time.Time) (Stored, error) {
	if recent := k.now().Add(-k.readInterval()); after.Before(recent) {
		after = recent
	}
	t, err := k.read(ctx, after)
	if err != nil {
		return Stored{}, err
	}
	found := Stored{AsOf: t.readAt}
	if t.kept && !t.unreadable {
		found.KeptFor = max(t.clock-t.keptSince, 0)
	}
	found.Origin, found.Known = t.streams[key]
	for o := range t.software {
		if o.Service == service {
			found.Versions = append(found.Versions, o.Software)
		}
	}
	slices.Sort(found.Versions)
	return found, nil
}

// rank returns the place of this entry among those that write a row.
func (k *Keeper) rank(row string) int {
	own, before := roster.RendezvousHash(row, k.settings.Name), 0
	for _, name := range k.peers.Known() {
		if roster.RendezvousHash(row, name) > own {
			before++
		}
	}
	return before
}

// Confirm waits a short time until the row of a version is in the store, before the first event of a stream
// that it began is passed on. It reports whether the row is there.
func (k *Keeper) Confirm(ctx context.Context, o origin.Origin) bool {
	for {
		k.mu.Lock()
		v := k.noteVersion(o)
		v.needed = true
		confirmed, changed, end := v.confirmed, k.changed, v.seenAt.Add(confirmTimeout)
		k.mu.Unlock()
		if confirmed {
			return true
		}
		select {
		case k.wake <- struct{}{}:
		default:
		}
		wait := time.NewTimer(end.Sub(k.now()))
		select {
		case <-changed:
			wait.Stop()
		case <-wait.C:
			return false
		case <-ctx.Done():
			wait.Stop()
			return false
		}
	}
}

// noteVersion returns the state of a version. The caller must hold k.mu.
func (k *Keeper) noteVersion(o origin.Origin) *version {
	v, ok := k.versions[o]
	if !ok {
		now := k.now()
		// The first of the writers checks at once, the others once it should have written the row.
		v = &version{seenAt: now, readAfter: now}
		if k.rank(softwareRow(o)) > 0 {
			v.readAfter = now.Add(writerDelay/2 + rand.N(k.readInterval()))
		}
		k.versions[o] = v
	}
	return v
}

// confirmVersions makes sure that the rows of all versions of upstreams are in the store, and reports whether they
// are.
func (k *Keeper) confirmVersions(ctx context.Context) bool {
	current := map[origin.Origin]bool{}
	for service, versions := range k.fleet.Software() {
		for _, software := range versions {
			current[origin.Origin{Service: service, Software: software}] = true
		}
	}
	k.mu.Lock()
	for o := range current {
		k.noteVersion(o)
	}
	now := k.now()
	var pending []origin.Origin
	for o, v := range k.versions {
		switch {
		case !current[o] && now.Sub(v.seenAt) > k.settings.Retention:
			delete(k.versions, o)
		case !v.confirmed:
			pending = append(pending, o)
		}
	}
	k.mu.Unlock()
	for _, o := range pending {
		k.confirmVersion(ctx, o)
	}
	return len(pending) == 0 && len(current) > 0
}

// writeKept writes since when the table has been kept if nobody has in this epoch of the store. Before, versions may
// have begun streams that have no row.
func (k *Keeper) writeKept(ctx context.Context) {
	k.mu.Lock()
	known, restores, now, rank := k.table, k.restores, k.now(), k.rank(keptRow)
	k.mu.Unlock()
	if known.readAt.IsZero() || known.kept || rank >= removers {
		k.nextKept = time.Time{}
		return
	}
	if k.nextKept.IsZero() {
		k.nextKept = now.Add(time.Duration(rank) * writerDelay)
	}
	if now.Before(k.nextKept) {
		return
	}
	t, err := k.read(ctx, k.nextKept)
	if err != nil || t.kept {
		return
	}
	since := t.clock + k.now().Sub(t.readAt)
	if k.settings.FirstDeployment && restores == 0 {
		since = min(0, since-k.settings.Retention)
	}
	value, err := cbor.Marshal(wireKept{SinceMS: since.Milliseconds(), Epoch: t.epoch})
	if err == nil {
		err = k.put(ctx, keptRow, value)
	}
	if err != nil {
		k.nextKept = k.now().Add(maxRetryDelay)
		k.rec.Note(events.OriginStoreFailed, "", "call", "write", "row", keptRow, "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.restores == restores {
		k.table.kept, k.table.keptSince = true, since
	}
}

// confirmVersion reads whether the row of a version is there, and writes it if it is this entry's turn.
func (k *Keeper) confirmVersion(ctx context.Context, o origin.Origin) {
	k.mu.Lock()
	v, now, readAt := k.noteVersion(o), k.now(), k.table.readAt
	if v.confirmed || now.Before(v.readAfter) && !v.needed {
		k.mu.Unlock()
		return
	}
	// The first read has to be after the version was seen; later ones look for what other entries wrote.
	after := v.seenAt
	if !readAt.Before(after) {
		interval := k.readInterval()
		if v.needed {
			interval = min(interval, neededReadInterval<<min(v.reads, 16))
		}
		after = now.Add(-interval)
	}
	if readAt.Before(after) && v.needed {
		v.reads++
	}
	k.mu.Unlock()
	if _, err := k.read(ctx, after); err != nil {
		return
	}
	k.mu.Lock()
	turn := v.seenAt.Add(time.Duration(k.rank(softwareRow(o))) * writerDelay)
	due := !v.confirmed && !k.now().Before(turn) && !k.now().Before(v.nextWrite)
	k.mu.Unlock()
	if due {
		k.writeVersion(ctx, o, v)
	}
}

// writeVersion writes the row of a version.
func (k *Keeper) writeVersion(ctx context.Context, o origin.Origin, v *version) {
	value, err := encodeSoftware(o)
	if err == nil {
		err = k.put(ctx, softwareRow(o), value)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		v.failures++
		v.nextWrite = k.now().Add(k.retryDelay(v.failures))
		k.rec.Note(events.OriginStoreFailed, "", "call", "write", "service", o.Service, "software", o.Software, "error", err)
		return
	}
	if k.versions[o] != v {
		// The store was restored meanwhile and may lack the row.
		return
	}
	v.confirmed = true
	if k.table.software != nil {
		software := maps.Clone(k.table.software)
		software[o] = platform.Record{Name: softwareRow(o)}
		k.table.software = software
	}
	k.broadcast()
	k.rec.Note(events.SoftwareStored, "", "service", o.Service, "software", o.Software, "after", k.now().Sub(v.seenAt))
}

func (k *Keeper) put(ctx context.Context, name string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	return k.store.Put(ctx, k.settings.Table, name, value)
}

// streamsRow returns the name of the row of the streams of this process. Other processes never write it, so
// a late write of an earlier process removes nothing.
func (k *Keeper) streamsRow() string {
	return streamsPrefix + k.settings.Name + "/" + k.settings.Incarnation
}

// severalVersions returns the services with several versions that may have begun a stream which can still be
// resumed.
func (k *Keeper) severalVersions() map[string]bool {
	k.mu.Lock()
	all := map[origin.Origin]bool{}
	for o := range k.table.software {
		all[o] = true
	}
	k.mu.Unlock()
	for service, versions := range k.fleet.Software() {
		for _, software := range versions {
			all[origin.Origin{Service: service, Software: software}] = true
		}
	}
	count, out := map[string]int{}, map[string]bool{}
	for o := range all {
		if count[o.Service]++; count[o.Service] > 1 {
			out[o.Service] = true
		}
	}
	return out
}

// writeStreams writes the streams of services with several versions if there are new ones and the write is due.
// A failed write is repeated when the next one is due.
func (k *Keeper) writeStreams(ctx context.Context) {
	several, now := k.severalVersions(), k.now()
	k.mu.Lock()
	written, restores := k.written, k.restores
	k.mu.Unlock()
	switch {
	case len(several) == 0 && len(written) == 0:
		k.nextWrite = time.Time{}
		return
	case k.nextWrite.IsZero():
		// All entries learn of a second version at about the same time.
		k.nextWrite = now.Add(rand.N(k.peers.StoreInterval()))
	}
	if now.Before(k.nextWrite) {
		return
	}
	streams := slices.DeleteFunc(k.own(), func(s origin.Stream) bool { return !several[s.Service] })
	added := slices.ContainsFunc(streams, func(s origin.Stream) bool { return !written[s.Key] })
	if !added && (len(streams) > 0 || len(written) == 0) {
		return
	}
	err := k.writeOwnRow(ctx, streams)
	k.nextWrite = k.now().Add(k.peers.StoreInterval())
	if err != nil {
		k.rec.Note(events.OriginStoreFailed, "", "call", "write", "streams", len(streams), "error", err)
		return
	}
	written = make(map[origin.Key]bool, len(streams))
	for _, s := range streams {
		written[s.Key] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.restores == restores {
		k.written = written
	}
}

// writeOwnRow writes the row of this process, or removes it if there are no streams.
func (k *Keeper) writeOwnRow(ctx context.Context, streams []origin.Stream) error {
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	if len(streams) == 0 {
		return k.store.Remove(ctx, k.settings.Table, k.streamsRow())
	}
	// Any read will do: the store's clock is steady.
	t, err := k.read(ctx, time.Time{})
	if err != nil {
		return err
	}
	if len(streams) > maxRowStreams {
		k.rec.Note(events.OriginStoreFailed, "", "call", "write", "left-out", len(streams)-maxRowStreams)
	}
	value, err := encodeStreams(streams, func(at time.Time) time.Duration { return t.clock + at.Sub(t.readAt) })
	if err != nil {
		return err
	}
	return k.put(ctx, k.streamsRow(), value)
}

// removeVersions removes the rows of versions that have been gone for longer than any stream runs, as far as
// this entry has followed the upstreams for that time.
func (k *Keeper) removeVersions(ctx context.Context) {
	since, ok := k.fleet.FollowedSince()
	if !ok || k.now().Sub(since) < k.settings.Retention+removalMargin {
		return
	}
	k.removeSpoilt(ctx)
	for _, o := range k.goneVersions() {
		if k.rank(softwareRow(o)) < removers && !k.removeVersion(ctx, o) {
			continue
		}
		k.mu.Lock()
		software := maps.Clone(k.table.software)
		delete(software, o)
		k.table.software = software
		delete(k.goneSince, o)
		delete(k.versions, o)
		k.mu.Unlock()
	}
}

// goneVersions returns the versions with a row that this entry has not known by their upstreams for some time.
func (k *Keeper) goneVersions() []origin.Origin {
	known, now := k.fleet.Software(), k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []origin.Origin
	for o := range k.table.software {
		if slices.Contains(known[o.Service], o.Software) {
			delete(k.goneSince, o)
			continue
		}
		if _, noted := k.goneSince[o]; !noted {
			k.goneSince[o] = now
		}
		if now.Sub(k.goneSince[o]) >= removalMargin {
			out = append(out, o)
		}
	}
	return out
}

// removeVersion removes the row of a version unless it is written again meanwhile. It reports whether the row is
// gone.
func (k *Keeper) removeVersion(ctx context.Context, o origin.Origin) bool {
	t, err := k.read(ctx, k.now().Add(-k.readInterval()))
	if err != nil {
		return false
	}
	r, ok := t.software[o]
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	if err := k.store.RemoveVersion(ctx, k.settings.Table, r.Name, r.Version); err != nil {
		k.rec.Note(events.OriginStoreFailed, "", "call", "remove", "service", o.Service, "software", o.Software, "error", err)
		return false
	}
	return true
}

// removeSpoilt removes rows of versions that cannot be decoded. The versions that this entry has known meanwhile have
// rows of their own.
func (k *Keeper) removeSpoilt(ctx context.Context) {
	k.mu.Lock()
	spoilt := k.table.spoilt
	k.table.spoilt = nil
	k.mu.Unlock()
	for _, r := range spoilt {
		if k.rank(r.Name) >= removers {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
		err := k.store.RemoveVersion(ctx, k.settings.Table, r.Name, r.Version)
		cancel()
		if err != nil {
			k.rec.Note(events.OriginStoreFailed, "", "call", "remove", "row", events.Excerpt(r.Name, maxExcerptBytes), "error", err)
		}
	}
}
