package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// limitWindow is the window in which requests at an upstream count.
	limitWindow = 2 * time.Second
	// limitTold is the time from its first word on in which an entry has to heed a limit.
	limitTold = 500 * time.Millisecond
)

// limitedUpstream is an upstream in need.
type limitedUpstream struct {
	mu      sync.Mutex
	rate    float64
	arrived []time.Time
}

func (l *limitedUpstream) serve(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.arrived = append(l.arrived, time.Now())
	rate := l.rate
	l.mu.Unlock()
	if rate > 0 {
		w.Header().Set(testLimit, fmt.Sprint(rate))
	}
	time.Sleep(5 * time.Millisecond)
	serveOK(w, r)
}

// most is the largest number of requests that came in a window later than a time.
func (l *limitedUpstream) most(after time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, from := 0, 0
	for i, at := range l.arrived {
		if at.Before(after) {
			from = i + 1
			continue
		}
		for at.Sub(l.arrived[from]) > limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// allowed is what an upstream of a limit may get in a window: half as much again, for requests
// that come together, and five.
func allowed(rate float64) int { return int(1.5*rate*limitWindow.Seconds()) + 5 }

// askEach sends a request each some milliseconds for a while and returns the answers by status.
func (f *fixture) askEach(path string, pause, lasts time.Duration) map[int]int {
	var (
		mu     sync.Mutex
		calls  sync.WaitGroup
		counts = map[int]int{}
	)
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(pause) {
		calls.Go(func() {
			got := f.ask(path)
			mu.Lock()
			defer mu.Unlock()
			counts[got.status]++
		})
	}
	calls.Wait()
	return counts
}

// An upstream in need named 2 requests a second, which it takes from all entries together, and
// went on getting as many as before: nothing read what it named.
func TestUpstreamGetsWhatItTakes(t *testing.T) {
	f := newFixture(t)
	limited := &limitedUpstream{rate: 2}
	f.add("app", "limited", limited.serve)
	f.add("app", "b", serveOK)
	f.add("app", "c", serveOK)
	begun := time.Now()
	counts := f.askEach(pathSafe, 15*time.Millisecond, 3*time.Second)
	if got := limited.most(begun.Add(limitTold)); got > allowed(limited.rate) {
		t.Errorf("it got %d requests in %s, and takes %v a second: want at most %d", got, limitWindow, limited.rate, allowed(limited.rate))
	}
	for status, n := range counts {
		if status != http.StatusOK {
			t.Errorf("%d requests were answered %d, and two other upstreams serve", n, status)
		}
	}
}
