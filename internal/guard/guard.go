// Package guard turns faults of this program into errors where what was read from others
// caused them: each process that reads the same would end by it, one after the other, and
// again at its next start.
package guard

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// ErrFault is wrapped by the errors for faults.
var ErrFault = errors.New("a fault of this program")

// mostStack bounds in bytes the stack in an error: some twenty calls.
const mostStack = 4 << 10

// Do calls f and returns its error, or one that wraps ErrFault if it panicked.
func Do(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			err = fmt.Errorf("%w: %v: %s", ErrFault, v, stack[:min(len(stack), mostStack)])
		}
	}()
	return f()
}
