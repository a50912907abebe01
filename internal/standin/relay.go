package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Relay is a TCP proxy that simulates network faults. While it is cut, open connections stay open but
// carry no bytes, as on a link that drops all packets, and new connections hang. It can also cut only the
// direction from target to client, or delay the bytes of each read.
type Relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	cond       *sync.Cond
	cut        bool
	cutReplies bool
	delay      time.Duration
	closed     bool
	conns      map[net.Conn]struct{}
}

// NewRelay listens on one address and forwards connections to another.
func NewRelay(listen, to string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: to, conns: map[net.Conn]struct{}{}}
	r.cond = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Handler serves the control API: PUT /cut, /heal and /reset.
func (r *Relay) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/cut", func(http.ResponseWriter, *http.Request) { r.Cut(true) }).Methods(http.MethodPut)
	m.HandleFunc("/heal", func(http.ResponseWriter, *http.Request) { r.Cut(false) }).Methods(http.MethodPut)
	m.HandleFunc("/reset", func(http.ResponseWriter, *http.Request) { r.Reset() }).Methods(http.MethodPut)
	return m
}

// Cut stops forwarding in both directions, or resumes it.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.cond.Broadcast()
}

// CutBack stops forwarding from the target to clients, or resumes it.
func (r *Relay) CutBack(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutReplies = cut
	r.cond.Broadcast()
}

// Delay sets the time by which the bytes of each read are delayed before they are forwarded.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset closes all open connections and keeps listening.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.cond.Broadcast()
	r.mu.Unlock()
	r.Reset()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// waitUntilOpen sleeps for the delay and then blocks while the direction is cut. It returns false if the
// relay is closed.
func (r *Relay) waitUntilOpen(reply bool) bool {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	time.Sleep(delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	for (r.cut || reply && r.cutReplies) && !r.closed {
		r.cond.Wait()
	}
	return !r.closed
}

func (r *Relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
}

func (r *Relay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) forward(client net.Conn) {
	r.track(client)
	defer r.untrack(client)
	if !r.waitUntilOpen(false) {
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.track(server)
	defer r.untrack(server)
	done := make(chan struct{}, 2)
	go r.copyBytes(server, client, false, done)
	go r.copyBytes(client, server, true, done)
	<-done
}

const relayBufferBytes = 32 << 10

func (r *Relay) copyBytes(to io.Writer, from io.Reader, reply bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		if !r.waitUntilOpen(reply) {
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
