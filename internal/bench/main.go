package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/sparshore/sparshore/internal/commandline"
	"github.com/sparshore/sparshore/internal/placement/replay"
	"github.com/sparshore/sparshore/internal/version"
)

type decisionCommand struct {
	Tuning    bool   `arg:"--tuning" help:"use the tuning seeds, not the held-out ones"`
	Ablations bool   `arg:"--ablations" help:"take single parts of the decision out"`
	Faults    bool   `arg:"--faults" help:"run the faulty conditions"`
	JSON      string `arg:"--json" help:"file for the rows as JSON"`
	Plots     string `arg:"--plots" help:"folder for the plots"`
}

type placementCommand struct {
	Loads []float64 `arg:"--load,separate" help:"a number by which arrivals are multiplied"`
	Seeds int       `arg:"--seeds" default:"4" help:"how many seeds are played"`
}

type arguments struct {
	Decision  *decisionCommand  `arg:"subcommand:decision" help:"the decision beside its baselines"`
	Placement *placementCommand `arg:"subcommand:placement" help:"where generations go when memory is short, beside other ways"`
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
	if err := a.run(stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "sparshore-bench: %v\n", err)
		return commandline.ExitFailure
	}
	return commandline.ExitOK
}

func (a *arguments) run(stdout io.Writer) error {
	if a.Placement != nil {
		return a.Placement.run(stdout)
	}
	return a.Decision.run(stdout)
}

// defaultLoads are from a load that fits to twice what the engines can do.
var defaultLoads = []float64{0.85, 1, 1.25, 1.6, 2}

func (c *placementCommand) run(stdout io.Writer) error {
	loads := c.Loads
	if len(loads) == 0 {
		loads = defaultLoads
	}
	return replay.Compare(stdout, loads, max(c.Seeds, 1))
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
