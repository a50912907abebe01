// Package guard turns a panic into an error. Code that processes data from other processes calls it, because
// a panic over such data would crash every process that reads the same data, and crash it again after each
// restart.
package guard

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// ErrPanic is wrapped by the errors that Do returns for a panic.
var ErrPanic = errors.New("panic in this program")

// maxStackBytes bounds the stack trace in an error; it holds about twenty calls.
const maxStackBytes = 4 << 10

// Do calls f and returns its error, or one that wraps ErrPanic if it panicked.
func Do(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			err = fmt.Errorf("%w: %v: %s", ErrPanic, v, stack[:min(len(stack), maxStackBytes)])
		}
	}()
	return f()
}
