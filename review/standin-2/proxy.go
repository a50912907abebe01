package main

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// proxy forwards connections to one address and can reset them, as a network does.
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	conns []*net.TCPConn
}

// window is the size in bytes of the buffers of a proxy's sockets: windows of the platform's links are small.
const window = 32 << 10

// segment is the largest segment in bytes that the peers of a proxy send, as on an Ethernet link. Loopback has segments
// of 64 KB, with which the kernel would take a body of some megabytes into its send buffer at once.
const segment = 1460

// newProxy starts a proxy to a target on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window))
		})
		return errors.Join(err, optErr)
	}}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) serve(c *net.TCPConn) {
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	u := up.(*net.TCPConn)
	_ = u.SetWriteBuffer(window)
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { forward(u, c) })
	both.Go(func() { forward(c, u) })
	both.Wait()
	p.mu.Lock()
	for i, known := range p.conns {
		if known == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	_ = c.Close()
	_ = u.Close()
}

// forward copies one direction and passes its end on.
func forward(to, from *net.TCPConn) {
	if _, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 16<<10)); err != nil {
		_ = to.SetLinger(0)
		_ = to.Close()
		_ = from.Close()
		return
	}
	_ = to.CloseWrite()
}

// proxies are all proxies of a machine's channels.
type proxies []*proxy

// resetHalf resets half of the open channels, rounded down, and returns how many these are and how many were open.
func (list proxies) resetHalf() (reset, all int) {
	for _, p := range list {
		p.mu.Lock()
		for _, c := range p.conns {
			if all++; all%2 == 0 {
				_ = c.SetLinger(0)
				_ = c.Close()
				reset++
			}
		}
		p.mu.Unlock()
	}
	return reset, all
}
