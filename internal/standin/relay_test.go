package standin

import "testing"

// TestClosedProxyFreesItsPort guards against a proxy that is closed while a process is forked: the
// process inherits the listener until its exec, and the port stays in use for that time.
func TestClosedProxyFreesItsPort(t *testing.T) {
	const proxies = 2000
	addr, err := FreePort()
	if err != nil {
		t.Fatal(err)
	}
	stopForks := forkRepeatedly(t)
	inUse := 0
	for range proxies {
		p, err := NewTCPProxy(addr, addr)
		if err != nil {
			inUse++
			continue
		}
		p.Close()
	}
	stopForks()
	if inUse > 0 {
		t.Errorf("%d of %d proxies found the port of a closed proxy in use", inUse, proxies)
	}
}
