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

// fakeStore is the platform's store as one entry reaches it.
type fakeStore struct {
	down  bool
	calls int
	snap  platform.Snapshot
	err   error
}

func (f *fakeStore) seam() *platform.Store {
	answer := func() (platform.Snapshot, error) {
		f.calls++
		switch {
		case f.down:
			return platform.Snapshot{}, errDown
		case f.err != nil:
			return platform.Snapshot{}, f.err
		}
		s := f.snap
		s.Made = time.Now()
		return s, nil
	}
	return &platform.Store{
		List:    func(context.Context, string) (platform.Snapshot, error) { return answer() },
		Changes: func(context.Context, string, int64, time.Duration) (platform.Snapshot, error) { return answer() },
	}
}

// entryFixture is one entry with its store, log and relay server.
type entryFixture struct {
	name   string
	store  *fakeStore
	log    *Log
	source *Store
	seam   *platform.Store
	addr   string
	server *peer.Server
}

// deployment is some entries in one zone that hear each other.
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
		e.source = New(Settings{Name: name, Zone: "z", Delegates: 1, Wait: 100 * time.Millisecond, Slack: time.Second, Stale: 5 * time.Second, AvoidFor: time.Minute, AvoidStaleFor: time.Minute, RetryAfter: time.Minute},
			e.store.seam(), e.log, func() []Peer { return d.others(name) }, listed(), events.Nop(), time.Now)
		e.seam = e.source.Platform()
		d.entries = append(d.entries, e)
	}
	return d
}

// listed is that of entries that know each other.
func listed() <-chan struct{} {
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

// list makes each entry read the whole table.
func (d *deployment) list() {
	d.t.Helper()
	for _, e := range d.entries {
		if _, err := e.seam.List(d.t.Context(), table); err != nil {
			d.t.Fatal(err)
		}
		e.store.calls = 0
	}
}

// changes asks for what came after the version that all entries have listed.
func (e *entryFixture) changes(t *testing.T) (platform.Snapshot, error) {
	t.Helper()
	return e.seam.Changes(t.Context(), table, 5, 0)
}

func TestOthersAskTheDelegate(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	d.list()
	for _, e := range d.entries {
		if _, err := e.changes(t); err != nil {
			t.Fatal(err)
		}
	}
	if d.entries[0].store.calls != 1 || d.entries[1].store.calls != 0 || d.entries[2].store.calls != 0 {
		t.Errorf("calls of a, b and c: %d %d %d, want the delegate's only", d.entries[0].store.calls, d.entries[1].store.calls, d.entries[2].store.calls)
	}
}

func TestChangeReachesOthersAtOnce(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	got := make(chan platform.Snapshot, 1)
	go func() {
		s, err := d.entries[1].seam.Changes(t.Context(), table, 5, 0)
		if err != nil {
			t.Error(err)
		}
		got <- s
	}()
	d.entries[0].log.note(table, platform.Snapshot{Version: 8, Made: time.Now(), Records: []platform.Record{{Name: "a", Version: 8, Gone: true}}}, false)
	s := <-got
	if len(s.Records) != 1 || !s.Records[0].Gone || s.Version != 8 {
		t.Errorf("got %+v, want the removal", s)
	}
}

func TestAgeIsNeverTooYoung(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	made := time.Now().Add(-3 * time.Second)
	d.entries[0].log.mu.Lock()
	d.entries[0].log.table(table).made = made
	d.entries[0].log.mu.Unlock()
	s, err := d.entries[1].changes(t)
	if err != nil || s.Made.After(made) {
		t.Errorf("made %s after it was, %v", s.Made.Sub(made), err)
	}
}

func TestWhenTheDelegateCannotTell(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(d *deployment)
	}{
		{"it is gone", func(d *deployment) { d.entries[0].server.Close() }},
		{"the store turns it away", func(d *deployment) { d.entries[0].log.failed(table) }},
		{"it knows only old things", func(d *deployment) {
			d.entries[0].log.mu.Lock()
			d.entries[0].log.table(table).made = time.Now().Add(-time.Minute)
			d.entries[0].log.mu.Unlock()
		}},
		{"it began after the version asked for", func(d *deployment) {
			d.entries[0].log.mu.Lock()
			d.entries[0].log.table(table).floor = 9
			d.entries[0].log.mu.Unlock()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDeployment(t, "a", "b")
			d.list()
			tc.spoil(d)
			if _, err := d.entries[1].changes(t); err != nil || d.entries[1].store.calls != 1 {
				t.Errorf("%v, %d calls; want the store asked itself", err, d.entries[1].store.calls)
			}
		})
	}
}

// An entry that the store turns away goes by what another one is told.
func TestEntryThatIsTurnedAway(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
		want bool
	}{
		{"another one is served", 0, true},
		{"nobody has been served lately", time.Minute, false},
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

func TestEntryThatStartsWhileTheStoreIsAway(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	d.entries[0].store.down = true
	d.entries[0].log = NewLog(time.Now)
	s, err := d.entries[0].seam.List(t.Context(), table)
	if err != nil || len(s.Records) != 1 {
		t.Errorf("%+v, %v; want the whole table from the other entry", s, err)
	}
}

// TestEntryThatStartsWhileTheStoreIsSilent: a store that does not answer at all
// takes only a part of the time for the call, so that another entry can be asked.
func TestEntryThatStartsWhileTheStoreIsSilent(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	direct := d.entries[0].source.direct
	direct.List = func(ctx context.Context, _ string) (platform.Snapshot, error) {
		<-ctx.Done()
		return platform.Snapshot{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s, err := d.entries[0].seam.List(ctx, table)
	if err != nil || len(s.Records) != 1 {
		t.Errorf("%+v, %v; want the whole table from the other entry", s, err)
	}
}

// TestEntryThatStartsLongIntoAnOutage: an old table is better than none; its age
// is told with it.
func TestEntryThatStartsLongIntoAnOutage(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	made := time.Now().Add(-time.Hour)
	d.entries[1].log.mu.Lock()
	d.entries[1].log.table(table).made = made
	d.entries[1].log.mu.Unlock()
	d.age = time.Hour
	d.entries[0].store.down = true
	s, err := d.entries[0].seam.List(t.Context(), table)
	if err != nil || len(s.Records) != 1 || s.Made.After(made) {
		t.Errorf("%+v, %v; want the old table with its age", s, err)
	}
}

// TestAnotherDelegateIsAskedBeforeTheStore: a delegate that is merely late must not
// send all entries to the store.
func TestAnotherDelegateIsAskedBeforeTheStore(t *testing.T) {
	d := newDeployment(t, "a", "b", "c", "d", "e")
	for _, e := range d.entries {
		e.source.settings.Delegates = 2
	}
	d.list()
	d.entries[0].log.mu.Lock()
	d.entries[0].log.table(table).made = time.Now().Add(-time.Minute)
	d.entries[0].log.mu.Unlock()
	for _, e := range d.entries[2:] {
		if _, err := e.changes(t); err != nil || e.store.calls != 0 {
			t.Errorf("%s: %v, %d calls to the store; want the second delegate's answer", e.name, err, e.store.calls)
		}
	}
}

// TestTurnsAtTheStore: while the store answers nobody, the entries that no other one
// can tell share a bounded number of calls, and one of them notices its return.
func TestTurnsAtTheStore(t *testing.T) {
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
		e.source.settings.CallEach, e.source.settings.RetryAfter = 50*time.Millisecond, time.Hour
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
	// 4 s allow 80 turns; each entry may follow the store once for the others besides,
	// and turns are spread to both sides.
	if got := calls(); got > 80+entries+entries/2 {
		t.Errorf("%d calls in %s while the store answered nobody", got, steps*step)
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
			t.Fatalf("no entry noticed within %s that the store answers", now.Sub(before))
		}
	}
}

// TestQuestionIsHeldNoLongerThanTheBoundLeaves: what an entry goes by must not grow
// older than the bound while a delegate that was just cut off holds its question.
func TestQuestionIsHeldNoLongerThanTheBoundLeaves(t *testing.T) {
	const left, slack = 200 * time.Millisecond, 150 * time.Millisecond
	d := newDeployment(t, "a", "b")
	d.list()
	for _, e := range d.entries {
		e.source.settings.Wait = 2 * time.Second
		e.log.mu.Lock()
		e.log.table(table).made = time.Now().Add(left - e.source.settings.Stale)
		e.log.mu.Unlock()
	}
	start := time.Now()
	for d.entries[1].store.calls == 0 {
		if _, err := d.entries[1].changes(t); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > left+slack {
		t.Errorf("turned to the store after %s, want after the %s that the bound left", took, left)
	}
}

func TestDroppedHistoryIsPassedOn(t *testing.T) {
	d := newDeployment(t, "a")
	d.list()
	d.entries[0].store.err = platform.ErrHistoryGone
	if _, err := d.entries[0].changes(t); !errors.Is(err, platform.ErrHistoryGone) {
		t.Errorf("got %v", err)
	}
}

func TestLogTellsWhatAWholeTableLacks(t *testing.T) {
	l := NewLog(time.Now)
	l.note(table, platform.Snapshot{Version: 3, Records: []platform.Record{{Name: "a", Version: 1}, {Name: "b", Version: 2}}}, true)
	l.note(table, platform.Snapshot{Version: 9, Records: []platform.Record{{Name: "b", Version: 2}}}, true)
	s, ok := l.since(table, 3)
	if !ok || len(s.Records) != 1 || s.Records[0].Name != "a" || !s.Records[0].Gone {
		t.Errorf("since 3: %+v, %v; want the removal of a", s.Records, ok)
	}
	if whole := l.live(l.table(table)); len(whole.Records) != 1 {
		t.Errorf("whole table %+v, want b only", whole.Records)
	}
}

func TestLogForgetsRemovedRows(t *testing.T) {
	at := time.Now()
	l := NewLog(func() time.Time { return at })
	l.note(table, platform.Snapshot{Version: 1}, true)
	l.note(table, platform.Snapshot{Version: 5, Records: []platform.Record{{Name: "a", Version: 5, Gone: true}}}, false)
	at = at.Add(2 * keepGone)
	l.note(table, platform.Snapshot{Version: 6, Records: []platform.Record{{Name: "b", Version: 6}}}, false)
	if _, ok := l.since(table, 4); ok {
		t.Error("the log tells changes since a version although it forgot one of them")
	}
	if _, ok := l.since(table, 5); !ok {
		t.Error("the log cannot tell changes that it has")
	}
}

// The time for which a delegate holds a question does not make its answer look
// older: else answers at the end of its own wait would be refused as too old, and
// all entries would turn to the store at once.
func TestTimeAQuestionIsHeldIsNoAge(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	for _, e := range d.entries {
		e.source.settings.Wait = 400 * time.Millisecond
	}
	made := d.entries[0].log.table(table).made
	got, err := d.entries[1].changes(t)
	if err != nil {
		t.Fatal(err)
	}
	if got.Made.After(made) {
		t.Errorf("made %s after it was", got.Made.Sub(made))
	}
	if early := made.Sub(got.Made); early > 100*time.Millisecond {
		t.Errorf("made %s before it was, want a few milliseconds", early)
	}
}

// TestAnswerTellsTheLatestConfirmation: what was confirmed while a question was held
// counts. Otherwise a question that is held until the bound is answered as too old
// although the delegate had been told meanwhile that nothing changed.
func TestAnswerTellsTheLatestConfirmation(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	for _, e := range d.entries {
		e.source.settings.Wait = 400 * time.Millisecond
	}
	confirmed := time.Now().Add(200 * time.Millisecond)
	time.AfterFunc(time.Until(confirmed), func() {
		d.entries[0].log.note(table, platform.Snapshot{Version: 5, Made: confirmed}, false)
	})
	got, err := d.entries[1].changes(t)
	if err != nil {
		t.Fatal(err)
	}
	if early := confirmed.Sub(got.Made); early > 100*time.Millisecond {
		t.Errorf("made %s before the confirmation that came while the question was held", early)
	}
}

// A delegate that no longer reaches the store hands over to the next one: else
// all entries would turn to the store for as long as it is cut off.
func TestDelegateThatLostTheStoreHandsOver(t *testing.T) {
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
		t.Errorf("a made %d calls, want one more after a while: %v", d.entries[0].store.calls, err)
	}
}

// TestAnswersAreEncodedOnce: all who ask for the same change get the same bytes, and
// nothing old once the rows have changed.
func TestAnswersAreEncodedOnce(t *testing.T) {
	l := NewLog(time.Now)
	l.note(table, platform.Snapshot{Version: 5}, true)
	put := func(version int64, name string) {
		l.note(table, platform.Snapshot{Version: version, Records: []platform.Record{{Name: name, Version: version, Value: []byte(name)}}}, false)
	}
	ask := func(after int64) answer {
		t.Helper()
		a, _, err := l.answer(table, after, 0)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	put(6, "a")
	first, second := ask(5), ask(5)
	if len(first.records) == 0 || &first.records[0] != &second.records[0] {
		t.Error("the same answer is encoded twice")
	}
	put(7, "b")
	if got := ask(5); len(got.records) <= len(first.records) || got.version != 7 {
		t.Errorf("after a change %s, version %d", got.records, got.version)
	}
	if got := ask(6); string(got.records) == string(ask(5).records) {
		t.Errorf("who knows more is told %s", got.records)
	}
	if got := ask(7); got.records != nil || got.version != 7 {
		t.Errorf("who knows all is told %s", got.records)
	}
}

// The follower of one table gives its question up when the follower of another has lost
// the store. Both ask over one connection, which was closed for it: the other question
// was lost with its answer, and the entry that would have answered was not asked for a
// while.
func TestQuestionThatIsGivenUpEndsNoConnection(t *testing.T) {
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
	b.source.settings.Wait = b.source.settings.Stale
	if _, err := b.source.askChanges(ctx, d.others("b")[0], table, 5); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want %v", err, context.Canceled)
	}
	select {
	case <-c.Done():
		t.Error("the connection was closed")
	default:
	}
	if b.source.avoided("a") {
		t.Error("the other entry is not asked any more")
	}
}

// BenchmarkLargeAnswer is what one asker costs both sides: a route table of four thousand
// routes, encoded once before, goes into a message and out of it.
func BenchmarkLargeAnswer(b *testing.B) {
	a, err := answerOf(platform.Snapshot{Version: 7, Records: []platform.Record{{Name: "config", Version: 7, Value: largeTable(4000)}}})
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

// largeTable is about as long as a table of so many routes.
func largeTable(routes int) []byte {
	var b bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"host%d.example","prefix":"/p%d/q%d/","kind":"repeatable","timeout":600,"objective":100,"priority":3,"service":"calendar-api","attempts":2},`, i*7919%9999991, i%100, i, i*31%977)
	}
	return b.Bytes()
}
