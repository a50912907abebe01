package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/mux"
)

// TCPProxy is a TCP proxy that simulates network faults. While it is cut, open connections stay open but
// carry no bytes, as on a link that drops all packets, and new connections hang. It can also cut only the
// direction from target to client, delay the bytes of each read, or silence the open connections only.
type TCPProxy struct {
	listener *net.TCPListener
	target   string

	mu         sync.Mutex
	cond       *sync.Cond
	cut        bool
	cutReplies bool
	delay      time.Duration
	closed     bool
	conns      map[net.Conn]struct{}
	// links holds the open pairs of connections.
	links map[*proxyLink]struct{}
}

// proxyLink is a connection of a client together with the one to the target.
type proxyLink struct {
	silent bool
}

// NewTCPProxy listens on one address and forwards connections to another.
func NewTCPProxy(listen, to string) (*TCPProxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &TCPProxy{listener: l.(*net.TCPListener), target: to, conns: map[net.Conn]struct{}{}, links: map[*proxyLink]struct{}{}}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *TCPProxy) Addr() string { return p.listener.Addr().String() }

// Handler serves the control API: PUT /cut, /heal, /silence and /reset.
func (p *TCPProxy) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/cut", func(http.ResponseWriter, *http.Request) { p.Cut(true) }).Methods(http.MethodPut)
	m.HandleFunc("/heal", func(http.ResponseWriter, *http.Request) { p.Cut(false) }).Methods(http.MethodPut)
	m.HandleFunc("/silence", func(http.ResponseWriter, *http.Request) { p.Silence() }).Methods(http.MethodPut)
	m.HandleFunc("/reset", func(http.ResponseWriter, *http.Request) { p.Reset() }).Methods(http.MethodPut)
	return m
}

// Cut stops forwarding in both directions, or resumes it.
func (p *TCPProxy) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.cond.Broadcast()
}

// CutReplies stops forwarding from the target to clients, or resumes it.
func (p *TCPProxy) CutReplies(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutReplies = cut
	p.cond.Broadcast()
}

// Silence makes the open connections carry no bytes from now on, nor the end of either side, while new
// ones work.
func (p *TCPProxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

// Delay sets the time by which the bytes of each read are delayed before they are forwarded.
func (p *TCPProxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reset closes all open connections and keeps listening.
func (p *TCPProxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// Close stops listening and closes all connections.
func (p *TCPProxy) Close() {
	p.closeListener()
	p.mu.Lock()
	p.closed = true
	p.cond.Broadcast()
	p.mu.Unlock()
	p.Reset()
}

// closeListener frees the port at once. Closing alone does not: a process that is being started holds a
// copy of the socket until its exec.
func (p *TCPProxy) closeListener() {
	if c, err := p.listener.SyscallConn(); err == nil {
		_ = c.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
	_ = p.listener.Close()
}

func (p *TCPProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// waitUntilOpen sleeps for the delay and then blocks while the direction is cut or the connection is
// silent. It returns false if the proxy is closed.
func (p *TCPProxy) waitUntilOpen(l *proxyLink, reply bool) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	for (p.cut || l.silent || reply && p.cutReplies) && !p.closed {
		p.cond.Wait()
	}
	return !p.closed
}

func (p *TCPProxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *TCPProxy) untrack(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *TCPProxy) unlink(l *proxyLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

func (p *TCPProxy) forward(client net.Conn) {
	p.track(client)
	defer p.untrack(client)
	l := &proxyLink{}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	defer p.unlink(l)
	if !p.waitUntilOpen(l, false) {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(server)
	defer p.untrack(server)
	done := make(chan struct{}, 2)
	go p.copyBytes(l, server, client, false, done)
	go p.copyBytes(l, client, server, true, done)
	<-done
}

const proxyBufferBytes = 32 << 10

func (p *TCPProxy) copyBytes(l *proxyLink, to io.Writer, from io.Reader, reply bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if !p.waitUntilOpen(l, reply) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
