package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/sparshore/sparshore/internal/commandline"
	"github.com/sparshore/sparshore/internal/version"
)

type arguments struct {
	Entry   *EntrySettings   `arg:"subcommand:entry" help:"serve callers and operators"`
	Sidecar *SidecarSettings `arg:"subcommand:sidecar" help:"admit requests to one upstream"`
	Gateway *GatewaySettings `arg:"subcommand:gateway" help:"serve callers by a route table in the store of the platform"`
}

// Description returns the description in the help text.
func (arguments) Description() string {
	return "sparshored routes requests to inference engines under load and streams their answers.\n"
}

// Version returns what --version prints.
func (arguments) Version() string { return "sparshored " + version.String() }

// gcPercent lets the garbage collector run more often to save memory: a process has 64 MB for
// control data, and the live heap of a sidecar consists mostly of stream buffers.
const gcPercent = 50

// Main runs the daemon and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var a arguments
	_, code, done := commandline.Parse("sparshored", &a, args, stdout, stderr)
	if done {
		return code
	}
	debug.SetGCPercent(gcPercent)
	var err error
	switch {
	case a.Entry != nil:
		err = RunEntry(context.Background(), *a.Entry, stderr)
	case a.Gateway != nil:
		err = RunGateway(context.Background(), *a.Gateway, stdout)
	default:
		err = RunSidecar(context.Background(), *a.Sidecar, stderr)
	}
	switch {
	case err == nil:
		return commandline.ExitOK
	case errors.Is(err, ErrSettings):
		_, _ = fmt.Fprintf(stderr, "sparshored: %v\n", err)
		return commandline.ExitUsage
	default:
		_, _ = fmt.Fprintf(stderr, "sparshored: %v\n", err)
		return commandline.ExitFailure
	}
}
