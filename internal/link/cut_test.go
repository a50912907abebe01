package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// TestCutAnswerLooksWhole guards against an answer that ends early, at any of its bytes, and looks whole. Only one
// without length and chunks may, and it is not framed.
func TestCutAnswerLooksWhole(t *testing.T) {
	const earlyHints = "HTTP/1.1 103 Early Hints\nLink: </a>\n\n"
	for _, tc := range []struct {
		name, answer string
		// unframed is set if only the end of the connection ends the answer.
		unframed bool
	}{
		{name: "length", answer: "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 2\n\nok"},
		{name: "length after an informational answer", answer: earlyHints + "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 2\n\nok"},
		{name: "chunks", answer: "HTTP/1.1 200 OK\nX-Id: 2\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n"},
		{name: "neither", answer: earlyHints + "HTTP/1.1 200 OK\nX-Id: 2\n\nok", unframed: true},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %v", tc.name, reused), func(t *testing.T) {
				whole := strings.ReplaceAll(tc.answer, "\n", "\r\n")
				for n := range whole {
					checkCutAnswer(t, whole[:n], reused, tc.unframed && strings.Contains(whole[:n], "X-Id: 2\r\n\r\n"))
				}
			})
		}
	}
}

// checkCutAnswer gets an answer that ends with its connection. It may look whole only if it is not framed.
func checkCutAnswer(t *testing.T, cut string, reused, unframed bool) {
	t.Helper()
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if reused {
			readRequest(t, r)
			writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok")
		}
		readRequest(t, r)
		_, _ = io.WriteString(c, cut)
	})
	p := newPool()
	if reused {
		if _, err := ask(t, p, u.address, request("1")); err != nil {
			t.Fatal(err)
		}
	}
	a, err := p.Do(t.Context(), u.address, request("2"))
	if err == nil {
		defer a.Close()
		_, err = io.ReadAll(a)
	}
	switch {
	case unframed && (err != nil || a.Framed || a.Clean()):
		t.Errorf("%q: %v; want an answer that is not framed", cut, err)
	case !unframed && !errors.Is(err, ErrBroken):
		t.Errorf("%q: %v; want ErrBroken", cut, err)
	}
}
