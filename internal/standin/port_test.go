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
