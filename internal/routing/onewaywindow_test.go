package routing

import (
	"testing"
	"time"
)

// An entry hears others that do not hear it: a link that is cut one way. It counted on the part of
// their shares that they do not keep to themselves, and they, who hear nobody, took it themselves:
// 652 attempts of 400 allowed. Their messages tell which of its own came last, so it knows.
func TestHearingOneWayKeepsTheBudget(t *testing.T) {
	const entries, extra = 5, 400
	for _, tc := range []struct {
		name string
		// last is when the others heard the entry last, before the first attempt.
		last time.Duration
	}{
		{"never", time.Hour},
		{"until a while ago", heardWithin + time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at := time.Now()
			var windows []*Window
			for range entries {
				w := NewWindow(0, extra, 100*time.Second, func() time.Time { return at })
				w.Entries(entries)
				windows = append(windows, w)
			}
			heard, total := at.Add(-tc.last), 0
			for range 80 {
				for j, other := range windows[1:] {
					windows[0].HeardBy(string(rune('b'+j)), other.Use(), heard)
				}
				for windows[0].Repeat(0) {
					total++
				}
				at = at.Add(toldWithin + time.Millisecond)
			}
			for _, w := range windows[1:] {
				for w.Repeat(0) {
					total++
				}
			}
			if total > extra {
				t.Errorf("%d extra attempts of all entries, want at most %d", total, extra)
			}
			if total < extra-entries {
				t.Errorf("%d extra attempts of all entries, want the share of each used", total)
			}
		})
	}
}
