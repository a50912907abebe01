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

// oneRowTable returns a table that holds only row.
func oneRowTable(row *platform.Row) *platform.Table {
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

const oneServiceConfig = "pools: [{name: p, kind: service, upstreams: [{name: u, zone: a}]}]\nmodels: []\naccounts: []\n"

// callFixture is a sidecar in front of a plain service that counts its runs. The test sets the
// clock and the active configuration.
type callFixture struct {
	*Server
	clock  time.Time
	active *config.Active
	runs   int
}

// newCallFixture returns a fixture with a valid lease. With predecessor, another incarnation has
// held the lease an hour earlier.
func newCallFixture(t *testing.T, predecessor bool) *callFixture {
	t.Helper()
	b := &callFixture{clock: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.runs++
		_, _ = w.Write([]byte("ok"))
	}))
	t.Cleanup(service.Close)
	now := func() time.Time { return b.clock }
	row := &platform.Row{}
	if predecessor {
		old := lease.New(oneRowTable(row), "u", "old", lease.Settings{Term: time.Minute}, now)
		if err := old.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		b.clock = b.clock.Add(time.Hour)
	}
	l := lease.New(oneRowTable(row), "u", "i", lease.Settings{Term: time.Hour, Skew: time.Second}, now)
	if err := l.Renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse("t", []byte(oneServiceConfig))
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

// runKey runs a call that may not be repeated, with the given key as its identifier.
func (b *callFixture) runKey(t *testing.T, key string) invokeResult {
	t.Helper()
	return b.runOnce(t.Context(), invokeParams{ID: "acct/" + key, Pool: "p", Version: b.active.Version(), Method: http.MethodPost, Path: "/"})
}

// keyIssuedAt returns a caller's key that carries t as its time of issue.
func keyIssuedAt(t time.Time) string {
	ms := uint64(t.UnixMilli())
	const hexDigits = "0123456789abcdef"
	text := []byte("00000000-0000-7000-8000-000000000000")
	for i, pos := range []int{0, 1, 2, 3, 4, 5, 6, 7, 9, 10, 11, 12} {
		text[pos] = hexDigits[ms>>(44-4*i)&0xf]
	}
	return string(text)
}

// A key must not run here if another upstream or an earlier incarnation may have run it: it would
// run twice.
func TestIncarnationRunsOnlyKeysThatNoOtherCanHaveRun(t *testing.T) {
	tests := []struct {
		name        string
		predecessor bool
		prepare     func(b *callFixture)
		key         func(b *callFixture) string
		want        Outcome
	}{
		{name: "first incarnation, no time of issue", key: func(*callFixture) string { return "k" }, want: Done},
		{name: "first incarnation, key issued before it", key: func(b *callFixture) string { return keyIssuedAt(b.clock.Add(-time.Minute)) }, want: Done},
		{name: "successor, no time of issue", predecessor: true, key: func(*callFixture) string { return "k" }, want: Unknown},
		{name: "successor, key issued before it", predecessor: true, key: func(b *callFixture) string { return keyIssuedAt(b.clock.Add(-time.Minute)) }, want: Unknown},
		{name: "successor, key issued within the clock skew", predecessor: true, key: func(b *callFixture) string { return keyIssuedAt(b.clock.Add(500 * time.Millisecond)) }, want: Unknown},
		{
			name: "successor, key issued after it", predecessor: true, want: Done,
			prepare: func(b *callFixture) { b.clock = b.clock.Add(10 * time.Second) },
			key:     func(b *callFixture) string { return keyIssuedAt(b.clock.Add(-time.Second)) },
		},
		{
			name: "successor after the window, no time of issue", predecessor: true, want: Done,
			prepare: func(b *callFixture) {
				b.clock = b.clock.Add(25 * time.Hour)
				_ = b.lease.Renew(context.Background())
			},
			key: func(*callFixture) string { return "k" },
		},
		{name: "key issued in the future", key: func(b *callFixture) string { return keyIssuedAt(b.clock.Add(time.Hour)) }, want: Unknown},
		{name: "key older than the window", key: func(b *callFixture) string { return keyIssuedAt(b.clock.Add(-25 * time.Hour)) }, want: Unknown},
		{
			name: "lease has run out", want: Unknown,
			prepare: func(b *callFixture) { b.clock = b.clock.Add(2 * time.Hour) },
			key:     func(b *callFixture) string { return keyIssuedAt(b.clock) },
		},
		{
			name: "home upstreams are changing", want: Unknown,
			prepare: func(b *callFixture) {
				b.active = config.NewActive(b.active.Config(), 2, false, b.clock.AddDate(1000, 0, 0))
			},
			key: func(b *callFixture) string { return keyIssuedAt(b.clock) },
		},
		{
			// An upstream that is added later becomes the home of keys that an earlier home may
			// have run. Its first incarnation must not accept keys without a time of issue.
			name: "first incarnation of a new home, no time of issue", want: Unknown,
			prepare: func(b *callFixture) { b.active = config.NewActive(b.active.Config(), 2, true, b.clock) },
			key:     func(*callFixture) string { return "k" },
		},
		{name: "ticket of this incarnation", predecessor: true, key: func(*callFixture) string { return callid.NewTicket("u", "i").String() }, want: Done},
		{name: "ticket of another incarnation", key: func(*callFixture) string { return callid.NewTicket("u", "old").String() }, want: Unknown},
		{
			name: "ticket without a lease", want: Done,
			prepare: func(b *callFixture) { b.clock = b.clock.Add(2 * time.Hour) },
			key:     func(*callFixture) string { return callid.NewTicket("u", "i").String() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newCallFixture(t, tt.predecessor)
			if tt.prepare != nil {
				tt.prepare(b)
			}
			res := b.runKey(t, tt.key(b))
			if res.Outcome != tt.want {
				t.Errorf("outcome %s (%s), want %s", res.Outcome, res.Reason, tt.want)
			}
			if ran := b.runs > 0; ran != (tt.want == Done) {
				t.Errorf("ran %d times with outcome %s", b.runs, res.Outcome)
			}
		})
	}
}

// NotRun is final, so the caller may run the call again. A copy of the settled call that arrives later
// must not run.
func TestSettleBarsCallsThatNeverArrived(t *testing.T) {
	b := newCallFixture(t, false)
	p := settleParams{ID: "acct/k", Pool: "p", Version: 1}
	if res := b.settleCall(p); res.Outcome != NotRun {
		t.Fatalf("settle: %s (%s)", res.Outcome, res.Reason)
	}
	if res := b.runKey(t, "k"); res.Outcome != NotRun || b.runs != 0 {
		t.Errorf("late copy: %s, %d runs", res.Outcome, b.runs)
	}
}

func TestRepeatedCallGetsTheKeptAnswer(t *testing.T) {
	b := newCallFixture(t, false)
	for range 3 {
		if res := b.runKey(t, "k"); res.Outcome != Done || string(res.Body) != "ok" {
			t.Fatalf("answer %s %q", res.Outcome, res.Body)
		}
	}
	if b.runs != 1 {
		t.Errorf("%d runs", b.runs)
	}
	if res := b.settleCall(settleParams{ID: "acct/k", Pool: "p", Version: 1}); res.Outcome != Done {
		t.Errorf("settle: %s", res.Outcome)
	}
}

// The process may be paused after it has recorded the start of a call. If the deadline passes or
// the lease runs out meanwhile, the call must not be sent.
func TestDeadlineAndLeaseAreCheckedRightBeforeTheSend(t *testing.T) {
	for _, tt := range []struct {
		name    string
		startBy time.Duration
		key     string
		sleep   time.Duration
		want    Outcome
	}{
		{"deadline passes while the process is paused", time.Minute, "k", 2 * time.Minute, NotRun},
		{"lease runs out while the process is paused", 3 * time.Hour, "k", 2 * time.Hour, Unknown},
		{"a ticket needs no lease", 3 * time.Hour, callid.NewTicket("u", "i").String(), 2 * time.Hour, Done},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newCallFixture(t, false)
			id, err := callid.Parse(tt.key)
			if err != nil {
				t.Fatal(err)
			}
			_, c := b.registry.begin("acct/" + tt.key)
			startBy := b.clock.Add(tt.startBy)
			b.clock = b.clock.Add(tt.sleep)
			res := b.send(t.Context(), id, invokeParams{ID: "acct/" + tt.key, Method: http.MethodPost, Path: "/", StartBy: startBy.UnixMilli()}, c)
			if res.Outcome != tt.want || (b.runs > 0) != (tt.want == Done) {
				t.Errorf("outcome %s with %d runs, want %s", res.Outcome, b.runs, tt.want)
			}
		})
	}
}

func TestSecondCopyOfACallWaitsForTheFirst(t *testing.T) {
	book := newCallRegistry(time.Hour, 0, time.Now)
	if v, _ := book.begin("k"); v != dispositionRun {
		t.Fatalf("first copy: %d", v)
	}
	if v, _ := book.begin("k"); v != dispositionWait {
		t.Errorf("second copy: %d, want it to wait", v)
	}
}

// Without a lease another incarnation may run the call, so a missing record does not prove that it
// was not run.
func TestSettleWithoutLeaseIsUnknown(t *testing.T) {
	b := newCallFixture(t, false)
	b.clock = b.clock.Add(2 * time.Hour)
	if res := b.settleCall(settleParams{ID: "acct/" + keyIssuedAt(b.clock), Pool: "p", Version: 1}); res.Outcome != Unknown {
		t.Errorf("settle: %s (%s)", res.Outcome, res.Reason)
	}
}

func TestDrainedSidecarRefusesNewWork(t *testing.T) {
	b := newCallFixture(t, false)
	b.Drain("test")
	if r := b.refuseAtOnce(generateParams{}); r == nil || !r.Elsewhere {
		t.Errorf("generation: %+v, want a refusal with Elsewhere set", r)
	}
	if res := b.runKey(t, "k"); res.Outcome != NotRun || b.runs != 0 {
		t.Errorf("call: %s with %d runs", res.Outcome, b.runs)
	}
	if res := b.runRepeatable(t.Context(), invokeParams{Method: http.MethodGet, Path: "/"}); res.Outcome != NotRun || b.runs != 0 {
		t.Errorf("repeatable call: %s with %d runs", res.Outcome, b.runs)
	}
}

// A request with a newer configuration must not run under the older one that is active here, and
// the sidecar must ask for the newer one.
func TestRequestOfANewerConfigurationIsNotServedUnderAnOlderOne(t *testing.T) {
	b := newCallFixture(t, false)
	asked := make(chan struct{}, 1)
	b.OnConfigBehind = func(*peer.Conn) { asked <- struct{}{} }
	if !b.configBehind(nil, 2) {
		t.Error("a request of version 2 is served under version 1")
	}
	select {
	case <-asked:
	case <-time.After(10 * time.Second):
		t.Fatal("the newer configuration is not asked for")
	}
	if b.configBehind(nil, 1) {
		t.Error("a request of the active version is refused")
	}
}

// A sidecar that has just restarted gets requests before it has the configuration. It must fetch
// the configuration and serve them instead of refusing.
func TestRequestOfANewerConfigurationWaitsForIt(t *testing.T) {
	b := newCallFixture(t, false)
	next := config.NewActive(b.active.Config(), 2, true, time.UnixMilli(1))
	b.OnConfigBehind = func(*peer.Conn) {
		time.Sleep(10 * time.Millisecond)
		b.active = next
	}
	if b.configBehind(nil, 2) {
		t.Error("a request of version 2 is refused although version 2 was fetched")
	}
}
