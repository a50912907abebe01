package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to one address and can reset them, as a network does.
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	conns []*net.TCPConn
}

// newProxy starts a proxy to a target on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	l, err := listenNarrow()
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
