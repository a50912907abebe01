// Package ctl implements the commands of sparshorectl, one per file. Most commands call the
// administration API of an entry or gateway. The others work on local files, except load, which
// sends requests to loopback addresses.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/sparshore/sparshore/internal/commandline"
	"github.com/sparshore/sparshore/internal/version"
)

// The exit codes in addition to those of internal/commandline.
const (
	exitRefused = 3
	exitPending = 4
)

// errRefused is wrapped by the error for a refused change.
var errRefused = errors.New("refused")

// errPending is wrapped by the error for a committed change that is not yet in force everywhere.
var errPending = errors.New("not in force everywhere yet")

type arguments struct {
	Config     *configCommand     `arg:"subcommand:config" help:"check, apply, show or compare configurations"`
	Policy     *policyCommand     `arg:"subcommand:policy" help:"check policies, or explain them on sample requests"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show all processes and the configuration version in force"`
	Zone       *zoneCommand       `arg:"subcommand:zone" help:"show availability zones"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"stop sending new work to an upstream"`
	Quarantine *quarantineCommand `arg:"subcommand:quarantine" help:"list or clear requests suspected of crashing upstreams"`
	Timeline   *timelineCommand   `arg:"subcommand:timeline" help:"show the events of all processes in order"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"show the events of one request from log files"`
	Change     *changeCommand     `arg:"subcommand:change" help:"show the state of a configuration change"`
	Load       *loadCommand       `arg:"subcommand:load" help:"send a bounded load to a loopback address and measure it"`
	HashKey    *hashKeyCommand    `arg:"subcommand:hash-key" help:"print the stored form of a key or token"`
	Completion *completionCommand `arg:"subcommand:completion" help:"print a completion script for bash"`
	Show       *versionCommand    `arg:"subcommand:version" help:"print the version"`

	Server string `arg:"--server,env:SPARSHORE_SERVER" default:"http://127.0.0.1:8080" help:"address of any entry"`
	Token  string `arg:"--token,env:SPARSHORE_TOKEN" help:"operator's token"`
	Output string `arg:"--output,env:SPARSHORE_OUTPUT" default:"table" help:"table or json"`
}

// Description returns the introduction of the help text.
func (arguments) Description() string {
	return "sparshorectl operates a sparshore deployment.\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 committed but not in force everywhere yet.\n"
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "sparshorectl " + version.String() }

// command is implemented by the subcommands.
type command interface {
	run(env *environment) error
}

// environment gives commands access to the administration API, files and output streams.
type environment struct {
	api      *api
	json     bool
	stdout   io.Writer
	stderr   io.Writer
	readFile func(name string) ([]byte, error)
}

// Main runs the command in args and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, code, done := commandline.Parse("sparshorectl", &a, args, stdout, stderr)
	if done {
		return code
	}
	if a.Output != "table" && a.Output != "json" {
		_, _ = fmt.Fprintf(stderr, "sparshorectl: --output: %q is neither table nor json\n", a.Output)
		return commandline.ExitUsage
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(stderr)
		return commandline.ExitUsage
	}
	env := &environment{
		api: newAPI(a.Server, a.Token), json: a.Output == "json",
		stdout: stdout, stderr: stderr, readFile: os.ReadFile,
	}
	return exitCode(c.run(env), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return commandline.ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "sparshorectl: %v\n", err)
	switch {
	case errors.Is(err, errRefused):
		return exitRefused
	case errors.Is(err, errPending):
		return exitPending
	default:
		return commandline.ExitFailure
	}
}

func (e *environment) printJSON(v any) error {
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table prints rows with aligned columns.
func (e *environment) table(header string, rows [][]any, format string) error {
	t := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, header)
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, format+"\n", r...)
	}
	return t.Flush()
}
