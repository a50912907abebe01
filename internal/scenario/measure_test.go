package scenario

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/enginemodel"
	"github.com/sparshore/sparshore/internal/loadgen"
	"github.com/sparshore/sparshore/internal/standin"
)

// measureFlag enables the measurements, which run only on request, for example by make
// measure. They print figures and fail only on incorrect results.
var measureFlag = flag.Bool("measure", false, "run the measurements")

func requireMeasureFlag(t *testing.T) {
	t.Helper()
	if !*measureFlag {
		t.Skip("measurements are disabled; enable them with -args -measure")
	}
}

func quantile(v []time.Duration, q float64) time.Duration {
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// TestMeasureRollout submits 100 changes to a deployment of the current size,
// with ten engines, four services and three entries. It measures the time until each
// change is active everywhere.
func TestMeasureRollout(t *testing.T) {
	requireMeasureFlag(t)
	c, entries := deployCluster(t, 3, 10, 4, 1, "SPARSHORE_VMS_EVERY=1s", "SPARSHORE_CONFIG_EVERY=5s")
	var took []time.Duration
	for n := range 100 {
		file := filepath.Join(c.dir, "change.yaml")
		if err := os.WriteFile(file, []byte(c.configText()+fmt.Sprintf("# change %d\n", n)), 0o644); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		out, err := c.ctl(entries[n%len(entries)], "config", "apply", "--base", strconv.Itoa(n+1), file).CombinedOutput()
		took = append(took, time.Since(began))
		if err != nil {
			t.Fatalf("change %d: %v: %s", n, err, out)
		}
	}
	t.Logf("100 changes, 17 processes, time until active everywhere: p50 %v p99 %v max %v", quantile(took, 0.5), quantile(took, 0.99), quantile(took, 1))
}

// TestMeasureRejoin cuts the link to one process, marks its VM as gone and applies a
// change without it. It measures the time from healing the link until the process has
// the new version and is usable.
func TestMeasureRejoin(t *testing.T) {
	requireMeasureFlag(t)
	c, entries := deployCluster(t, 1, 2, 0, 1)
	var took []time.Duration
	for n := range 10 {
		c.proxies["eng-2"].Cut(true)
		c.listVM("eng-2", "b", "gone")
		if err := c.apply(entries[0], int64(n+1), c.configText()+fmt.Sprintf("# change %d\n", n)); err != nil {
			t.Fatal(err)
		}
		c.proxies["eng-2"].Cut(false)
		began := time.Now()
		c.listVM("eng-2", "b", "live")
		if err := c.waitReady(entries...); err != nil {
			t.Fatal(err)
		}
		took = append(took, time.Since(began))
	}
	t.Logf("10 rejoins, time from healing the link until up at the active version: p50 %v max %v", quantile(took, 0.5), quantile(took, 1))
}

// usage is the CPU time that a process has used and its resident memory in bytes.
type usage struct {
	cpu time.Duration
	rss int
}

const clockTick = 10 * time.Millisecond

func processUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	return usage{cpu: time.Duration(user+system) * clockTick, rss: pages * os.Getpagesize()}, nil
}

// TestMeasurePath compares the latency of requests sent directly to an engine with
// requests through entry and sidecar, in the same run.
func TestMeasurePath(t *testing.T) {
	requireMeasureFlag(t)
	for _, streams := range []int{1, 32, 256} {
		t.Run(fmt.Sprint(streams), func(t *testing.T) { measurePath(t, streams) })
	}
}

func fastEngine() standin.EngineSettings {
	s := enginemodel.DefaultSettings()
	s.Blocks, s.MaxBatch, s.StepBase, s.StepPerStream, s.StepPerPrefill = 1_000_000, 1024, 20*time.Millisecond, 0, 0
	return standin.EngineSettings{Model: s, Speed: 1, LoadLag: 100 * time.Millisecond, Seed: 1}
}

func measurePath(t *testing.T, streams int) {
	t.Helper()
	c, url := deployWithEngine(t, fastEngine(), "SPARSHORE_TOKEN_GAP=0s", "SPARSHORE_BLOCKS=1000000", "SPARSHORE_MAX_BATCH=1024")
	entry, side := c.proc("entry-1").cmd.Process.Pid, c.proc("eng-1").cmd.Process.Pid
	o := loadgen.Options{Key: apiKey, Model: modelName, Requests: streams, Rate: float64(streams) * 2, Prompt: 64, Output: 300, MaxOutput: 300, Timeout: time.Minute}
	run := func(address string) loadgen.Report {
		o.URLs = []string{address}
		o.Direct = address == url
		r, err := loadgen.Run(context.Background(), o)
		if err != nil || r.Whole != streams || r.Breaches > 0 {
			t.Fatalf("%d streams at %s: %+v, %v", streams, address, r, err)
		}
		return r
	}
	run(c.proc("entry-1").baseURL) // warm-up
	direct := run(url)
	e0, _ := processUsage(entry)
	s0, _ := processUsage(side)
	through := run(c.proc("entry-1").baseURL)
	e1, _ := processUsage(entry)
	s1, _ := processUsage(side)
	perThousand := func(d time.Duration) float64 { return 1000 * d.Seconds() * 1000 / float64(through.Tokens) }
	t.Logf("%d streams: first token p50 %.1f -> %.1f ms, p99 %.1f -> %.1f ms; gap p50 %.2f -> %.2f ms, p99 %.2f -> %.2f ms; CPU per 1,000 tokens entry %.2f ms, sidecar %.2f ms; resident entry %d KB, sidecar %d KB",
		streams, direct.FirstP50, through.FirstP50, direct.FirstP99, through.FirstP99, direct.GapP50, through.GapP50, direct.GapP99, through.GapP99,
		perThousand(e1.cpu-e0.cpu), perThousand(s1.cpu-s0.cpu), e1.rss/1024, s1.rss/1024)
}

// largeConfig returns a configuration with many accounts.
func largeConfig(base string, accounts int) string {
	var b strings.Builder
	b.WriteString(base)
	for i := range accounts {
		fmt.Fprintf(&b, "  - {name: account-%d, key_hashes: [%s]}\n", i, config.HashKey(fmt.Sprint("key-", i)))
	}
	return b.String()
}

// TestMeasureDecision compares the admission decision with admit-all and fixed
// concurrency limits, end to end through real processes under the same seeded load.
// For the baselines the sidecar is configured with more blocks than it can use up, so
// it admits everything up to its batch limit and the engine preempts by itself.
func TestMeasureDecision(t *testing.T) {
	requireMeasureFlag(t)
	contenders := []struct {
		name     string
		settings []string
	}{
		{"sparshore", []string{"SPARSHORE_BLOCKS=600"}},
		{"admit-all", []string{"SPARSHORE_BLOCKS=1000000", "SPARSHORE_TOKEN_GAP=0s"}},
		{"cap-24", []string{"SPARSHORE_BLOCKS=1000000", "SPARSHORE_TOKEN_GAP=0s", "SPARSHORE_MAX_BATCH=24"}},
		{"cap-40", []string{"SPARSHORE_BLOCKS=1000000", "SPARSHORE_TOKEN_GAP=0s", "SPARSHORE_MAX_BATCH=40"}},
	}
	for _, k := range contenders {
		t.Run(k.name, func(t *testing.T) { measureContender(t, k.name, k.settings) })
	}
}

func measureContender(t *testing.T, name string, settings []string) {
	t.Helper()
	model := enginemodel.DefaultSettings()
	model.Blocks = 600
	engine := standin.EngineSettings{Model: model, Speed: 3, LoadLag: 500 * time.Millisecond, Seed: 1}
	c, _ := deployWithEngine(t, engine, append(settings, "SPARSHORE_START_WITHIN=7s")...)
	r, err := loadgen.Run(context.Background(), loadgen.Options{
		URLs: []string{c.proc("entry-1").baseURL}, Key: apiKey, Model: modelName, Requests: 1000, Rate: 36,
		Seed: 5, Prompt: 64, Output: 60, Spread: 1.2, MaxOutput: 4096, Timeout: 2 * time.Minute,
	})
	if err != nil || r.Breaches > 0 {
		t.Fatalf("%s: %+v, %v", name, r, err)
	}
	counts, err := c.engineCounts("eng-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%-10s preemptions engine %d, pauses %d; stall p99 %.0f ms, sum %.1f s; gap p50/p99 %.1f/%.1f ms; first p50/p99 %.0f/%.0f ms; whole %d refused %d; %.0f tokens/s",
		name, counts["preemptions"], counts["order_pause"], r.StallP99, r.StallSum, r.GapP50, r.GapP99, r.FirstP50, r.FirstP99, r.Whole, r.Refused, float64(r.Tokens)/r.Seconds)
}

// TestMeasureFailover freezes the upstream that a request is routed to first and
// measures the time until the request completes on another one. Heartbeats are as slow
// as in a deployment of the target size, so only a probe when the upstream is used can
// detect the failure in time.
func TestMeasureFailover(t *testing.T) {
	requireMeasureFlag(t)
	c, err := newCluster(t.TempDir(), "SPARSHORE_PINGS=0.05")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	entries, err := c.deploy(1, 2, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.apply(entries[0], 0, c.configText()); err != nil {
		t.Fatal(err)
	}
	if err := waitFor(func() error { return checkOK(c.proc(entries[0]).baseURL + "/readyz") }); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	var took []time.Duration
	// More requests in a row would exhaust the pool's retry budget, which holds at most
	// ten retries.
	for n := range 9 {
		// The entry prefers upstreams in its own zone, where eng-1 is.
		if err := c.signal("eng-1", syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		a := newStreamResult()
		a.sendStream(c.proc(entries[0]).baseURL, 1)
		if err := c.signal("eng-1", syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		if a.end != "whole" {
			t.Fatalf("request %d ended %s", n, a.end)
		}
		took = append(took, a.took)
		time.Sleep(4 * time.Second)
	}
	t.Logf("9 requests to a frozen upstream, complete response of one token: p50 %v max %v", quantile(took, 0.5), quantile(took, 1))
}
