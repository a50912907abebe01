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
	Sidecar *SidecarSettings `arg:"subcommand:sidecar" help:"guard one upstream"`
	Gateway *GatewaySettings `arg:"subcommand:gateway" help:"serve callers over a route table kept in the platform's store"`
}

// Description is printed in the help text.
func (arguments) Description() string {
	return "sparshored serves streamed model answers from crowded engines.\n"
}

// Version is printed by --version.
func (arguments) Version() string { return "sparshored " + version.String() }

// gcPercent trades a little processor time for memory: a process has 64 MB for
// control, and a sidecar's live heap is mostly buffers of streams.
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
