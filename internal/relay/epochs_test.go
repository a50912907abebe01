package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/standin"
)

// member is an entry that follows a fake store, directly or through its peers.
type member struct {
	name   string
	log    *Log
	source *Store
	addr   string
	// storeCutOff makes calls of this entry to the store fail, storeSilent leaves them without an answer.
	storeCutOff, storeSilent atomic.Bool

	mu    sync.Mutex
	known map[string]string
}

func (m *member) apply(s platform.Snapshot, full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if full {
		clear(m.known)
	}
	for _, r := range s.Records {
		if r.Removed {
			delete(m.known, r.Name)
			continue
		}
		m.known[r.Name] = string(r.Value)
	}
}

// difference describes a row that differs from the store's copy. It returns an empty string if
// there is none.
func (m *member) difference(s platform.Snapshot) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range s.Records {
		if m.known[r.Name] != string(r.Value) {
			return fmt.Sprintf("%s at %s is %q, want %q", r.Name, m.name, m.known[r.Name], r.Value)
		}
	}
	if len(m.known) != len(s.Records) {
		return fmt.Sprintf("%s has %d rows, want %d", m.name, len(m.known), len(s.Records))
	}
	return ""
}

// followers is a set of entries that have each other as peers and follow one table of a fake store.
type followers struct {
	store     *standin.RecordStore
	storeDown atomic.Bool
	list      []*member
}

func newFollowers(t *testing.T, n int) *followers {
	t.Helper()
	f := newMembers(t, n)
	for _, m := range f.list {
		go m.follow(t.Context(), m.source.Platform(), m.apply, func(time.Time) {})
	}
	return f
}

// newMembers returns entries that do not follow the store yet.
func newMembers(t *testing.T, n int) *followers {
	t.Helper()
	f := &followers{store: standin.NewRecordStore()}
	for i := range n {
		m := &member{name: fmt.Sprint("e", i), log: NewLog(time.Now), known: map[string]string{}}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := peer.NewServer(l, m.log.Methods(), nil)
		server.Start()
		t.Cleanup(server.Close)
		m.addr = server.Addr()
		m.source = New(Settings{
			Name: m.name, Zone: "z", Delegates: 2, Wait: 60 * time.Millisecond, Slack: 200 * time.Millisecond, Overdue: 200 * time.Millisecond, StoreSlack: 200 * time.Millisecond, MaxAge: 400 * time.Millisecond,
			AvoidFor: 100 * time.Millisecond, AvoidStaleFor: 50 * time.Millisecond, StoreCallInterval: time.Millisecond, RetryAfter: 200 * time.Millisecond,
		}, belief.WithAnswerTimes(f.storeFor(m), time.Now), m.log, func() []Peer { return f.others(m) }, closedChannel(), events.Nop(), time.Now)
		f.list = append(f.list, m)
	}
	return f
}

// follow follows the table until ctx ends.
func (m *member) follow(ctx context.Context, store *platform.Store, apply func(s platform.Snapshot, full bool), confirm func(at time.Time)) {
	belief.New(belief.Settings{
		Table: table, HoldTime: 60 * time.Millisecond, CallSlack: 200 * time.Millisecond, ListTimeout: 500 * time.Millisecond,
		BackoffMin: 5 * time.Millisecond, BackoffMax: 20 * time.Millisecond, SettleFor: 200 * time.Millisecond, GatherDelay: time.Millisecond,
	}, store, apply, confirm, func() {}, events.Nop(), time.Now).Run(ctx)
}

// storeFor returns the store as seen by one entry.
func (f *followers) storeFor(m *member) *platform.Store {
	direct := f.store.Store()
	reaches := func(ctx context.Context) error {
		if m.storeSilent.Load() {
			<-ctx.Done()
		}
		if f.storeDown.Load() || m.storeCutOff.Load() || m.storeSilent.Load() {
			return errDown
		}
		return nil
	}
	return &platform.Store{
		List: func(ctx context.Context, table string) (platform.Snapshot, error) {
			if err := reaches(ctx); err != nil {
				return platform.Snapshot{}, err
			}
			return direct.List(ctx, table)
		},
		Changes: func(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
			if err := reaches(ctx); err != nil {
				return platform.Snapshot{}, err
			}
			s, err := direct.Changes(ctx, table, after, wait)
			if lost := reaches(ctx); lost != nil {
				return platform.Snapshot{}, lost
			}
			return s, err
		},
	}
}

func (f *followers) others(own *member) []Peer {
	var out []Peer
	for _, m := range f.list {
		if m != own {
			out = append(out, Peer{Name: m.name, Zone: "z", Address: m.addr, Confirmed: m.log.asOf(table), StoreLost: m.source.StoreLost()})
		}
	}
	return out
}

// convergeTimeout is the time in which all entries must have the rows of the store.
const convergeTimeout = 2 * time.Second

// converges waits until all entries have the rows of the store. It returns a difference that is left after
// convergeTimeout, or an empty string.
func (f *followers) converges(t *testing.T) string {
	t.Helper()
	for end := time.Now().Add(convergeTimeout); ; time.Sleep(5 * time.Millisecond) {
		s, err := f.store.Store().List(t.Context(), table)
		if err != nil {
			return err.Error()
		}
		first := ""
		for _, m := range f.list {
			if diff := m.difference(s); diff != "" {
				first = diff
			}
		}
		if first == "" || time.Now().After(end) {
			return first
		}
	}
}

// After the store is restored from a backup copy, it issues version numbers again. Entries that
// compare them with versions from before the restore, their own or those of a peer, never learn
// some of the rows.
func TestEntriesConvergeAfterStoreRestore(t *testing.T) {
	var seeds sync.WaitGroup
	for seed := range uint64(12) {
		seeds.Go(func() {
			if diff := newFollowers(t, 5).restoreRepeatedly(t, rand.New(rand.NewPCG(seed, 7))); diff != "" {
				t.Errorf("seed %d: %s", seed, diff)
			}
		})
	}
	seeds.Wait()
}

// restoreRepeatedly restores the store several times, writes rows before and after each time, and
// may cut one entry off meanwhile. It returns a difference that an entry does not resolve in time.
func (f *followers) restoreRepeatedly(t *testing.T, rng *rand.Rand) string {
	pause := func(most int) { time.Sleep(time.Duration(rng.IntN(most)) * time.Millisecond) }
	write := func(n int, value string) {
		for range n {
			f.store.Put(table, fmt.Sprint("row-", rng.IntN(8)), fmt.Sprint(value, rng.IntN(1000)))
			pause(3)
		}
	}
	write(5, "kept ")
	if diff := f.converges(t); diff != "" {
		return "at the start: " + diff
	}
	for n := range 3 {
		backup := f.store.Backup()
		write(2+rng.IntN(5), "lost ")
		pause(100)
		cut := f.list[rng.IntN(len(f.list))]
		cut.storeCutOff.Store(rng.IntN(2) == 0)
		f.storeDown.Store(true)
		pause(150)
		f.store.Restore(backup)
		f.storeDown.Store(false)
		pause(60)
		write(1+rng.IntN(8), "again ")
		pause(100)
		cut.storeCutOff.Store(false)
		if diff := f.converges(t); diff != "" {
			return fmt.Sprintf("after restore %d: %s", n+1, diff)
		}
	}
	return ""
}

// Entries of an earlier release send no epoch. Their calls are answered and their answers are used
// until the store is restored from a copy, and rejected after that.
func TestEpochsWithEarlierRelease(t *testing.T) {
	snap := func(epoch, version int64) platform.Snapshot {
		return platform.Snapshot{Epoch: epoch, Version: version, AsOf: time.Now(), Records: []platform.Record{{Name: "a", Version: version}}}
	}
	l := NewLog(time.Now)
	mustApply(t, l, snap(1, 38), true)
	mustApply(t, l, snap(1, 39), false)
	if a, _, err := l.changesReply(table, 38, 0); err != nil || len(a.records) == 0 || a.epoch != 1 {
		t.Errorf("reply to an earlier release before a restore is %v, %v, want the changes", a, err)
	}
	if !l.acceptsEpoch(table, 0) {
		t.Error("an answer of an earlier release is rejected before a restore")
	}
	mustApply(t, l, snap(2, 36), false)
	if _, _, err := l.tableReply(table); !errors.Is(err, errNotAnswerable) {
		t.Errorf("the whole table is returned before it was read in the new epoch: %v", err)
	}
	mustApply(t, l, snap(2, 35), true)
	mustApply(t, l, snap(2, 36), false)
	if _, _, err := l.changesReply(table, 39, 0); !errors.Is(err, errNotAnswerable) {
		t.Errorf("a call of an earlier release is answered after a restore: %v", err)
	}
	if l.acceptsEpoch(table, 0) || l.acceptsEpoch(table, 1) || !l.acceptsEpoch(table, 2) || !l.acceptsEpoch(table, 3) {
		t.Error("after a restore, an answer without an epoch or of an earlier one is accepted, or a later one rejected")
	}
	if a, _, err := l.changesReply(table, 39, 1); err != nil || !a.immediate || a.epoch != 2 || len(a.records) != 0 {
		t.Errorf("reply to a call in the earlier epoch is %+v, %v, want the new epoch at once", a, err)
	}
	if a, _, err := l.changesReply(table, 35, 2); err != nil || len(a.records) == 0 {
		t.Errorf("reply to a call in the same epoch is %+v, %v, want the changes", a, err)
	}
	mustApply(t, l, snap(1, 50), true)
	if a, _, err := l.changesReply(table, 36, 2); err != nil || a.version != 36 {
		t.Errorf("version %d, %v after an answer of the earlier epoch, want 36", a.version, err)
	}
}

// A long poll ends when the store was restored, so that the peer reads the whole table at once.
func TestNewEpochEndsLongPoll(t *testing.T) {
	l := NewLog(time.Now)
	mustApply(t, l, platform.Snapshot{Epoch: 1, Version: 39, AsOf: time.Now()}, true)
	params, err := json.Marshal(changesParams{Table: table, After: 39, Epoch: 1, WaitMS: 10_000})
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(30*time.Millisecond, func() {
		mustApply(t, l, platform.Snapshot{Epoch: 2, Version: 36, AsOf: time.Now()}, true)
	})
	begun := time.Now()
	got, err := l.handleChanges(t.Context(), nil, params)
	if w, ok := got.(wireSnapshot); err != nil || !ok || w.Epoch != 2 || time.Since(begun) > 5*time.Second {
		t.Errorf("%+v, %v after %s, want the new epoch at once", got, err, time.Since(begun))
	}
}

// A row that was kept in place of an older one is relayed to peers that list the table, until the
// store has a later one.
func TestOverriddenRowIsRelayed(t *testing.T) {
	value := func(l *Log) string {
		l.mu.Lock()
		defer l.mu.Unlock()
		return string(l.liveSnapshot(l.table(table)).Records[0].Value)
	}
	l := NewLog(time.Now)
	mustApply(t, l, platform.Snapshot{Epoch: 2, Version: 36, Records: []platform.Record{{Name: "config", Version: 5, Value: []byte("52")}}}, true)
	l.OverrideRow(table, platform.Record{Name: "config", Version: 39, Value: []byte("59")})
	if got := value(l); got != "59" {
		t.Errorf("relayed row is %s, want the kept one", got)
	}
	mustApply(t, l, platform.Snapshot{Epoch: 2, Version: 38, Records: []platform.Record{{Name: "config", Version: 38, Value: []byte("60")}}}, false)
	if got := value(l); got != "60" {
		t.Errorf("relayed row is %s, want the store's later one", got)
	}
}
