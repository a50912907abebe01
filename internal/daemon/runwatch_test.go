package daemon

import (
	"testing"
	"time"
)

func TestRunWatch(t *testing.T) {
	for _, tc := range []struct {
		name string
		// looks are the times of the looks after the start, asked that of the question.
		looks []time.Duration
		asked time.Duration
		want  time.Duration
	}{
		{"it runs", []time.Duration{100 * time.Millisecond, 200 * time.Millisecond}, 250 * time.Millisecond, 250 * time.Millisecond},
		{"a look is a little late", []time.Duration{190 * time.Millisecond}, 200 * time.Millisecond, 200 * time.Millisecond},
		{"it did not run, and has not looked yet", []time.Duration{100 * time.Millisecond}, time.Second, 100 * time.Millisecond},
		{"it did not run, and has looked", []time.Duration{100 * time.Millisecond, time.Second}, 1010 * time.Millisecond, 100 * time.Millisecond},
		{"that was long ago", []time.Duration{100 * time.Millisecond, time.Second, 1100 * time.Millisecond, 1200 * time.Millisecond, 1300 * time.Millisecond}, 1310 * time.Millisecond, 1310 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			at := start
			w := newRunWatch(func() time.Time { return at })
			for _, look := range tc.looks {
				at = start.Add(look)
				w.look()
			}
			at = start.Add(tc.asked)
			if got := w.earliest().Sub(start); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}

// watched returns a watch of this process, for as long as the test lasts.
func watched(t *testing.T) *runWatch {
	t.Helper()
	w := newRunWatch(time.Now)
	go func() {
		each := time.NewTicker(watchEach / 4)
		defer each.Stop()
		for {
			select {
			case <-t.Context().Done():
				return
			case <-each.C:
				w.look()
			}
		}
	}()
	return w
}
