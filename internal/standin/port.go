package standin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
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
	portRanges    = 30
	portCount     = 500
)

// portRange is a range of ports that one process has claimed.
type portRange struct {
	first int64
	// lock listens on the lock port of the range until the process ends.
	lock net.Listener
}

var (
	nextPort     atomic.Int64
	processPorts = sync.OnceValues(claimPortRange)
)

// claimPortRange claims the first range that no other process holds, starting at one that depends on the
// process ID.
func claimPortRange() (portRange, error) {
	awaitHandleCheck()
	for i := range portRanges {
		k := (os.Getpid() + i) % portRanges
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstLockPort+k)); err == nil {
			return portRange{first: firstPort + int64(k)*portCount, lock: l}, nil
		}
	}
	return portRange{}, errNoPort
}

// awaitHandleCheck makes package os run its check of process handles, which clones the process once
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
	ports, err := processPorts()
	if err != nil {
		return "", err
	}
	// A process that is forked while a probe listens inherits its socket until exec, and the port stays in
	// use for that time.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", ports.first+nextPort.Add(1)%portCount)
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
