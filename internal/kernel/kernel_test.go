package kernel

import (
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
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

func TestLookupFailsForUnknownNameOrWrongType(t *testing.T) {
	r := NewRegistry()
	r.Register("n", 7)
	if n, err := Lookup[int](r, "n"); err != nil || n != 7 {
		t.Errorf("Lookup(n) = %d, %v", n, err)
	}
	if _, err := Lookup[string](r, "n"); !errors.Is(err, ErrNoService) {
		t.Errorf("wrong type: err = %v", err)
	}
}

// A second SIGTERM, as several restarts in a row send it, must not end a process that is still finishing its
// requests in flight. If the signal is no longer caught during the stop, it ends the test process itself.
func TestSecondSignalDoesNotInterruptStop(t *testing.T) {
	stopped := false
	stop := func(context.Context, *Registry) error {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
		stopped = true
		return nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := Run(ctx, Limits{Start: time.Second, Stop: time.Second}, []Service{{
		Name:  "busy",
		Build: func(*Registry) (any, error) { return 1, nil },
		Stop:  stop,
	}})
	if err != nil || !stopped {
		t.Errorf("stopped %v: %v", stopped, err)
	}
}
