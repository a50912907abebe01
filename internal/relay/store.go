package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// ErrStale is wrapped when the answer of a peer is too old to use or comes from an earlier epoch
// of the store.
var ErrStale = errors.New("answer of the peer is too old")

// Settings are the fixed parameters of a Store.
type Settings struct {
	// Name, Zone and Size describe this entry.
	Name string
	Zone string
	Size roster.Size
	// Delegates is the number of entries that poll the store on behalf of all.
	Delegates int
	// Wait is the longest time for which a peer holds a long poll for changes. It bounds how late
	// an unresponsive peer is noticed.
	Wait time.Duration
	// Slack is the time beyond Wait after which a call to a peer times out.
	Slack time.Duration
	// Overdue is the time beyond Wait after which a call on a connection that was open before is repeated
	// on a new one, which has Slack for it.
	Overdue time.Duration
	// StoreSlack is the time beyond the hold time after which a call for changes to the store times out.
	StoreSlack time.Duration
	// Rechecked lists the tables whose answers count only from when their calls were sent. If the store held a
	// call for longer than RecheckAge, another call follows that it does not hold.
	Rechecked  []string
	RecheckAge time.Duration
	// MaxAge is the age from which the answer of a peer is not used any more, unless it has changes.
	MaxAge time.Duration
	// AvoidFor is how long a peer is not asked after a failed call, and AvoidStaleFor after an
	// answer that was too old.
	AvoidFor      time.Duration
	AvoidStaleFor time.Duration
	// StoreCallInterval is the mean time between two calls to the store, over all entries that are not
	// delegates and get no answer from a peer.
	StoreCallInterval time.Duration
	// RetryAfter is the time after which an entry that failed to reach the store may be a delegate
	// again.
	RetryAfter time.Duration
	// PeerListTimeout bounds how long an entry waits at its start for the list of its peers.
	PeerListTimeout time.Duration
}

// Peer is another entry that can be asked.
type Peer struct {
	Name string
	Zone string
	Size roster.Size
	// Address is the IP:port of the relay server of the peer.
	Address string
	// Confirmed is the monotonic time at which the peer last knew that its routes were up to date.
	Confirmed time.Time
	// StoreLost is set while the peer cannot reach the store itself.
	StoreLost bool
}

// Store reads tables from the platform's store or from a peer.
type Store struct {
	settings Settings
	direct   *platform.Store
	log      *Log
	peers    func() []Peer
	// peersReady is closed once the list of peers was read or its read has failed.
	peersReady <-chan struct{}
	rec        *events.Recorder
	now        func() time.Time
	dial       func(ctx context.Context, address string) (*peer.Conn, error)
	// random returns a number in [0, 1).
	random      func() float64
	olderTables atomic.Int64

	mu         sync.Mutex
	conns      map[string]openConn
	avoidUntil map[string]time.Time
	sources    map[string]string
	// recheck holds the tables whose latest changes came in an answer older than RecheckAge.
	recheck map[string]bool
	// recheckTook is how long the latest recheck took.
	recheckTook time.Duration
	// storeFailedAt is when a direct call to the store last failed. It is zero once a later call
	// has succeeded.
	storeFailedAt time.Time
	// nextTurn is when this entry, though not a delegate, may call the store because no peer can
	// answer. It is zero while a peer can.
	nextTurn time.Time
}

// New returns a Store over direct that records what it reads in log, from which peers are
// answered. peers lists the other entries; peersReady is closed once that list was read.
func New(settings Settings, direct *platform.Store, log *Log, peers func() []Peer, peersReady <-chan struct{}, rec *events.Recorder, now func() time.Time) *Store {
	return &Store{
		settings: settings, direct: direct, log: log, peers: peers, peersReady: peersReady, rec: rec, now: now,
		dial: func(ctx context.Context, address string) (*peer.Conn, error) { return peer.Dial(ctx, address, nil) }, random: rand.Float64,
		conns: map[string]openConn{}, avoidUntil: map[string]time.Time{}, sources: map[string]string{}, recheck: map[string]bool{},
	}
}

// Platform returns this Store in the form that table followers use. Writes go to the platform's
// store directly.
func (s *Store) Platform() *platform.Store {
	return &platform.Store{List: s.list, Changes: s.changes, Put: s.direct.Put, Remove: s.direct.Remove, RemoveVersion: s.direct.RemoveVersion}
}

// list reads the whole table from a delegate, or else from the store. If both fail, it reads the
// table from the peer with the freshest copy at any age: the caller has no copy yet, so an old
// table is better than none, and the snapshot carries its age.
func (s *Store) list(ctx context.Context, table string) (platform.Snapshot, error) {
	s.awaitPeerList(ctx)
	for range maxAsked {
		p, ok, _ := s.source()
		if !ok {
			break
		}
		if snap, err := s.askList(ctx, p, table, s.settings.MaxAge); err == nil {
			return snap, nil
		}
	}
	snap, err := s.listDirect(ctx, table)
	if err != nil {
		for _, p := range s.freshest(anyAge) {
			if snap, relayed := s.askList(ctx, p, table, anyAge); relayed == nil {
				return snap, nil
			}
		}
		s.log.markFailed(table)
		return platform.Snapshot{}, err
	}
	s.recordSource(table, "")
	return snap, s.log.applyStored(table, snap, true)
}

// askList asks a peer for the whole table and rejects an answer that is older than oldest. A peer
// that is itself reading the table from the store holds the call until it has read the table.
func (s *Store) askList(ctx context.Context, p Peer, table string, oldest time.Duration) (platform.Snapshot, error) {
	snap, err := s.ask(ctx, p, query{method: methodList, table: table, wait: s.settings.Wait}, oldest)
	if err == nil {
		s.recordSource(table, p.Name)
	}
	return snap, err
}

// ListFrom returns the copy of a table that the named peer holds. It is called when gossip shows
// that the peer has later rows. The copy does not count as an answer of the store and is not
// written to the log.
func (s *Store) ListFrom(ctx context.Context, name, table string) (platform.Snapshot, error) {
	for _, p := range s.peers() {
		if p.Name == name {
			return s.callRepeated(ctx, p, query{method: methodList, table: table})
		}
	}
	return platform.Snapshot{}, fmt.Errorf("%w: %s", errUnknownPeer, name)
}

// errUnknownPeer is wrapped when the named entry is not among the live peers.
var errUnknownPeer = errors.New("entry is not among the live peers")

// awaitPeerList waits until the list of peers was read, at most PeerListTimeout. Without the wait,
// each of hundreds of entries that start together would read its tables from the store.
func (s *Store) awaitPeerList(ctx context.Context) {
	t := time.NewTimer(s.settings.PeerListTimeout)
	defer t.Stop()
	select {
	case <-s.peersReady:
	case <-t.C:
	case <-ctx.Done():
	}
}

// listDirect reads the whole table from the store within half of the time left. The other half is
// for asking peers: otherwise a store that does not respond would use up the time, and an entry
// that starts during the outage would never get the table.
func (s *Store) listDirect(ctx context.Context, table string) (platform.Snapshot, error) {
	deadline, bounded := ctx.Deadline()
	if bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline.Sub(s.now())/2)
		defer cancel()
	}
	snap, err := s.direct.List(ctx, table)
	s.recordStoreResult(ctx, err)
	return snap, err
}

// changes asks the delegates of this entry, then the store if this entry is a delegate or its turn
// has come, then the peers with the freshest copies. If none of them can list the changes, it reads the whole
// table of a peer that refused to.
func (s *Store) changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
	var self bool
	var refused []Peer
	ask := func(p Peer) (platform.Snapshot, error) {
		snap, err := s.askChanges(ctx, p, table, after)
		if errors.Is(err, peer.ErrRefused) {
			refused = append(refused, p)
		}
		return snap, err
	}
	for range maxAsked {
		var p Peer
		var ok bool
		if p, ok, self = s.source(); !ok {
			break
		}
		if snap, err := ask(p); err == nil {
			return snap, nil
		}
	}
	err := ErrNotOwnTurn
	if self || s.takeTurn() {
		var snap platform.Snapshot
		snap, err = s.changesDirect(ctx, table, after, wait)
		switch {
		case err == nil:
			s.recordChanges(table, "")
			return snap, s.log.applyStored(table, snap, snap.Full)
		case errors.Is(err, platform.ErrHistoryGone):
			return snap, err
		}
	}
	s.log.markFailed(table)
	for _, p := range s.freshest(s.settings.MaxAge) {
		if snap, relayed := ask(p); relayed == nil {
			return snap, nil
		}
	}
	if snap, ok := s.wholeTable(ctx, refused, table, after); ok {
		return snap, nil
	}
	return platform.Snapshot{}, err
}

// wholeTable asks peers that refused to list the changes after a version for the whole table instead. They
// refuse if they read the table after that version, for example since they have restarted.
func (s *Store) wholeTable(ctx context.Context, refused []Peer, table string, after int64) (platform.Snapshot, bool) {
	for _, p := range refused[:min(maxAsked, len(refused))] {
		snap, err := s.ask(ctx, p, query{method: methodChanges, table: table, after: after, epoch: s.log.epoch(table), whole: true}, s.settings.MaxAge)
		if err == nil {
			s.recordChanges(table, p.Name)
			return snap, true
		}
	}
	return platform.Snapshot{}, false
}

// changesDirect asks the store for changes. An answer that the store held may be as old as its call. For the
// rechecked tables a second call, which is not held, therefore follows once the hold time is over. It does not wait
// for the first answer, which a slow store sends late. Changes that arrive before are not delayed: then the next
// call for the table is not held.
func (s *Store) changesDirect(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
	if !slices.Contains(s.settings.Rechecked, table) {
		return s.callDirect(ctx, table, after, wait)
	}
	if wait = s.holdWithRecheck(table, wait); wait <= s.settings.RecheckAge {
		return s.recheckNow(ctx, table, after, wait)
	}
	held := make(chan directAnswer, 1)
	go func() {
		snap, err := s.callDirect(ctx, table, after, wait)
		held <- directAnswer{snap, err}
	}()
	holdEnds := time.NewTimer(wait)
	defer holdEnds.Stop()
	select {
	case a := <-held:
		if a.err == nil && s.now().Sub(a.snap.AsOf) > s.settings.RecheckAge {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.recheck[table] = true
		}
		return a.snap, a.err
	case <-holdEnds.C:
	}
	checked, err := s.recheckNow(ctx, table, after, 0)
	a := <-held
	if err == nil && (a.err != nil || checked.AsOf.After(a.snap.AsOf)) {
		return checked, nil
	}
	return a.snap, a.err
}

// directAnswer is the answer to a call to the store.
type directAnswer struct {
	snap platform.Snapshot
	err  error
}

// holdWithRecheck returns how long the store may hold the next call for a rechecked table so that the copy is not
// older than after wait when the recheck is answered. It is 0 if the copy is to be rechecked at once.
func (s *Store) holdWithRecheck(table string, wait time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recheck[table] {
		delete(s.recheck, table)
		return 0
	}
	return max(wait-s.recheckTook, min(wait, minLongPollWait))
}

// recheckNow makes a call that the store may hold for a short time only, and measures how long it takes beyond
// that.
func (s *Store) recheckNow(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
	snap, err := s.callDirect(ctx, table, after, wait)
	if err == nil && len(snap.Records) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recheckTook = max(s.now().Sub(snap.AsOf)-wait, 0)
	}
	return snap, err
}

// callDirect asks the store for changes once. The call has a time limit of its own, whatever the calls before
// it took.
func (s *Store) callDirect(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
	limited, cancel := ownTimeout(ctx, wait+s.settings.StoreSlack)
	defer cancel()
	snap, err := s.direct.Changes(limited, table, after, wait)
	s.recordStoreResult(limited, err)
	return snap, err
}

// askChanges asks a peer for changes.
func (s *Store) askChanges(ctx context.Context, p Peer, table string, after int64) (platform.Snapshot, error) {
	q := query{method: methodChanges, table: table, after: after, epoch: s.log.epoch(table), wait: s.longPollWait(table)}
	snap, err := s.ask(ctx, p, q, s.settings.MaxAge)
	if err == nil {
		s.recordChanges(table, p.Name)
	}
	return snap, err
}

// recordChanges records the source of an answer to a call for changes: the name of the peer, empty for the store.
func (s *Store) recordChanges(table, source string) {
	s.recordSource(table, source)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextTurn = time.Time{}
}

// minLongPollWait is the shortest wait of a long poll. It covers several round trips, so that
// polls do not follow each other without a pause.
const minLongPollWait = 20 * time.Millisecond

// longPollWait returns how long a peer may hold a long poll for changes. It is no longer than the
// time until the copy here reaches the age MaxAge, because a delegate that has just lost the store
// would hold the poll for longer.
func (s *Store) longPollWait(table string) time.Duration {
	made := s.log.asOf(table)
	if made.IsZero() {
		return s.settings.Wait
	}
	left := s.settings.MaxAge - s.now().Sub(made)
	return min(max(left, minLongPollWait), s.settings.Wait)
}

// recordStoreResult records whether a direct call to the store succeeded. A call that this process
// cancelled shows nothing about the store.
func (s *Store) recordStoreResult(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, platform.ErrHistoryGone):
		s.storeFailedAt = time.Time{}
	case !callerCancelled(ctx):
		s.storeFailedAt = s.now()
	}
}

// StoreLost reports whether this entry recently failed to reach the store, so that another one
// must be a delegate in its place.
func (s *Store) StoreLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeFailedAt.IsZero() && s.now().Sub(s.storeFailedAt) < s.settings.RetryAfter
}

// recordSource logs an event when the source of a table changes.
func (s *Store) recordSource(table, source string) {
	s.mu.Lock()
	before, known := s.sources[table]
	s.sources[table] = source
	s.mu.Unlock()
	if !known || before != source {
		s.rec.Note(events.SourceChanged, "", "table", table, "source", sourceName(source), "before", sourceName(before))
	}
}

// SourceOf returns the peer that answered the latest call for a table, or an empty string for the store.
func (s *Store) SourceOf(table string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sources[table]
}

func sourceName(peer string) string {
	if peer == "" {
		return "store"
	}
	return peer
}

// ask calls a peer and merges its answer into the log. A peer that fails on a new connection is not asked again for
// a while, and for a shorter while if it refuses the call, or if its answer is of an earlier epoch, an older whole
// table than the known one, or older than oldest. Changes are used however old they are: the copy here is older.
func (s *Store) ask(ctx context.Context, p Peer, q query, oldest time.Duration) (platform.Snapshot, error) {
	snap, err := s.callRepeated(ctx, p, q)
	changes := q.method == methodChanges && !snap.Full && len(snap.Records) > 0
	if age := s.now().Sub(snap.AsOf); err == nil && age > oldest && !changes {
		err = fmt.Errorf("%w: table of %s is %s old", ErrStale, p.Name, age.Round(time.Millisecond))
	}
	if err == nil && !s.log.acceptsEpoch(q.table, snap.Epoch) {
		err = fmt.Errorf("%w: %s answered from before the store was restored from a copy", ErrStale, p.Name)
	}
	if err == nil {
		err = s.log.apply(q.table, snap, q.method == methodList || snap.Full)
	}
	if err == nil || callerCancelled(ctx) {
		return snap, err
	}
	if errors.Is(err, ErrOlderTable) {
		s.olderTables.Add(1)
		s.rec.Note(events.RelayOlder, "", "peer", p.Name, "table", q.table, "version", snap.Version, "known", s.log.version(q.table), "epoch", snap.Epoch)
	}
	avoid := s.settings.AvoidFor
	if errors.Is(err, ErrStale) || errors.Is(err, peer.ErrRefused) {
		avoid = s.settings.AvoidStaleFor
	}
	s.mu.Lock()
	s.avoidUntil[p.Name] = s.now().Add(avoid)
	s.mu.Unlock()
	s.rec.Note(events.RelayFailed, "", "peer", p.Name, "table", q.table, "avoided-for", avoid, "error", err)
	return snap, err
}

// OlderTables returns how many whole tables of peers were rejected because a later one was known.
func (s *Store) OlderTables() int64 { return s.olderTables.Load() }

// CallPeer calls a method of the named peer.
func (s *Store) CallPeer(ctx context.Context, name, method string, params, result any) error {
	for _, p := range s.peers() {
		if p.Name == name {
			return s.callPeer(ctx, p, method, params, result)
		}
	}
	return fmt.Errorf("%w: %s", errUnknownPeer, name)
}
