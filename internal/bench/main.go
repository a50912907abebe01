package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/sparshore/sparshore/internal/commandline"
	"github.com/sparshore/sparshore/internal/version"
)

type decisionCommand struct {
	Tuning    bool   `arg:"--tuning" help:"use the tuning seeds, not the held-out ones"`
	Ablations bool   `arg:"--ablations" help:"take single parts of the decision out"`
	Faults    bool   `arg:"--faults" help:"run the faulty conditions"`
	JSON      string `arg:"--json" help:"file for the rows as JSON"`
	Plots     string `arg:"--plots" help:"folder for the plots"`
}

type arguments struct {
	Decision *decisionCommand `arg:"subcommand:decision" help:"the decision beside its baselines"`
}

// Description is printed in the help text.
func (arguments) Description() string { return "sparshore-bench measures on virtual time.\n" }

// Version is printed by --version.
func (arguments) Version() string { return "sparshore-bench " + version.String() }

// Main runs a bench and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var a arguments
	if _, code, done := commandline.Parse("sparshore-bench", &a, args, stdout, stderr); done {
		return code
	}
	if err := a.Decision.run(stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "sparshore-bench: %v\n", err)
		return commandline.ExitFailure
	}
	return commandline.ExitOK
}

const filePermissions = 0o644

func (c *decisionCommand) run(stdout io.Writer) error {
	rows, err := Run(stdout, Options{Tuning: c.Tuning, Ablations: c.Ablations, Faults: c.Faults})
	if err != nil {
		return err
	}
	if c.JSON != "" {
		b, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return fmt.Errorf("rows: %w", err)
		}
		if err := os.WriteFile(c.JSON, append(b, '\n'), filePermissions); err != nil {
			return err
		}
	}
	if c.Plots != "" {
		return plotAll(c.Plots, rows)
	}
	return nil
}
