package membudget

import (
	"testing"
	"time"
)

const (
	kib = 1 << 10
	// testLimit leaves 1 MiB for small holders and 3 MiB for all.
	testLimit = 4 << 20
	// testUnread is the time without a read after which holders are evicted in these tests.
	testUnread = time.Second
)

var testStart = time.Unix(1000, 0)

// Guards against a limit that is exceeded, and against memory that is lost from the count.
func TestReserve(t *testing.T) {
	tests := []struct {
		name     string
		reserve  []int64
		want     []bool
		wantUsed int64
	}{
		{"fits", []int64{10, 20}, []bool{true, true}, 30},
		{"exactly", []int64{testLimit}, []bool{true}, testLimit},
		{"one byte too many", []int64{testLimit, 1}, []bool{true, false}, testLimit},
		{"smaller after a refusal", []int64{testLimit - 5, 6, 5}, []bool{true, false, true}, testLimit},
		{"close to overflow", []int64{10, 1<<63 - 1}, []bool{true, false}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New(testLimit)
			var taken int64
			for i, n := range tt.reserve {
				if got := b.Reserve(n); got != tt.want[i] {
					t.Errorf("Reserve(%d) = %t, want %t", n, got, tt.want[i])
				} else if got {
					taken += n
				}
			}
			if b.Used() != tt.wantUsed || b.Limit() != testLimit {
				t.Errorf("%d of %d used, want %d of %d", b.Used(), b.Limit(), tt.wantUsed, int64(testLimit))
			}
			b.Release(taken)
			if b.Used() != 0 {
				t.Errorf("%d used after all was released", b.Used())
			}
		})
	}
}

// Guards against large holders that leave nothing to small ones.
func TestPartForSmallHolders(t *testing.T) {
	b := New(testLimit)
	large := b.NewHolder(func() {})
	if !large.Grow(3 << 20) {
		t.Fatal("a large holder gets less than three quarters")
	}
	if large.Grow(1) || b.NewHolder(func() {}).Grow(SmallHolder+1) {
		t.Error("large holders get the part of small ones")
	}
	n := 0
	for b.NewHolder(func() {}).Grow(SmallHolder) {
		n++
	}
	if want := (1 << 20) / SmallHolder; n != want {
		t.Errorf("%d small holders fit, want %d", n, want)
	}
}

// Guards against memory that is returned twice, or not at all, when a holder ends.
func TestHolderLifetime(t *testing.T) {
	tests := []struct {
		name string
		do   func(h *Holder)
		want int64
	}{
		{"grown", func(*Holder) {}, 10 * kib},
		{"shrunk", func(h *Holder) { h.Shrink(4 * kib) }, 6 * kib},
		{"shrunk by more than it has", func(h *Holder) { h.Shrink(11 * kib) }, 0},
		{"closed", func(h *Holder) { h.Close() }, 0},
		{"closed twice", func(h *Holder) { h.Close(); h.Close() }, 0},
		{"shrunk after its end", func(h *Holder) { h.Close(); h.Shrink(kib) }, 0},
		{"grown after its end", func(h *Holder) { h.Close(); h.Grow(kib) }, 0},
		{"awaited after its end", func(h *Holder) { h.Close(); h.Await(testStart); h.Grow(kib) }, 0},
		{"evicted and closed", func(h *Holder) {
			h.Await(testStart)
			h.budget.EvictUnread(testStart.Add(testUnread), testUnread)
			h.Grow(kib)
			h.Close()
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New(testLimit)
			h := b.NewHolder(func() {})
			if !h.Grow(10 * kib) {
				t.Fatal("10 KiB do not fit")
			}
			tt.do(h)
			if b.Used() != tt.want {
				t.Errorf("%d bytes used, want %d", b.Used(), tt.want)
			}
			h.Close()
			if len(b.holders) != 0 {
				t.Error("a closed holder is kept")
			}
		})
	}
}

// testHolder describes a holder in TestEviction.
type testHolder struct {
	size int64
	// unread is how long its receiver has not read; negative if no receiver is awaited.
	unread time.Duration
}

// Guards against the eviction of a holder whose receiver reads, or that has no receiver, and against
// evictions that are not needed or do not help.
func TestEviction(t *testing.T) {
	const notAwaited = -1
	tests := []struct {
		name    string
		holders []testHolder
		grow    int64
		wantOK  bool
		// wantEvicted lists the indexes of the holders that are evicted.
		wantEvicted []int
	}{
		{"enough left", []testHolder{{kib, time.Hour}}, kib, true, nil},
		{"the largest first", []testHolder{{900 * kib, testUnread}, {1000 * kib, testUnread}, {800 * kib, time.Hour}}, 1000 * kib, true, []int{1}},
		{"several", []testHolder{{900 * kib, testUnread}, {1000 * kib, testUnread}, {800 * kib, time.Hour}}, 2000 * kib, true, []int{0, 1}},
		{"only one that has not read for long enough", []testHolder{{2000 * kib, testUnread - 1}, {500 * kib, testUnread}}, 1000 * kib, true, []int{1}},
		{"all read", []testHolder{{2000 * kib, 0}, {1000 * kib, testUnread - 1}}, 100 * kib, false, nil},
		{"none has a receiver", []testHolder{{2000 * kib, notAwaited}, {1000 * kib, notAwaited}}, 100 * kib, false, nil},
		{"too large for the whole", []testHolder{{100 * kib, testUnread}}, 5 << 20, false, nil},
		{"too large for what could be freed", []testHolder{{100 * kib, testUnread}, {2500 * kib, 0}}, 1000 * kib, false, nil},
		{"a small one", []testHolder{{3 << 20, time.Hour}}, 60 * kib, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, now := New(testLimit), testStart.Add(time.Minute)
			evicted := map[int]bool{}
			for i, d := range tt.holders {
				h := b.NewHolder(func() { evicted[i] = true })
				if !h.Grow(d.size) {
					t.Fatalf("holder %d does not fit", i)
				}
				if d.unread >= 0 {
					h.Await(testStart)
					h.NoteRead(now.Add(-d.unread))
				}
			}
			ok, n := b.NewHolder(func() {}).GrowOrEvict(tt.grow, now, testUnread)
			if ok != tt.wantOK || n != len(tt.wantEvicted) || len(evicted) != n {
				t.Errorf("grown %t, %d evictions of %v; want %t, %v", ok, n, evicted, tt.wantOK, tt.wantEvicted)
			}
			for _, i := range tt.wantEvicted {
				if !evicted[i] {
					t.Errorf("holder %d was not evicted", i)
				}
			}
		})
	}
}

// Guards against a holder that evicts itself, or that is evicted once its receiver has everything.
func TestNoEvictionOf(t *testing.T) {
	tests := []struct {
		name string
		do   func(h *Holder)
	}{
		{"itself", func(h *Holder) { h.GrowOrEvict(testLimit, testStart.Add(time.Hour), testUnread) }},
		{"one that was read", func(h *Holder) { h.EndAwait(); h.budget.EvictUnread(testStart.Add(time.Hour), testUnread) }},
		{"one that ended", func(h *Holder) { h.Close(); h.budget.EvictUnread(testStart.Add(time.Hour), testUnread) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := New(testLimit).NewHolder(func() { t.Error("evicted") })
			h.Grow(2 << 20)
			h.Await(testStart)
			tt.do(h)
		})
	}
}

// Guards against a receiver that never reads and whose connection is kept for ever, also if no memory
// is held for it.
func TestEvictUnread(t *testing.T) {
	b, evicted := New(testLimit), 0
	for _, d := range []testHolder{{kib, time.Minute}, {0, time.Minute}, {kib, time.Minute - 1}, {kib, -1}} {
		h := b.NewHolder(func() { evicted++ })
		h.Grow(d.size)
		if d.unread >= 0 {
			h.Await(testStart.Add(-d.unread))
		}
	}
	if n := b.EvictUnread(testStart, time.Minute); n != 2 || evicted != 2 || b.Used() != 2*kib {
		t.Errorf("%d evictions, %d calls, %d bytes used; want 2, 2 and 2048", n, evicted, b.Used())
	}
}

// Guards against a log event for each refusal of an exhausted budget.
func TestUpdate(t *testing.T) {
	b := New(100)
	steps := []struct {
		name                   string
		do                     func()
		wantExhausted, changed bool
	}{
		{"unused", func() {}, false, false},
		{"all used", func() { b.Reserve(100) }, false, false},
		{"refused", func() { b.Reserve(1) }, true, true},
		{"refused again", func() { b.Reserve(1) }, true, false},
		{"half is free", func() { b.Release(50) }, true, false},
		{"more is free, and one refused", func() { b.Release(1); b.Reserve(100) }, true, false},
		{"more is free", func() {}, false, true},
		{"still", func() {}, false, false},
	}
	for _, s := range steps {
		s.do()
		if exhausted, changed := b.Update(); exhausted != s.wantExhausted || changed != s.changed {
			t.Errorf("%s: exhausted %t, changed %t; want %t, %t", s.name, exhausted, changed, s.wantExhausted, s.changed)
		}
	}
}

// Guards against a request without a budget that is limited or ends the process.
func TestNilHolder(t *testing.T) {
	var h *Holder
	h.Await(testStart)
	h.NoteRead(testStart)
	h.EndAwait()
	h.Shrink(1)
	h.Close()
	if ok, n := h.GrowOrEvict(1<<62, testStart, 0); !ok || n != 0 || !h.Grow(1<<62) || h.Evicted() {
		t.Error("a holder without a budget is limited")
	}
}
