package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/sparshore/sparshore/internal/link"
)

const (
	// firstBuffer is the size in bytes of the first buffer for a body. Most bodies of plain calls are
	// smaller. A request is refused unless this much memory is left for it.
	firstBuffer = 4 << 10
	// pieceSize is the size in bytes of the pieces in which a longer response is buffered and written. A
	// caller counts as reading if it takes one piece in unreadBeforeEviction.
	pieceSize = 32 << 10
)

// pieces is a buffered response. It is not contiguous, so that its memory is taken as the response
// arrives, without copies, and returned as the caller reads it.
type pieces [][]byte

// size returns the number of bytes of the response.
func (p pieces) size() int {
	n := 0
	for _, b := range p {
		n += len(b)
	}
	return n
}

// memory returns the number of bytes that the pieces occupy.
func (p pieces) memory() int64 {
	var n int64
	for _, b := range p {
		n += int64(cap(b))
	}
	return n
}

// readRequestBody reads a request body, whose length is -1 if it is not known in advance. Whatever length
// was announced, the memory taken is at most twice what has arrived, and three times while the body is
// copied to a larger buffer.
func (g *Gateway) readRequestBody(rq *request, body io.Reader, length int64) ([]byte, error) {
	if rq.memory == nil {
		return io.ReadAll(body)
	}
	if err := g.growMemory(rq, firstBuffer); err != nil {
		return nil, err
	}
	b := make([]byte, 0, bufferFor(length, firstBuffer))
	rq.memory.Shrink(firstBuffer - int64(cap(b)))
	for {
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		if len(b) < cap(b) {
			continue
		}
		larger := bufferFor(length, 2*int64(cap(b)))
		if err := g.growMemory(rq, larger); err != nil {
			return nil, err
		}
		old := b
		b = append(make([]byte, 0, larger), old...)
		rq.memory.Shrink(int64(cap(old)))
	}
}

// bufferFor returns the size of a buffer for a body: size, or less if the body is known to be shorter.
// One byte more than the body is needed to read its end.
func bufferFor(length, size int64) int64 {
	if length >= 0 && length+1 < size {
		return length + 1
	}
	return size
}

// readResponse reads the body of an upstream's response. The error for one that exceeds maxBody wraps
// link.ErrTooLong. If its memory does not fit into the budget, readResponse returns errMemory.
func (g *Gateway) readResponse(rq *request, a *link.Answer) (pieces, error) {
	if rq.memory == nil {
		b, err := a.ReadAll(maxBody(a, maxUnannounced))
		return pieces{b}, err
	}
	most := maxBody(a, maxUnannouncedCounted)
	if a.Length > most {
		return nil, fmt.Errorf("%w: body of %d bytes, at most %d are read", errAnswerTooLong, a.Length, most)
	}
	a.Limit(most + 1 + most/2)
	p, err := g.readPieces(rq, io.LimitReader(a, most+1), a.Length)
	if err == nil && int64(p.size()) > most {
		err = fmt.Errorf("%w: body of more than %d bytes", errAnswerTooLong, most)
	}
	return p, err
}

// errAnswerTooLong is wrapped for a body that exceeds maxBody.
var errAnswerTooLong = fmt.Errorf("%w: %w", link.ErrBroken, link.ErrTooLong)

// readPieces reads a body, whose length is -1 if it is not known in advance, and counts its memory first.
func (g *Gateway) readPieces(rq *request, body io.Reader, length int64) (pieces, error) {
	var p pieces
	for size := bufferFor(length, firstBuffer); ; size = bufferFor(length, pieceSize) {
		if err := g.growMemory(rq, size); err != nil {
			return p, err
		}
		b := make([]byte, size)
		n, err := readFull(body, b)
		p = append(p, b[:n])
		if length >= 0 {
			length = max(length-int64(n), 0)
		}
		if errors.Is(err, io.EOF) {
			return p, nil
		}
		if err != nil {
			return p, err
		}
	}
}

// readFull reads until b is full or an error occurs, which may be io.EOF.
func readFull(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = r.Read(b[n:])
		n += m
	}
	return n, err
}

// discard returns the memory of a response that is not passed on.
func (rq *request) discard(p pieces) {
	if rq.memory != nil {
		rq.memory.Shrink(p.memory())
	}
}

// writeResponse writes a buffered response to the caller and returns its memory as the caller reads.
func (g *Gateway) writeResponse(rq *request, p pieces) {
	if rq.memory == nil {
		for _, b := range p {
			// The connection logs failed writes after the last flush.
			_, _ = rq.w.Write(b)
		}
		return
	}
	rq.memory.Await(g.now())
	var err error
	for i, b := range p {
		if _, err = rq.w.Write(b); err != nil {
			break
		}
		p[i] = nil
		rq.memory.Shrink(int64(cap(b)))
		rq.memory.NoteRead(g.now())
	}
	rq.memory.EndAwait()
	if rq.memory.Evicted() {
		g.callerDisconnected(rq, "getting the response", err)
		panic(http.ErrAbortHandler)
	}
}
