package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/callid"
	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/lease"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
)

// tableOf is a table that holds one row.
func tableOf(row *platform.Row) *platform.Table {
	return &platform.Table{
		Get: func(context.Context, platform.Key) (platform.Row, error) {
			if row.Revision == 0 {
				return platform.Row{}, platform.ErrNotFound
			}
			return *row, nil
		},
		Commit: func(_ context.Context, writes ...platform.Write) error {
			*row = writes[0].Row
			return nil
		},
	}
}

const oneService = "pools: [{name: p, kind: service, upstreams: [{name: u, zone: a}]}]\nmodels: []\naccounts: []\n"

// bench is a sidecar with its clock, lease and service in the test's hands.
type bench struct {
	*Server
	clock  time.Time
	active *config.Active
	runs   int
}

func newBench(t *testing.T, predecessor bool) *bench {
	t.Helper()
	b := &bench{clock: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.runs++
		_, _ = w.Write([]byte("ok"))
	}))
	t.Cleanup(service.Close)
	now := func() time.Time { return b.clock }
	row := &platform.Row{}
	if predecessor {
		old := lease.New(tableOf(row), "u", "old", lease.Settings{Term: time.Minute}, now)
		if err := old.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		b.clock = b.clock.Add(time.Hour)
	}
	l := lease.New(tableOf(row), "u", "i", lease.Settings{Term: time.Hour, Skew: time.Second}, now)
	if err := l.Renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse("t", []byte(oneService))
	if err != nil {
		t.Fatal(err)
	}
	b.active = config.NewActive(cfg, 1, true, time.UnixMilli(1))
	identity := membership.NewIdentity("s", membership.RoleSidecar, "a", "u", "i", b.clock)
	b.Server = New(Settings{
		Upstream: "u", URL: service.URL, CallWindow: 24 * time.Hour, AnswerBytes: 1 << 20, Skew: time.Second, CallTimeout: time.Minute,
	}, identity, l, events.Nop(), NewMetrics(prometheus.NewRegistry()), func() *config.Active { return b.active }, now)
	return b
}

func (b *bench) file(t *testing.T, key string) invokeResult {
	t.Helper()
	return b.runOnce(t.Context(), invokeParams{ID: "acct/" + key, Pool: "p", Version: b.active.Version(), Method: http.MethodPost, Path: "/"})
}

// dated makes a caller's key issued at t.
func dated(t time.Time) string {
	ms := uint64(t.UnixMilli())
	const hexDigits = "0123456789abcdef"
	text := []byte("00000000-0000-7000-8000-000000000000")
	for i, pos := range []int{0, 1, 2, 3, 4, 5, 6, 7, 9, 10, 11, 12} {
		text[pos] = hexDigits[ms>>(44-4*i)&0xf]
	}
	return string(text)
}

func TestWhetherAnIncarnationMayRunAKey(t *testing.T) {
	tests := []struct {
		name        string
		predecessor bool
		prepare     func(b *bench)
		key         func(b *bench) string
		want        Outcome
	}{
		{name: "first incarnation, no time of issue", key: func(*bench) string { return "k" }, want: Done},
		{name: "first incarnation, key issued before it", key: func(b *bench) string { return dated(b.clock.Add(-time.Minute)) }, want: Done},
		{name: "successor, no time of issue", predecessor: true, key: func(*bench) string { return "k" }, want: Unknown},
		{name: "successor, key issued before it", predecessor: true, key: func(b *bench) string { return dated(b.clock.Add(-time.Minute)) }, want: Unknown},
		{name: "successor, key issued within the clock bound", predecessor: true, key: func(b *bench) string { return dated(b.clock.Add(500 * time.Millisecond)) }, want: Unknown},
		{
			name: "successor, key issued after it", predecessor: true, want: Done,
			prepare: func(b *bench) { b.clock = b.clock.Add(10 * time.Second) },
			key:     func(b *bench) string { return dated(b.clock.Add(-time.Second)) },
		},
		{
			name: "successor after the window, no time of issue", predecessor: true, want: Done,
			prepare: func(b *bench) {
				b.clock = b.clock.Add(25 * time.Hour)
				_ = b.lease.Renew(context.Background())
			},
			key: func(*bench) string { return "k" },
		},
		{name: "key from the future", key: func(b *bench) string { return dated(b.clock.Add(time.Hour)) }, want: Unknown},
		{name: "key older than the window", key: func(b *bench) string { return dated(b.clock.Add(-25 * time.Hour)) }, want: Unknown},
		{
			name: "lease has lapsed", want: Unknown,
			prepare: func(b *bench) { b.clock = b.clock.Add(2 * time.Hour) },
			key:     func(b *bench) string { return dated(b.clock) },
		},
		{
			name: "homes are changing", want: Unknown,
			prepare: func(b *bench) { b.active = config.NewActive(b.active.Config(), 2, false, b.clock.AddDate(1000, 0, 0)) },
			key:     func(b *bench) string { return dated(b.clock) },
		},
		{
			// Found by reading: the first incarnation of an upstream that was
			// added later took keys without time of issue, which an earlier
			// home may have run.
			name: "first incarnation of a new home, no time of issue", want: Unknown,
			prepare: func(b *bench) { b.active = config.NewActive(b.active.Config(), 2, true, b.clock) },
			key:     func(*bench) string { return "k" },
		},
		{name: "ticket of this incarnation", predecessor: true, key: func(*bench) string { return callid.NewTicket("u", "i").String() }, want: Done},
		{name: "ticket of another incarnation", key: func(*bench) string { return callid.NewTicket("u", "old").String() }, want: Unknown},
		{
			name: "ticket without a lease", want: Done,
			prepare: func(b *bench) { b.clock = b.clock.Add(2 * time.Hour) },
			key:     func(*bench) string { return callid.NewTicket("u", "i").String() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, tt.predecessor)
			if tt.prepare != nil {
				tt.prepare(b)
			}
			res := b.file(t, tt.key(b))
			if res.Outcome != tt.want {
				t.Errorf("outcome %s (%s), want %s", res.Outcome, res.Reason, tt.want)
			}
			if ran := b.runs > 0; ran != (tt.want == Done) {
				t.Errorf("ran %d times with outcome %s", b.runs, res.Outcome)
			}
		})
	}
}

func TestSettleBarsWhatNeverArrived(t *testing.T) {
	b := newBench(t, false)
	p := settleParams{ID: "acct/k", Pool: "p", Version: 1}
	if res := b.settled(p); res.Outcome != NotRun {
		t.Fatalf("settle: %s (%s)", res.Outcome, res.Reason)
	}
	if res := b.file(t, "k"); res.Outcome != NotRun || b.runs != 0 {
		t.Errorf("late copy: %s, %d runs", res.Outcome, b.runs)
	}
}

func TestRepeatedCallGetsTheKeptAnswer(t *testing.T) {
	b := newBench(t, false)
	for range 3 {
		if res := b.file(t, "k"); res.Outcome != Done || string(res.Body) != "ok" {
			t.Fatalf("answer %s %q", res.Outcome, res.Body)
		}
	}
	if b.runs != 1 {
		t.Errorf("%d runs", b.runs)
	}
	if res := b.settled(settleParams{ID: "acct/k", Pool: "p", Version: 1}); res.Outcome != Done {
		t.Errorf("settle: %s", res.Outcome)
	}
}

func TestDeadlineAndLeaseAreLookedAtRightBeforeTheSend(t *testing.T) {
	for _, tt := range []struct {
		name    string
		startBy time.Duration
		key     string
		sleep   time.Duration
		want    Outcome
	}{
		{"deadline passed while the process stood still", time.Minute, "k", 2 * time.Minute, NotRun},
		{"lease lapsed while the process stood still", 3 * time.Hour, "k", 2 * time.Hour, Unknown},
		{"a ticket needs no lease", 3 * time.Hour, callid.NewTicket("u", "i").String(), 2 * time.Hour, Done},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, false)
			id, err := callid.Parse(tt.key)
			if err != nil {
				t.Fatal(err)
			}
			_, c := b.book.begin("acct/" + tt.key)
			startBy := b.clock.Add(tt.startBy)
			b.clock = b.clock.Add(tt.sleep)
			res := b.send(t.Context(), id, invokeParams{ID: "acct/" + tt.key, Method: http.MethodPost, Path: "/", StartBy: startBy.UnixMilli()}, c)
			if res.Outcome != tt.want || (b.runs > 0) != (tt.want == Done) {
				t.Errorf("outcome %s with %d runs, want %s", res.Outcome, b.runs, tt.want)
			}
		})
	}
}

func TestOfTwoCopiesOneMayRun(t *testing.T) {
	book := newCallBook(time.Hour, 0, time.Now)
	if v, _ := book.begin("k"); v != verdictRun {
		t.Fatalf("first copy: %d", v)
	}
	if v, _ := book.begin("k"); v != verdictWait {
		t.Errorf("second copy: %d, want it to wait", v)
	}
}

func TestSettleWithoutLeaseProvesNothing(t *testing.T) {
	b := newBench(t, false)
	b.clock = b.clock.Add(2 * time.Hour)
	if res := b.settled(settleParams{ID: "acct/" + dated(b.clock), Pool: "p", Version: 1}); res.Outcome != Unknown {
		t.Errorf("settle: %s (%s)", res.Outcome, res.Reason)
	}
}

func TestDrainedSidecarRefusesNewWork(t *testing.T) {
	b := newBench(t, false)
	b.Drain("test")
	if r := b.refuseAtOnce(generateParams{}); r == nil || !r.Elsewhere {
		t.Errorf("generation: %+v, want a refusal that says elsewhere", r)
	}
	if res := b.file(t, "k"); res.Outcome != NotRun || b.runs != 0 {
		t.Errorf("call: %s with %d runs", res.Outcome, b.runs)
	}
	if res := b.runRepeatable(t.Context(), invokeParams{Method: http.MethodGet, Path: "/"}); res.Outcome != NotRun || b.runs != 0 {
		t.Errorf("repeatable call: %s with %d runs", res.Outcome, b.runs)
	}
}

func TestOlderConfigurationServesNoRequestOfANewerOne(t *testing.T) {
	b := newBench(t, false)
	asked := make(chan struct{}, 1)
	b.OnBehind = func(*peer.Conn) { asked <- struct{}{} }
	if !b.behind(nil, 2) {
		t.Error("a request of version 2 is served under version 1")
	}
	select {
	case <-asked:
	case <-time.After(10 * time.Second):
		t.Fatal("nobody is asked for the newer configuration")
	}
	if b.behind(nil, 1) {
		t.Error("a request of the own version is refused")
	}
}

// A sidecar that has just restarted is sent requests before it has the
// configuration; it must fetch that and serve, not refuse.
func TestRequestOfANewerConfigurationWaitsForIt(t *testing.T) {
	b := newBench(t, false)
	next := config.NewActive(b.active.Config(), 2, true, time.UnixMilli(1))
	b.OnBehind = func(*peer.Conn) {
		time.Sleep(10 * time.Millisecond)
		b.active = next
	}
	if b.behind(nil, 2) {
		t.Error("a request of version 2 is refused although version 2 was fetched")
	}
}
