// Package kernel runs the services of a process as an fx application. Services look each other up by name
// in a Registry. They start in the order of the list that is passed to Run and stop in reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// ErrNoService is wrapped when a name is not registered, or is registered with a value of another type.
var ErrNoService = errors.New("no such service")

// Name identifies a service in a process.
type Name string

// Registry holds the services of one process.
type Registry struct {
	mu     sync.RWMutex
	values map[Name]any
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry { return &Registry{values: map[Name]any{}} }

// Register stores value under name and replaces any earlier value.
func (r *Registry) Register(name Name, value any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] = value
}

// Lookup returns the service called name, or an error that wraps ErrNoService.
func Lookup[T any](r *Registry, name Name) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	v, ok := r.values[name].(T)
	if !ok {
		return v, fmt.Errorf("%w: %s", ErrNoService, name)
	}
	return v, nil
}

// Service is one part of a process. Build creates the value that others look
// up; Start and Stop may be nil.
type Service struct {
	Name  Name
	Build func(r *Registry) (any, error)
	Start func(ctx context.Context, r *Registry) error
	Stop  func(ctx context.Context, r *Registry) error
}

// Limits are the time limits for the start and the planned stop of a process.
type Limits struct {
	Start time.Duration
	Stop  time.Duration
}

// Run builds and starts the services, waits for SIGTERM, SIGINT or the end of
// ctx, and stops them.
func Run(ctx context.Context, limits Limits, services []Service) error {
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(NewRegistry),
		fx.Invoke(func(lc fx.Lifecycle, r *Registry) error { return install(lc, r, services) }),
		fx.StartTimeout(limits.Start),
		fx.StopTimeout(limits.Stop),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("build: %w", err)
	}
	// The signals stay caught until the services have stopped: several restarts may follow each other
	// closely, and the default action of a second SIGTERM would end the process during its planned stop.
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(sigs)
	startCtx, cancelStart := context.WithTimeout(context.WithoutCancel(ctx), limits.Start)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	waitForEnd(ctx, sigs)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), limits.Stop)
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// waitForEnd waits for a termination signal or the end of ctx.
func waitForEnd(ctx context.Context, sigs <-chan os.Signal) {
	select {
	case <-sigs:
	case <-ctx.Done():
	}
}

func install(lc fx.Lifecycle, r *Registry, services []Service) error {
	for _, s := range services {
		v, err := s.Build(r)
		if err != nil {
			return fmt.Errorf("service %s: %w", s.Name, err)
		}
		r.Register(s.Name, v)
		lc.Append(hook(r, s))
	}
	return nil
}

func hook(r *Registry, s Service) fx.Hook {
	h := fx.Hook{}
	if s.Start != nil {
		h.OnStart = func(ctx context.Context) error { return s.Start(ctx, r) }
	}
	if s.Stop != nil {
		h.OnStop = func(ctx context.Context) error { return s.Stop(ctx, r) }
	}
	return h
}
