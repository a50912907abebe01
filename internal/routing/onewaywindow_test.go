package routing

import (
	"testing"
	"time"
)

// TestAsymmetricLinkKeepsTheBudget guards against exceeding the budget over a link that is cut
// in one direction. An entry receives the messages of others, but they receive none of its
// messages. If it borrowed from their shares, they would use the same shares in full, unaware
// of that: 652 extra attempts of 400 allowed. Messages tell when their sender last received one
// of this entry, so it can leave out senders that do not learn of its attempts.
func TestAsymmetricLinkKeepsTheBudget(t *testing.T) {
	const entries, extra = 5, 400
	for _, tc := range []struct {
		name string
		// last is the time from the last message that the others received of the entry until
		// the first attempt.
		last time.Duration
	}{
		{"never", time.Hour},
		{"longer ago than the limit", minPeerTTL + time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at := time.Now()
			var windows []*SharedBudget
			for range entries {
				w := NewSharedBudget(0, extra, 100*time.Second, func() time.Time { return at })
				w.SetEntries(entries)
				windows = append(windows, w)
			}
			received, total := at.Add(-tc.last), 0
			for range 80 {
				for j, other := range windows[1:] {
					windows[0].RecordPeerReport(string(rune('b'+j)), other.Use(), received)
				}
				for windows[0].TakeExtra(0) {
					total++
				}
				at = at.Add(minPropagation + time.Millisecond)
			}
			for _, w := range windows[1:] {
				for w.TakeExtra(0) {
					total++
				}
			}
			if total > extra {
				t.Errorf("%d extra attempts of all entries, want at most %d", total, extra)
			}
			if total < extra-entries {
				t.Errorf("%d extra attempts of all entries, want the share of each entry used", total)
			}
		})
	}
}
