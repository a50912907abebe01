package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Relay passes TCP connections on, until it is told to cut: then bytes stop on
// open connections, as on a link that drops all packets, and new ones hang. It can
// also cut the way back alone, or delay what it passes on.
type Relay struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	cond    *sync.Cond
	cut     bool
	cutBack bool
	delay   time.Duration
	ended   bool
	conns   map[net.Conn]struct{}
}

// NewRelay listens on one address and passes on to another.
func NewRelay(listen, to string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, conns: map[net.Conn]struct{}{}}
	r.cond = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Addr returns the address the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Handler serves the control page: PUT /cut, /heal and /reset.
func (r *Relay) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/cut", func(http.ResponseWriter, *http.Request) { r.Cut(true) }).Methods(http.MethodPut)
	m.HandleFunc("/heal", func(http.ResponseWriter, *http.Request) { r.Cut(false) }).Methods(http.MethodPut)
	m.HandleFunc("/reset", func(http.ResponseWriter, *http.Request) { r.Reset() }).Methods(http.MethodPut)
	return m
}

// Cut stops or restarts the passing of bytes.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.cond.Broadcast()
}

// CutBack stops or restarts the passing of bytes to those who connected.
func (r *Relay) CutBack(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutBack = cut
	r.cond.Broadcast()
}

// Delay sets how long each piece of bytes is held before it is passed on.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset closes all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.ended = true
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
		go r.pass(c)
	}
}

// open waits while the relay is cut, or while its way back is.
func (r *Relay) open(back bool) bool {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	time.Sleep(delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	for (r.cut || back && r.cutBack) && !r.ended {
		r.cond.Wait()
	}
	return !r.ended
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

func (r *Relay) pass(in net.Conn) {
	r.track(in)
	defer r.untrack(in)
	if !r.open(false) {
		return
	}
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	r.track(out)
	defer r.untrack(out)
	done := make(chan struct{}, 2)
	go r.copy(out, in, false, done)
	go r.copy(in, out, true, done)
	<-done
}

const relayBuffer = 32 << 10

func (r *Relay) copy(to io.Writer, from io.Reader, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if !r.open(back) {
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
