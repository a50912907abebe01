package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// upstream listens on loopback and runs a handler on each accepted connection.
type upstream struct {
	address string
	opened  chan net.Conn
}

func newUpstream(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: l.Addr().String(), opened: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.opened <- c
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

func newPool() *Pool {
	d := &net.Dialer{}
	return New(Settings{DialTimeout: time.Second, DefaultIdleTimeout: time.Minute, IdleMargin: 700 * time.Millisecond, IDHeader: "X-Id"},
		func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp4", address)
		}, time.Now)
}

// readRequest reads one request and returns its head and body, or nil if the connection has ended.
func readRequest(t *testing.T, r *bufio.Reader) (*http.Request, string) {
	t.Helper()
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	b, err := io.ReadAll(req.Body)
	if err != nil {
		t.Errorf("read request: %v", err)
	}
	return req, string(b)
}

func writeText(c net.Conn, text string) {
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
}

func request(id string) Request {
	return Request{Method: http.MethodPost, Target: "/a//b%2Fc?x=1&", Host: "host.example", Header: http.Header{"X-Id": {id}}, Body: []byte("body"), ID: id}
}

// ask sends a request and returns the body of the answer.
func ask(t *testing.T, p *Pool, address string, req Request) (string, error) {
	t.Helper()
	a, err := p.Do(t.Context(), address, req)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func TestRequestArrivesUnchanged(t *testing.T) {
	got := make(chan string, 1)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		req, body := readRequest(t, r)
		got <- req.Method + " " + req.RequestURI + " " + req.Host + " " + body
		writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok")
	})
	body, err := ask(t, newPool(), u.address, request("1"))
	if err != nil || body != "ok" {
		t.Fatalf("answer %q, %v", body, err)
	}
	if want := "POST /a//b%2Fc?x=1& host.example body"; <-got != want {
		t.Errorf("the upstream did not receive %q", want)
	}
}

func TestConnectionReuse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		head   string
		after  string
		opened int
	}{
		{"answer with Content-Length", "Content-Length: 2\n", "", 1},
		{"chunked answer", "Transfer-Encoding: chunked\n", "", 1},
		{"Connection: close", "Content-Length: 2\nConnection: close\n", "", 2},
		{"body ended by the end of the connection", "", "", 2},
		{"unsolicited bytes", "Content-Length: 2\n", "HTTP/1.1 200 OK\n", 2},
		{"connection closed without notice", "Content-Length: 2\nX-Test-Closes: 1\n", "", 2},
		{"Keep-Alive timeout of one second", "Content-Length: 2\nKeep-Alive: timeout=1\n", "", 1},
		{"Keep-Alive timeout of zero", "Content-Length: 2\nKeep-Alive: timeout=0\n", "", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
				for {
					req, _ := readRequest(t, r)
					if req == nil {
						return
					}
					body := "ok"
					if strings.Contains(tc.head, "chunked") {
						body = "2\nok\n0\n\n"
					}
					writeText(c, "HTTP/1.1 200 OK\nX-Id: "+req.Header.Get("X-Id")+"\n"+tc.head+"\n"+body+tc.after)
					if tc.head == "" || strings.Contains(tc.head, "X-Test-Closes") {
						return
					}
				}
			})
			p := newPool()
			for _, id := range []string{"1", "2"} {
				if body, err := ask(t, p, u.address, request(id)); err != nil || body != "ok" {
					t.Fatalf("answer %s: %q, %v", id, body, err)
				}
				// Waits until bytes that the upstream sends after its answer have arrived.
				time.Sleep(10 * time.Millisecond)
			}
			if n := len(u.opened); n != tc.opened {
				t.Errorf("%d connections, want %d", n, tc.opened)
			}
		})
	}
}

// An upstream may answer a request twice. The repeated answer must not be taken for the answer to
// the next request.
func TestRepeatedAnswerIsSkipped(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nfirst")
		readRequest(t, r)
		writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nfirst")
		writeText(c, "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 6\n\nsecond")
	})
	p := newPool()
	for id, want := range map[string]string{"1": "first"} {
		if body, err := ask(t, p, u.address, request(id)); err != nil || body != want {
			t.Fatalf("answer %q, %v; want %q", body, err, want)
		}
	}
	if body, err := ask(t, p, u.address, request("2")); err != nil || body != "second" {
		t.Errorf("answer %q, %v; want the answer to the second request", body, err)
	}
}

// Guards against taking an answer for correct whose end only the connection marks, or that more bytes
// follow.
func TestCleanAnswers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer string
		clean  bool
	}{
		{"Content-Length", "Content-Length: 2\n\nok", true},
		{"chunked", "Transfer-Encoding: chunked\n\n2\nok\n0\n\n", true},
		{"Connection: close", "Content-Length: 2\nConnection: close\n\nok", true},
		{"body ended by the end of the connection", "\nok", false},
		{"second answer", "Content-Length: 2\n\nokHTTP/1.1 200 OK\nContent-Length: 2\n\nok", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				writeText(c, "HTTP/1.1 200 OK\n"+tc.answer)
			})
			a, err := newPool().Do(t.Context(), u.address, request("1"))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if a.Clean() {
				t.Error("the answer is clean before its body was read")
			}
			if _, err := io.ReadAll(a); err != nil {
				t.Fatal(err)
			}
			if a.Clean() != tc.clean {
				t.Errorf("the answer is clean: %v, want %v", a.Clean(), tc.clean)
			}
		})
	}
}

func TestErrorTellsWhetherRequestWasSent(t *testing.T) {
	dead, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddress := dead.Addr().String()
	_ = dead.Close()
	for _, tc := range []struct {
		name  string
		serve func(c net.Conn, r *bufio.Reader)
		want  error
	}{
		{"connection refused", nil, ErrNotSent},
		{"connection closed without an answer", func(_ net.Conn, r *bufio.Reader) { readRequest(t, r) }, ErrBroken},
		{"answer that is not HTTP", func(c net.Conn, r *bufio.Reader) {
			readRequest(t, r)
			writeText(c, "what?\n\n")
		}, ErrBroken},
		{"truncated body", func(c net.Conn, r *bufio.Reader) {
			readRequest(t, r)
			writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 9\n\nhalf")
		}, ErrBroken},
		{"missing last chunk", func(c net.Conn, r *bufio.Reader) {
			readRequest(t, r)
			writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n4\nhalf\n")
		}, ErrBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := unusedAddress
			if tc.serve != nil {
				address = newUpstream(t, tc.serve).address
			}
			if _, err := ask(t, newPool(), address, request("1")); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

func TestEarlyAnswerToLargeBody(t *testing.T) {
	big := request("1")
	big.Body = make([]byte, 8<<20)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		writeText(c, "HTTP/1.1 413 Too Large\nX-Id: 1\nContent-Length: 0\n\n")
		time.Sleep(50 * time.Millisecond)
	})
	p := newPool()
	a, err := p.Do(t.Context(), u.address, big)
	if err != nil || a.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("%v, %v; want the early answer", a, err)
	}
	_, _ = io.Copy(io.Discard, a)
	a.Close()
	if c := p.popIdle(request("1").idleKey(u.address)); c != nil {
		t.Error("a connection with a partly sent body was kept")
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	u := newUpstream(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := newPool().Do(ctx, u.address, request("1"))
		failed <- err
	}()
	<-u.opened
	cancel()
	if err := <-failed; err == nil {
		t.Error("a cancelled request got an answer")
	}
	<-closed
}

func TestIdleConnectionExpires(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 0\nKeep-Alive: timeout=2\n\n")
		_, _ = r.ReadByte()
	})
	p := newPool()
	if _, err := ask(t, p, u.address, request("1")); err != nil {
		t.Fatal(err)
	}
	p.Sweep()
	if len(p.idle[request("1").idleKey(u.address)]) != 1 {
		t.Fatal("a usable connection was closed")
	}
	later := time.Now().Add(1400 * time.Millisecond)
	p.now = func() time.Time { return later }
	p.Sweep()
	if len(p.idle[request("1").idleKey(u.address)]) != 0 {
		t.Error("a connection was kept within IdleMargin of the upstream's timeout")
	}
}

// A request may be cancelled while its answer is closed and its connection returned to the pool.
// Neither the cancellation nor a concurrent sweep may close a connection that already carries the
// next request.
func TestCancelDoesNotAffectNextRequest(t *testing.T) {
	const rounds = 300
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _ := readRequest(t, r)
			if req == nil {
				return
			}
			writeText(c, "HTTP/1.1 200 OK\nX-Id: "+req.Header.Get("X-Id")+"\nContent-Length: 2\n\nok")
		}
	})
	go func() {
		// Empties the channel, which would otherwise block the upstream after 16 connections.
		for {
			select {
			case <-u.opened:
			case <-t.Context().Done():
				return
			}
		}
	}()
	p := newPool()
	for range rounds {
		ctx, cancel := context.WithCancel(t.Context())
		a, err := p.Do(ctx, u.address, request("1"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(a); err != nil {
			t.Fatal(err)
		}
		go cancel()
		go p.Sweep()
		a.Close()
		if body, err := ask(t, p, u.address, request("2")); err != nil || body != "ok" {
			t.Fatalf("the next request got %q, %v", body, err)
		}
	}
}

// A restarted upstream has the same address. A request must not be sent over a connection to its
// previous incarnation, since the caller could not tell whether the request ran.
func TestConnectionToPreviousIncarnationIsNotReused(t *testing.T) {
	p, address := newPool(), "127.0.0.1:0"
	for _, id := range []string{"1", "2"} {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		address = l.Addr().String()
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			_, _ = io.WriteString(w, "start "+id)
		})}
		go func() { _ = s.Serve(l) }()
		for _, request := range []Request{request(id + "a"), request(id + "b")} {
			if body, err := ask(t, p, address, request); err != nil || body != "start "+id {
				t.Errorf("request %s: %q, %v; want the answer of start %s", request.ID, body, err, id)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		// Waits until the end of the connection has arrived.
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLateAnswerIsTakenForAnotherOne guards against late second answers of an upstream: to a request, in the place of
// the answer to a command, which has no identifier, and to a command, in the place of the answer to the next one.
func TestLateAnswerIsTakenForAnotherOne(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		late := ""
		for {
			req, body := readRequest(t, r)
			if req == nil {
				return
			}
			writeText(c, late)
			late = "HTTP/1.1 200 OK\nX-Id: " + req.Header.Get("X-Id") + "\nContent-Length: " + strconv.Itoa(len(body)) + "\n\n" + body
			writeText(c, late)
		}
	})
	p := newPool()
	command := func(body string) Request {
		return Request{Method: http.MethodPost, Target: "/command", Host: "host.example", Header: http.Header{}, Body: []byte(body), OwnConnection: true}
	}
	query := command("query")
	query.OwnConnection = false
	for _, req := range []Request{request("1"), query, command("first"), command("second"), request("2")} {
		if body, err := ask(t, p, u.address, req); err != nil || body != string(req.Body) {
			t.Errorf("%s %q: got %q, %v", req.Target, req.Body, body, err)
		}
	}
}

// A late second answer to a request was taken for the answer when the request was sent again, although another
// request had used the connection in between.
func TestLateAnswerToAnEarlierAttempt(t *testing.T) {
	for _, tc := range []struct {
		name string
		// ids are the identifiers of the requests, and second names the one that is answered twice, the second
		// time after the last request.
		ids    []string
		second string
		opened int
	}{
		{"the request is sent again", []string{"1", "1"}, "1", 2},
		{"another request comes in between", []string{"1", "2", "1"}, "1", 2},
		{"the late answer is to an earlier request", []string{"1", "2", "3"}, "1", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var mu sync.Mutex
			arrived := 0
			var late net.Conn
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
				for {
					req, _ := readRequest(t, r)
					if req == nil {
						return
					}
					id := req.Header.Get("X-Id")
					mu.Lock()
					arrived++
					body := strconv.Itoa(arrived)
					if id == tc.second && arrived == 1 {
						late = c
					}
					if arrived == len(tc.ids) {
						writeText(late, "HTTP/1.1 200 OK\nX-Id: "+tc.second+"\nContent-Length: 4\n\nlate")
					}
					mu.Unlock()
					writeText(c, "HTTP/1.1 200 OK\nX-Id: "+id+"\nContent-Length: 1\n\n"+body)
				}
			})
			p := newPool()
			for i, id := range tc.ids {
				if body, err := ask(t, p, u.address, request(id)); err != nil || body != strconv.Itoa(i+1) {
					t.Errorf("attempt %d, request %s: %q, %v", i+1, id, body, err)
				}
			}
			if n := len(u.opened); n != tc.opened {
				t.Errorf("%d connections opened, want %d", n, tc.opened)
			}
		})
	}
}

// Connections were shared by requests for two upstreams that had an address one after the other.
func TestConnectionOfAnotherUpstream(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for req, _ := readRequest(t, r); req != nil; req, _ = readRequest(t, r) {
			writeText(c, "HTTP/1.1 200 OK\nX-Id: "+req.Header.Get("X-Id")+"\nContent-Length: 2\n\nok")
		}
	})
	p := newPool()
	for i, upstream := range []string{"a", "b", "a"} {
		req := request(strconv.Itoa(i))
		req.Upstream = upstream
		if body, err := ask(t, p, u.address, req); err != nil || body != "ok" {
			t.Errorf("answer %q, %v", body, err)
		}
	}
	if n := len(u.opened); n != 2 {
		t.Errorf("%d connections opened, want one for each upstream", n)
	}
}
