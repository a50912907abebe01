package limits

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPartOfALimitThatIsUsed plays one upstream that takes a few requests a second from all
// entries, whose callers are uneven, and prints what part is used and how many requests came in
// a window at most. Equal parts for each entry leave a fifth to all of it unused.
func TestPartOfALimitThatIsUsed(t *testing.T) {
	for _, tc := range []struct {
		entries int
		limit   float64
		load    float64
		way     time.Duration
		loss    float64
		// least is the part that has to be used.
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
		for _, equal := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(1, tc.entries, tc.way, tc.loss)
				r.equal = equal
				r.limit(tc.limit)
				go r.callers(tc.load*tc.limit, 40*time.Second)
				time.Sleep(5 * time.Second)
				from := time.Now()
				time.Sleep(35 * time.Second)
				used[equal] = r.used(from)
				told, all, beyond := r.most()
				t.Logf("%3d entries, %5.1f a second, load %.0f, way %s, loss %.2f, equal parts %5v: used %.2f, %d and %d of all in %s, allowed %d", tc.entries, tc.limit, tc.load, tc.way, tc.loss, equal, used[equal], told, all, rigWindow, int(1.5*tc.limit*rigWindow.Seconds())+5)
				if !equal && beyond > 0 {
					t.Errorf("%d requests more than allowed", beyond)
				}
				r.stop()
			})
		}
		if used[false] < tc.least {
			t.Errorf("%d entries use %.2f of %v a second, want at least %.2f", tc.entries, used[false], tc.limit, tc.least)
		}
	}
}

// On both sides of a cut one entry takes itself for the one that grants permits. The upstream
// still gets no more than it takes of all together, though those cut off are excused.
func TestBothSidesOfACut(t *testing.T) {
	for _, tc := range []struct {
		name     string
		entries  int
		cut      int
		most     float64
		leastAll float64
	}{
		{"halves share it", 4, 2, 1.2, 0.8},
		{"the larger side has it, and the other one its part", 5, 2, 1.5, 1},
		{"one that is cut off has its part", 4, 1, 1.4, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 100.0
				r := newRig(1, tc.entries, 3*time.Millisecond, 0)
				r.limit(limit)
				go r.callers(6*limit, 20*time.Second)
				time.Sleep(5 * time.Second)
				r.separate(r.all()[:tc.cut]...)
				time.Sleep(3 * time.Second)
				from := time.Now()
				time.Sleep(10 * time.Second)
				used := r.used(from)
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

// Callers of an entry with few of them are served as often as those of one with many: whoever
// asks first gets the next permit.
func TestNoEntryStarves(t *testing.T) {
	for _, tc := range []struct {
		entries int
		limit   float64
	}{{4, 3.2}, {30, 3.2}, {300, 30}} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(3, tc.entries, 3*time.Millisecond, 0.01)
			r.limit(tc.limit)
			go r.callers(4*tc.limit, 200*time.Second)
			time.Sleep(201 * time.Second)
			all := r.all()
			loudest := served(all[:1])
			quiet := served(all[tc.entries/2:])
			t.Logf("%d entries: %.2f of the requests at the one with most, %.2f at the half with least", tc.entries, loudest, quiet)
			if quiet < loudest*3/4 || loudest < quiet*3/4 {
				t.Errorf("%d entries: %.2f of the requests are served at the one with most, %.2f at the half with least; want about as many", tc.entries, loudest, quiet)
			}
			r.stop()
		})
	}
}

// served is the part of the requests of some entries that had a permit.
func served(entries []*rigEntry) float64 {
	asked, served := 0, 0
	for _, e := range entries {
		e.rig.mu.Lock()
		asked, served = asked+e.asked, served+e.served
		e.rig.mu.Unlock()
	}
	return float64(served) / float64(max(asked, 1))
}
