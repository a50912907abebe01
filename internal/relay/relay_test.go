package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
)

const table = "t"

var errDown = errors.New("down")

// fakeStore is the platform's store as seen by one entry.
type fakeStore struct {
	down  bool
	calls int
	snap  platform.Snapshot
	err   error
}

func (f *fakeStore) platformStore() *platform.Store {
	answer := func() (platform.Snapshot, error) {
		f.calls++
		switch {
		case f.down:
			return platform.Snapshot{}, errDown
		case f.err != nil:
			return platform.Snapshot{}, f.err
		}
		s := f.snap
		s.AsOf = time.Now()
		return s, nil
	}
	return &platform.Store{
		List:    func(context.Context, string) (platform.Snapshot, error) { return answer() },
		Changes: func(context.Context, string, int64, time.Duration) (platform.Snapshot, error) { return answer() },
	}
}

// entryFixture is one entry with its store, log and relay server. relayed is the Store through
// which its followers read.
type entryFixture struct {
	name    string
	store   *fakeStore
	log     *Log
	source  *Store
	relayed *platform.Store
	addr    string
	server  *peer.Server
}

// deployment is a set of entries in one zone that have each other as peers. age is the age of their last
// confirmations.
type deployment struct {
	t       *testing.T
	entries []*entryFixture
	age     time.Duration
}

func newDeployment(t *testing.T, names ...string) *deployment {
	t.Helper()
	d := &deployment{t: t}
	for _, name := range names {
		e := &entryFixture{name: name, store: &fakeStore{snap: platform.Snapshot{Version: 5, Records: []platform.Record{{Name: "a", Version: 5, Value: []byte("1")}}}}, log: NewLog(time.Now)}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e.server = peer.NewServer(l, e.log.Methods(), nil)
		e.server.Start()
		t.Cleanup(e.server.Close)
		e.addr = e.server.Addr()
		e.source = New(Settings{Name: name, Zone: "z", Delegates: 1, Wait: 100 * time.Millisecond, Slack: time.Second, Overdue: time.Second, StoreSlack: time.Second, MaxAge: 5 * time.Second, AvoidFor: time.Minute, AvoidStaleFor: time.Minute, RetryAfter: time.Minute},
			e.store.platformStore(), e.log, func() []Peer { return d.others(name) }, closedChannel(), events.Nop(), time.Now)
		e.relayed = e.source.Platform()
		d.entries = append(d.entries, e)
	}
	return d
}

// closedChannel returns a closed channel: the list of peers is known from the start.
func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (d *deployment) others(name string) []Peer {
	var out []Peer
	for _, e := range d.entries {
		if e.name != name {
			out = append(out, Peer{Name: e.name, Zone: "z", Address: e.addr, Confirmed: time.Now().Add(-d.age), StoreLost: e.source.StoreLost()})
		}
	}
	return out
}

// list makes each entry read the whole table and resets the counts of calls.
func (d *deployment) list() {
	d.t.Helper()
	for _, e := range d.entries {
		if _, err := e.relayed.List(d.t.Context(), table); err != nil {
			d.t.Fatal(err)
		}
		e.store.calls = 0
	}
}

// changes asks for the changes after version 5, which all entries have listed.
func (e *entryFixture) changes(t *testing.T) (platform.Snapshot, error) {
	t.Helper()
	return e.relayed.Changes(t.Context(), table, 5, 0)
}

func TestOnlyDelegateCallsStore(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	d.list()
	for _, e := range d.entries {
		if _, err := e.changes(t); err != nil {
			t.Fatal(err)
		}
	}
	if d.entries[0].store.calls != 1 || d.entries[1].store.calls != 0 || d.entries[2].store.calls != 0 {
		t.Errorf("calls of a, b and c to the store: %d %d %d, want one by the delegate only", d.entries[0].store.calls, d.entries[1].store.calls, d.entries[2].store.calls)
	}
}

func TestChangeEndsLongPoll(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	got := make(chan platform.Snapshot, 1)
	go func() {
		s, err := d.entries[1].relayed.Changes(t.Context(), table, 5, 0)
		if err != nil {
			t.Error(err)
		}
		got <- s
	}()
	mustApply(t, d.entries[0].log, platform.Snapshot{Version: 8, AsOf: time.Now(), Records: []platform.Record{{Name: "a", Version: 8, Removed: true}}}, false)
	s := <-got
	if len(s.Records) != 1 || !s.Records[0].Removed || s.Version != 8 {
		t.Errorf("got %+v, want the removal", s)
	}
}

func TestRelayedAgeIsNotUnderstated(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	made := time.Now().Add(-3 * time.Second)
	d.entries[0].log.mu.Lock()
	d.entries[0].log.table(table).asOf = made
	d.entries[0].log.mu.Unlock()
	s, err := d.entries[1].changes(t)
	if err != nil || s.AsOf.After(made) {
		t.Errorf("age is understated by %s, %v", s.AsOf.Sub(made), err)
	}
}

func TestStoreCalledWhenDelegateCannotAnswer(t *testing.T) {
	for _, tc := range []struct {
		name          string
		breakDelegate func(d *deployment)
	}{
		{"delegate is down", func(d *deployment) { d.entries[0].server.Close() }},
		{"call of the delegate to the store failed", func(d *deployment) { d.entries[0].log.markFailed(table) }},
		{"table of the delegate is stale", func(d *deployment) {
			d.entries[0].log.mu.Lock()
			d.entries[0].log.table(table).asOf = time.Now().Add(-time.Minute)
			d.entries[0].log.mu.Unlock()
		}},
		{"history of the delegate is too short", func(d *deployment) {
			d.entries[0].log.mu.Lock()
			d.entries[0].log.table(table).floor = 9
			d.entries[0].log.mu.Unlock()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDeployment(t, "a", "b")
			d.list()
			tc.breakDelegate(d)
			if _, err := d.entries[1].changes(t); err != nil || d.entries[1].store.calls != 1 {
				t.Errorf("%v, %d calls; want one call to the store", err, d.entries[1].store.calls)
			}
		})
	}
}

// An entry that gets no answer from the store reads the changes from a peer with a recent
// confirmation.
func TestChangesFromPeerWhenStoreFails(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
		want bool
	}{
		{"peer reaches the store", 0, true},
		{"no peer has reached the store recently", time.Minute, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDeployment(t, "a", "b")
			d.list()
			d.age = tc.age
			d.entries[0].store.down = true
			_, err := d.entries[0].changes(t)
			if (err == nil) != tc.want {
				t.Errorf("answer %v, want one: %v", err, tc.want)
			}
			if !tc.want && !errors.Is(err, errDown) {
				t.Errorf("error %v, want the store's", err)
			}
		})
	}
}

func TestListFromPeerWhenStoreIsDown(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	d.entries[0].store.down = true
	d.entries[0].log = NewLog(time.Now)
	s, err := d.entries[0].relayed.List(t.Context(), table)
	if err != nil || len(s.Records) != 1 {
		t.Errorf("%+v, %v; want the whole table from the peer", s, err)
	}
}

// TestListFromPeerWhenStoreDoesNotAnswer checks that a store that does not respond uses up only a
// part of the time for the call, so that a peer can be asked in the rest.
func TestListFromPeerWhenStoreDoesNotAnswer(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	direct := d.entries[0].source.direct
	direct.List = func(ctx context.Context, _ string) (platform.Snapshot, error) {
		if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > 600*time.Millisecond {
			t.Errorf("the store may use %s of a second", time.Until(deadline))
		}
		<-ctx.Done()
		return platform.Snapshot{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s, err := d.entries[0].relayed.List(ctx, table)
	if err != nil || len(s.Records) != 1 {
		t.Errorf("%+v, %v; want the whole table from the peer", s, err)
	}
}

// TestListAcceptsOldTableDuringOutage checks that an entry that starts during an outage of the
// store gets an old table, with its age, rather than none.
func TestListAcceptsOldTableDuringOutage(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	made := time.Now().Add(-time.Hour)
	d.entries[1].log.mu.Lock()
	d.entries[1].log.table(table).asOf = made
	d.entries[1].log.mu.Unlock()
	d.age = time.Hour
	d.entries[0].store.down = true
	s, err := d.entries[0].relayed.List(t.Context(), table)
	if err != nil || len(s.Records) != 1 || s.AsOf.After(made) {
		t.Errorf("%+v, %v; want the old table with its age", s, err)
	}
}

// TestSecondDelegateAskedBeforeStore checks that a stale answer of one delegate does not send all
// entries to the store.
func TestSecondDelegateAskedBeforeStore(t *testing.T) {
	d := newDeployment(t, "a", "b", "c", "d", "e")
	for _, e := range d.entries {
		e.source.settings.Delegates = 2
	}
	d.list()
	d.entries[0].log.mu.Lock()
	d.entries[0].log.table(table).asOf = time.Now().Add(-time.Minute)
	d.entries[0].log.mu.Unlock()
	for _, e := range d.entries[2:] {
		if _, err := e.changes(t); err != nil || e.store.calls != 0 {
			t.Errorf("%s: %v, %d calls to the store; want the second delegate's answer", e.name, err, e.store.calls)
		}
	}
}

// TestStoreCallsAreBoundedWhenStoreIsDown checks that entries whose peers cannot answer share a
// bounded number of calls while the store is down, and that one of them soon notices when the
// store is back.
func TestStoreCallsAreBoundedWhenStoreIsDown(t *testing.T) {
	const entries, steps, step = 20, 400, 10 * time.Millisecond
	names := make([]string, entries)
	for i := range names {
		names[i] = fmt.Sprintf("e%02d", i)
	}
	d := newDeployment(t, names...)
	d.list()
	now := time.Now()
	for i, e := range d.entries {
		e.source.random = rand.New(rand.NewPCG(uint64(i), 1)).Float64
		e.source.settings.StoreCallInterval, e.source.settings.RetryAfter = 50*time.Millisecond, time.Hour
		e.source.now = func() time.Time { return now }
		e.source.dial = func(context.Context, string) (*peer.Conn, error) { return nil, errDown }
		e.store.down = true
	}
	calls := func() (n int) {
		for _, e := range d.entries {
			n += e.store.calls
		}
		return n
	}
	for range steps {
		now = now.Add(step)
		for _, e := range d.entries {
			_, _ = e.changes(t)
		}
	}
	// 4 s allow 80 turns. Each entry may also make one call as a delegate, and random intervals
	// between turns may be shorter than the mean.
	if got := calls(); got > 80+entries+entries/2 {
		t.Errorf("%d calls in %s while the store was down", got, steps*step)
	}
	before := now
	for _, e := range d.entries {
		e.store.down = false
	}
	for answered := false; !answered; now = now.Add(step) {
		for _, e := range d.entries {
			if _, err := e.changes(t); err == nil {
				answered = true
			}
		}
		if now.Sub(before) > time.Second {
			t.Fatalf("no entry reached the store again within %s", now.Sub(before))
		}
	}
}

// TestLongPollEndsBeforeTableIsStale checks that the table of an entry does not become stale while
// a delegate that has just lost the store holds the long poll.
func TestLongPollEndsBeforeTableIsStale(t *testing.T) {
	const left, slack = 200 * time.Millisecond, 150 * time.Millisecond
	d := newDeployment(t, "a", "b")
	d.list()
	for _, e := range d.entries {
		e.source.settings.Wait = 2 * time.Second
		e.log.mu.Lock()
		e.log.table(table).asOf = time.Now().Add(left - e.source.settings.MaxAge)
		e.log.mu.Unlock()
	}
	start := time.Now()
	for d.entries[1].store.calls == 0 {
		if _, err := d.entries[1].changes(t); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > left+slack {
		t.Errorf("called the store after %s, want within the %s until the table is stale", took, left)
	}
}

func TestErrHistoryGoneIsReturned(t *testing.T) {
	d := newDeployment(t, "a")
	d.list()
	d.entries[0].store.err = platform.ErrHistoryGone
	if _, err := d.entries[0].changes(t); !errors.Is(err, platform.ErrHistoryGone) {
		t.Errorf("got %v", err)
	}
}

func TestWholeTableTombstonesMissingRows(t *testing.T) {
	l := NewLog(time.Now)
	mustApply(t, l, platform.Snapshot{Version: 3, Records: []platform.Record{{Name: "a", Version: 1}, {Name: "b", Version: 2}}}, true)
	mustApply(t, l, platform.Snapshot{Version: 9, Records: []platform.Record{{Name: "b", Version: 2}}}, true)
	s, ok := l.since(table, 3)
	if !ok || len(s.Records) != 1 || s.Records[0].Name != "a" || !s.Records[0].Removed {
		t.Errorf("since 3: %+v, %v; want the removal of a", s.Records, ok)
	}
	if whole := l.liveSnapshot(l.table(table)); len(whole.Records) != 1 {
		t.Errorf("whole table %+v, want only b", whole.Records)
	}
}

func TestTombstonesArePruned(t *testing.T) {
	at := time.Now()
	l := NewLog(func() time.Time { return at })
	mustApply(t, l, platform.Snapshot{Version: 1}, true)
	mustApply(t, l, platform.Snapshot{Version: 5, Records: []platform.Record{{Name: "a", Version: 5, Removed: true}}}, false)
	at = at.Add(2 * tombstoneTTL)
	mustApply(t, l, platform.Snapshot{Version: 6, Records: []platform.Record{{Name: "b", Version: 6}}}, false)
	if _, ok := l.since(table, 4); ok {
		t.Error("the log answers from a version whose tombstones were pruned")
	}
	if _, ok := l.since(table, 5); !ok {
		t.Error("the log does not answer from a version that it holds")
	}
}

// The time for which a delegate holds a long poll must not count as age of the answer. Otherwise
// answers at the end of a long poll are rejected as stale, and all entries call the store at once.
func TestLongPollTimeDoesNotCountAsAge(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	for _, e := range d.entries {
		e.source.settings.Wait = 400 * time.Millisecond
	}
	made := d.entries[0].log.table(table).asOf
	got, err := d.entries[1].changes(t)
	if err != nil {
		t.Fatal(err)
	}
	if got.AsOf.After(made) {
		t.Errorf("age is understated by %s", got.AsOf.Sub(made))
	}
	if early := made.Sub(got.AsOf); early > 100*time.Millisecond {
		t.Errorf("age is overstated by %s, want a few milliseconds", early)
	}
}

// TestConfirmationDuringLongPollCounts checks that a confirmation that arrives during a long poll
// counts for its answer. Otherwise the answer at the end of the poll is rejected as stale although
// the delegate knew that nothing had changed.
func TestConfirmationDuringLongPollCounts(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	for _, e := range d.entries {
		e.source.settings.Wait = 400 * time.Millisecond
	}
	confirmed := time.Now().Add(200 * time.Millisecond)
	time.AfterFunc(time.Until(confirmed), func() {
		mustApply(t, d.entries[0].log, platform.Snapshot{Version: 5, AsOf: confirmed}, false)
	})
	got, err := d.entries[1].changes(t)
	if err != nil {
		t.Fatal(err)
	}
	if early := confirmed.Sub(got.AsOf); early > 100*time.Millisecond {
		t.Errorf("answer is %s older than the confirmation during the long poll", early)
	}
}

// A delegate that loses the store must be replaced by the next entry. Otherwise all entries call
// the store for as long as the delegate is cut off.
func TestDelegateThatLostStoreIsReplaced(t *testing.T) {
	d := newDeployment(t, "a", "b", "c", "d")
	d.list()
	d.entries[0].store.down = true
	for range 3 {
		for _, e := range d.entries {
			if _, err := e.changes(t); err != nil {
				t.Fatalf("%s: %v", e.name, err)
			}
		}
	}
	for i, want := range []int{1, 3, 0, 0} {
		if got := d.entries[i].store.calls; got != want {
			t.Errorf("%s made %d calls to the store, want %d", d.entries[i].name, got, want)
		}
	}
	d.entries[0].store.down = false
	d.entries[0].source.settings.RetryAfter = 0
	if _, err := d.entries[0].changes(t); err != nil || d.entries[0].store.calls != 2 {
		t.Errorf("a made %d calls, want one more after RetryAfter: %v", d.entries[0].store.calls, err)
	}
}

// TestRepliesAreEncodedOnce checks that peers that ask for the same changes get the same encoded
// bytes, and that the cached bytes are dropped when the rows change.
func TestRepliesAreEncodedOnce(t *testing.T) {
	l := NewLog(time.Now)
	mustApply(t, l, platform.Snapshot{Version: 5}, true)
	put := func(version int64, name string) {
		mustApply(t, l, platform.Snapshot{Version: version, Records: []platform.Record{{Name: name, Version: version, Value: []byte(name)}}}, false)
	}
	ask := func(after int64) reply {
		t.Helper()
		a, _, err := l.changesReply(table, after, 0)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	put(6, "a")
	first, second := ask(5), ask(5)
	if len(first.records) == 0 || &first.records[0] != &second.records[0] {
		t.Error("the same reply was encoded twice")
	}
	put(7, "b")
	if got := ask(5); len(got.records) <= len(first.records) || got.version != 7 {
		t.Errorf("after a change: records %s, version %d", got.records, got.version)
	}
	if got := ask(6); string(got.records) == string(ask(5).records) {
		t.Errorf("reply after a later version is the same as after an earlier one: %s", got.records)
	}
	if got := ask(7); got.records != nil || got.version != 7 {
		t.Errorf("reply without changes has records %s", got.records)
	}
}

// The follower of one table cancels its call when the follower of another one has lost the store.
// Both use the same connection. If the cancellation closes it, the other call is lost too, and the
// peer that would have answered is avoided for a while.
func TestCancelledCallKeepsConnection(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	b := d.entries[1]
	if _, err := b.changes(t); err != nil {
		t.Fatal(err)
	}
	c, err := b.source.conn(t.Context(), d.entries[0].addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, giveUp := context.WithCancel(t.Context())
	giveUp()
	b.source.settings.Wait = b.source.settings.MaxAge
	if _, err := b.source.askChanges(ctx, d.others("b")[0], table, 5); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want %v", err, context.Canceled)
	}
	select {
	case <-c.Done():
		t.Error("the connection was closed")
	default:
	}
	if b.source.avoided("a") {
		t.Error("the peer is avoided after a cancelled call")
	}
}

// BenchmarkLargeAnswer measures what the call of one peer costs both sides: a table of 4,000
// routes that is already compressed is encoded into a message and decoded from it.
func BenchmarkLargeAnswer(b *testing.B) {
	a, err := newReply(platform.Snapshot{Version: 7, Records: []platform.Record{{Name: "config", Version: 7, Value: largeTable(4000)}}})
	if err != nil {
		b.Fatal(err)
	}
	l := NewLog(time.Now)
	size := 0
	for b.Loop() {
		message, err := json.Marshal(l.encode(a, time.Now()))
		if err != nil {
			b.Fatal(err)
		}
		var w wireSnapshot
		if err := json.Unmarshal(message, &w); err != nil {
			b.Fatal(err)
		}
		if _, err := w.decode(time.Now()); err != nil {
			b.Fatal(err)
		}
		size = len(message)
	}
	b.ReportMetric(float64(size), "B/message")
}

// largeTable returns JSON of about the size of a table with that many routes.
func largeTable(routes int) []byte {
	var b bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"host%d.example","prefix":"/p%d/q%d/","kind":"repeatable","timeout":600,"objective":100,"priority":3,"service":"calendar-api","attempts":2},`, i*7919%9999991, i%100, i, i*31%977)
	}
	return b.Bytes()
}
