// Package commandline parses the arguments of all sparshore programs in the same way. It prints
// help and version to standard output with exit code 0, and usage errors to standard error with
// exit code 2.
package commandline

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"

	"github.com/sparshore/sparshore/internal/version"
)

// The exit codes that all programs share.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Parse parses args and environment variables into dest. If done is true, the program exits with
// code, after help, version or a usage error have been printed.
func Parse(program string, dest any, args []string, stdout, stderr io.Writer) (parser *arg.Parser, code int, done bool) {
	p, err := arg.NewParser(arg.Config{Program: program}, dest)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return nil, ExitUsage, true
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return p, ExitOK, true
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(stdout, program, version.String())
		return p, ExitOK, true
	case err != nil:
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return p, ExitUsage, true
	case p.Subcommand() == nil:
		p.WriteHelp(stderr)
		return p, ExitUsage, true
	}
	return p, ExitOK, false
}
