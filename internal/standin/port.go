package standin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// Test processes listen on ports below the range that the kernel assigns to outgoing connections, so that
// a port found free is not taken by an outgoing connection later. Each process that runs tests claims a
// range of its own and holds it by listening on the lock port of that range. Otherwise a server of
// another test could listen on the port of a server that was just killed, and clients would take it for
// the restarted server.
const (
	firstLockPort = 14_900
	firstPort     = 15_000
	portRanges    = 60
	portCount     = 250
)

// portRange is a range of ports that one process has claimed.
type portRange struct {
	first int
	// lock listens on the lock port of the range until the process ends.
	lock net.Listener
}

// claimedPorts are the ranges of this process.
var claimedPorts struct {
	mu     sync.Mutex
	ranges []portRange
	// taken is the number of ports of the ranges that were handed out since the first one.
	taken int
}

// nextPort returns the next port of this process. Each port is handed out once, since a server that was
// killed may be started again on its port. Only if no range is left to claim do they start over.
func nextPort() (int, error) {
	c := &claimedPorts
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken == len(c.ranges)*portCount {
		r, err := claimPortRange()
		switch {
		case err == nil:
			c.ranges = append(c.ranges, r)
		case len(c.ranges) == 0:
			return 0, err
		default:
			c.taken = 0
		}
	}
	port := c.ranges[c.taken/portCount].first + c.taken%portCount
	c.taken++
	return port, nil
}

// claimPortRange claims the first range that no other process holds, starting at one that depends on the
// process ID.
func claimPortRange() (portRange, error) {
	for i := range portRanges {
		k := (os.Getpid() + i) % portRanges
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstLockPort+k)); err == nil {
			return portRange{first: firstPort + k*portCount, lock: l}, nil
		}
	}
	return portRange{}, errNoPort
}

// awaitHandleCheck makes package os run its check of process handles, if it has not, which clones the process
// without syscall.ForkLock. Otherwise the check runs when the first process is started, and its clone
// may inherit the socket of a probe.
func awaitHandleCheck() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
}

var errNoPort = errors.New("no free port in the ranges for tests")

// FreePort returns a loopback address that is free for TCP and UDP. Other test processes do not use
// it, so a server that listens on it can be restarted.
func FreePort() (string, error) {
	awaitHandleCheck()
	// A process that is forked while a probe listens inherits its socket until exec, and the port stays in
	// use for that time.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range portCount {
		port, err := nextPort()
		if err != nil {
			return "", err
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = u.Close()
		return addr, nil
	}
	return "", errNoPort
}
