package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sparshore/sparshore/internal/jsonbound"
)

// ErrTooLong is wrapped when a message exceeds maxMessageBytes.
var ErrTooLong = errors.New("message exceeds a size bound")

// maxMessageBytes bounds one message. The longest are the answers of plain services, of 8 MiB and base64-encoded,
// and whole tables, which are compressed.
const maxMessageBytes = 32 << 20

// codec writes messages with their length in front, and reads bounded ones.
type codec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec. An error ends the connection.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if n > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes, at most %d are read", ErrTooLong, n, maxMessageBytes)
	}
	var message bytes.Buffer
	if _, err := io.CopyN(&message, stream, int64(n)); err != nil {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	}
	return jsonbound.Unmarshal(message.Bytes(), maxMessageBytes, v)
}
