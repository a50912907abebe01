package standin

import (
	"os/exec"
	"sync"
	"testing"
)

// TestClosedProxyFreesItsPort guards against a proxy that is closed while a process is forked: the
// process inherits the listener until its exec, and the port stays in use for that time.
func TestClosedProxyFreesItsPort(t *testing.T) {
	const proxies, forkers = 2000, 4
	addr, err := FreePort()
	if err != nil {
		t.Fatal(err)
	}
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
	for range proxies {
		p, err := NewTCPProxy(addr, addr)
		if err != nil {
			inUse++
			continue
		}
		p.Close()
	}
	close(stop)
	forks.Wait()
	if inUse > 0 {
		t.Errorf("%d of %d proxies found the port of a closed proxy in use", inUse, proxies)
	}
}
