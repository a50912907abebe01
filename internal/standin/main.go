package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/sparshore/sparshore/internal/commandline"
	"github.com/sparshore/sparshore/internal/enginemodel"
	"github.com/sparshore/sparshore/internal/version"
)

type engineArguments struct {
	Listen        string        `arg:"--listen,required" help:"address to listen on"`
	Speed         float64       `arg:"--speed" default:"1" help:"speed relative to real time"`
	Blocks        int           `arg:"--blocks" default:"2000" help:"number of KV blocks"`
	LoadLag       time.Duration `arg:"--load-lag" default:"500ms" help:"age of the load report"`
	ChecksFencing bool          `arg:"--checks-orders" help:"reject commands with an old fencing token"`
	Seed          uint64        `arg:"--seed" default:"1" help:"seed of the random output lengths"`
}

type listenArguments struct {
	Listen string `arg:"--listen,required" help:"address to listen on"`
}

type relayArguments struct {
	Listen  string `arg:"--listen,required" help:"address to listen on"`
	Control string `arg:"--control,required" help:"address of the control API"`
	To      string `arg:"--to,required" help:"address to forward connections to"`
}

type arguments struct {
	Engine   *engineArguments `arg:"subcommand:engine" help:"a model engine"`
	Service  *listenArguments `arg:"subcommand:service" help:"a plain service"`
	Platform *listenArguments `arg:"subcommand:platform" help:"table store, object store and VM list"`
	Relay    *relayArguments  `arg:"subcommand:relay" help:"a TCP proxy that can be cut"`
}

// Description implements arg.Described: it is part of the help text.
func (arguments) Description() string {
	return "sparshore-standin simulates the systems around sparshore for tests and the demo.\n"
}

// Version implements arg.Versioned: it is the output of --version.
func (arguments) Version() string { return "sparshore-standin " + version.String() }

// Main runs the stand-in that the arguments select until SIGTERM or SIGINT, and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var a arguments
	_, code, done := commandline.Parse("sparshore-standin", &a, args, stdout, stderr)
	if done {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, a); err != nil {
		_, _ = fmt.Fprintf(stderr, "sparshore-standin: %v\n", err)
		return commandline.ExitFailure
	}
	return commandline.ExitOK
}

func run(ctx context.Context, a arguments) error {
	switch {
	case a.Engine != nil:
		model := enginemodel.DefaultSettings()
		model.Blocks = a.Engine.Blocks
		e := NewEngine(EngineSettings{
			Model: model, Speed: a.Engine.Speed, LoadLag: a.Engine.LoadLag,
			ChecksFencing: a.Engine.ChecksFencing, Seed: a.Engine.Seed,
		})
		go e.Run(ctx)
		return serve(ctx, a.Engine.Listen, e.Handler())
	case a.Service != nil:
		return serve(ctx, a.Service.Listen, NewService().Handler())
	case a.Relay != nil:
		r, err := NewTCPProxy(a.Relay.Listen, a.Relay.To)
		if err != nil {
			return err
		}
		defer r.Close()
		return serve(ctx, a.Relay.Control, r.Handler())
	default:
		return serve(ctx, a.Platform.Listen, NewPlatform(time.Now).Handler())
	}
}

func serve(ctx context.Context, addr string, h http.Handler) error {
	s := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
