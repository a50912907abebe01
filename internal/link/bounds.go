package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"

	"github.com/sparshore/sparshore/internal/httphead"
	"github.com/sparshore/sparshore/internal/sizebound"
)

// ErrTooLong is wrapped, together with ErrBroken, when an answer exceeds a bound on what is read of it. Some
// failing upstreams send without end.
var ErrTooLong = sizebound.ErrTooLong

const (
	// maxSkippedBytes bounds in bytes the repeated answers to the previous request that are skipped before
	// the answer to a request, heads included, and maxSkipped bounds their number.
	maxSkippedBytes = 1 << 20
	maxSkipped      = 16
)

// boundedReader counts the bytes that are read from a connection and bounds their number, and that of the lines of a
// head.
type boundedReader struct {
	io.Reader
	read int64
	// most is the number of bytes that may be read.
	most int64
	// lines counts the lines of the current head.
	lines sizebound.Lines
	// exceeded is set once a read was refused.
	exceeded bool
}

// Read reads from the connection. It returns ErrTooLong once the bound is reached.
func (b *boundedReader) Read(p []byte) (int, error) {
	left := b.most - b.read
	if left <= 0 {
		b.exceeded = true
		return 0, ErrTooLong
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), left)])
	b.read += int64(n)
	if !b.lines.Add(p[:n]) {
		b.exceeded = true
		return 0, ErrTooLong
	}
	return n, err
}

// answerReader reads answers from a connection, with bounds while limit applies.
type answerReader struct {
	*bufio.Reader
	source *boundedReader
}

func newAnswerReader(r io.Reader) *answerReader {
	source := &boundedReader{Reader: r, most: math.MaxInt64}
	return &answerReader{Reader: bufio.NewReaderSize(source, readBufferSize), source: source}
}

// consumed returns the number of bytes that were read from the buffer.
func (r *answerReader) consumed() int64 { return r.source.read - int64(r.Buffered()) }

// limit makes reads return ErrTooLong after n more bytes, until unlimit is called.
func (r *answerReader) limit(n int64) { r.source.most = r.consumed() + n }

func (r *answerReader) unlimit() { r.source.most = math.MaxInt64 }

// readHead reads the head of the final answer and skips informational ones.
func (r *answerReader) readHead(method string) (*http.Response, error) {
	r.limit(sizebound.MaxHeadBytes)
	defer r.unlimit()
	r.source.lines = sizebound.Lines{}
	if buffered, _ := r.Peek(r.Buffered()); !r.source.lines.Add(buffered) {
		return nil, ErrTooLong
	}
	for range httphead.MaxInformational + 1 {
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if r.source.exceeded {
			// net/http may report that the line is malformed in which the bound lies.
			return nil, ErrTooLong
		}
		if err != nil {
			return nil, err
		}
		if err := httphead.Check(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, ErrTooLong
}

// skip reads the body of an answer that is not wanted, up to most bytes.
func (r *answerReader) skip(resp *http.Response, most int64) error {
	r.limit(most)
	defer r.unlimit()
	_, err := io.Copy(io.Discard, resp.Body)
	if err == nil {
		err = httphead.CheckFields(resp.Trailer)
	}
	if err == nil && resp.Close {
		err = io.EOF
	}
	return err
}

// Limit makes reads of the body return ErrTooLong after n more bytes from the connection, which includes the
// sizes and extensions of chunks. A later call replaces the bound.
func (a *Answer) Limit(n int64) { a.conn.r.limit(n) }

// ReadAll reads the body, which may have most bytes, and half as many for the framing of its chunks. The error
// for a longer one wraps ErrBroken and ErrTooLong, and none of it is read if its head announces the length.
func (a *Answer) ReadAll(most int64) ([]byte, error) {
	if a.Length > most {
		return nil, fmt.Errorf("%w: %w: body of %d bytes, at most %d are read", ErrBroken, ErrTooLong, a.Length, most)
	}
	a.Limit(most + 1 + most/2)
	body, size := []byte(nil), firstBodyBytes
	for {
		// io.ReadAll would leave about four times as much for the garbage collector.
		body = slices.Grow(body, int(min(int64(size), most+1))-len(body))
		n, err := io.ReadFull(a, body[len(body):min(int64(cap(body)), most+1)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > most:
			return nil, fmt.Errorf("%w: %w: body of more than %d bytes", ErrBroken, ErrTooLong, most)
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && a.eof:
			return body, nil
		case err != nil:
			return body, err
		}
		size *= 2
	}
}

// firstBodyBytes is the size in bytes of the first buffer for a body.
const firstBodyBytes = 512
