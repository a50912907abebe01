package scenario

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/standin"
)

const (
	// maxTaken bounds in bytes what a sidecar reads of one response without end, and maxGrowth the memory that
	// a process takes for all of them.
	maxTaken  = 2_000_000
	maxGrowth = 24_000_000
)

// watched is a process whose memory is sampled.
type watched struct {
	name string
	pid  int
	// base is the resident memory in bytes before the fault, and peak the most since then.
	base, peak int
}

// watchMemory samples the resident memory of processes until stop is called.
func (c *cluster) watchMemory(t *testing.T, names ...string) (out []*watched, stop func()) {
	t.Helper()
	for _, name := range names {
		w := &watched{name: name, pid: c.proc(name).cmd.Process.Pid}
		u, err := processUsage(w.pid)
		if err != nil {
			t.Fatal(err)
		}
		w.base, w.peak = u.rss, u.rss
		out = append(out, w)
	}
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			for _, w := range out {
				if u, err := processUsage(w.pid); err == nil {
					w.peak = max(w.peak, u.rss)
				}
			}
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	}()
	return out, func() {
		close(done)
		<-stopped
	}
}

var readLine = regexp.MustCompile(`(?m)^rchar: (\d+)$`)

// bytesRead returns how many bytes a process has read, from connections and files.
func bytesRead(t *testing.T, pid int) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	m := readLine.FindSubmatch(b)
	if err != nil || m == nil {
		t.Fatalf("bytes that process %d has read: %v", pid, err)
	}
	n, err := strconv.Atoi(string(m[1]))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// serveOthers sends streams, several at a time, until stop is closed, and checks that each is whole. It returns how
// many there were and the longest time that one took.
func (c *cluster) serveOthers(t *testing.T, url string, stop <-chan struct{}) (served int, longest time.Duration) {
	const callers, tokens = 4, 20
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := newStreamResult()
				a.sendStream(url, tokens)
				err := a.verifyTokens()
				mu.Lock()
				if a.end != "whole" || len(a.tokens) != tokens || err != nil {
					t.Errorf("another stream ended %s (status %d, %s) with %d tokens, %v", a.end, a.status, a.cutError, len(a.tokens), err)
				}
				served, longest = served+1, max(longest, a.took)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return served, longest
}

// Guards against an engine that fills the memory of its sidecar and of the entry by sending without end, or takes
// others with it. Without bounds, such an engine took between 56 and 432 MB.
func TestEndlessResponses(t *testing.T) {
	c, url := deployWithEngine(t, standin.EngineSettings{Model: defaultEngineModel(), Speed: 20, LoadLag: 200 * time.Millisecond, Seed: 1})
	entry := c.proc("entry-1").baseURL
	calm := make(chan struct{})
	time.AfterFunc(2*time.Second, func() { close(calm) })
	served, longest := c.serveOthers(t, entry, calm)
	t.Logf("without the fault: %d streams, the longest took %v", served, longest)
	for _, tc := range []struct {
		name, part string
		// rounds is how often atOnce such responses are requested at the same time.
		atOnce, rounds int
	}{
		{"head", "head", 1, 1},
		{"event", "event", 1, 1},
		{"heads", "head", 8, 20},
		{"events", "event", 8, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c.control(url+"/control/faults", map[string]string{"endless": tc.part})
			before, err := c.engineCounts("eng-1")
			if err != nil {
				t.Fatal(err)
			}
			processes, stop := c.watchMemory(t, "entry-1", "eng-1")
			sidecar := processes[1]
			read := bytesRead(t, sidecar.pid)
			stopOthers := make(chan struct{})
			var others sync.WaitGroup
			others.Go(func() { served, longest = c.serveOthers(t, entry, stopOthers) })
			for range tc.rounds {
				var wg sync.WaitGroup
				for range tc.atOnce {
					wg.Go(func() {
						a := newStreamResult()
						a.prompt = " endless"
						if a.sendStream(entry, 20); a.end == "whole" || a.took > waitTimeout {
							t.Errorf("a response without end ended %s after %v", a.end, a.took)
						}
					})
				}
				wg.Wait()
			}
			close(stopOthers)
			others.Wait()
			counts := c.awaitEndlessClosed(t)
			read = bytesRead(t, sidecar.pid) - read
			stop()
			n := counts["endless"] - before["endless"]
			t.Logf("%d responses without end, %d bytes of them sent; sidecar read %d bytes; %d other streams, the longest took %v",
				n, counts["endless_bytes"]-before["endless_bytes"], read, served, longest)
			if n < tc.atOnce {
				t.Errorf("%d responses without end, want at least %d", n, tc.atOnce)
			}
			if most := n*maxTaken + served*maxOtherBytes; read > most {
				t.Errorf("the sidecar read %d bytes, want at most %d", read, most)
			}
			for _, w := range processes {
				t.Logf("%s: resident memory %.1f MB before, %.1f MB at most", w.name, float64(w.base)/1e6, float64(w.peak)/1e6)
				if w.peak-w.base > maxGrowth {
					t.Errorf("the memory of %s grew by %d bytes, want at most %d", w.name, w.peak-w.base, maxGrowth)
				}
			}
		})
	}
}

// maxOtherBytes bounds in bytes what a sidecar reads for a stream of 20 tokens.
const maxOtherBytes = 20_000

// awaitEndlessClosed waits until all connections with a response without end are closed, and returns the counters
// of the engine.
func (c *cluster) awaitEndlessClosed(t *testing.T) (counts map[string]int) {
	t.Helper()
	err := waitFor(func() (err error) {
		if counts, err = c.engineCounts("eng-1"); err == nil && counts["endless_closed"] < counts["endless"] {
			err = fmt.Errorf("%d of %d connections are closed", counts["endless_closed"], counts["endless"])
		}
		return err
	})
	if err != nil {
		t.Error(err)
	}
	return counts
}
