package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a gateway process, started as the deploy file starts one.
type gateway struct {
	name   string
	listen string
	ready  string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// bounds are the settings of a process that come from the bounds of a site file.
type bounds struct {
	graceS     int
	revokeMS   int
	retryExtra int
	memoryMB   int
}

// binday are the bounds of sites/binday-prod.toml.
var binday = bounds{graceS: 8, revokeMS: 5000, retryExtra: 54, memoryMB: 134}

// startGateway starts target/sparshored gateway. Its log goes to a file in the folder logs. first is set if all
// processes start together for the first time.
func startGateway(root, logs, name, zone, storeAddress string, b bounds, first bool) (*gateway, error) {
	g := &gateway{name: name, ended: make(chan struct{})}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	g.listen, g.ready = at(0), at(1)
	log, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, err
	}
	g.cmd = exec.Command(filepath.Join(root, "target/sparshored"), "gateway")
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = root, log, log
	g.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"SPARSHORE_NAME=" + name, "SPARSHORE_ZONE=" + zone, "SPARSHORE_LISTEN=" + g.listen, "SPARSHORE_READY_LISTEN=" + g.ready,
		"SPARSHORE_METRICS_LISTEN=" + at(2), "SPARSHORE_GOSSIP_LISTEN=" + at(3), "SPARSHORE_RELAY_LISTEN=" + at(3), "SPARSHORE_STORE=" + storeAddress,
		fmt.Sprintf("SPARSHORE_KEY_BOUND=%dms", b.revokeMS), "SPARSHORE_KEY_BOUND_HARD=true",
		"SPARSHORE_RETRY_RATIO=0.2", fmt.Sprintf("SPARSHORE_RETRY_EXTRA=%d", b.retryExtra), "SPARSHORE_RETRY_WINDOW=10s",
		fmt.Sprintf("SPARSHORE_START_TOGETHER=%t", first), "SPARSHORE_CORE_SHARE=0.304", "SPARSHORE_CORES=1", "SPARSHORE_LINK_MBPS=1000.0",
		fmt.Sprintf("SPARSHORE_MEMORY_MB=%d", b.memoryMB), fmt.Sprintf("SPARSHORE_STOP_WITHIN=%ds", b.graceS),
	}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.cmd.Wait()
		_ = log.Close()
		close(g.ended)
	}()
	return g, nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s os.Signal) { _ = g.cmd.Process.Signal(s) }

// kill ends the process and waits until it has ended.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// isReady asks the process whether it is ready, as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + wire("pathReady"))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, limit)
}

// freePorts returns ports that are free for TCP and UDP.
func freePorts(n int) ([]int, error) {
	var out []int
	var open []interface{ Close() error }
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for len(out) < n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		open = append(open, u)
		out = append(out, port)
	}
	return out, nil
}
