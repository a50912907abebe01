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
	const ports, forkers = 3000, 4
	stop := make(chan struct{})
	var forks sync.WaitGroup
	for range forkers {
		forks.Go(func() {
			for {
				select {
				case <-stop:
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
	close(stop)
	forks.Wait()
	if inUse > 0 {
		t.Errorf("%d of %d ports were in use when FreePort returned them", inUse, ports)
	}
}
