package limits

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestUsedShareOfALimit simulates one upstream with a limit and uneven load over the entries. It
// logs the used share of the limit and the peak in a window, also with fixed equal shares, which
// leave between a fifth and all of the limit unused.
func TestUsedShareOfALimit(t *testing.T) {
	for _, tc := range []struct {
		entries   int
		limit     float64
		load      float64
		roundTrip time.Duration
		loss      float64
		// least is the smallest share that has to be used.
		least float64
	}{
		{1, 3.2, 4, 3 * time.Millisecond, 0, 0.9},
		{4, 1.5, 4, 3 * time.Millisecond, 0, 0.9},
		{4, 3.2, 1, 3 * time.Millisecond, 0, 0.6},
		{4, 3.2, 4, 3 * time.Millisecond, 0, 0.9},
		{4, 0.3, 4, 3 * time.Millisecond, 0, 0.9},
		{4, 3.2, 4, 20 * time.Millisecond, 0.1, 0.8},
		{13, 3.2, 4, 3 * time.Millisecond, 0.02, 0.9},
		{30, 3.2, 1, 3 * time.Millisecond, 0.02, 0.6},
		{30, 3.2, 4, 3 * time.Millisecond, 0.02, 0.9},
		{30, 100, 4, 3 * time.Millisecond, 0.02, 0.9},
		{300, 3.2, 4, 3 * time.Millisecond, 0.02, 0.9},
		{300, 30, 4, 3 * time.Millisecond, 0.02, 0.9},
	} {
		used := map[bool]float64{}
		for _, equalShares := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(1, tc.entries, tc.roundTrip, tc.loss)
				r.equalShares = equalShares
				r.limit(tc.limit)
				go r.generateLoad(tc.load*tc.limit, 40*time.Second)
				time.Sleep(5 * time.Second)
				from := time.Now()
				time.Sleep(35 * time.Second)
				used[equalShares] = r.usedShare(from)
				informed, all, excess := r.peak()
				t.Logf("%3d entries, %5.1f a second, load %.0f, round trip %s, loss %.2f, equal shares %5v: used %.2f, peak %d of informed entries and %d of all in %s, allowed %d", tc.entries, tc.limit, tc.load, tc.roundTrip, tc.loss, equalShares, used[equalShares], informed, all, rigWindow, int(1.5*tc.limit*rigWindow.Seconds())+5)
				if !equalShares && excess > 0 {
					t.Errorf("%d requests more than allowed", excess)
				}
				r.stop()
			})
		}
		if used[false] < tc.least {
			t.Errorf("%d entries use %.2f of %v a second, want at least %.2f", tc.entries, used[false], tc.limit, tc.least)
		}
	}
}

// Each side of a network partition has a granter of its own. Guards against both sides together
// exceeding the limit, although the entries that were cut off are exempt from the check of the
// peak.
func TestGrantsOnBothSidesOfAPartition(t *testing.T) {
	for _, tc := range []struct {
		name     string
		entries  int
		minority int
		most     float64
		leastAll float64
	}{
		{"halves share the limit", 4, 2, 1.2, 0.8},
		{"the majority has the limit and the minority its share", 5, 2, 1.5, 1},
		{"one entry that is cut off has its share", 4, 1, 1.4, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 100.0
				r := newRig(1, tc.entries, 3*time.Millisecond, 0)
				r.limit(limit)
				go r.generateLoad(6*limit, 20*time.Second)
				time.Sleep(5 * time.Second)
				r.partition(r.all()[:tc.minority]...)
				time.Sleep(3 * time.Second)
				from := time.Now()
				time.Sleep(10 * time.Second)
				used := r.usedShare(from)
				t.Logf("both sides use %.2f of the limit", used)
				if used < tc.leastAll || used > tc.most {
					t.Errorf("both sides use %.2f of the limit, want %.2f to %.2f", used, tc.leastAll, tc.most)
				}
				time.Sleep(2 * time.Second)
				r.stop()
			})
		})
	}
}

// Guards against each of several entries that stop at once granting the whole limit: four of them
// sent four times as much as the upstream takes.
func TestEntriesThatStopTogetherKeepTheLimit(t *testing.T) {
	for _, tc := range []struct {
		name    string
		entries int
		stops   int
	}{
		{"some stop", 4, 3},
		{"all stop", 4, 4},
		{"all of many stop", 30, 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 100.0
				r := newRig(1, tc.entries, 3*time.Millisecond, 0.02)
				r.limit(limit)
				go r.generateLoad(6*limit, 20*time.Second)
				time.Sleep(5 * time.Second)
				for _, e := range r.all()[:tc.stops] {
					e.stopGranting()
				}
				time.Sleep(time.Second)
				from := time.Now()
				time.Sleep(10 * time.Second)
				used := r.usedShare(from)
				t.Logf("%.2f of the limit used", used)
				if used < 0.9 || used > 1.1 {
					t.Errorf("%.2f of the limit used, want 0.90 to 1.10", used)
				}
				time.Sleep(5 * time.Second)
				r.stop()
			})
		})
	}
}

// Guards against entries with few callers being served less often than those with many: the next
// permit goes to the entry that asks first.
func TestNoEntryStarves(t *testing.T) {
	for _, tc := range []struct {
		entries int
		limit   float64
	}{{4, 3.2}, {30, 3.2}, {300, 30}} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(3, tc.entries, 3*time.Millisecond, 0.01)
			r.limit(tc.limit)
			go r.generateLoad(4*tc.limit, 200*time.Second)
			time.Sleep(201 * time.Second)
			all := r.all()
			busiest := servedShare(all[:1])
			others := servedShare(all[tc.entries/2:])
			t.Logf("%d entries: %.2f of the requests at the one with most, %.2f at the half with least", tc.entries, busiest, others)
			if others < busiest*3/4 || busiest < others*3/4 {
				t.Errorf("%d entries: %.2f of the requests are served at the one with most, %.2f at the half with least; want about as many", tc.entries, busiest, others)
			}
			r.stop()
		})
	}
}

// servedShare returns the share of the entries' requests that got a permit.
func servedShare(entries []*rigEntry) float64 {
	requested, served := 0, 0
	for _, e := range entries {
		e.rig.mu.Lock()
		requested, served = requested+e.requested, served+e.served
		e.rig.mu.Unlock()
	}
	return float64(served) / float64(max(requested, 1))
}
