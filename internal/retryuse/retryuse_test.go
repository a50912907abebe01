package retryuse

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routing"
)

const (
	window = 10 * time.Second
	self   = "entry-1"
)

var (
	errSilent = errors.New("silent")
	errOld    = errors.New("unknown method")
)

// fixture is a Keeper with a store and peers that a test scripts.
type fixture struct {
	*Keeper
	at    time.Time
	rows  map[string]string
	clock time.Duration
	// storeFails is the number of calls to the store that fail.
	storeFails int
	// listTakes is how long the answer of a read takes after the store has read its clock.
	listTakes time.Duration
	lists     int
	puts      []string
	removed   []string
	// answers holds the answer of each peer, by name; the others fail.
	answers map[string]usageAnswer

	mu       sync.Mutex
	restored []map[string][]routing.Bucket
	complete bool
	usage    map[string]routing.Usage
}

func newFixture() *fixture {
	f := &fixture{at: time.Now(), rows: map[string]string{}, clock: time.Hour, answers: map[string]usageAnswer{}, usage: map[string]routing.Usage{}}
	fails := func() bool {
		f.storeFails--
		return f.storeFails >= 0
	}
	store := &platform.Store{
		List: func(context.Context, string) (platform.Snapshot, error) {
			f.lists++
			if fails() {
				return platform.Snapshot{}, errSilent
			}
			s := platform.Snapshot{Clock: f.clock}
			f.at = f.at.Add(f.listTakes)
			for name, value := range f.rows {
				s.Records = append(s.Records, platform.Record{Name: name, Value: []byte(value)})
			}
			return s, nil
		},
		Put: func(_ context.Context, _, name string, value []byte) error {
			if fails() {
				return errSilent
			}
			f.rows[name] = string(value)
			f.puts = append(f.puts, string(value))
			return nil
		},
		Remove: func(_ context.Context, _ string, names ...string) error {
			f.removed = append(f.removed, names...)
			return nil
		},
	}
	ready := make(chan struct{})
	close(ready)
	peers := Peers{
		Ready: ready,
		Names: func() []string { return []string{"entry-2", "entry-3"} },
		Call: func(_ context.Context, name, _ string, _, result any) error {
			a, ok := f.answers[name]
			if !ok {
				return errOld
			}
			*result.(*usageAnswer) = a
			return nil
		},
		StoreInterval: func() time.Duration { return time.Second },
	}
	budgets := Budgets{
		Usage: func() map[string]routing.Usage { return f.usage },
		Restore: func(used map[string][]routing.Bucket) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(used) > 0 {
				f.restored = append(f.restored, used)
			}
		},
		Restored: func() { f.complete = true },
	}
	// Without a pause the rounds of questions would take real time.
	now := func() time.Time {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.at = f.at.Add(time.Millisecond)
		return f.at
	}
	f.Keeper = New(Settings{Table: "retries", Name: self, Incarnation: "new", Window: window, CallTimeout: time.Second, AskTimeout: time.Second}, store, peers, budgets, events.Nop(), now)
	return f
}

// TestNewProcessLearnsWhatWasUsed checks when a new process knows what earlier ones used.
func TestNewProcessLearnsWhatWasUsed(t *testing.T) {
	own := `{"at_ms":3599000,"used":{"llm":[[0,10,3],[2000,20,4]]}}`
	fromStore := map[string][]routing.Bucket{"llm": {{Age: time.Second, Use: routing.Use{Requests: 10, Extra: 3}}, {Age: 3 * time.Second, Use: routing.Use{Requests: 20, Extra: 4}}}}
	complete := usageAnswer{Used: map[string][]bucket{"llm": {{500, 9, 5}}}, Complete: true}
	fromPeer := map[string][]routing.Bucket{"llm": {{Age: 500 * time.Millisecond, Use: routing.Use{Requests: 9, Extra: 5}}}}
	for _, tc := range []struct {
		name       string
		rows       map[string]string
		storeFails int
		answers    map[string]usageAnswer
		want       []map[string][]routing.Bucket
		complete   bool
	}{
		{"the store has it", map[string]string{self: own}, 0, nil, []map[string][]routing.Bucket{fromStore}, true},
		{"nothing was used", map[string]string{"entry-2": own}, 0, nil, nil, true},
		{"another entry knows it", map[string]string{self: own}, 0, map[string]usageAnswer{"entry-2": complete}, []map[string][]routing.Bucket{fromPeer}, true},
		{"another entry knows a part, the store has it", map[string]string{self: own}, 0, map[string]usageAnswer{"entry-2": {Used: complete.Used}}, []map[string][]routing.Bucket{fromPeer, fromStore, fromPeer}, true},
		{"the store is silent, another entry knows", nil, 1, map[string]usageAnswer{"entry-3": complete}, []map[string][]routing.Bucket{fromPeer}, true},
		{"the store is silent at first, the others started as well", map[string]string{self: own}, 1, map[string]usageAnswer{"entry-2": {}, "entry-3": {}}, nil, false},
		{"the store is silent, the others are of an older release", map[string]string{self: own}, 1, nil, nil, false},
		{"the row is not readable", map[string]string{self: "{"}, 0, nil, nil, true},
		{"the row has implausible counts", map[string]string{self: `{"at_ms":3600000,"used":{"llm":[[-1,1,1],[0,-5,1],[0,1,9999999],[0,1,1]]}}`}, 0, nil, []map[string][]routing.Bucket{{"llm": {{Use: routing.Use{Requests: 1, Extra: 1}}}}}, true},
		{"the row is from the future", map[string]string{self: `{"at_ms":9999999,"used":{"llm":[[0,1,1]]}}`}, 0, nil, []map[string][]routing.Bucket{{"llm": {{Use: routing.Use{Requests: 1, Extra: 1}}}}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.storeFails = tc.storeFails
			if tc.rows != nil {
				f.rows = tc.rows
			}
			for name, a := range tc.answers {
				f.answers[name] = a
			}
			f.restore(t.Context())
			f.asking.Wait()
			if !reflect.DeepEqual(f.restored, tc.want) {
				t.Errorf("restored %v, want %v", f.restored, tc.want)
			}
			if f.complete != tc.complete {
				t.Errorf("complete %t, want %t", f.complete, tc.complete)
			}
		})
	}
}

// TestUseIsStoredWhileItGrows checks that the use is stored once it is much of the share of the entry, with as
// much more as may follow until the next write, and no more often than allowed. A failed write is repeated.
func TestUseIsStoredWhileItGrows(t *testing.T) {
	f := newFixture()
	use := func(taken int) {
		f.usage["llm"] = routing.Usage{Buckets: []routing.Bucket{{Use: routing.Use{Requests: 50, Extra: taken}}}, Share: 20, Taken: taken}
		f.storeUse(t.Context())
	}
	want := func(writes int, why string) {
		t.Helper()
		if len(f.puts) != writes {
			t.Fatalf("%d writes, want %d: %s", len(f.puts), writes, why)
		}
	}
	use(7)
	want(0, "little of the share is used")
	f.storeFails = 1
	use(8)
	want(0, "the first write fails")
	f.at = f.at.Add(time.Second)
	use(8)
	want(1, "the failed write is repeated")
	use(14)
	want(1, "the next write is not due")
	f.at = f.at.Add(time.Second)
	use(11)
	want(1, "the use has not grown by much")
	use(12)
	want(2, "the use has grown")
	var row storedRow
	if err := json.Unmarshal([]byte(f.puts[1]), &row); err != nil {
		t.Fatal(err)
	}
	extra := int64(0)
	for _, b := range row.Used["llm"] {
		extra += b[2]
	}
	if extra != 12+4 {
		t.Errorf("%d extra attempts stored, want 12 and the 4 that may follow", extra)
	}
	if row.AtMS < f.clock.Milliseconds() {
		t.Errorf("row is from %d ms, before the store's clock of the last read", row.AtMS)
	}
}

// Guards against rows of other writers that fill the log: many of them, or one whose error repeats it.
func TestOddRowsAreLoggedShortly(t *testing.T) {
	f := newFixture()
	f.rows = map[string]string{}
	for i := range 10 * maxBadRowLogs {
		f.rows[strconv.Itoa(i)] = `{"at_ms":` + strings.Repeat("9", 5000) + `}`
	}
	f.restoreStored(t.Context())
	lines := 0
	for _, e := range f.rec.Select("") {
		if len(e.Fields["error"]) > 0 {
			lines++
		}
		if n := len(e.Fields["error"]); n > 300 {
			t.Fatalf("error of %d bytes", n)
		}
	}
	if lines != maxBadRowLogs {
		t.Errorf("%d log lines, want %d", lines, maxBadRowLogs)
	}
}

// TestExpiredRowsAreRemoved checks that a starting entry removes the rows of entries that are long gone.
func TestExpiredRowsAreRemoved(t *testing.T) {
	f := newFixture()
	f.rows = map[string]string{self: `{"at_ms":1,"used":{}}`, "gone": `{"at_ms":1,"used":{}}`, "live": `{"at_ms":3599000,"used":{}}`}
	f.restoreStored(t.Context())
	if !reflect.DeepEqual(f.removed, []string{"gone"}) {
		t.Errorf("removed %v, want the row that is older than some windows", f.removed)
	}
}

// The answer of a slow store was taken for the store's time of its arrival. The use that was stored then looked
// older than it was, and the next process used that part of the budget again too soon.
func TestSlowReadDoesNotAgeStoredUse(t *testing.T) {
	for _, takes := range []time.Duration{0, 50 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			f := newFixture()
			f.listTakes = takes
			if err := f.write(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
			var row storedRow
			if err := json.Unmarshal([]byte(f.puts[0]), &row); err != nil {
				t.Fatal(err)
			}
			if early := f.clock + takes - time.Duration(row.AtMS)*time.Millisecond; early > 0 {
				t.Errorf("the row is dated %s before its write", early)
			}
		})
	}
}
