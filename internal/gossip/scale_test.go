package gossip

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var measure = flag.Bool("measure", false, "print message rates and spread times of deployments with 103, 412 and 1,000 entries")

// onRig runs f on a rig whose entries have started within 300 ms.
func onRig(t *testing.T, entries int, loss float64, f func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := newRig(ctx, 7, loss)
		r.start(entries, 300*time.Millisecond)
		f(t, r)
		cancel()
		synctest.Wait()
	})
}

func median[T any](sorted []T) T { return sorted[len(sorted)/2] }

func percentile99[T any](sorted []T) T { return sorted[len(sorted)*99/100] }

// manyEntries is a size of a deployment at which each zone has its own delegates.
const manyEntries = 150

// TestEntriesThatStartTogetherFindAll checks that entries find each other although each has read the list
// of entries only once, before some of the others had written their records.
func TestEntriesThatStartTogetherFindAll(t *testing.T) {
	onRig(t, manyEntries, 0.02, func(t *testing.T, r *rig) {
		time.Sleep(5 * time.Second)
		if live := r.liveCounts(); live[0] != manyEntries-1 {
			t.Errorf("one entry has %d live peers, want %d", live[0], manyEntries-1)
		}
	})
}

// TestEntryThatAppearsCostsEachOneMessage bounds the messages that a new entry causes. It needs the state of
// all others, and they need only its own. If every entry instead sent a message to all others, the number of
// messages would be the square of the number of entries.
func TestEntryThatAppearsCostsEachOneMessage(t *testing.T) {
	onRig(t, manyEntries, 0, func(t *testing.T, r *rig) {
		time.Sleep(5 * time.Second)
		const lasts = time.Second
		baseline := r.trafficDuring(func() { time.Sleep(lasts) })
		joined := r.trafficDuring(func() {
			for range 10 {
				r.join(len(r.running()))
				time.Sleep(lasts / 10)
			}
		})
		if more := joined.messages - baseline.messages; more > 40 {
			t.Errorf("10 new entries cost each other entry %.0f messages, want about 20", more)
		}
	})
}

// TestUrgentMessagesAreBounded bounds the message rates under the highest load: all entries meet faults all
// the time, as after the loss of a zone of upstreams. Without delegates each entry would send and receive ten
// messages per second and entry, which takes 37 % of the processor of a small machine with 412 entries.
func TestUrgentMessagesAreBounded(t *testing.T) {
	onRig(t, manyEntries, 0, func(t *testing.T, r *rig) {
		time.Sleep(5 * time.Second)
		baseline := r.trafficDuring(func() { time.Sleep(2 * time.Second) })
		loaded := r.trafficDuring(func() { r.sendAllNow(2 * time.Second) })
		if more := loaded.messages - baseline.messages; more > 120 {
			t.Errorf("%.0f messages a second more than without load, want a hundred at most", more)
		}
		if more := loaded.busiest - baseline.busiest; more > maxForwardRate {
			t.Errorf("a delegate sends %.0f messages a second more, want %d at most", more, maxForwardRate)
		}
	})
}

// TestUrgentStateReachesAll checks the time that DeliveryTime promises for an urgent state to reach all entries.
func TestUrgentStateReachesAll(t *testing.T) {
	for _, tc := range []struct {
		name    string
		loss    float64
		disturb func(r *rig)
		// p99 and all bound the time until 99 % and all of the entries have the state.
		p99, all time.Duration
	}{
		{"no fault", 0, func(*rig) {}, forwardTimeout, forwardTimeout},
		{"one of 50 messages is lost", 0.02, func(*rig) {}, forwardTimeout, spreadTimeout},
		{"the delegates were killed", 0, func(r *rig) { r.killDelegates() }, spreadTimeout, spreadTimeout},
		{"55 of 100 were killed", 0.02, func(r *rig) { r.killMost() }, spreadTimeout, 2 * spreadTimeout},
		{"all entries spread urgent states", 0, func(r *rig) { r.sendAllNow(time.Second) }, spreadTimeout, spreadTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			onRig(t, manyEntries, tc.loss, func(t *testing.T, r *rig) {
				time.Sleep(5 * time.Second)
				tc.disturb(r)
				spread := r.spread(r.running()[0], 10*time.Second)
				if got := percentile99(spread); got > tc.p99 {
					t.Errorf("99 %% of the entries have it after %s, want %s", got, tc.p99)
				}
				if got := spread[len(spread)-1]; got > tc.all {
					t.Errorf("all entries have it after %s, want %s", got, tc.all)
				}
			})
		})
	}
}

// TestStateThatNoDelegateForwards checks that an entry sends an urgent state to all others directly if its
// delegates have just failed. The regular interval is a minute here, so that no regular message spreads the
// state in time.
func TestStateThatNoDelegateForwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := newRig(ctx, 7, 0)
		r.every = time.Minute
		r.start(manyEntries, 300*time.Millisecond)
		time.Sleep(5 * time.Second)
		r.killDelegates()
		if spread := r.spread(r.running()[0], 10*time.Second); spread[len(spread)-1] > spreadTimeout {
			t.Errorf("all entries have it after %s, want %s", spread[len(spread)-1], spreadTimeout)
		}
		cancel()
		synctest.Wait()
	})
}

// TestSilentEntriesAreForgottenSoon checks that entries of all zones detect killed entries soon. Messages
// between zones are rare, so the delegates of the own zone of a killed entry must report it silent.
func TestSilentEntriesAreForgottenSoon(t *testing.T) {
	onRig(t, manyEntries, 0.02, func(t *testing.T, r *rig) {
		time.Sleep(5 * time.Second)
		for i, e := range r.running() {
			if i%10 == 0 {
				e.kill()
			}
		}
		running := len(r.running())
		time.Sleep(2500 * time.Millisecond)
		if live := r.liveCounts(); live[running-1] != running-1 || live[0] != running-1 {
			t.Errorf("entries have %d to %d live peers, want %d", live[0], live[running-1], running-1)
		}
	})
}

// killDelegates ends the entries on large machines, except the first entry.
func (r *rig) killDelegates() {
	for i, e := range r.running() {
		if e.entry.Size == rigLarge && i > 0 {
			e.kill()
		}
	}
}

// killMost ends 55 % of the entries.
func (r *rig) killMost() {
	for i, e := range r.running() {
		if i%20 < 12 && i%20 > 0 {
			e.kill()
		}
	}
}

// TestMeasureEntries prints message rates and the spread times of urgent states for growing numbers of
// entries.
func TestMeasureEntries(t *testing.T) {
	if !*measure {
		t.Skip("prints figures only; run with -measure")
	}
	for _, n := range []int{103, 412, 1000} {
		for _, loss := range []float64{0, 0.02} {
			onRig(t, n, loss, func(t *testing.T, r *rig) {
				measureOn(t, r, fmt.Sprintf("%d entries, %.0f %% lost", n, 100*loss))
			})
		}
	}
}

func measureOn(t *testing.T, r *rig, what string) {
	starting := r.trafficDuring(func() { time.Sleep(3 * time.Second) })
	live := r.liveCounts()
	time.Sleep(10 * time.Second)
	idle := r.trafficDuring(func() { time.Sleep(3 * time.Second) })
	spread := r.spread(r.entries[0], 20*time.Second)
	loaded := r.trafficDuring(func() { r.sendAllNow(2 * time.Second) })
	r.killMost()
	spreadAfter := r.spread(r.running()[0], 20*time.Second)
	killed := time.Now()
	for time.Since(killed) < time.Minute && r.liveCounts()[len(r.running())-1] >= len(r.running()) {
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%s: messages per second in the first 3 s %.0f, busiest %.0f, then %d to %d live peers; idle %.0f, busiest %.0f, %.0f KB/s; all entries urgent: %.0f, busiest %.0f; urgent state at half, 99 %%, all entries after %s, %s, %s; after 55 %% were killed %s, %s, %s; all of these silent after %s",
		what, starting.messages, starting.busiest, live[0], live[len(live)-1], idle.messages, idle.busiest, idle.bytes/1000, loaded.messages, loaded.busiest,
		median(spread), percentile99(spread), spread[len(spread)-1], median(spreadAfter), percentile99(spreadAfter), spreadAfter[len(spreadAfter)-1], time.Since(killed))
}

// sendAllNow makes all entries call SendNow every 50 ms for a time.
func (r *rig) sendAllNow(lasts time.Duration) {
	for start := time.Now(); time.Since(start) < lasts; time.Sleep(50 * time.Millisecond) {
		for _, e := range r.running() {
			e.node.SendNow()
		}
	}
}
