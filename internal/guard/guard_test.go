package guard

import (
	"errors"
	"strings"
	"testing"
)

func TestDo(t *testing.T) {
	errOwn := errors.New("own")
	for _, tc := range []struct {
		name string
		f    func() error
		want error
	}{
		{"no error", func() error { return nil }, nil},
		{"an error", func() error { return errOwn }, errOwn},
		{"a panic", func() error { panic("oops") }, ErrPanic},
		{"a runtime error", func() error {
			var none []int
			_ = none[len(none)]
			return nil
		}, ErrPanic},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := Do(tc.f)
			if !errors.Is(err, tc.want) {
				t.Errorf("%v, want %v", err, tc.want)
			}
			if errors.Is(tc.want, ErrPanic) && (!strings.Contains(err.Error(), "guard_test.go") || len(err.Error()) > 2*maxStackBytes) {
				t.Errorf("%d bytes, too long or without the location of the panic: %v", len(err.Error()), err)
			}
		})
	}
}
