package quarantine

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// parts returns the parts of a prompt from their IDs, separated by spaces.
func parts(ids string) []Request {
	var out []Request
	for id := range strings.FieldsSeq(ids) {
		out = append(out, PartOf("llm", "route", id))
	}
	return out
}

// crashUnderParts crashes an incarnation of an upstream while it runs a request with some parts.
func (f *fixture) crashUnderParts(name, ids, incarnation string) {
	f.t.Helper()
	r, err := f.Enter(f.t.Context(), request(name), 0, parts(ids)...)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Sent()
	r.ResponseLost(incarnation)
	f.ConfirmCrash(incarnation)
	r.Leave()
}

// serveWithParts serves a request with some parts.
func (f *fixture) serveWithParts(name, ids string) {
	f.t.Helper()
	r, err := f.Enter(f.t.Context(), request(name), 0, parts(ids)...)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Sent()
	r.Served()
	r.Leave()
}

// refusal returns the reason for which a new request with some parts is refused.
func (f *fixture) refusal(ids string) error {
	f.Sweep(func(string) bool { return false })
	r, err := f.Enter(f.t.Context(), request("new request with "+ids), 0, parts(ids)...)
	if err == nil {
		r.Leave()
	}
	return err
}

// TestPartWithDifferentRequestsIsNotQuarantined guards against parts that stay unknown as the cause because
// each request with them is a new one.
func TestPartWithDifferentRequestsIsNotQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name string
		// play lists what happens: "crash REQUEST UPSTREAM PARTS...", "serve REQUEST PARTS..." or "wait".
		play []string
		// refused and allowed are prompts of later requests, tried those that are allowed once at a time.
		refused, allowed, tried []string
	}{
		{
			name:    "three crashes under three requests",
			play:    []string{"serve s a b", "crash r1 u1 a bad", "crash r2 u2 a bad", "crash r3 u3 a bad", "wait"},
			refused: []string{"a bad", "bad", "c bad d"}, allowed: []string{"a b", "a"},
		},
		{
			name:    "two crashes",
			play:    []string{"serve s a b", "crash r1 u1 a bad", "crash r2 u2 a bad", "wait"},
			allowed: []string{"a bad", "a b"},
		},
		{
			name:    "one request that is repeated",
			play:    []string{"crash r1 u1 a b", "crash r1 u2 a b", "crash r1 u3 a b", "wait"},
			allowed: []string{"a b", "b"},
		},
		{
			name:    "one request that is repeated, and a second one",
			play:    []string{"crash r1 u1 a b", "crash r1 u2 a b", "crash r2 u3 a b", "wait"},
			allowed: []string{"a b"},
		},
		{
			name:    "served in between",
			play:    []string{"crash r1 u1 a b", "crash r2 u2 a b", "serve r4 a b", "crash r3 u3 a b", "wait"},
			allowed: []string{"a b"},
		},
		{
			name:    "served shortly before",
			play:    []string{"serve r0 a b", "crash r1 u1 a b", "crash r2 u2 a b", "crash r3 u3 a b", "wait"},
			allowed: []string{"a b"},
		},
		{
			name:    "before other entries can have reported that it was served",
			play:    []string{"crash r1 u1 a b", "crash r2 u2 a b", "crash r3 u3 a b"},
			allowed: []string{"a b"},
		},
		{
			name:    "five crashes at once",
			play:    []string{"serve s a b", "crash r1 u1 a bad", "crash r2 u2 a bad", "crash r3 u3 a bad", "crash r4 u4 a bad", "crash r5 u5 a bad"},
			refused: []string{"a bad"}, allowed: []string{"a b"},
		},
		{
			name:    "two bad parts",
			play:    []string{"serve s a b", "crash r1 u1 a bad", "crash r2 u2 a worse", "crash r3 u3 a bad", "crash r4 u4 a worse", "crash r5 u5 a bad", "crash r6 u6 a worse", "wait"},
			refused: []string{"a bad", "a worse"}, allowed: []string{"a b"},
		},
		{
			name:    "two parts that always come together",
			play:    []string{"crash r1 u1 x bad", "crash r2 u2 x bad", "crash r3 u3 x bad", "wait"},
			refused: []string{"x bad"}, tried: []string{"x b", "bad b"}, allowed: []string{"a b"},
		},
		{
			name:    "a harmless part that came with both bad ones",
			play:    []string{"crash r1 u1 x bad", "crash r2 u2 x worse", "crash r3 u3 x bad", "crash r4 u4 x worse", "crash r5 u5 bad", "crash r6 u6 worse", "crash r7 u7 bad", "crash r8 u8 worse", "wait"},
			refused: []string{"x bad", "bad", "worse"}, allowed: []string{"x b"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			for _, line := range tc.play {
				switch do := strings.Fields(line); do[0] {
				case "crash":
					f.crashUnderParts(do[1], strings.Join(do[3:], " "), do[2])
				case "serve":
					f.serveWithParts(do[1], strings.Join(do[2:], " "))
				case "wait":
					f.clock = f.clock.Add(peerReportTime)
				}
				f.Sweep(func(string) bool { return false })
			}
			for _, ids := range tc.refused {
				if err := f.refusal(ids); !errors.Is(err, ErrQuarantined) {
					t.Errorf("%q: %v, want it refused", ids, err)
				}
			}
			for _, ids := range append(tc.allowed, tc.tried...) {
				if err := f.refusal(ids); err != nil {
					t.Errorf("%q: %v, want it allowed", ids, err)
				}
			}
			for _, ids := range tc.tried {
				r, err := f.Enter(t.Context(), request("first with "+ids), 0, parts(ids)...)
				if err != nil {
					t.Fatal(err)
				}
				if err := f.refusal(ids); !errors.Is(err, ErrOnTrial) {
					t.Errorf("%q beside its trial: %v, want it refused as on trial", ids, err)
				}
				r.Leave()
			}
		})
	}
}

// TestTrialTellsPartsApart covers the requests with one of two parts that came together so far.
func TestTrialTellsPartsApart(t *testing.T) {
	for _, tc := range []struct {
		name             string
		do               func(f *fixture)
		refused, allowed string
	}{
		{"one is served", func(f *fixture) { f.serveWithParts("s", "x b") }, "bad", "x"},
		{"one crashes an upstream", func(f *fixture) { f.crashUnderParts("s", "bad b", "u9") }, "bad", "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			for i := range 3 {
				f.crashUnderParts(fmt.Sprint("r", i), "x bad", fmt.Sprint("u", i))
			}
			f.clock = f.clock.Add(peerReportTime)
			f.Sweep(func(string) bool { return false })
			tc.do(f)
			if err := f.refusal(tc.refused); !errors.Is(err, ErrQuarantined) {
				t.Errorf("%q: %v, want it refused", tc.refused, err)
			}
			if err := f.refusal(tc.allowed); errors.Is(err, ErrQuarantined) {
				t.Errorf("%q: %v, want it allowed", tc.allowed, err)
			}
		})
	}
}

// TestQuarantinedPartIsTriedOnceAfterItsPeriod checks that one entry tries one request with a part when its
// quarantine period is over.
func TestQuarantinedPartIsTriedOnceAfterItsPeriod(t *testing.T) {
	f := newTestSet(t)
	for i := range 3 {
		f.crashUnderParts(fmt.Sprint("r", i), "bad", fmt.Sprint("u", i))
	}
	f.clock = f.clock.Add(peerReportTime)
	if err := f.refusal("bad"); !errors.Is(err, ErrQuarantined) {
		t.Fatalf("%v, want it refused", err)
	}
	f.clock = f.clock.Add(minQuarantine)
	r, err := f.Enter(t.Context(), request("trial"), 0, parts("bad")...)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.refusal("bad"); !errors.Is(err, ErrOnTrial) {
		t.Errorf("beside the trial: %v, want it refused as on trial", err)
	}
	if !r.MaySend() {
		t.Error("the trial may not be sent")
	}
	r.Sent()
	r.ResponseLost("u9")
	f.ConfirmCrash("u9")
	if r.MaySend() || r.MayRepeat() {
		t.Error("the trial may be sent to a second upstream")
	}
	r.Leave()
	if err := f.refusal("bad"); !errors.Is(err, ErrQuarantined) {
		t.Errorf("after the trial: %v, want it refused", err)
	}
}

// TestRequestWithSuspectedPartIsNotRepeated guards against a second crash by each request with a bad part.
func TestRequestWithSuspectedPartIsNotRepeated(t *testing.T) {
	f := newTestSet(t)
	f.crashUnderParts("r1", "bad", "u1")
	r, err := f.Enter(t.Context(), request("r2"), 0, parts("bad")...)
	if err != nil {
		t.Fatal(err)
	}
	r.Sent()
	r.ResponseLost("u2")
	f.ConfirmCrash("u2")
	if r.MayRepeat() {
		t.Error("a request may be repeated although its part has two crashes")
	}
}

// TestPartsAreReportedToOtherEntries checks that an entry learns of a quarantined part, with its name, from
// messages as they are sent, and after all entries were lost.
func TestPartsAreReportedToOtherEntries(t *testing.T) {
	f := newTestSet(t)
	for i := range 5 {
		f.crashUnderParts(fmt.Sprint("r", i), "5c1e07a2", fmt.Sprint("u", i))
	}
	reports := Decode(Encode(f.Reports(), f.clock), f.clock)
	AddRuns(reports, EncodeRuns(f.Reports()))
	saved := Decode(Encode(f.Quarantined(), f.clock), f.clock)
	for _, tc := range []struct {
		name  string
		learn func(s *Set)
	}{
		{"by gossip", func(s *Set) { s.Merge("peer", reports) }},
		{"from its saved state", func(s *Set) { s.Restore(saved) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			other := newTestSet(t)
			other.clock = f.clock
			tc.learn(other.Set)
			if err := other.refusal("5c1e07a2"); !errors.Is(err, ErrQuarantined) {
				t.Errorf("%v, want it refused", err)
			}
			var names []string
			for _, v := range other.List() {
				if !v.QuarantinedAt.IsZero() {
					names = append(names, v.Part)
				}
			}
			if strings.Join(names, " ") != "5c1e07a2" {
				t.Errorf("quarantined %q, want the part", names)
			}
			if err := other.Lift(PartOf("llm", "", "5c1e07a2").Fingerprint, "test"); err != nil {
				t.Error(err)
			}
			if err := other.refusal("5c1e07a2"); err != nil {
				t.Errorf("after it was lifted: %v", err)
			}
		})
	}
}

// partRow is a deployment with bad prompt parts, and the load on it.
type partRow struct {
	row
	// sorts is the number of second parts that harmless requests have.
	sorts int
}

func (w partRow) String() string { return fmt.Sprintf("%s %d sorts of parts", w.row, w.sorts) }

// prompt returns the parts of a request by its name, which ends in a number. Requests share their first part
// with a third of all others.
func (w partRow) prompt(name string) []Request {
	kind, text, _ := strings.Cut(name, " ")
	number := text[strings.LastIndexByte(text, ' ')+1:]
	n, _ := strconv.Atoi(number)
	first, second, third := fmt.Sprint("first-", n%3), fmt.Sprint("second-", n*7919%w.sorts), fmt.Sprint("third-", n%97)
	if kind == "culprit" {
		bad, _, _ := strings.Cut(text, " ")
		second = "bad-" + bad
	}
	return parts(first + " " + second + " " + third)
}

// TestHarmlessPartsBesideBadOnes simulates prompt parts that crash upstreams, in requests of which no two are
// alike, beside harmless requests that share their other parts, and upstreams that crash by themselves. It
// bounds the harmless requests that are refused, the crashes and the late arrivals.
func TestHarmlessPartsBesideBadOnes(t *testing.T) {
	// mostCrashes bounds the crashes that each bad part may cause, besides those by requests that are on
	// their way when the fifth happens.
	const mostCrashes = ambiguousThreshold
	allQuarantined, allHarmless := 0, 0
	for _, w := range []partRow{
		{row{4, 9, 1, 6, 10 * time.Millisecond, 0.2, 0, 0}, 8},
		{row{4, 9, 1, 6, 100 * time.Millisecond, 0.2, 0, 0}, 680},
		{row{4, 9, 2, 6, 10 * time.Millisecond, 0.2, 0, 0}, 60},
		{row{4, 9, 4, 3, 10 * time.Millisecond, 0.2, 0, 0}, 60},
		{row{4, 9, 1, 6, 10 * time.Millisecond, 0.2, 0, 500 * time.Millisecond}, 60},
		{row{4, 9, 0, 6, 10 * time.Millisecond, 0.2, 0, 150 * time.Millisecond}, 8},
		{row{4, 9, 0, 6, 10 * time.Millisecond, 0.2, 0, 150 * time.Millisecond}, 680},
		{row{4, 9, 0, 6, 10 * time.Millisecond, 0.2, 0, 500 * time.Millisecond}, 60},
		{row{30, 90, 2, 10, 100 * time.Millisecond, 0.2, 0, 0}, 680},
	} {
		t.Run(w.String(), func(t *testing.T) {
			var harmless, quarantined, served, onTrial, crashed, late int
			for seed := range uint64(*rigSeeds) {
				synctest.Test(t, func(t *testing.T) {
					c := newMultiRig(w.row, *rigFirstSeed+seed)
					c.partsOf = w.prompt
					c.playParts(t, w)
					c.mu.Lock()
					defer c.mu.Unlock()
					harmless, quarantined, served, onTrial, crashed = harmless+c.harmless, quarantined+c.quarantinedHarmless, served+c.served, onTrial+c.onTrialHarmless, crashed+len(c.crashes)
					for name, reached := range c.reachedBy {
						n := 0
						for _, at := range reached {
							if crashes := c.crashesBy[name]; len(crashes) >= ambiguousThreshold && at.After(crashes[ambiguousThreshold-1].Add(convergenceTime)) {
								n++
							}
						}
						if n > quarantineThreshold {
							t.Errorf("%s reached upstreams %d times after the convergence time", name, n)
						}
						late += n
					}
				})
			}
			t.Logf("%d harmless requests sent, %.3f served, refused as quarantined %d, on trial %d; crashes %d, late %d",
				harmless, float64(served)/float64(harmless), quarantined, onTrial, crashed, late)
			allQuarantined, allHarmless = allQuarantined+quarantined, allHarmless+harmless
			onTheWay := int(2*w.rate*(peerReportTime+w.delay+crashDelay+gossipInterval).Seconds()) + 1
			if most := *rigSeeds * w.poison * (mostCrashes + onTheWay); crashed > most {
				t.Errorf("%d crashes, want at most %d", crashed, most)
			}
		})
	}
	if allQuarantined*5000 > allHarmless {
		t.Errorf("%d of %d harmless requests refused as quarantined", allQuarantined, allHarmless)
	}
}

// playParts is play with requests that hold bad parts. Results count by part.
func (c *multiRig) playParts(t *testing.T, w partRow) {
	ctx, cancel := context.WithTimeout(t.Context(), rigDuration)
	defer cancel()
	go c.gossip(ctx)
	go c.sweep(ctx)
	go c.gossipPeriodically(ctx)
	go c.sendAs(ctx, 4*float64(w.upstreams), false, func(n int) string { return "sound " + strconv.Itoa(n) })
	time.Sleep(time.Second)
	for i := range w.poison {
		go c.sendAs(ctx, w.rate, true, func(n int) string { return fmt.Sprintf("culprit %d %d", i, n) })
	}
	if w.crashEvery > 0 {
		go c.crashUpstreams(ctx, w.crashEvery)
	}
	<-ctx.Done()
	time.Sleep(20 * time.Second)
	synctest.Wait()
}
