package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// ErrStale is wrapped when another entry's answer is too old to go by.
var ErrStale = errors.New("the other entry's answer is too old")

// Settings are the fixed numbers of a Store.
type Settings struct {
	// Name, Zone and Size are the own entry's.
	Name string
	Zone string
	Size roster.Size
	// Delegates is the number of entries that follow the store for all.
	Delegates int
	// Wait is how long another entry holds a question for changes; it bounds how
	// late its silence is noticed.
	Wait time.Duration
	// Slack is the time beyond Wait after which a question is given up.
	Slack time.Duration
	// Stale is the age from which another entry's answer is not gone by.
	Stale time.Duration
	// AvoidFor is how long an entry that failed is not asked, and AvoidStaleFor one
	// whose answer was too old.
	AvoidFor      time.Duration
	AvoidStaleFor time.Duration
	// CallEach is the time between two calls to the store of all entries that are not
	// to follow it and that no other one can tell.
	CallEach time.Duration
	// RetryAfter is the time after which an entry that did not reach the store
	// may follow it for others again.
	RetryAfter time.Duration
	// ListedWithin is the time in which an entry that starts learns which others there are.
	ListedWithin time.Duration
}

// Peer is another entry that can be asked.
type Peer struct {
	Name string
	Zone string
	Size roster.Size
	// Address is the IP:port of its relay.
	Address string
	// Confirmed is the steady time for which it knew the routes to be the newest.
	Confirmed time.Time
	// StoreLost tells that it does not reach the store itself.
	StoreLost bool
}

// Store answers from the platform's store or from another entry.
type Store struct {
	settings Settings
	direct   *platform.Store
	log      *Log
	peers    func() []Peer
	// listed is closed once the list of entries was read, or cannot be.
	listed <-chan struct{}
	rec    *events.Recorder
	now    func() time.Time
	dial   func(ctx context.Context, address string) (*peer.Conn, error)
	// random returns a number from 0 up to 1.
	random func() float64

	mu    sync.Mutex
	conns map[string]*peer.Conn
	avoid map[string]time.Time
	asked map[string]string
	// lostAt is when a call to the store itself last failed; zero once one was
	// answered after that.
	lostAt time.Time
	// turnAt is when this entry may ask the store although others are to follow it,
	// since no other one can tell; zero while that is not needed.
	turnAt time.Time
}

// New returns a Store over direct that keeps what it learns in log, for others. listed is closed
// once the list of entries was read, and peers tells of those in it.
func New(settings Settings, direct *platform.Store, log *Log, peers func() []Peer, listed <-chan struct{}, rec *events.Recorder, now func() time.Time) *Store {
	return &Store{
		settings: settings, direct: direct, log: log, peers: peers, listed: listed, rec: rec, now: now,
		dial: func(ctx context.Context, address string) (*peer.Conn, error) { return peer.Dial(ctx, address, nil) }, random: rand.Float64,
		conns: map[string]*peer.Conn{}, avoid: map[string]time.Time{}, asked: map[string]string{},
	}
}

// Platform returns the Store behind the seam that followers use. Writes go to
// the platform's store.
func (s *Store) Platform() *platform.Store {
	return &platform.Store{List: s.list, Changes: s.changes, Put: s.direct.Put, Remove: s.direct.Remove}
}

// list reads the whole table from an entry that follows it for this one, else from the store, or
// from the entry with the freshest answer while the store does not answer. Who lists a table
// knows nothing of it, so an old answer is better than none; it tells its age.
func (s *Store) list(ctx context.Context, table string) (platform.Snapshot, error) {
	s.awaitListed(ctx)
	for range maxAsked {
		p, ok, _ := s.source()
		if !ok {
			break
		}
		if snap, err := s.askList(ctx, p, table, s.settings.Stale); err == nil {
			return snap, nil
		}
	}
	snap, err := s.listDirect(ctx, table)
	if err != nil {
		for _, p := range s.freshest(unbounded) {
			if snap, relayed := s.askList(ctx, p, table, unbounded); relayed == nil {
				return snap, nil
			}
		}
		s.log.failed(table)
		return platform.Snapshot{}, err
	}
	s.took(table, "")
	s.log.note(table, snap, true)
	return snap, nil
}

// askList asks another entry for the whole table, if what it knows is not older than oldest. One
// that reads the table itself at that moment holds the question until it knows it.
func (s *Store) askList(ctx context.Context, p Peer, table string, oldest time.Duration) (platform.Snapshot, error) {
	snap, err := s.ask(ctx, p, methodList, table, listParams{Table: table, WaitMS: s.settings.Wait.Milliseconds()}, oldest)
	if err == nil {
		s.took(table, p.Name)
		s.log.note(table, snap, true)
	}
	return snap, err
}

// ListFrom returns what one entry knows of a table, for an entry that hears from it that it knows
// later rows. What it tells is taken for no answer of the store.
func (s *Store) ListFrom(ctx context.Context, name, table string) (platform.Snapshot, error) {
	for _, p := range s.peers() {
		if p.Name == name {
			return s.call(ctx, p, methodList, listParams{Table: table})
		}
	}
	return platform.Snapshot{}, fmt.Errorf("%w: %s", errNotHeard, name)
}

// errNotHeard is for an entry that is not heard any more.
var errNotHeard = errors.New("the entry is not heard")

// awaitListed returns once this entry knows which others there are, or will not learn it soon:
// hundreds of entries that start together would each read the tables from the store otherwise.
func (s *Store) awaitListed(ctx context.Context) {
	t := time.NewTimer(s.settings.ListedWithin)
	defer t.Stop()
	select {
	case <-s.listed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// listDirect reads the whole table from the store. It leaves half of the time to
// other entries: a store that is silent would else use it up, and an entry that
// starts meanwhile would never learn the table.
func (s *Store) listDirect(ctx context.Context, table string) (platform.Snapshot, error) {
	deadline, bounded := ctx.Deadline()
	if bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline.Sub(s.now())/2)
		defer cancel()
	}
	snap, err := s.direct.List(ctx, table)
	s.reached(ctx, err)
	return snap, err
}

// changes asks the delegates of this entry, then the store if this entry is to follow
// it or its turn has come, then the entry with the freshest answer.
func (s *Store) changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
	var self bool
	for range maxAsked {
		var p Peer
		var ok bool
		if p, ok, self = s.source(); !ok {
			break
		}
		if snap, err := s.askChanges(ctx, p, table, after); err == nil {
			return snap, nil
		}
	}
	err := ErrNotAsked
	if self || s.turn() {
		var snap platform.Snapshot
		snap, err = s.direct.Changes(ctx, table, after, wait)
		s.reached(ctx, err)
		switch {
		case err == nil:
			s.answered(table, "", snap)
			return snap, nil
		case errors.Is(err, platform.ErrHistoryGone):
			return snap, err
		}
	}
	s.log.failed(table)
	for _, p := range s.freshest(s.settings.Stale) {
		if snap, relayed := s.askChanges(ctx, p, table, after); relayed == nil {
			return snap, nil
		}
	}
	return platform.Snapshot{}, err
}

// askChanges asks another entry for changes and takes over its answer.
func (s *Store) askChanges(ctx context.Context, p Peer, table string, after int64) (platform.Snapshot, error) {
	params := changesParams{Table: table, After: after, Epoch: s.log.epoch(table), WaitMS: s.hold(table).Milliseconds()}
	snap, err := s.ask(ctx, p, methodChanges, table, params, s.settings.Stale)
	if err == nil {
		s.answered(table, p.Name, snap)
	}
	return snap, err
}

// answered takes over an answer with changes; source is empty for the store.
func (s *Store) answered(table, source string, snap platform.Snapshot) {
	s.took(table, source)
	s.log.note(table, snap, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnAt = time.Time{}
}

// holdLeast is the least time for which another entry is asked to hold a question:
// some round trips, so that questions do not follow each other at once.
const holdLeast = 20 * time.Millisecond

// hold is how long another entry may hold a question for changes. It ends when what
// is known here reaches the age from which it is not gone by: a delegate that was just cut off
// holds it for longer.
func (s *Store) hold(table string) time.Duration {
	made := s.log.made(table)
	if made.IsZero() {
		return s.settings.Wait
	}
	left := s.settings.Stale - s.now().Sub(made)
	return min(max(left, holdLeast), s.settings.Wait)
}

// reached notes how a call to the store itself ended. A call that this process
// gave up for another reason tells nothing.
func (s *Store) reached(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, platform.ErrHistoryGone):
		s.lostAt = time.Time{}
	case !givenUp(ctx):
		s.lostAt = s.now()
	}
}

// givenUp reports whether the asker gave a call up, which tells nothing of the other
// side: other questions may be on their way over the same connection.
func givenUp(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// StoreLost reports whether this entry did not reach the store itself lately, so
// that another one has to follow it for the others.
func (s *Store) StoreLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lostAt.IsZero() && s.now().Sub(s.lostAt) < s.settings.RetryAfter
}

// took notes when the source of a table changes.
func (s *Store) took(table, source string) {
	s.mu.Lock()
	before, known := s.asked[table]
	s.asked[table] = source
	s.mu.Unlock()
	if !known || before != source {
		s.rec.Note(events.SourceChanged, "", "table", table, "source", sourceName(source), "before", sourceName(before))
	}
}

func sourceName(peer string) string {
	if peer == "" {
		return "store"
	}
	return peer
}

// ask asks another entry. One that fails or knows only older things than oldest
// is not asked again for a while.
func (s *Store) ask(ctx context.Context, p Peer, method, table string, params any, oldest time.Duration) (platform.Snapshot, error) {
	snap, err := s.call(ctx, p, method, params)
	if age := s.now().Sub(snap.Made); err == nil && age > oldest {
		err = fmt.Errorf("%w: %s knew the table of %s ago", ErrStale, p.Name, age.Round(time.Millisecond))
	}
	if err == nil && !s.log.tells(table, snap.Epoch) {
		err = fmt.Errorf("%w: %s answers from before the store was restored from a copy", ErrStale, p.Name)
	}
	if err != nil && !givenUp(ctx) {
		avoid := s.settings.AvoidFor
		if errors.Is(err, ErrStale) {
			avoid = s.settings.AvoidStaleFor
		}
		s.mu.Lock()
		s.avoid[p.Name] = s.now().Add(avoid)
		s.mu.Unlock()
		s.rec.Note(events.RelayFailed, "", "peer", p.Name, "error", err)
	}
	return snap, err
}

func (s *Store) call(ctx context.Context, p Peer, method string, params any) (platform.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Wait+s.settings.Slack)
	defer cancel()
	c, err := s.conn(ctx, p.Address)
	if err != nil {
		return platform.Snapshot{}, err
	}
	sent := s.now()
	var w wireSnapshot
	if err := c.Call(ctx, method, params, &w); err != nil {
		if !errors.Is(err, peer.ErrRefused) && !givenUp(ctx) {
			s.drop(p.Address, c)
		}
		return platform.Snapshot{}, err
	}
	return w.decode(sent)
}

func (s *Store) conn(ctx context.Context, address string) (*peer.Conn, error) {
	s.mu.Lock()
	c, ok := s.conns[address]
	s.mu.Unlock()
	if ok {
		return c, nil
	}
	c, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if other, ok := s.conns[address]; ok {
		c.Close()
		return other, nil
	}
	s.conns[address] = c
	return c, nil
}

func (s *Store) drop(address string, c *peer.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[address] == c {
		delete(s.conns, address)
	}
}
