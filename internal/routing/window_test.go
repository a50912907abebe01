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
