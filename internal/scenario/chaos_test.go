package scenario

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	chaosSeed     = flag.Uint64("chaos.seed", 1, "seed of the random mix of failures")
	chaosRequests = flag.Int("chaos.requests", 60, "requests of the random mix")
)

// chaosResult collects what callers observed: counters, breaches of a guarantee and
// the final outcome reported for each call.
type chaosResult struct {
	mu       sync.Mutex
	counts   map[string]int
	breaches []string
	outcomes map[string]string
}

func (result *chaosResult) add(name string) {
	result.mu.Lock()
	defer result.mu.Unlock()
	result.counts[name]++
}

func (result *chaosResult) addBreach(format string, args ...any) {
	result.mu.Lock()
	defer result.mu.Unlock()
	result.breaches = append(result.breaches, fmt.Sprintf(format, args...))
}

// recordOutcome records the outcome that a caller received for a call. It adds a
// breach if a call is reported both as done and as not-run. The outcome unknown
// doesn't overwrite either of them.
func (result *chaosResult) recordOutcome(key, outcome string) {
	if outcome != "done" && outcome != "not-run" {
		return
	}
	result.mu.Lock()
	defer result.mu.Unlock()
	if before := result.outcomes[key]; before != "" && before != outcome {
		result.breaches = append(result.breaches, fmt.Sprintf("call %s: reported %s, earlier %s", key, outcome, before))
	}
	result.outcomes[key] = outcome
}

// TestChaos injects a seeded random mix of failures under load. It checks each
// guarantee against what callers received and what the services counted.
func TestChaos(t *testing.T) {
	c, entries := deployCluster(t, 2, 2, 2, 2, "SPARSHORE_SKEW=50ms", "SPARSHORE_LEASE_TERM=2s", "SPARSHORE_RESUME_WITHIN=3s", "SPARSHORE_START_WITHIN=15s", "SPARSHORE_CALL_WITHIN=5s", "SPARSHORE_STOP_WITHIN=10s")
	result := &chaosResult{counts: map[string]int{}, outcomes: map[string]string{}}
	rng := rand.New(rand.NewPCG(*chaosSeed, 7))
	ctx, stop := context.WithCancel(t.Context())
	var faults sync.WaitGroup
	faults.Go(func() { c.injectFaults(ctx, rand.New(rand.NewPCG(*chaosSeed, 8)), result) })
	var callers sync.WaitGroup
	for i := range *chaosRequests {
		seed := rng.Uint64()
		callers.Go(func() { c.runCaller(rand.New(rand.NewPCG(seed, uint64(i))), entries, result) })
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
	callers.Wait()
	stop()
	faults.Wait()
	c.checkCalls(result)
	c.checkLogs(result)
	t.Logf("seed %d: %v", *chaosSeed, result.counts)
	for _, b := range result.breaches {
		t.Errorf("breach: %s", b)
	}
}

// checkCalls compares the outcomes that callers received with the services' own
// counters.
func (c *cluster) checkCalls(result *chaosResult) {
	// A call in flight may still run until its deadline.
	time.Sleep(time.Second)
	runs, err := c.runCounts()
	if err != nil {
		result.addBreach("read the services' counters: %v", err)
	}
	for key, n := range runs {
		result.add(fmt.Sprintf("keys with %d runs", n))
		if n > 1 {
			result.addBreach("call %s ran %d times", key, n)
		}
		if result.outcomes[key] == "not-run" {
			result.addBreach("call %s ran, but was reported as not-run", key)
		}
	}
	for key, outcome := range result.outcomes {
		if outcome == "done" && runs[key] != 1 {
			result.addBreach("call %s was reported as done, but ran %d times", key, runs[key])
		}
	}
}

// checkLogs searches the logs of the processes for panics, fatal errors and data
// races.
func (c *cluster) checkLogs(result *chaosResult) {
	logs, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, file := range logs {
		b, err := os.ReadFile(file)
		if err != nil {
			result.addBreach("%v", err)
		}
		for _, mark := range []string{"panic: ", "fatal error: ", "DATA RACE"} {
			if i := strings.Index(string(b), mark); i >= 0 {
				result.addBreach("%s: %.2000s", filepath.Base(file), b[i:])
			}
		}
	}
}

func (c *cluster) runCaller(rng *rand.Rand, entries []string, result *chaosResult) {
	if rng.IntN(2) == 0 {
		c.runStreamCaller(rng, entries, result)
	} else {
		c.runCallCaller(rng, entries, result)
	}
}

const maxStreamAttempts = 12

func (c *cluster) runStreamCaller(rng *rand.Rand, entries []string, result *chaosResult) {
	result.add("streams sent")
	out := 1 + rng.IntN(150)
	a := newStreamResult()
	first := rng.IntN(len(entries))
	for attempt := range maxStreamAttempts {
		a.sendStream(c.proc(entries[(first+attempt)%len(entries)]).baseURL, out)
		if a.end == "whole" || a.end == "cut" || (a.end == "refused" && a.lastID == "") {
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	result.add("streams " + a.end)
	if err := a.verifyTokens(); err != nil {
		result.addBreach("stream %s: %v", a.lastID, err)
	}
	if a.end == "whole" && len(a.tokens) != out {
		result.addBreach("stream %s was reported as whole with %d of %d tokens", a.lastID, len(a.tokens), out)
	}
	if a.end == "refused" && a.lastID == "" && a.retry == "" {
		result.addBreach("a stream was refused without Retry-After")
	}
}

// runCallCaller sends a call through random entries and repeats it, or queries its
// outcome, under the same key for a random number of rounds. A call without a key
// ends with the first response.
func (c *cluster) runCallCaller(rng *rand.Rand, entries []string, result *chaosResult) {
	result.add("calls sent")
	key := newUUIDv7(time.Now())
	if rng.IntN(4) == 0 {
		key = ""
	}
	outcome := "broken"
	for range 1 + rng.IntN(4) {
		url := c.proc(entries[rng.IntN(len(entries))]).baseURL
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(300+rng.IntN(8000))*time.Millisecond)
		var got *call
		if key != "" && rng.IntN(3) == 0 {
			got = queryCall(ctx, url, key)
		} else {
			got = sendCall(ctx, url, key)
		}
		cancel()
		if got.err != nil {
			continue
		}
		outcome = got.outcome
		result.recordOutcome(got.id, got.outcome)
		if key == "" {
			break
		}
	}
	result.add("calls " + outcome)
}

// injectFaults injects one or two random failures at a time and reverts them after a
// random time, until the context ends.
func (c *cluster) injectFaults(ctx context.Context, rng *rand.Rand, result *chaosResult) {
	names := []string{"eng-1", "eng-2", "led-1", "led-2", "entry-1", "entry-2"}
	for ctx.Err() == nil {
		var undo []func()
		for range 1 + rng.IntN(2) {
			undo = append(undo, c.injectFault(rng, names[rng.IntN(len(names))], result))
		}
		sleep(ctx, time.Duration(200+rng.IntN(1800))*time.Millisecond)
		for _, f := range undo {
			f()
		}
		sleep(ctx, time.Duration(rng.IntN(500))*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *cluster) injectFault(rng *rand.Rand, name string, result *chaosResult) func() {
	switch rng.IntN(6) {
	case 0:
		result.add("faults kill")
		_ = c.signal(name, syscall.SIGKILL)
		return func() { c.restartKilled(name, result) }
	case 1:
		result.add("faults freeze")
		_ = c.signal(name, syscall.SIGSTOP)
		return func() { _ = c.signal(name, syscall.SIGCONT) }
	case 2:
		result.add("faults cut")
		c.proxies[name].Cut(true)
		return func() { c.proxies[name].Cut(false) }
	case 3:
		result.add("faults reset")
		c.proxies[name].Reset()
		return func() {}
	case 4:
		result.add("faults outage")
		c.control(c.storesURL+"/control/faults", map[string]any{"outage": true, "vm_outage": rng.IntN(2) == 0})
		return func() { c.control(c.storesURL+"/control/faults", map[string]any{}) }
	default:
		result.add("faults lost reply")
		service := []string{"led-1", "led-2"}[rng.IntN(2)]
		c.control(c.upstreamURLs[service]+"/control/faults", map[string]any{"lose_replies": 1, "delay_ms": rng.IntN(300)})
		return func() { c.control(c.upstreamURLs[service]+"/control/faults", map[string]any{}) }
	}
}

// restartKilled restarts a killed process. If both concurrent faults killed the same
// process, the first call has already restarted it and the second does nothing.
func (c *cluster) restartKilled(name string, result *chaosResult) {
	if !c.exited(name) {
		select {
		case <-c.proc(name).done:
		case <-time.After(time.Second):
			return
		}
	}
	if err := c.restart(name); err != nil {
		result.add("restart failed")
	}
}
