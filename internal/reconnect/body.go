package reconnect

import (
	"errors"
	"fmt"
	"io"

	"github.com/sparshore/sparshore/internal/sizebound"
)

const (
	// firstBodyBytes is the size in bytes of the first buffer for a body.
	firstBodyBytes = 4 << 10
	// smallBodyBytes is the size in bytes up to which a buffer does not count in maxLargeBytes, so that short
	// answers are read whatever is read beside them.
	smallBodyBytes = 256 << 10
)

// maxLargeBytes bounds in bytes the buffers of all bodies that are read at the same time, beyond smallBodyBytes
// each. There is room for the longest answer and a page of usual length. A failing server may send a body without
// end on each connection.
func (s Settings) maxLargeBytes() int64 { return s.MaxBody + s.MaxBody/2 }

// readBody reads a body. It returns sizebound.ErrTooLong for one of more than Settings.MaxBody bytes, and for one
// that does not fit beside the others.
func (c *Client) readBody(body io.Reader) ([]byte, error) {
	counted := int64(0)
	defer func() { c.largeBytes.Add(-counted) }()
	// io.ReadAll would leave about four times as much for the garbage collector.
	b := make([]byte, 0, firstBodyBytes)
	for {
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > c.settings.MaxBody:
			return nil, fmt.Errorf("%w: more than %d bytes", sizebound.ErrTooLong, c.settings.MaxBody)
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		case len(b) < cap(b):
			continue
		}
		// One byte more than the body may have is needed to read its end.
		larger := min(2*int64(cap(b)), c.settings.MaxBody+1)
		if more := larger - smallBodyBytes - counted; more > 0 {
			counted += more
			if c.largeBytes.Add(more) > c.settings.maxLargeBytes() {
				return nil, fmt.Errorf("%w: more than %d bytes beside other long answers", sizebound.ErrTooLong, len(b))
			}
		}
		b = append(make([]byte, 0, larger), b...)
	}
}
