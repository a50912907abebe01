package standin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// Ports for processes come from below the range that the kernel gives to
// outgoing connections: a port that was free a moment ago stays free. Each test
// process has a range of its own, which it holds by listening on the range's
// guard port: a process of another test that took the port of one that was just
// killed would be taken for its successor.
const (
	guardPort  = 14_900
	firstPort  = 15_000
	portRanges = 30
	portCount  = 500
)

// portRange is the range of this test process.
type portRange struct {
	first int64
	// guard is listened on until the process ends.
	guard net.Listener
}

var (
	nextPort atomic.Int64
	ownPorts = sync.OnceValues(takePortRange)
)

// takePortRange takes a range that no other test process holds.
func takePortRange() (portRange, error) {
	for i := range portRanges {
		k := (os.Getpid() + i) % portRanges
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", guardPort+k)); err == nil {
			return portRange{first: firstPort + int64(k)*portCount, guard: l}, nil
		}
	}
	return portRange{}, errNoPort
}

var errNoPort = errors.New("no free port")

// FreePort returns a free address of loopback, for TCP and UDP, at which a process
// of a test can listen and which stays its own when that process is restarted.
func FreePort() (string, error) {
	own, err := ownPorts()
	if err != nil {
		return "", err
	}
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", own.first+nextPort.Add(1)%portCount)
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
