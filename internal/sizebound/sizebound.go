// Package sizebound holds the bounds on the heads of HTTP/1 responses that all clients of this program have, and the
// error for a response that exceeds a bound. Some failing servers send without end.
package sizebound

import (
	"errors"
	"net/http"
)

// ErrTooLong is wrapped when a response exceeds a bound on what is read of it.
var ErrTooLong = errors.New("answer exceeds a size bound")

// MaxHeadBytes bounds in bytes the head of a response, together with the informational (1xx) responses before it.
const MaxHeadBytes = 64 << 10

// MaxHeadLines bounds the lines of a head, together with those of the informational (1xx) responses before it. A
// short line costs the parser about 25 times its bytes: for the 11,000 different lines that fit into 64 KiB it took
// 1.7 MB, of which 1.0 MB remained with the response. 512 lines take 64 KB.
const MaxHeadLines = 512

// Lines counts the lines of a head, and of the informational responses before it, as they arrive. The zero value is
// at the beginning of a head.
type Lines struct {
	count int
	// filled is set if the current line is not empty.
	filled bool
	// inHeader is set after the status line, spaced after its first space, and code is the byte after that.
	inHeader, spaced bool
	code             byte
	ended            bool
}

// Add counts the lines in the bytes that have arrived and reports whether there are at most MaxHeadLines. Bytes
// after the head do not count.
func (l *Lines) Add(b []byte) bool {
	for _, c := range b {
		if l.ended || l.count > MaxHeadLines {
			break
		}
		switch c {
		case '\n':
			l.endLine()
		case '\r':
		default:
			l.filled = true
			l.readStatus(c)
		}
	}
	return l.count <= MaxHeadLines
}

// readStatus finds the first digit of the status code.
func (l *Lines) readStatus(c byte) {
	switch {
	case l.inHeader || l.code != 0:
	case c == ' ':
		l.spaced = true
	case l.spaced:
		l.code = c
	}
}

func (l *Lines) endLine() {
	switch {
	case l.filled || !l.inHeader:
		l.count++
		l.filled, l.inHeader = false, true
	case l.code >= '2' && l.code <= '9':
		l.ended = true
	default:
		// Another head follows an informational response.
		l.inHeader, l.spaced, l.code = false, false, 0
	}
}

// Within reports whether a parsed header has at most MaxHeadLines lines.
func Within(h http.Header) bool {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n <= MaxHeadLines
}
