package standin

import (
	"net"
	"os"
	"os/exec"
	"testing"
)

// firstForkVariable is set in processes of the test binary that start their first process.
const firstForkVariable = "SPARSHORE_STANDIN_FIRST_FORK"

// TestFreePortBesideFirstFork guards against a port that is in use when FreePort returns it because
// the process starts its first process: os.StartProcess first checks whether it can clone with a
// file descriptor for the clone, and that clone does not wait for syscall.ForkLock.
func TestFreePortBesideFirstFork(t *testing.T) {
	if os.Getenv(firstForkVariable) != "" {
		listenWhileFirstForkRuns(t)
		return
	}
	const processes = 100
	failed := 0
	for range processes {
		cmd := exec.Command(os.Args[0], "-test.run=^TestFreePortBesideFirstFork$")
		cmd.Env = append(os.Environ(), firstForkVariable+"=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			failed++
			t.Logf("%v\n%s", err, out)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d processes found a port in use that FreePort had just returned", failed, processes)
	}
}

func listenWhileFirstForkRuns(t *testing.T) {
	if _, err := FreePort(); err != nil {
		t.Fatal(err)
	}
	forked := make(chan error)
	go func() { forked <- exec.Command("true").Run() }()
	for {
		select {
		case err := <-forked:
			if err != nil {
				t.Error(err)
			}
			return
		default:
		}
		addr, err := FreePort()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Error(err)
			continue
		}
		_ = l.Close()
	}
}
