package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The bounds of the site binday-prod, as the settings of its processes state them.
const (
	grace     = 8 * time.Second
	revokeMS  = 5000
	drainTime = 2 * time.Second
	heartbeat = 1200 * time.Millisecond
)

// readyLimit is how long a gateway may take to become ready before the case counts as not run.
const readyLimit = 15 * time.Second

// world is one deployment: a store, workers and gateway processes, all on loopback.
type world struct {
	sparshored, scratch string
	trouble             bool
	store               *store
	began               time.Time

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	closers  []func()
}

func newWorld(sparshored, scratch, record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{sparshored: sparshored, scratch: scratch, trouble: trouble, record: f, began: time.Now()}
	w.store, err = newStore()
	if err != nil {
		return nil, err
	}
	w.onClose(w.store.close)
	w.note("trouble: %v", trouble)
	return w, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mu.Lock()
	gateways, closers := w.gateways, w.closers
	w.gateways, w.closers = nil, nil
	w.mu.Unlock()
	for _, g := range gateways {
		g.kill()
	}
	for _, f := range closers {
		f()
	}
}

// gateway is a gateway process.
type gateway struct {
	w                   *world
	name, zone          string
	listen, ready, peer string
	metrics             string
	store               string
	together            bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// freeAddress returns a free loopback address below the range from which the kernel takes ports for
// outgoing connections.
func freeAddress() (string, error) {
	for range 200 {
		port := 20000 + int(time.Now().UnixNano()/1000)%11000
		l, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(port))
		if err == nil {
			address := l.Addr().String()
			_ = l.Close()
			if u, err := net.ListenPacket("udp4", address); err == nil {
				_ = u.Close()
				return address, nil
			}
		}
		time.Sleep(137 * time.Microsecond)
	}
	return "", fmt.Errorf("no free port")
}

// newGateway starts a gateway with the command and the environment of deploy/system.toml.
func (w *world) newGateway(name, zone string) (*gateway, error) {
	g := &gateway{w: w, name: name, zone: zone, store: w.store.address, together: true}
	for _, a := range []*string{&g.listen, &g.ready, &g.peer, &g.metrics} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	return g, g.start()
}

func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.w.scratch, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.w.sparshored, "gateway")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"SPARSHORE_NAME=" + g.name, "SPARSHORE_ZONE=" + g.zone, "SPARSHORE_LISTEN=" + g.listen, "SPARSHORE_READY_LISTEN=" + g.ready,
		"SPARSHORE_METRICS_LISTEN=" + g.metrics, "SPARSHORE_GOSSIP_LISTEN=" + g.peer, "SPARSHORE_RELAY_LISTEN=" + g.peer, "SPARSHORE_STORE=" + g.store,
		fmt.Sprintf("SPARSHORE_KEY_BOUND=%dms", revokeMS), "SPARSHORE_KEY_BOUND_HARD=true", "SPARSHORE_RETRY_RATIO=0.2", "SPARSHORE_RETRY_EXTRA=54", "SPARSHORE_RETRY_WINDOW=10s",
		"SPARSHORE_START_TOGETHER=" + strconv.FormatBool(g.together), "SPARSHORE_CORE_SHARE=0.304", "SPARSHORE_CORES=1", "SPARSHORE_LINK_MBPS=1000.0", "SPARSHORE_MEMORY_MB=134",
		"SPARSHORE_STOP_WITHIN=" + strconv.Itoa(int(grace.Seconds())) + "s",
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	g.w.note("%s: process %d started", g.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		g.w.note("%s: process %d ended: %v", g.name, cmd.Process.Pid, err)
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.w.note("%s: signal %v", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

func (g *gateway) kill() {
	g.mu.Lock()
	cmd, done := g.cmd, g.done
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// isReady asks as the platform's balancer does.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+pathReady, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady() error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			g.w.note("%s: ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", g.name)
}
