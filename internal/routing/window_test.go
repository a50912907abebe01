package routing

import (
	"testing"
	"time"
)

// TestSharedBudgetBoundsExtraAttempts checks the bound of a single entry, and that attempts are allowed again
// once the window has passed.
func TestSharedBudgetBoundsExtraAttempts(t *testing.T) {
	at := time.Now()
	w := NewSharedBudget(0.2, 8, 10*time.Second, func() time.Time { return at })
	w.SetEntries(4)
	for range 50 {
		w.Request()
	}
	allowed := 0
	for w.TakeExtra(0) {
		allowed++
	}
	if allowed != 12 {
		t.Errorf("%d repeats, want 0.2 x 50 + 8 / 4", allowed)
	}
	at = at.Add(5 * time.Second)
	if w.TakeExtra(0) {
		t.Error("a repeat beyond the budget in the same window")
	}
	at = at.Add(8 * time.Second)
	if !w.TakeExtra(0) {
		t.Error("no repeat although the window has passed")
	}
}

// TestSharedBudgetReserve checks that hedges leave their reserve of the budget to retries.
func TestSharedBudgetReserve(t *testing.T) {
	at := time.Now()
	w := NewSharedBudget(0, 10, 10*time.Second, func() time.Time { return at })
	allowed := 0
	for w.TakeExtra(0.5) {
		allowed++
	}
	if allowed != 5 {
		t.Errorf("%d hedges, want half of 10", allowed)
	}
	if !w.TakeExtra(0) {
		t.Error("the reserve is not there for others")
	}
}

// TestSharedBudgetSlides checks that the bound holds in any span of the window's length, wherever it
// starts. A window that is cleared as a whole allows twice the budget around that moment.
func TestSharedBudgetSlides(t *testing.T) {
	at := time.Now()
	w := NewSharedBudget(0, 10, 10*time.Second, func() time.Time { return at })
	var times []time.Time
	for range 600 {
		if w.TakeExtra(0) {
			times = append(times, at)
		}
		at = at.Add(100 * time.Millisecond)
	}
	for i := range times {
		n := 0
		for _, m := range times[i:] {
			if m.Sub(times[i]) < 10*time.Second {
				n++
			}
		}
		if n > 10 {
			t.Fatalf("%d repeats within 10s of number %d, want at most 10", n, i)
		}
	}
	if len(times) < 30 {
		t.Errorf("%d repeats in a minute, want the budget used", len(times))
	}
}

// TestSharedBudgetBorrowsFromPeers checks what an entry may borrow, depending on the counts that the
// others reported.
func TestSharedBudgetBorrowsFromPeers(t *testing.T) {
	tests := []struct {
		name string
		// peers holds the counts that the other three entries reported, and ago the age of
		// these reports.
		peers map[string]Use
		ago   time.Duration
		want  int
	}{
		{"no reports: own share only", nil, 0, 10},
		{"idle peers lend a part of their shares", map[string]Use{"b": {}, "c": {}, "d": {}}, 0, 10},
		{"used shares are not lent", map[string]Use{"b": {Extra: 10}, "c": {Extra: 10}, "d": {Extra: 10}}, 0, 4},
		{"attempts borrowed by a peer are subtracted", map[string]Use{"b": {Extra: 26}, "c": {}, "d": {}}, 0, 4},
		{"old reports are ignored", map[string]Use{"b": {}, "c": {}, "d": {}}, time.Second, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := time.Now()
			w := NewSharedBudget(0, 40, 10*time.Second, func() time.Time { return at })
			w.SetEntries(4)
			for name, u := range tt.peers {
				w.RecordPeer(name, u)
			}
			at = at.Add(tt.ago)
			got := 0
			for w.TakeExtra(0) {
				got++
			}
			if got != tt.want {
				t.Errorf("%d extra attempts, want %d", got, tt.want)
			}
		})
	}
}

// TestOneEntryBorrowsWhatOthersLend checks that an entry that needs many attempts, while the
// others need none, gets all that they lend, a part at a time.
func TestOneEntryBorrowsWhatOthersLend(t *testing.T) {
	at := time.Now()
	w := NewSharedBudget(0, 40, 100*time.Second, func() time.Time { return at })
	w.SetEntries(4)
	got := 0
	for range 20 {
		for _, name := range []string{"b", "c", "d"} {
			w.RecordPeer(name, Use{})
		}
		for w.TakeExtra(0) {
			got++
		}
		at = at.Add(minPropagation + time.Millisecond)
	}
	if want := 10 + 3*8 - 3; got != want {
		t.Errorf("%d extra attempts, want %d: its share and what three others lend, less what cannot be divided", got, want)
	}
}

// TestConcurrentEntriesKeepTheBudget guards against exceeding the budget when entries borrow
// all they can at the same moments and learn of each other's attempts only later.
func TestConcurrentEntriesKeepTheBudget(t *testing.T) {
	const entries, extra = 5, 40
	at := time.Now()
	var windows []*SharedBudget
	for range entries {
		w := NewSharedBudget(0, extra, 10*time.Second, func() time.Time { return at })
		w.SetEntries(entries)
		windows = append(windows, w)
	}
	total := 0
	// The first entry makes no extra attempt. The window does not pass during the test.
	for range 12 {
		for i, w := range windows {
			for j, other := range windows {
				if i != j {
					w.RecordPeer(string(rune('a'+j)), other.Use())
				}
			}
		}
		for _, w := range windows[1:] {
			for w.TakeExtra(0) {
				total++
			}
		}
		at = at.Add(minPropagation + time.Millisecond)
	}
	if total > extra {
		t.Errorf("%d extra attempts of all entries, want at most %d", total, extra)
	}
	// The idle entry keeps its private fraction, and the last of what it lends is too little
	// for each of the others to borrow one attempt.
	if float64(total) < extra-privateFraction*extra/entries-entries {
		t.Errorf("%d extra attempts of all entries, want the share of the idle entry used too", total)
	}
}

// TestIdleEntriesKeepTheirPrivateFraction checks that entries that made no extra attempts while
// another one borrowed all it could still have their private fractions, and that all together
// keep to the budget.
func TestIdleEntriesKeepTheirPrivateFraction(t *testing.T) {
	const entries, extra = 5, 400
	at := time.Now()
	var windows []*SharedBudget
	for range entries {
		w := NewSharedBudget(0, extra, 100*time.Second, func() time.Time { return at })
		w.SetEntries(entries)
		windows = append(windows, w)
	}
	total := 0
	for range 80 {
		for j := range entries - 1 {
			windows[0].RecordPeer(string(rune('b'+j)), windows[j+1].Use())
		}
		for windows[0].TakeExtra(0) {
			total++
		}
		at = at.Add(minPropagation + time.Millisecond)
	}
	for i, w := range windows[1:] {
		for j, other := range windows {
			if j != i+1 {
				w.RecordPeer(string(rune('a'+j)), other.Use())
			}
		}
		private := 0
		for w.TakeExtra(0) {
			private++
		}
		if private < int(privateFraction*extra/entries) {
			t.Errorf("entry %d had %d attempts left, want its private fraction", i+1, private)
		}
		total += private
	}
	if total > extra {
		t.Errorf("%d extra attempts of all entries, want at most %d", total, extra)
	}
}
