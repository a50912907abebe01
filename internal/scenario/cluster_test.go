package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/standin"
)

const (
	apiKey       = "scenario-key"
	opToken      = "scenario-operator"
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	modelName    = "bins"
)

// process is one sparshored process of the deployment.
type process struct {
	name     string
	args     []string
	cmd      *exec.Cmd
	peerAddr string
	baseURL  string
	done     chan struct{}
}

// cluster is a deployment of separate processes on loopback. Engines, services
// and the platform are stand-ins inside the test process, so that tests can read
// their counters without going through the system under test.
type cluster struct {
	dir          string
	platform     *standin.Platform
	storesURL    string
	mu           sync.Mutex
	procs        map[string]*process
	proxies      map[string]*standin.TCPProxy
	engines      map[string]*standin.Engine
	services     map[string]string
	upstreamURLs map[string]string
	cancel       context.CancelFunc
	ctx          context.Context
	env          []string
	closers      []func()
}

func newCluster(dir string, env ...string) (*cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		dir: dir, platform: standin.NewPlatform(time.Now), procs: map[string]*process{},
		proxies: map[string]*standin.TCPProxy{}, engines: map[string]*standin.Engine{},
		services: map[string]string{}, upstreamURLs: map[string]string{}, ctx: ctx, cancel: cancel, env: env,
	}
	url, err := c.serve(c.platform.Handler())
	c.storesURL = url
	return c, err
}

// deployCluster starts a cluster, activates its configuration and waits until all
// processes are up. The cluster is closed at the end of the test.
func deployCluster(t *testing.T, entries, engines, services, speed int, env ...string) (*cluster, []string) {
	t.Helper()
	c, err := newCluster(t.TempDir(), env...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	names, err := c.deploy(entries, engines, services, speed)
	if err != nil {
		t.Fatal(err)
	}
	c.applyAndWait(t, names)
	return c, names
}

// applyAndWait applies a configuration that lists the running upstreams and waits
// until the entries are ready.
func (c *cluster) applyAndWait(t *testing.T, entries []string) {
	t.Helper()
	if err := c.apply(entries[0], 0, c.configText()); err != nil {
		t.Fatal(err)
	}
	if err := c.waitReady(entries...); err != nil {
		t.Fatal(err)
	}
}

// deployWithEngine starts a cluster of one entry and one engine with the given
// settings, and returns the cluster and the engine's own URL.
func deployWithEngine(t *testing.T, settings standin.EngineSettings, env ...string) (*cluster, string) {
	t.Helper()
	c, err := newCluster(t.TempDir(), env...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	url, err := c.startEngineWith("eng-1", "a", settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.startEntry("entry-1", "a"); err != nil {
		t.Fatal(err)
	}
	c.applyAndWait(t, []string{"entry-1"})
	return c, url
}

// serve serves a stand-in's handler on a loopback port and returns its URL.
func (c *cluster) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	c.closers = append(c.closers, func() { _ = s.Close() })
	return "http://" + l.Addr().String(), nil
}

// close kills the processes and stops the proxies and stand-ins of the cluster.
func (c *cluster) close() {
	c.mu.Lock()
	procs := make([]*process, 0, len(c.procs))
	for _, p := range c.procs {
		procs = append(procs, p)
	}
	c.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
	c.cancel()
	for _, p := range c.proxies {
		p.Close()
	}
	for _, f := range c.closers {
		f()
	}
}

func (c *cluster) commonFlags(name, zone, peerAddr, http string) []string {
	args := []string{
		"--name", name, "--zone", zone, "--peer-listen", peerAddr, "--http-listen", http,
		"--table-url", c.storesURL, "--objects-url", c.storesURL, "--vms-url", c.storesURL,
		"--vms-every", "200ms", "--config-every", "500ms", "--heartbeat", "200ms",
	}
	return args
}

var errExited = errors.New("the process has exited")

// launch starts a process. The returned channel receives an error that wraps errExited
// if the process exits by itself. An end by a signal is not reported: a test that kills
// a process may start it again while it waits.
func (c *cluster) launch(p *process) (<-chan error, error) {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command("sparshored", p.args...)
	p.cmd.Env = append(os.Environ(), "SPARSHORE_OPERATORS=op="+config.HashKey(opToken))
	p.cmd.Env = append(p.cmd.Env, c.env...)
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.done = make(chan struct{})
	exited := make(chan error, 1)
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		if s := p.cmd.ProcessState; s.Exited() {
			exited <- fmt.Errorf("%w: %s", errExited, s)
		}
		close(p.done)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.procs[p.name] = p
	return exited, nil
}

// waitServing waits until a process answers its liveness probe or has exited. The error
// quotes the end of the process's log.
func (c *cluster) waitServing(p *process, exited <-chan error) error {
	err := waitFor(func() error {
		select {
		case err := <-exited:
			return err
		default:
			return checkOK(p.baseURL + "/livez")
		}
	})
	if err == nil {
		return nil
	}
	log, readErr := os.ReadFile(filepath.Join(c.dir, p.name+".log"))
	return errors.Join(fmt.Errorf("%s at %s: %w; end of its log:\n%s", p.name, p.baseURL, err, log[max(len(log)-maxLogTail, 0):]), readErr)
}

// start starts a process and puts its VM on the VM list. The listed address is that of a TCP proxy, so
// that tests can cut the link to the process.
func (c *cluster) start(name, zone string, role []string) error {
	return c.startWith(name, zone, role, nil)
}

// startWith does what start does, with additional flags that override the test
// defaults.
func (c *cluster) startWith(name, zone string, role, flags []string) error {
	peerAddr, err := standin.FreePort()
	if err != nil {
		return err
	}
	httpAddr, err := standin.FreePort()
	if err != nil {
		return err
	}
	args := append([]string{role[0]}, c.commonFlags(name, zone, peerAddr, httpAddr)...)
	args = append(args, role[1:]...)
	p := &process{name: name, args: append(args, flags...), peerAddr: peerAddr, baseURL: "http://" + httpAddr}
	exited, err := c.launch(p)
	if err != nil {
		return err
	}
	proxy, err := standin.NewTCPProxy("127.0.0.1:0", peerAddr)
	if err != nil {
		return err
	}
	c.proxies[name] = proxy
	c.listVM(name, zone, "live")
	return c.waitServing(p, exited)
}

func (c *cluster) listVM(name, zone, state string) {
	c.control(c.storesURL+"/control/vms", map[string]string{"name": name, "zone": zone, "address": c.proxies[name].Addr(), "state": state})
}

// control sends a value as JSON to a control endpoint of a stand-in.
func (c *cluster) control(url string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		panic(err)
	}
	_ = resp.Body.Close()
}

func (c *cluster) startEngine(name, zone string, speed float64) error {
	_, err := c.startEngineWith(name, zone, standin.EngineSettings{
		Model: defaultEngineModel(), Speed: speed, LoadLag: 200 * time.Millisecond, Seed: 1,
	})
	return err
}

// startEngineWith starts an engine with the given settings and its sidecar, and
// returns the engine's own URL.
func (c *cluster) startEngineWith(name, zone string, settings standin.EngineSettings) (string, error) {
	e := standin.NewEngine(settings)
	go e.Run(c.ctx)
	url, err := c.serve(e.Handler())
	if err != nil {
		return "", err
	}
	c.engines[name], c.upstreamURLs[name] = e, url
	return url, c.start(name, zone, []string{"sidecar", "--upstream", name, "--upstream-url", url})
}

func (c *cluster) startService(name, zone string) error {
	url, err := c.serve(standin.NewService().Handler())
	if err != nil {
		return err
	}
	c.services[name], c.upstreamURLs[name] = url, url
	return c.start(name, zone, []string{"sidecar", "--upstream", name, "--upstream-url", url})
}

func (c *cluster) startEntry(name, zone string) error {
	return c.start(name, zone, []string{"entry"})
}

// restart waits until a process has exited and starts it again, as a new
// incarnation with the same name and addresses.
func (c *cluster) restart(name string) error {
	p := c.proc(name)
	<-p.done
	exited, err := c.launch(p)
	if err != nil {
		return err
	}
	return c.waitServing(p, exited)
}

func (c *cluster) proc(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.procs[name]
}

func (c *cluster) signal(name string, s syscall.Signal) error {
	p := c.proc(name)
	if p == nil {
		return fmt.Errorf("no process %q", name)
	}
	if err := p.cmd.Process.Signal(s); err != nil || s != syscall.SIGSTOP {
		return err
	}
	return waitFor(func() error { return checkStopped(p.cmd.Process.Pid) })
}

var errNotStopped = errors.New("process is not stopped yet")

// checkStopped returns an error until the kernel has stopped all threads of a process. The system call that
// sends SIGSTOP returns earlier. One thread gets the signal and stops the others once it runs, and on a busy
// machine the process may go on serving for a moment, also after its main thread has stopped.
func checkStopped(pid int) error {
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return fmt.Errorf("%w: no threads of process %d", errNotStopped, pid)
	}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			// The thread has ended.
			continue
		}
		if err != nil {
			return err
		}
		// The state follows the name of the thread, which is in parentheses.
		if _, rest, _ := strings.Cut(string(b), ") "); !strings.HasPrefix(rest, "T") {
			return fmt.Errorf("%w: thread %s in state %.1s", errNotStopped, name, rest)
		}
	}
	return nil
}

func (c *cluster) exited(name string) bool {
	select {
	case <-c.proc(name).done:
		return true
	default:
		return false
	}
}

// runCounts returns how many times each call ran, from the services' own counters.
func (c *cluster) runCounts() (map[string]int, error) {
	total := map[string]int{}
	for _, url := range c.services {
		resp, err := http.Get(url + "/control/runs")
		if err != nil {
			return nil, err
		}
		perService := map[string]int{}
		err = json.NewDecoder(resp.Body).Decode(&perService)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		for id, n := range perService {
			total[strings.TrimPrefix(id, "demo/")] += n
		}
	}
	return total, nil
}

// engineCounts returns an engine's own counters.
func (c *cluster) engineCounts(engine string) (map[string]int, error) {
	resp, err := http.Get(c.upstreamURLs[engine] + "/control/counts")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	out := map[string]int{}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// waitReady waits until the entries are ready and report all listed processes as up
// at the current version.
func (c *cluster) waitReady(entries ...string) error {
	for _, name := range entries {
		err := waitFor(func() error {
			if err := checkOK(c.proc(name).baseURL + "/readyz"); err != nil {
				return err
			}
			return c.checkAllUp(name)
		})
		if err != nil {
			return fmt.Errorf("entry %s: %w", name, err)
		}
	}
	return nil
}

var errNotUp = errors.New("not all processes are up")

type statusPage struct {
	Version  int64 `json:"version"`
	Accepted bool  `json:"accepted"`
	Peers    []struct {
		VM      string `json:"vm"`
		State   string `json:"state"`
		Version int64  `json:"version"`
	} `json:"peers"`
}

func (c *cluster) status(entry string) (statusPage, error) {
	var s statusPage
	r, err := http.NewRequest(http.MethodGet, c.proc(entry).baseURL+"/admin/v1/status", nil)
	if err != nil {
		return s, err
	}
	r.Header.Set("Authorization", "Bearer "+opToken)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

func (c *cluster) checkAllUp(entry string) error {
	s, err := c.status(entry)
	if err != nil {
		return err
	}
	if len(s.Peers) < len(c.proxies) {
		return errNotUp
	}
	for _, p := range s.Peers {
		if p.State != "up" || p.Version != s.Version {
			return fmt.Errorf("%w: %s is %s at version %d of %d", errNotUp, p.VM, p.State, p.Version, s.Version)
		}
	}
	return nil
}

func checkOK(url string) error {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

// waitFor retries f until it succeeds, reports that a process has exited, or
// waitTimeout has passed, and returns the last error. The timeout is long, so that
// results don't depend on the speed of the machine.
func waitFor(f func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil || errors.Is(err, errExited) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}
