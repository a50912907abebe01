package routing

import (
	"testing"
	"time"
)

func TestWindowBoundsRepeats(t *testing.T) {
	at := time.Now()
	w := NewWindow(0.2, 8, 10*time.Second, func() time.Time { return at })
	w.Entries(4)
	for range 50 {
		w.Request()
	}
	allowed := 0
	for w.Repeat(0) {
		allowed++
	}
	if allowed != 12 {
		t.Errorf("%d repeats, want 0.2 x 50 + 8 / 4", allowed)
	}
	at = at.Add(5 * time.Second)
	if w.Repeat(0) {
		t.Error("a repeat beyond the budget in the same window")
	}
	at = at.Add(8 * time.Second)
	if !w.Repeat(0) {
		t.Error("no repeat although the window has passed")
	}
}

func TestWindowReserve(t *testing.T) {
	at := time.Now()
	w := NewWindow(0, 10, 10*time.Second, func() time.Time { return at })
	allowed := 0
	for w.Repeat(0.5) {
		allowed++
	}
	if allowed != 5 {
		t.Errorf("%d hedges, want half of 10", allowed)
	}
	if !w.Repeat(0) {
		t.Error("the reserve is not there for others")
	}
}

// In any span of the window's length the bound holds, wherever it starts.
func TestWindowSlides(t *testing.T) {
	at := time.Now()
	w := NewWindow(0, 10, 10*time.Second, func() time.Time { return at })
	var made []time.Time
	for range 600 {
		if w.Repeat(0) {
			made = append(made, at)
		}
		at = at.Add(100 * time.Millisecond)
	}
	for i := range made {
		n := 0
		for _, m := range made[i:] {
			if m.Sub(made[i]) < 10*time.Second {
				n++
			}
		}
		if n > 10 {
			t.Fatalf("%d repeats within 10s of the %d. one, want at most 10", n, i)
		}
	}
	if len(made) < 30 {
		t.Errorf("%d repeats in a minute, want the budget used", len(made))
	}
}

func TestWindowLends(t *testing.T) {
	tests := []struct {
		name string
		// peers is what the other three entries said, and how long ago.
		peers map[string]Use
		ago   time.Duration
		want  int
	}{
		{"alone it has its share", nil, 0, 10},
		{"others that are idle leave a part of theirs", map[string]Use{"b": {}, "c": {}, "d": {}}, 0, 10},
		{"what they use is not there", map[string]Use{"b": {Repeats: 10}, "c": {Repeats: 10}, "d": {Repeats: 10}}, 0, 4},
		{"one that took from others counts against them", map[string]Use{"b": {Repeats: 26}, "c": {}, "d": {}}, 0, 4},
		{"what was said long ago is not counted on", map[string]Use{"b": {}, "c": {}, "d": {}}, time.Second, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := time.Now()
			w := NewWindow(0, 40, 10*time.Second, func() time.Time { return at })
			w.Entries(4)
			for name, u := range tt.peers {
				w.Heard(name, u)
			}
			at = at.Add(tt.ago)
			got := 0
			for w.Repeat(0) {
				got++
			}
			if got != tt.want {
				t.Errorf("%d extra attempts, want %d", got, tt.want)
			}
		})
	}
}

// One entry that needs many, while the others need none, gets what they do not
// keep to themselves, a part at a time.
func TestOneEntryTakesWhatOthersLeave(t *testing.T) {
	at := time.Now()
	w := NewWindow(0, 40, 100*time.Second, func() time.Time { return at })
	w.Entries(4)
	got := 0
	for range 20 {
		for _, name := range []string{"b", "c", "d"} {
			w.Heard(name, Use{})
		}
		for w.Repeat(0) {
			got++
		}
		at = at.Add(toldWithin + time.Millisecond)
	}
	if want := 10 + 3*8 - 3; got != want {
		t.Errorf("%d extra attempts, want %d: its share and what three others do not keep, less what cannot be divided", got, want)
	}
}

// Entries that take all they can at the same moments, and hear of each other
// only later, keep to the budget together.
func TestEntriesTogetherKeepTheBudget(t *testing.T) {
	const entries, extra = 5, 40
	at := time.Now()
	var windows []*Window
	for range entries {
		w := NewWindow(0, extra, 10*time.Second, func() time.Time { return at })
		w.Entries(entries)
		windows = append(windows, w)
	}
	total := 0
	// The first entry never needs any; the window has not passed at the end.
	for range 12 {
		for i, w := range windows {
			for j, other := range windows {
				if i != j {
					w.Heard(string(rune('a'+j)), other.Use())
				}
			}
		}
		for _, w := range windows[1:] {
			for w.Repeat(0) {
				total++
			}
		}
		at = at.Add(toldWithin + time.Millisecond)
	}
	if total > extra {
		t.Errorf("%d extra attempts of all entries, want at most %d", total, extra)
	}
	// The idle one keeps a part of its share, and the last part of the rest is too
	// little for each to take one.
	if float64(total) < extra-keptPart*extra/entries-entries {
		t.Errorf("%d extra attempts of all entries, want the share of the idle one used too", total)
	}
}

// TestIdleEntriesHaveWhatTheyKept: entries that needed nothing while another one took all
// it could find their kept parts, and all together keep to the budget.
func TestIdleEntriesHaveWhatTheyKept(t *testing.T) {
	const entries, extra = 5, 400
	at := time.Now()
	var windows []*Window
	for range entries {
		w := NewWindow(0, extra, 100*time.Second, func() time.Time { return at })
		w.Entries(entries)
		windows = append(windows, w)
	}
	total := 0
	for range 80 {
		for j := range entries - 1 {
			windows[0].Heard(string(rune('b'+j)), windows[j+1].Use())
		}
		for windows[0].Repeat(0) {
			total++
		}
		at = at.Add(toldWithin + time.Millisecond)
	}
	for i, w := range windows[1:] {
		for j, other := range windows {
			if j != i+1 {
				w.Heard(string(rune('a'+j)), other.Use())
			}
		}
		kept := 0
		for w.Repeat(0) {
			kept++
		}
		if kept < int(keptPart*extra/entries) {
			t.Errorf("entry %d had %d attempts left, want its kept part", i+1, kept)
		}
		total += kept
	}
	if total > extra {
		t.Errorf("%d extra attempts of all entries, want at most %d", total, extra)
	}
}
