// Package jsonbound bounds JSON from other processes before a decoder reads it. Decoders recurse for each level of
// nesting: a stack overflow ends the process and cannot be recovered, and some decoders read the inner levels again at
// each level, so that their time grows with the square of the depth.
package jsonbound

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/sizebound"
)

// ErrTooDeep is wrapped by the errors for JSON that is nested deeper than MaxDepth.
var ErrTooDeep = errors.New("JSON is nested too deeply")

const (
	// MaxDepth is the number of arrays and objects that may be nested. Those of this program and of the platform
	// nest at most six.
	MaxDepth = 128
	// MaxEmbeddedDepth is MaxDepth for texts that are sent on as a part of a message. The levels of the message add
	// to theirs, and a message that nests too deeply ends a connection that others use as well.
	MaxEmbeddedDepth = MaxDepth / 2
)

// MaxRowBytes is the size of the rows that the store keeps.
const MaxRowBytes = 64 << 10

// Check returns an error that wraps ErrTooDeep or sizebound.ErrTooLong if a text has more than maxBytes bytes, or
// nests more than MaxDepth arrays and objects. It neither allocates nor recurses and does not check the syntax
// otherwise: up to a syntax error, where decoders stop, it counts as they do.
func Check(text []byte, maxBytes int) error { return check(text, maxBytes, MaxDepth) }

func check(text []byte, maxBytes, maxDepth int) error {
	if len(text) > maxBytes {
		return fmt.Errorf("%w: more than %d bytes", sizebound.ErrTooLong, maxBytes)
	}
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i+1)
		case '[', '{':
			if depth++; depth > maxDepth {
				return fmt.Errorf("%w: more than %d levels at byte %d", ErrTooDeep, maxDepth, i)
			}
		case ']', '}':
			depth--
		}
	}
	return nil
}

// stringEnd returns the index of the quotation mark that ends the string whose content begins at index i.
func stringEnd(text []byte, i int) int {
	for i < len(text) && text[i] != '"' {
		if text[i] == '\\' {
			i++
		}
		i++
	}
	return i
}

// CheckEmbedded is Check with MaxEmbeddedDepth.
func CheckEmbedded(text []byte, maxBytes int) error { return check(text, maxBytes, MaxEmbeddedDepth) }

// ErrInvalid is wrapped by the errors for a text that cannot be decoded.
var ErrInvalid = errors.New("invalid JSON")

// maxExcerptBytes bounds how much of a decoder's error is repeated. Errors are logged, and those of decoders repeat
// numbers of any length.
const maxExcerptBytes = 128

// Unmarshal decodes a text that Check accepts, as json.Unmarshal does, but with short errors.
func Unmarshal(text []byte, maxBytes int, into any) error {
	return unmarshal(text, into, Check(text, maxBytes))
}

// UnmarshalEmbedded is Unmarshal for a text that CheckEmbedded accepts.
func UnmarshalEmbedded(text []byte, maxBytes int, into any) error {
	return unmarshal(text, into, CheckEmbedded(text, maxBytes))
}

func unmarshal(text []byte, into any, checked error) error {
	if checked != nil {
		return checked
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%w: %s", ErrInvalid, events.Excerpt(err.Error(), maxExcerptBytes))
	}
	return nil
}
