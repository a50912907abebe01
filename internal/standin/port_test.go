package standin

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// TestFreePortBesideForks guards against a port that is in use when FreePort returns it: a process that is
// forked during a probe inherits the probe's socket until its exec.
func TestFreePortBesideForks(t *testing.T) {
	const ports = 3000
	stopForks := forkRepeatedly(t)
	inUse := 0
	for range ports {
		addr, err := FreePort()
		if err != nil {
			t.Error(err)
			break
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			inUse++
			continue
		}
		_ = l.Close()
	}
	stopForks()
	if inUse > 0 {
		t.Errorf("%d of %d ports were in use when FreePort returned them", inUse, ports)
	}
}

// TestFreePortReturnsEachPortOnce guards against a port that is handed out again while the server that had it
// is down: a process that needs more ports than one range has claims another one.
func TestFreePortReturnsEachPortOnce(t *testing.T) {
	seen := map[string]bool{}
	for range portCount + 1 {
		addr, err := FreePort()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s was handed out twice", addr)
		}
		seen[addr] = true
	}
}

// forkRepeatedly starts processes one after the other, in several goroutines, until the returned function is
// called.
func forkRepeatedly(t *testing.T) (stop func()) {
	const forkers = 4
	ended := make(chan struct{})
	var forks sync.WaitGroup
	for range forkers {
		forks.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	return func() {
		close(ended)
		forks.Wait()
	}
}
