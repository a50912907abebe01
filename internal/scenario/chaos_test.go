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

// tally is what callers saw, for each promise.
type tally struct {
	mu       sync.Mutex
	counts   map[string]int
	breaches []string
	told     map[string]string
}

func (y *tally) add(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.counts[name]++
}

func (y *tally) breach(format string, args ...any) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.breaches = append(y.breaches, fmt.Sprintf(format, args...))
}

// tell keeps the strongest word on a call: done and not-run must never both be
// said, and unknown takes neither back.
func (y *tally) tell(key, outcome string) {
	if outcome != "done" && outcome != "not-run" {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	if before := y.told[key]; before != "" && before != outcome {
		y.breaches = append(y.breaches, fmt.Sprintf("call %s: %s, and before %s", key, outcome, before))
	}
	y.told[key] = outcome
}

// TestChaos runs a seeded mix of failures under load and judges every promise
// from what callers received and services counted.
func TestChaos(t *testing.T) {
	c, entries := deployed(t, 2, 2, 2, 2, "SPARSHORE_SKEW=50ms", "SPARSHORE_LEASE_TERM=2s", "SPARSHORE_RESUME_WITHIN=3s", "SPARSHORE_START_WITHIN=15s", "SPARSHORE_CALL_WITHIN=5s", "SPARSHORE_STOP_WITHIN=10s")
	y := &tally{counts: map[string]int{}, told: map[string]string{}}
	rng := rand.New(rand.NewPCG(*chaosSeed, 7))
	ctx, stop := context.WithCancel(t.Context())
	var faults sync.WaitGroup
	faults.Go(func() { c.makeTrouble(ctx, rand.New(rand.NewPCG(*chaosSeed, 8)), y) })
	var callers sync.WaitGroup
	for i := range *chaosRequests {
		seed := rng.Uint64()
		callers.Go(func() { c.caller(rand.New(rand.NewPCG(seed, uint64(i))), entries, y) })
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
	callers.Wait()
	stop()
	faults.Wait()
	c.judge(y)
	c.crashes(y)
	t.Logf("seed %d: %v", *chaosSeed, y.counts)
	for _, b := range y.breaches {
		t.Errorf("breach: %s", b)
	}
}

// judge compares what callers were told with what the services counted.
func (c *cluster) judge(y *tally) {
	// A call that is still on its way may run until its deadline.
	time.Sleep(time.Second)
	runs, err := c.runs()
	if err != nil {
		y.breach("the services cannot be asked: %v", err)
	}
	for key, n := range runs {
		y.add(fmt.Sprintf("keys with %d runs", n))
		if n > 1 {
			y.breach("call %s ran %d times", key, n)
		}
		if y.told[key] == "not-run" {
			y.breach("call %s ran after not-run was said", key)
		}
	}
	for key, outcome := range y.told {
		if outcome == "done" && runs[key] != 1 {
			y.breach("call %s is said to be done and ran %d times", key, runs[key])
		}
	}
}

// crashes looks for processes that ended by a fault of their own.
func (c *cluster) crashes(y *tally) {
	logs, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, file := range logs {
		b, err := os.ReadFile(file)
		if err != nil {
			y.breach("%v", err)
		}
		for _, mark := range []string{"panic: ", "fatal error: ", "DATA RACE"} {
			if i := strings.Index(string(b), mark); i >= 0 {
				y.breach("%s: %.2000s", filepath.Base(file), b[i:])
			}
		}
	}
}

func (c *cluster) caller(rng *rand.Rand, entries []string, y *tally) {
	if rng.IntN(2) == 0 {
		c.streamCaller(rng, entries, y)
	} else {
		c.callCaller(rng, entries, y)
	}
}

const chaosTries = 12

func (c *cluster) streamCaller(rng *rand.Rand, entries []string, y *tally) {
	y.add("streams asked")
	out := 1 + rng.IntN(150)
	a := newAnswer()
	first := rng.IntN(len(entries))
	for try := range chaosTries {
		a.ask(c.proc(entries[(first+try)%len(entries)]).http, out)
		if a.end == "whole" || a.end == "cut" || (a.end == "refused" && a.lastID == "") {
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	y.add("streams " + a.end)
	if err := a.check(); err != nil {
		y.breach("stream %s: %v", a.lastID, err)
	}
	if a.end == "whole" && len(a.tokens) != out {
		y.breach("stream %s is said to be whole with %d of %d tokens", a.lastID, len(a.tokens), out)
	}
	if a.end == "refused" && a.lastID == "" && a.retry == "" {
		y.breach("a stream was refused without Retry-After")
	}
}

// callCaller files a call, and files or asks again under the same key through
// any entry until the outcome is known.
func (c *cluster) callCaller(rng *rand.Rand, entries []string, y *tally) {
	y.add("calls asked")
	key := newDatedKey(time.Now())
	if rng.IntN(4) == 0 {
		key = ""
	}
	outcome := "broken"
	for range 1 + rng.IntN(4) {
		url := c.proc(entries[rng.IntN(len(entries))]).http
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(300+rng.IntN(8000))*time.Millisecond)
		var got *call
		if key != "" && rng.IntN(3) == 0 {
			got = settle(ctx, url, key)
		} else {
			got = file(ctx, url, key)
		}
		cancel()
		if got.err != nil {
			continue
		}
		outcome = got.outcome
		y.tell(got.id, got.outcome)
		if key == "" {
			break
		}
	}
	y.add("calls " + outcome)
}

// makeTrouble draws one failure after another, two at a time now and then, and
// mends each after a while.
func (c *cluster) makeTrouble(ctx context.Context, rng *rand.Rand, y *tally) {
	names := []string{"eng-1", "eng-2", "led-1", "led-2", "entry-1", "entry-2"}
	for ctx.Err() == nil {
		var mend []func()
		for range 1 + rng.IntN(2) {
			mend = append(mend, c.trouble(rng, names[rng.IntN(len(names))], y))
		}
		sleep(ctx, time.Duration(200+rng.IntN(1800))*time.Millisecond)
		for _, f := range mend {
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

func (c *cluster) trouble(rng *rand.Rand, name string, y *tally) func() {
	switch rng.IntN(6) {
	case 0:
		y.add("faults kill")
		_ = c.signal(name, syscall.SIGKILL)
		return func() { c.again(name, y) }
	case 1:
		y.add("faults freeze")
		_ = c.signal(name, syscall.SIGSTOP)
		return func() { _ = c.signal(name, syscall.SIGCONT) }
	case 2:
		y.add("faults cut")
		c.relays[name].Cut(true)
		return func() { c.relays[name].Cut(false) }
	case 3:
		y.add("faults reset")
		c.relays[name].Reset()
		return func() {}
	case 4:
		y.add("faults outage")
		c.control(c.stores+"/control/faults", map[string]any{"outage": true, "vm_outage": rng.IntN(2) == 0})
		return func() { c.control(c.stores+"/control/faults", map[string]any{}) }
	default:
		y.add("faults lost reply")
		service := []string{"led-1", "led-2"}[rng.IntN(2)]
		c.control(c.urls[service]+"/control/faults", map[string]any{"lose_replies": 1, "delay_ms": rng.IntN(300)})
		return func() { c.control(c.urls[service]+"/control/faults", map[string]any{}) }
	}
}

// again restarts a process that was killed; two faults at once may have hit
// the same one, and then the second has nothing to do.
func (c *cluster) again(name string, y *tally) {
	if !c.exited(name) {
		select {
		case <-c.proc(name).done:
		case <-time.After(time.Second):
			return
		}
	}
	if err := c.restart(name); err != nil {
		y.add("restart failed")
	}
}
