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

// member is an entry that follows a stand-in of the store, itself or by the others.
type member struct {
	name   string
	log    *Log
	source *Store
	addr   string
	// cut keeps it from the store.
	cut atomic.Bool

	mu    sync.Mutex
	known map[string]string
}

func (m *member) take(s platform.Snapshot, full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if full {
		clear(m.known)
	}
	for _, r := range s.Records {
		if r.Gone {
			delete(m.known, r.Name)
			continue
		}
		m.known[r.Name] = string(r.Value)
	}
}

// differs tells a row that is not known as the store has it, empty if there is none.
func (m *member) differs(s platform.Snapshot) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range s.Records {
		if m.known[r.Name] != string(r.Value) {
			return fmt.Sprintf("%s at %s is %q, want %q", r.Name, m.name, m.known[r.Name], r.Value)
		}
	}
	if len(m.known) != len(s.Records) {
		return fmt.Sprintf("%s knows %d rows, want %d", m.name, len(m.known), len(s.Records))
	}
	return ""
}

// followers are entries that hear each other and follow one table of a stand-in of the store.
type followers struct {
	rows *standin.Rows
	away atomic.Bool
	list []*member
}

func newFollowers(t *testing.T, n int) *followers {
	t.Helper()
	f := &followers{rows: standin.NewRows()}
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
			Name: m.name, Zone: "z", Delegates: 2, Wait: 60 * time.Millisecond, Slack: 200 * time.Millisecond, Stale: 400 * time.Millisecond,
			AvoidFor: 100 * time.Millisecond, AvoidStaleFor: 50 * time.Millisecond, CallEach: time.Millisecond, RetryAfter: 200 * time.Millisecond,
		}, belief.Anchored(f.reachedBy(m), time.Now), m.log, func() []Peer { return f.others(m) }, listed(), events.Nop(), time.Now)
		f.list = append(f.list, m)
	}
	for _, m := range f.list {
		follower := belief.New(belief.Settings{
			Table: table, Wait: 60 * time.Millisecond, Slack: 200 * time.Millisecond, ListWithin: 500 * time.Millisecond,
			PauseLeast: 5 * time.Millisecond, PauseMost: 20 * time.Millisecond, SettleFor: 200 * time.Millisecond, Gather: time.Millisecond,
		}, m.source.Platform(), m.take, func(time.Time) {}, func() {}, events.Nop(), time.Now)
		go follower.Run(t.Context())
	}
	return f
}

// reachedBy is the store as one entry reaches it.
func (f *followers) reachedBy(m *member) *platform.Store {
	direct := f.rows.Platform()
	reaches := func() error {
		if f.away.Load() || m.cut.Load() {
			return errDown
		}
		return nil
	}
	return &platform.Store{
		List: func(ctx context.Context, table string) (platform.Snapshot, error) {
			if err := reaches(); err != nil {
				return platform.Snapshot{}, err
			}
			return direct.List(ctx, table)
		},
		Changes: func(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
			if err := reaches(); err != nil {
				return platform.Snapshot{}, err
			}
			s, err := direct.Changes(ctx, table, after, wait)
			if lost := reaches(); lost != nil {
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
			out = append(out, Peer{Name: m.name, Zone: "z", Address: m.addr, Confirmed: m.log.made(table), StoreLost: m.source.StoreLost()})
		}
	}
	return out
}

// equalWithin waits until all know what the store has; it returns what differs if they do not.
func (f *followers) equalWithin(t *testing.T, d time.Duration) string {
	t.Helper()
	for end := time.Now().Add(d); ; time.Sleep(5 * time.Millisecond) {
		s, err := f.rows.Platform().List(t.Context(), table)
		if err != nil {
			return err.Error()
		}
		first := ""
		for _, m := range f.list {
			if diff := m.differs(s); diff != "" {
				first = diff
			}
		}
		if first == "" || time.Now().After(end) {
			return first
		}
	}
}

// A store was restored from a copy, and entries that ask others, or are asked, went by the versions of
// before: some never learnt rows that were written at versions given out again.
func TestEntriesKnowAllAfterTheStoreWasRestored(t *testing.T) {
	var seeds sync.WaitGroup
	for seed := range uint64(12) {
		seeds.Go(func() {
			if diff := newFollowers(t, 5).comeBack(t, rand.New(rand.NewPCG(seed, 7))); diff != "" {
				t.Errorf("seed %d: %s", seed, diff)
			}
		})
	}
	seeds.Wait()
}

// comeBack lets the store come back some times, with rows written before and after and one entry
// that may be cut from it; it returns what an entry does not know in time.
func (f *followers) comeBack(t *testing.T, rng *rand.Rand) string {
	pause := func(most int) { time.Sleep(time.Duration(rng.IntN(most)) * time.Millisecond) }
	write := func(n int, value string) {
		for range n {
			f.rows.Put(table, fmt.Sprint("row-", rng.IntN(8)), fmt.Sprint(value, rng.IntN(1000)))
			pause(3)
		}
	}
	write(5, "kept ")
	if diff := f.equalWithin(t, 2*time.Second); diff != "" {
		return "at the start: " + diff
	}
	for n := range 3 {
		held := f.rows.Copy()
		write(2+rng.IntN(5), "lost ")
		pause(100)
		cut := f.list[rng.IntN(len(f.list))]
		cut.cut.Store(rng.IntN(2) == 0)
		f.away.Store(true)
		pause(150)
		f.rows.ComeBack(held)
		f.away.Store(false)
		pause(60)
		write(1+rng.IntN(8), "again ")
		pause(100)
		cut.cut.Store(false)
		if diff := f.equalWithin(t, 2*time.Second); diff != "" {
			return fmt.Sprintf("after return %d: %s", n+1, diff)
		}
	}
	return ""
}

// Entries of an earlier release state no epoch. What they answer and ask is taken as before until the
// store was restored from a copy; from then on it tells nothing.
func TestEpochsBesideAnEarlierRelease(t *testing.T) {
	snap := func(epoch, version int64) platform.Snapshot {
		return platform.Snapshot{Epoch: epoch, Version: version, Made: time.Now(), Records: []platform.Record{{Name: "a", Version: version}}}
	}
	l := NewLog(time.Now)
	l.note(table, snap(1, 38), true)
	l.note(table, snap(1, 39), false)
	if a, _, err := l.answer(table, 38, 0); err != nil || len(a.records) == 0 || a.epoch != 1 {
		t.Errorf("an earlier release is answered %v, %v before a return, want the changes", a, err)
	}
	if !l.tells(table, 0) {
		t.Error("what an earlier release answers tells nothing before a return")
	}
	l.note(table, snap(2, 36), false)
	if _, _, err := l.wholeAnswer(table); !errors.Is(err, errCannotTell) {
		t.Errorf("the whole table is told before it is read in the later epoch: %v", err)
	}
	l.note(table, snap(2, 35), true)
	l.note(table, snap(2, 36), false)
	if _, _, err := l.answer(table, 39, 0); !errors.Is(err, errCannotTell) {
		t.Errorf("an earlier release is answered after a return: %v", err)
	}
	if l.tells(table, 0) || l.tells(table, 1) || !l.tells(table, 2) || !l.tells(table, 3) {
		t.Error("answers of an earlier release or epoch tell something after a return, or later ones nothing")
	}
	if a, _, err := l.answer(table, 39, 1); err != nil || !a.over || a.epoch != 2 || len(a.records) != 0 {
		t.Errorf("who asks in the earlier epoch is answered %+v, %v, want the later epoch at once", a, err)
	}
	if a, _, err := l.answer(table, 35, 2); err != nil || len(a.records) == 0 {
		t.Errorf("who asks in the same epoch is answered %+v, %v, want the changes", a, err)
	}
	l.note(table, snap(1, 50), true)
	if a, _, err := l.answer(table, 36, 2); err != nil || a.version != 36 {
		t.Errorf("version %d, %v after an answer of the earlier epoch, want 36", a.version, err)
	}
}

// A question that an entry holds ends when the store has come back, whoever asks.
func TestHeldQuestionEndsWithTheEpoch(t *testing.T) {
	l := NewLog(time.Now)
	l.note(table, platform.Snapshot{Epoch: 1, Version: 39, Made: time.Now()}, true)
	params, err := json.Marshal(changesParams{Table: table, After: 39, Epoch: 1, WaitMS: 10_000})
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(30*time.Millisecond, func() {
		l.note(table, platform.Snapshot{Epoch: 2, Version: 36, Made: time.Now()}, true)
	})
	begun := time.Now()
	got, err := l.handleChanges(t.Context(), nil, params)
	if w, ok := got.(wireSnapshot); err != nil || !ok || w.Epoch != 2 || time.Since(begun) > 5*time.Second {
		t.Errorf("%+v, %v after %s, want the later epoch at once", got, err, time.Since(begun))
	}
}

// What an entry keeps in the place of an older row reaches those who list the table from it, until
// the store has a later one.
func TestKeptRowIsToldOn(t *testing.T) {
	value := func(l *Log) string {
		l.mu.Lock()
		defer l.mu.Unlock()
		return string(l.live(l.table(table)).Records[0].Value)
	}
	l := NewLog(time.Now)
	l.note(table, platform.Snapshot{Epoch: 2, Version: 36, Records: []platform.Record{{Name: "config", Version: 5, Value: []byte("52")}}}, true)
	l.Keep(table, platform.Record{Name: "config", Version: 39, Value: []byte("59")})
	if got := value(l); got != "59" {
		t.Errorf("told is %s, want the kept row", got)
	}
	l.note(table, platform.Snapshot{Epoch: 2, Version: 38, Records: []platform.Record{{Name: "config", Version: 38, Value: []byte("60")}}}, false)
	if got := value(l); got != "60" {
		t.Errorf("told is %s, want the store's later row", got)
	}
}
