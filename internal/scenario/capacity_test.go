package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/rollout"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{nc, c.bytes}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// fakePeers are sidecars that run the real membership and rollout code inside the
// test process.
type fakePeers struct {
	bytes   atomic.Int64
	servers []*peer.Server
}

func (f *fakePeers) add(c *cluster, i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	name := fmt.Sprint("fake-", i)
	rec := events.Nop()
	store := rollout.NewStore(name, zoneOf(i), rec)
	self := &membership.Self{
		Identity: membership.NewIdentity(name, membership.RoleSidecar, zoneOf(i), name, "i", time.Now()),
		Recorder: rec,
		Status: func() membership.Status {
			return membership.Status{Mark: store.Mark(), Load: membership.Load{Running: 17, UsedPermille: 500, AtMS: time.Now().UnixMilli()}}
		},
		OnNewerMark: func(pc *peer.Conn, _ config.Mark) { _ = store.CatchUp(c.ctx, pc) },
	}
	m := self.Methods()
	for k, v := range store.Methods() {
		m[k] = v
	}
	s := peer.NewServer(countingListener{l, &f.bytes}, m, nil)
	s.Start()
	f.servers = append(f.servers, s)
	c.control(c.storesURL+"/control/vms", map[string]string{"name": name, "zone": zoneOf(i), "address": l.Addr().String(), "state": "live"})
	return nil
}

func (f *fakePeers) close() {
	for _, s := range f.servers {
		s.Close()
	}
}

// linearFit is the result of a linear least-squares fit.
type linearFit struct{ slope, intercept, residual float64 }

func fitLine(x, y []float64) linearFit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	l := linearFit{slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	l.intercept = (sy - l.slope*sx) / n
	for i := range x {
		d := y[i] - l.intercept - l.slope*x[i]
		l.residual += d * d / n
	}
	l.residual = math.Sqrt(l.residual)
	return l
}

func (l linearFit) String() string {
	return fmt.Sprintf("slope %.4g, intercept %.4g, residual %.2g", l.slope, l.intercept, l.residual)
}

// capacityWindow is the length of a measurement. It exceeds the heartbeat interval at
// the largest measured size.
const capacityWindow = 30 * time.Second

// TestCapacityEntryPeers measures the traffic, CPU time and memory of an idle entry
// as a function of the number of sidecars that it is connected to.
func TestCapacityEntryPeers(t *testing.T) {
	requireMeasureFlag(t)
	var x, bytes, cpu, rss []float64
	for _, n := range []int{25, 50, 100, 200, 400} {
		c, err := newCluster(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		f := &fakePeers{}
		for i := range n {
			if err := f.add(c, i); err != nil {
				t.Fatal(err)
			}
		}
		if err := c.startWith("entry-1", "a", []string{"entry"}, defaultTimingFlags()); err != nil {
			t.Fatal(err)
		}
		if err := waitFor(func() error { return c.checkConnected("entry-1", n) }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		pid := c.proc("entry-1").cmd.Process.Pid
		b0 := f.bytes.Load()
		u0, _ := processUsage(pid)
		time.Sleep(capacityWindow)
		u1, _ := processUsage(pid)
		x = append(x, float64(n))
		bytes = append(bytes, float64(f.bytes.Load()-b0)/capacityWindow.Seconds())
		cpu = append(cpu, 100*(u1.cpu-u0.cpu).Seconds()/capacityWindow.Seconds())
		rss = append(rss, float64(u1.rss)/1024)
		t.Logf("entry, %d sidecars: %.0f B/s, %.2f %% of a core, %.0f KB", n, bytes[len(bytes)-1], cpu[len(cpu)-1], rss[len(rss)-1])
		f.close()
		c.close()
	}
	t.Logf("entry bytes/s per sidecar: %v", fitLine(x, bytes))
	t.Logf("entry CPU %% per sidecar: %v", fitLine(x, cpu))
	t.Logf("entry KB per sidecar: %v", fitLine(x, rss))
}

// defaultTimingFlags returns flags with the product's default intervals, which replace
// the shorter intervals of the tests.
func defaultTimingFlags() []string {
	d := membership.DefaultTiming()
	return []string{"--vms-every", d.List.String(), "--heartbeat", d.Heartbeat.String(), "--config-every", "5s"}
}

func (c *cluster) checkConnected(entry string, n int) error {
	s, err := c.status(entry)
	if err != nil {
		return err
	}
	up := 0
	for _, p := range s.Peers {
		if p.State == "up" {
			up++
		}
	}
	if up < n {
		return fmt.Errorf("%w: %d of %d", errNotUp, up, n)
	}
	return nil
}

// TestCapacitySidecarEntries measures the CPU time and memory of an idle sidecar as a
// function of the number of entries connected to it.
func TestCapacitySidecarEntries(t *testing.T) {
	requireMeasureFlag(t)
	var x, cpu, rss []float64
	for _, n := range []int{10, 50, 100, 200, 350} {
		c, err := newCluster(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		url, err := c.serve(newEngineHandler(c))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.startWith("eng-1", "a", []string{"sidecar", "--upstream", "eng-1", "--upstream-url", url}, defaultTimingFlags()); err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(c.ctx)
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { fakeEntry(ctx, c, i) })
		}
		time.Sleep(2 * time.Second)
		pid := c.proc("eng-1").cmd.Process.Pid
		u0, _ := processUsage(pid)
		time.Sleep(capacityWindow)
		u1, _ := processUsage(pid)
		x = append(x, float64(n))
		cpu = append(cpu, 100*(u1.cpu-u0.cpu).Seconds()/capacityWindow.Seconds())
		rss = append(rss, float64(u1.rss)/1024)
		t.Logf("sidecar, %d entries: %.2f %% of a core, %.0f KB", n, cpu[len(cpu)-1], rss[len(rss)-1])
		stop()
		wg.Wait()
		c.close()
	}
	t.Logf("sidecar CPU %% per entry: %v", fitLine(x, cpu))
	t.Logf("sidecar KB per entry: %v", fitLine(x, rss))
}

// fakeEntry runs the real membership code of an entry whose VM list holds one sidecar,
// until the context ends.
func fakeEntry(ctx context.Context, c *cluster, i int) {
	rec := events.Nop()
	self := &membership.Self{
		Identity: membership.NewIdentity(fmt.Sprint("entry-", i), membership.RoleEntry, "a", "", "i", time.Now()),
		Recorder: rec,
		Status:   func() membership.Status { return membership.Status{} },
	}
	vms := &platform.VMs{List: func(context.Context) ([]platform.VM, error) {
		return []platform.VM{platform.NewVM("eng-1", "a", c.proc("eng-1").peerAddr, platform.VMLive)}, nil
	}}
	membership.NewSet(self, vms, membership.DefaultTiming(), sidecar.NewClient(rec).Methods()).Run(ctx)
}

// TestCapacityConfig measures the cost of a configuration as a function of the number
// of client accounts. It covers the source file, which only the coordinator parses, and
// the canonical form, which every process parses and keeps in memory.
func TestCapacityConfig(t *testing.T) {
	requireMeasureFlag(t)
	base := "pools: [{name: p, kind: engine, upstreams: [{name: u, zone: a}]}]\nmodels: []\naccounts:\n"
	var x, size, heap, parse, yaml []float64
	for _, n := range []int{1000, 6000, 12000, 24000, 47000} {
		text := []byte(largeConfig(base, n))
		form, yamlTook := canonicalForm(t, text)
		runtime.GC()
		var m0, m1 runtime.MemStats
		runtime.ReadMemStats(&m0)
		began := time.Now()
		cfg, err := config.ParseCanonical([]byte(form))
		took := time.Since(began)
		if err != nil {
			t.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&m1)
		x = append(x, float64(n))
		size = append(size, float64(len(text))/1024)
		heap = append(heap, float64(int64(m1.HeapAlloc)-int64(m0.HeapAlloc))/1024)
		parse = append(parse, float64(took.Milliseconds()))
		yaml = append(yaml, float64(yamlTook.Milliseconds()))
		t.Logf("%d accounts: source %.0f KB, heap %.0f KB, parse canonical form %.0f ms, parse source %.0f ms", n, size[len(size)-1], heap[len(heap)-1], parse[len(parse)-1], yaml[len(yaml)-1])
		runtime.KeepAlive(cfg)
		runtime.KeepAlive(form)
	}
	t.Logf("source KB per account: %v", fitLine(x, size))
	t.Logf("heap KB per account: %v", fitLine(x, heap))
	t.Logf("canonical form parse ms per account: %v", fitLine(x, parse))
	t.Logf("source parse ms per account: %v", fitLine(x, yaml))
}

// canonicalForm parses a configuration source and returns its canonical form and the
// time that this took.
func canonicalForm(t *testing.T, text []byte) (string, time.Duration) {
	t.Helper()
	began := time.Now()
	c, err := config.Parse("capacity", text)
	if err != nil {
		t.Fatal(err)
	}
	return string(c.Canonical()), time.Since(began)
}

// TestCapacityChange measures how many bytes a change of one account transfers to each
// process, as a function of the size of the configuration.
func TestCapacityChange(t *testing.T) {
	requireMeasureFlag(t)
	const processes = 8
	var x, bytes []float64
	for _, n := range []int{1000, 6000, 12000, 24000} {
		c, err := newCluster(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		f := &fakePeers{}
		for i := range processes {
			if err := f.add(c, i); err != nil {
				t.Fatal(err)
			}
		}
		if err := c.startWith("entry-1", "a", []string{"entry", "--max-body", "67108864"}, defaultTimingFlags()); err != nil {
			t.Fatal(err)
		}
		base := "pools: [{name: p, kind: engine, upstreams: [{name: fake-1, zone: a}]}]\nmodels: []\naccounts:\n"
		text := largeConfig(base, n)
		if err := c.apply("entry-1", 0, text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		b0 := f.bytes.Load()
		changed := strings.Replace(text, "account-500,", "account-500-renamed,", 1)
		if err := c.apply("entry-1", 1, changed); err != nil {
			t.Fatal(err)
		}
		x = append(x, float64(len(text))/1024)
		bytes = append(bytes, float64(f.bytes.Load()-b0)/processes/1024)
		t.Logf("configuration of %.0f KB: a change of one account transfers %.1f KB to each process", x[len(x)-1], bytes[len(bytes)-1])
		f.close()
		c.close()
	}
	t.Logf("KB transferred per KB of configuration: %v", fitLine(x, bytes))
}

// TestCapacityFrame measures the size of the load report in a heartbeat. Heartbeats
// dominate the traffic of an idle process.
func TestCapacityFrame(t *testing.T) {
	requireMeasureFlag(t)
	b, err := json.Marshal(membership.Load{Running: 17, Waiting: 3, UsedPermille: 512, WaitMS: 1200, AtMS: time.Now().UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("load report: %d bytes", len(b))
	if _, err := os.Stat("/proc/self/stat"); err != nil {
		t.Fatal(err)
	}
}
