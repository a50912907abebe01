// Package ctl holds the commands of sparshorectl, one file each.
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

// The exit codes beyond those of all programs.
const (
	exitRefused = 3
	exitPending = 4
)

// errRefused is wrapped when a change was refused.
var errRefused = errors.New("refused")

// errPending is wrapped when a change is committed and not in force everywhere.
var errPending = errors.New("not in force everywhere yet")

type arguments struct {
	Config     *configCommand     `arg:"subcommand:config" help:"check, apply, show or compare configurations"`
	Policy     *policyCommand     `arg:"subcommand:policy" help:"check policies, or explain them on sample requests"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show all processes and what is in force"`
	Zone       *zoneCommand       `arg:"subcommand:zone" help:"show zones"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"give an upstream no new work"`
	Quarantine *quarantineCommand `arg:"subcommand:quarantine" help:"show and lift what keeps requests that crash upstreams from them"`
	Timeline   *timelineCommand   `arg:"subcommand:timeline" help:"show the events of all processes in order"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"tell the story of one request from log files"`
	Change     *changeCommand     `arg:"subcommand:change" help:"show where a configuration change stands"`
	Load       *loadCommand       `arg:"subcommand:load" help:"send a bounded load to a loopback address and measure it"`
	HashKey    *hashKeyCommand    `arg:"subcommand:hash-key" help:"print the stored form of a key or token"`
	Completion *completionCommand `arg:"subcommand:completion" help:"print a completion script for bash"`
	Show       *versionCommand    `arg:"subcommand:version" help:"print the version"`

	Server string `arg:"--server,env:SPARSHORE_SERVER" default:"http://127.0.0.1:8080" help:"address of any entry"`
	Token  string `arg:"--token,env:SPARSHORE_TOKEN" help:"operator's token"`
	Output string `arg:"--output,env:SPARSHORE_OUTPUT" default:"table" help:"table or json"`
}

// Description is printed in the help text.
func (arguments) Description() string {
	return "sparshorectl operates a sparshore deployment.\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 committed but not in force everywhere yet.\n"
}

// Version is printed by --version.
func (arguments) Version() string { return "sparshorectl " + version.String() }

// command is one thing the tool can do.
type command interface {
	run(env *environment) error
}

// environment is what commands act on: the seams to files, network and output.
type environment struct {
	api      *api
	json     bool
	stdout   io.Writer
	stderr   io.Writer
	readFile func(name string) ([]byte, error)
}

// Main runs the tool and returns its exit code.
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
