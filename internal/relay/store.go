package relay

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
)

// ErrStale is wrapped when another entry's answer is too old to go by.
var ErrStale = errors.New("the other entry's answer is too old")

// Settings are the fixed numbers of a Store.
type Settings struct {
	// Name and Zone are the own entry's.
	Name string
	Zone string
	// Delegates is the number of entries that follow the store for all.
	Delegates int
	// Wait is how long another entry holds a question for changes; it bounds how
	// late its silence is noticed.
	Wait time.Duration
	// Slack is the time beyond Wait after which a question is given up.
	Slack time.Duration
	// Stale is the age from which another entry's answer is not gone by.
	Stale time.Duration
	// AvoidFor is how long an entry that failed is not asked.
	AvoidFor time.Duration
	// RetryAfter is the time after which an entry that did not reach the store
	// may follow it for others again.
	RetryAfter time.Duration
}

// Peer is another entry that can be asked.
type Peer struct {
	Name string
	Zone string
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
	rec      *events.Recorder
	now      func() time.Time
	dial     func(ctx context.Context, address string) (*peer.Conn, error)

	mu    sync.Mutex
	conns map[string]*peer.Conn
	avoid map[string]time.Time
	asked map[string]string
	// lostAt is when a call to the store itself last failed; zero once one was
	// answered after that.
	lostAt time.Time
}

// New returns a Store over direct that keeps what it learns in log, for others.
func New(settings Settings, direct *platform.Store, log *Log, peers func() []Peer, rec *events.Recorder, now func() time.Time) *Store {
	return &Store{
		settings: settings, direct: direct, log: log, peers: peers, rec: rec, now: now,
		dial:  func(ctx context.Context, address string) (*peer.Conn, error) { return peer.Dial(ctx, address, nil) },
		conns: map[string]*peer.Conn{}, avoid: map[string]time.Time{}, asked: map[string]string{},
	}
}

// Platform returns the Store behind the seam that followers use. Writes go to
// the platform's store.
func (s *Store) Platform() *platform.Store {
	return &platform.Store{List: s.list, Changes: s.changes, Put: s.direct.Put, Remove: s.direct.Remove}
}

// list reads the whole table from the store, or from the entry with the freshest
// answer while the store does not answer. Who lists a table knows nothing of it, so
// an old answer is better than none; it tells its age.
func (s *Store) list(ctx context.Context, table string) (platform.Snapshot, error) {
	snap, err := s.listDirect(ctx, table)
	if err != nil {
		for _, p := range s.freshest(unbounded) {
			if snap, relayed := s.ask(ctx, p, methodList, listParams{Table: table}, unbounded); relayed == nil {
				s.took(table, p.Name)
				s.log.note(table, snap, true)
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

// changes asks the delegate of this entry, then the store, then the entry with
// the freshest answer.
func (s *Store) changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
	params := changesParams{Table: table, After: after, WaitMS: s.hold(table).Milliseconds()}
	if p, ok := s.delegate(); ok {
		if snap, err := s.ask(ctx, p, methodChanges, params, s.settings.Stale); err == nil {
			s.took(table, p.Name)
			s.log.note(table, snap, false)
			return snap, nil
		}
	}
	snap, err := s.direct.Changes(ctx, table, after, wait)
	s.reached(ctx, err)
	if err == nil {
		s.took(table, "")
		s.log.note(table, snap, false)
		return snap, nil
	}
	if errors.Is(err, platform.ErrHistoryGone) {
		return snap, err
	}
	s.log.failed(table)
	for _, p := range s.freshest(s.settings.Stale) {
		if snap, relayed := s.ask(ctx, p, methodChanges, params, s.settings.Stale); relayed == nil {
			s.took(table, p.Name)
			s.log.note(table, snap, false)
			return snap, nil
		}
	}
	return platform.Snapshot{}, err
}

// holdLeast is the least time for which another entry is asked to hold a question:
// some round trips, so that questions do not follow each other at once.
const holdLeast = 20 * time.Millisecond

// hold is how long another entry may hold a question for changes. It ends when what
// is known here reaches the age from which it is not gone by: an entry asked a
// delegate that had just been cut off, and served by routes 2.3 s old with a bound of
// 2 s.
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
	case !errors.Is(ctx.Err(), context.Canceled):
		s.lostAt = s.now()
	}
}

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

// delegate returns the entry that follows the store for this one; ok is false
// for the delegates themselves. All entries that hear each other agree on who
// they are: the first by name that reach the store.
func (s *Store) delegate() (Peer, bool) {
	list := s.peers()
	list = append(list, Peer{Name: s.settings.Name, Zone: s.settings.Zone, StoreLost: s.StoreLost()})
	list = slices.DeleteFunc(list, func(p Peer) bool { return p.StoreLost })
	slices.SortFunc(list, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	list = list[:min(s.settings.Delegates, len(list))]
	var chosen Peer
	for _, p := range list {
		if p.Name == s.settings.Name {
			return Peer{}, false
		}
		if s.avoided(p.Name) {
			continue
		}
		if chosen.Name == "" || p.Zone == s.settings.Zone && chosen.Zone != s.settings.Zone {
			chosen = p
		}
	}
	return chosen, chosen.Name != ""
}

// unbounded is the age up to which an answer is taken by who knows nothing.
const unbounded = time.Duration(math.MaxInt64)

// freshest returns the entries with a confirmation that is not older than oldest,
// the newest first.
func (s *Store) freshest(oldest time.Duration) []Peer {
	list := slices.DeleteFunc(s.peers(), func(p Peer) bool {
		return p.Confirmed.IsZero() || s.now().Sub(p.Confirmed) > oldest || s.avoided(p.Name)
	})
	slices.SortFunc(list, func(a, b Peer) int { return b.Confirmed.Compare(a.Confirmed) })
	return list[:min(maxAsked, len(list))]
}

// maxAsked bounds the entries that are asked when the store does not answer.
const maxAsked = 2

func (s *Store) avoided(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Before(s.avoid[name])
}

// ask asks another entry. One that fails or knows only older things than oldest
// is not asked again for a while.
func (s *Store) ask(ctx context.Context, p Peer, method string, params any, oldest time.Duration) (platform.Snapshot, error) {
	snap, err := s.call(ctx, p, method, params)
	if err == nil && s.now().Sub(snap.Made) > oldest {
		err = fmt.Errorf("%w: %s", ErrStale, p.Name)
	}
	if err != nil {
		s.mu.Lock()
		s.avoid[p.Name] = s.now().Add(s.settings.AvoidFor)
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
		if !errors.Is(err, peer.ErrRefused) {
			s.drop(p.Address, c)
		}
		return platform.Snapshot{}, err
	}
	return w.decode(sent), nil
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
