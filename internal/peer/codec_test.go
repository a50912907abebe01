package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a peer that fills the memory with a message without end.
func TestLongMessageEndsConnection(t *testing.T) {
	const endlessBytes = 2 * maxMessageBytes
	s := startServer(t, Methods{})
	nc, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, err = nc.Write(append(binary.AppendUvarint(nil, 1<<62), []byte(`{"method":"`)...))
	block := bytes.Repeat([]byte("x"), 64<<10)
	sent := 0
	for ; err == nil && sent < endlessBytes; sent += len(block) {
		_, err = nc.Write(block)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, nc)
		t.Errorf("the connection was open after %d bytes, then %v", sent, err)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("%v; want a closed connection", err)
	}
}

// Guards against a bound that ends the connection for a long answer.
func TestLongMessageIsRead(t *testing.T) {
	const size = 24 << 20
	s := startServer(t, Methods{"ask": func(context.Context, *Conn, json.RawMessage) (any, error) {
		return strings.Repeat("x", size), nil
	}})
	c, err := Dial(t.Context(), s.Addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var got string
	if err := c.Call(t.Context(), "ask", nil, &got); err != nil || len(got) != size {
		t.Errorf("%d bytes, %v; want %d", len(got), err, size)
	}
}
