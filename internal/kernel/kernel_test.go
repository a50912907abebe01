package kernel

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

func TestRunStartsInOrderAndStopsInReverse(t *testing.T) {
	var steps []string
	ctx, cancel := context.WithCancel(t.Context())
	service := func(name Name) Service {
		return Service{
			Name:  name,
			Build: func(*Registry) (any, error) { return string(name), nil },
			Start: func(context.Context, *Registry) error { steps = append(steps, "+"+string(name)); return nil },
			Stop:  func(context.Context, *Registry) error { steps = append(steps, "-"+string(name)); return nil },
		}
	}
	last := service("c")
	last.Start = func(context.Context, *Registry) error { cancel(); return nil }
	if err := Run(ctx, Limits{Start: time.Minute, Stop: time.Minute}, []Service{service("a"), service("b"), last}); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Join(steps, " "), "+a +b -c -b -a"; got != want {
		t.Errorf("steps = %q, want %q", got, want)
	}
}

func TestLookupNamesWhatIsMissing(t *testing.T) {
	r := NewRegistry()
	r.Register("n", 7)
	if n, err := Lookup[int](r, "n"); err != nil || n != 7 {
		t.Errorf("Lookup(n) = %d, %v", n, err)
	}
	if _, err := Lookup[string](r, "n"); !errors.Is(err, ErrNoService) {
		t.Errorf("wrong type: err = %v", err)
	}
}
