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

// The measurements print figures and judge nothing but correctness; they run
// only when asked for, by make measure.
var measureFlag = flag.Bool("measure", false, "run the measurements")

func needMeasure(t *testing.T) {
	t.Helper()
	if !*measureFlag {
		t.Skip("a measurement: run with -args -measure")
	}
}

func quantile(v []time.Duration, q float64) time.Duration {
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// TestMeasureRollout submits 100 changes to a deployment of today's size: four
// zones, ten engines, four services, three entries.
func TestMeasureRollout(t *testing.T) {
	needMeasure(t)
	c, entries := deployed(t, 3, 10, 4, 1, "SPARSHORE_VMS_EVERY=1s", "SPARSHORE_CONFIG_EVERY=5s")
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
	t.Logf("100 changes, 17 processes, in force everywhere: p50 %v p99 %v max %v", quantile(took, 0.5), quantile(took, 0.99), quantile(took, 1))
}

// TestMeasureRejoin cuts one process off through a change of the others' VM
// list and measures how soon it has the version in force after healing.
func TestMeasureRejoin(t *testing.T) {
	needMeasure(t)
	c, entries := deployed(t, 1, 2, 0, 1)
	var took []time.Duration
	for n := range 10 {
		c.relays["eng-2"].Cut(true)
		c.listVM("eng-2", "b", "gone")
		if err := c.apply(entries[0], int64(n+1), c.configText()+fmt.Sprintf("# change %d\n", n)); err != nil {
			t.Fatal(err)
		}
		c.relays["eng-2"].Cut(false)
		began := time.Now()
		c.listVM("eng-2", "b", "live")
		if err := c.ready(entries...); err != nil {
			t.Fatal(err)
		}
		took = append(took, time.Since(began))
	}
	t.Logf("10 rejoins, from healing to the version in force and usable: p50 %v max %v", quantile(took, 0.5), quantile(took, 1))
}

// usage is what a process has used so far.
type usage struct {
	cpu time.Duration
	rss int
}

const clockTick = 10 * time.Millisecond

func usageOf(pid int) (usage, error) {
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

// TestMeasurePath compares an engine asked directly and through entry and
// sidecar, in one run.
func TestMeasurePath(t *testing.T) {
	needMeasure(t)
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
	c, url := withEngine(t, fastEngine(), "SPARSHORE_TOKEN_GAP=0s", "SPARSHORE_BLOCKS=1000000", "SPARSHORE_MAX_BATCH=1024")
	entry, side := c.proc("entry-1").cmd.Process.Pid, c.proc("eng-1").cmd.Process.Pid
	o := loadgen.Options{Key: apiKey, Model: modelName, Requests: streams, Rate: float64(streams) * 2, Prompt: 64, Output: 300, MaxOutput: 300, Within: time.Minute}
	run := func(address string) loadgen.Report {
		o.URLs = []string{address}
		o.Direct = address == url
		r, err := loadgen.Run(context.Background(), o)
		if err != nil || r.Whole != streams || r.Breaches > 0 {
			t.Fatalf("%d streams at %s: %+v, %v", streams, address, r, err)
		}
		return r
	}
	run(c.proc("entry-1").http) // warm
	direct := run(url)
	e0, _ := usageOf(entry)
	s0, _ := usageOf(side)
	through := run(c.proc("entry-1").http)
	e1, _ := usageOf(entry)
	s1, _ := usageOf(side)
	perThousand := func(d time.Duration) float64 { return 1000 * d.Seconds() * 1000 / float64(through.Tokens) }
	t.Logf("%d streams: first token p50 %.1f -> %.1f ms, p99 %.1f -> %.1f ms; gap p50 %.2f -> %.2f ms, p99 %.2f -> %.2f ms; CPU per 1,000 tokens entry %.2f ms, sidecar %.2f ms; resident entry %d KB, sidecar %d KB",
		streams, direct.FirstP50, through.FirstP50, direct.FirstP99, through.FirstP99, direct.GapP50, through.GapP50, direct.GapP99, through.GapP99,
		perThousand(e1.cpu-e0.cpu), perThousand(s1.cpu-s0.cpu), e1.rss/1024, s1.rss/1024)
}

// largeConfig is a configuration with many accounts.
func largeConfig(base string, accounts int) string {
	var b strings.Builder
	b.WriteString(base)
	for i := range accounts {
		fmt.Fprintf(&b, "  - {name: account-%d, key_hashes: [%s]}\n", i, config.HashKey(fmt.Sprint("key-", i)))
	}
	return b.String()
}

// TestMeasureDecision runs the decision, admit-all and fixed limits end to end
// through real processes over the same seeded load. A sidecar that is told of
// endless memory admits everything up to its batch limit, and the engine
// preempts by itself.
func TestMeasureDecision(t *testing.T) {
	needMeasure(t)
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
	c, _ := withEngine(t, engine, append(settings, "SPARSHORE_START_WITHIN=7s")...)
	r, err := loadgen.Run(context.Background(), loadgen.Options{
		URLs: []string{c.proc("entry-1").http}, Key: apiKey, Model: modelName, Requests: 1000, Rate: 36,
		Seed: 5, Prompt: 64, Output: 60, Spread: 1.2, MaxOutput: 4096, Within: 2 * time.Minute,
	})
	if err != nil || r.Breaches > 0 {
		t.Fatalf("%s: %+v, %v", name, r, err)
	}
	counts, err := c.counts("eng-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%-10s preemptions engine %d, pauses %d; stall p99 %.0f ms, sum %.1f s; gap p50/p99 %.1f/%.1f ms; first p50/p99 %.0f/%.0f ms; whole %d refused %d; %.0f tokens/s",
		name, counts["preemptions"], counts["order_pause"], r.StallP99, r.StallSum, r.GapP50, r.GapP99, r.FirstP50, r.FirstP99, r.Whole, r.Refused, float64(r.Tokens)/r.Seconds)
}

// TestMeasureFailover freezes or kills an upstream and measures how long a
// request that goes there first needs for its first token. The heartbeat is as
// slow as in a deployment of the target size, so only probes on use can tell.
func TestMeasureFailover(t *testing.T) {
	needMeasure(t)
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
	if err := waitFor(func() error { return get(c.proc(entries[0]).http + "/readyz") }); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	var took []time.Duration
	// More in a row would use up the pool's retry budget, which saves up ten.
	for n := range 9 {
		// The entry prefers its own zone, where eng-1 is.
		if err := c.signal("eng-1", syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		a := newAnswer()
		a.ask(c.proc(entries[0]).http, 1)
		if err := c.signal("eng-1", syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		if a.end != "whole" {
			t.Fatalf("request %d ended %s", n, a.end)
		}
		took = append(took, a.took)
		time.Sleep(4 * time.Second)
	}
	t.Logf("9 requests to a frozen upstream, whole answer of one token: p50 %v max %v", quantile(took, 0.5), quantile(took, 1))
}
