package sidecar

import (
	"errors"
	"net"
)

// refusedConnection reports whether the error came from opening the connection, so that no byte of
// the request was sent.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
