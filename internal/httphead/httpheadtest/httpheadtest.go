// Package httpheadtest has responses for the tests of clients that check heads.
package httpheadtest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Answer is a response. ID stands for the header line that names the request, if the client needs one.
type Answer struct {
	Name string
	text string
}

// New returns a response with a text whose line ends become those of HTTP.
func New(name, text string) Answer { return Answer{name, text} }

// ID is the line in an Answer that stands for the headers that the client needs.
const ID = "ID\n"

const (
	ok     = "HTTP/1.1 200 OK\n" + ID
	length = "Content-Length: 2\n\nok"
	whole  = ok + length
)

// Invalid are responses whose head or trailer is not valid. A client must not take any of them for a response.
var Invalid = []Answer{
	{"status 000", "HTTP/1.1 000 x\n" + ID + length},
	{"status 000 before a response", "HTTP/1.1 000 x\n\n" + whole},
	{"status 000 whose body is a response", "HTTP/1.1 000 x\n" + ID + "Content-Length: 43\n\n" + whole},
	{"status 099 before a response", "HTTP/1.1 099 x\n\n" + whole},
	{"status +99 before a response", "HTTP/1.1 +99 x\n\n" + whole},
	{"status -99", "HTTP/1.1 -99 x\n" + ID + length},
	{"status 101 before a response", "HTTP/1.1 101 Switching Protocols\nUpgrade: x\nConnection: Upgrade\n\n" + whole},
	{"status 600", "HTTP/1.1 600 x\n" + ID + length},
	{"status 999", "HTTP/1.1 999 x\n" + ID + length},
	{"status of two digits", "HTTP/1.1 20 OK\n" + ID + length},
	{"status of four digits", "HTTP/1.1 2000 OK\n" + ID + length},
	{"no status", "HTTP/1.1\n" + ID + length},
	{"version 2.0", "HTTP/2.0 200 OK\n" + ID + length},
	{"version 9.9", "HTTP/9.9 200 OK\n" + ID + length},
	{"control byte in the reason", "HTTP/1.1 200 O\x01K\n" + ID + length},
	{"blank after Content-Length", ok + "Content-Length : 2\n\nok and more"},
	{"blank after Transfer-Encoding", ok + "Transfer-Encoding : chunked\n\n2\nok\n0\n\n"},
	{"blank after a name", ok + "X-Other : 1\n" + length},
	{"blank in a name", ok + "X Other: 1\n" + length},
	{"blank before a name", "HTTP/1.1 200 OK\n X-Other: 1\n" + ID + length},
	{"tab after a name", ok + "X-Other\t: 1\n" + length},
	{"no name", ok + ": 1\n" + length},
	{"no colon", ok + "X-Other\n" + length},
	{"control byte in a name", ok + "X-\x01Other: 1\n" + length},
	{"NUL in a name", ok + "X-\x00Other: 1\n" + length},
	{"byte above 0x7f in a name", ok + "X-\x80Other: 1\n" + length},
	{"parenthesis in a name", ok + "X(Other): 1\n" + length},
	{"control byte in a value", ok + "X-Other: 1\x01\n" + length},
	{"NUL in a value", ok + "X-Other: 1\x00\n" + length},
	{"blank after a name of an informational response", "HTTP/1.1 103 Early Hints\nX-Other : 1\n\n" + whole},
	{"blank after a name in the trailer", ok + "Transfer-Encoding: chunked\n\n2\nok\n0\nX-Other : 1\n\n"},
	{"blank in a name in the trailer", ok + "Transfer-Encoding: chunked\nTrailer: X-Other\n\n2\nok\n0\nX Other: 1\n\n"},
}

// Sound are valid responses with the body "ok".
var Sound = []Answer{
	{"length", whole},
	{"no reason", "HTTP/1.1 200 \n" + ID + length},
	{"no blank after the status", "HTTP/1.1 200\n" + ID + length},
	{"version 1.0", "HTTP/1.0 200 OK\n" + ID + length},
	{"bytes above 0x7f in the reason and a value", "HTTP/1.1 200 \xc3\xa9\n" + ID + "X-Other: \xc3\xa9\n" + length},
	{"tab in the reason and a value", "HTTP/1.1 200 O\tK\n" + ID + "X-Other: 1\t2\n" + length},
	{"every byte that a name may have", ok + "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ: 1\n" + length},
	{"blanks around a value", ok + "X-Other: \t 1 \t\n" + length},
	{"empty value", ok + "X-Other:\n" + length},
	{"folded line", ok + "X-Other: 1\n 2\n" + length},
	{"informational responses", "HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nLink: </a>\n\n" + whole},
	{"chunks", ok + "Transfer-Encoding: chunked\n\n1;x=\"y\"\no\n1\nk\n0\n\n"},
	{"trailer", ok + "Transfer-Encoding: chunked\nTrailer: X-Other\n\n2\nok\n0\nX-Other: 1\n\n"},
	{"neither length nor chunks", ok + "\nok"},
	{"status 299", "HTTP/1.1 299 x\n" + ID + length},
	{"status 599", "HTTP/1.1 599 x\n" + ID + length},
}

// Text returns the bytes of the response, with header lines in the place of ID.
func (a Answer) Text(lines string) string {
	return strings.ReplaceAll(strings.ReplaceAll(a.text, ID, lines), "\n", "\r\n")
}

// Serve returns the URL of a server that gives the response to each request, and then ends the connection.
func (a Answer) Serve(t testing.TB) (url string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, a.Text(""))
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// CheckInvalid has a client read each of Invalid from a server. read returns what the client takes for a response.
func CheckInvalid(t *testing.T, read func(t *testing.T, url string) (response string, err error)) {
	for _, a := range Invalid {
		t.Run(a.Name, func(t *testing.T) {
			if response, err := read(t, a.Serve(t)); err == nil {
				t.Errorf("the response is %s", response)
			}
		})
	}
}

// Repeat returns the URL of a server that sends a text a number of times.
func Repeat(t testing.TB, text string, n int) (url string) {
	return New("", strings.Repeat(text, n)).Serve(t)
}
