package ctl

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/policy"
)

type configCommand struct {
	Check *configCheckCommand `arg:"subcommand:check" help:"validate a configuration file locally"`
	Apply *configApplyCommand `arg:"subcommand:apply" help:"put a configuration file in force in all processes, or in none"`
	Show  *configShowCommand  `arg:"subcommand:show" help:"print the configuration in force"`
	Diff  *configDiffCommand  `arg:"subcommand:diff" help:"compare a file with the configuration in force"`
}

// errSubcommand is returned by commands that need a subcommand and got none.
var errSubcommand = errors.New("a subcommand is needed; see --help")

func (*configCommand) run(*environment) error { return errSubcommand }

type configCheckCommand struct {
	File string `arg:"positional,required" help:"configuration file"`
}

func (c *configCheckCommand) run(env *environment) error {
	_, err := readConfig(env, c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.stdout, "%s: ok\n", c.File)
	return err
}

// readConfig reads and validates a configuration file and compiles its policies.
func readConfig(env *environment, file string) (*config.Config, error) {
	source, err := env.readFile(file)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, err := config.Parse(file, source)
	if err != nil {
		return nil, err
	}
	if _, err := policy.CompileAll(c); err != nil {
		return nil, err
	}
	return c, nil
}

type configResponse struct {
	Version int64  `json:"version"`
	Hash    string `json:"hash"`
	Source  string `json:"source"`
}

// fetchConfig returns the configuration in force.
func fetchConfig(env *environment) (configResponse, error) {
	var b configResponse
	err := env.api.call(http.MethodGet, "/config", nil, &b)
	return b, err
}

type configShowCommand struct{}

func (*configShowCommand) run(env *environment) error {
	b, err := fetchConfig(env)
	if err != nil {
		return err
	}
	if env.json {
		return env.printJSON(b)
	}
	_, err = fmt.Fprintf(env.stdout, "# version %d, sha256 %s\n%s", b.Version, b.Hash, b.Source)
	return err
}

type configDiffCommand struct {
	File string `arg:"positional,required" help:"configuration file"`
}

func (c *configDiffCommand) run(env *environment) error {
	next, err := readConfig(env, c.File)
	if err != nil {
		return err
	}
	b, err := fetchConfig(env)
	if err != nil {
		return err
	}
	for _, line := range diffLines(strings.Split(b.Source, "\n"), strings.Split(string(next.Source()), "\n")) {
		if _, err := fmt.Fprintln(env.stdout, line); err != nil {
			return err
		}
	}
	return nil
}

// diffLines returns the lines that are only in a, prefixed with "-", and the lines that are only
// in b, prefixed with "+". Lines of the longest common subsequence are omitted.
func diffLines(a, b []string) []string {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	return out
}

type configApplyCommand struct {
	File   string `arg:"positional,required" help:"configuration file"`
	Base   *int64 `arg:"--base" help:"version that the change is based on; default is the version in force"`
	Change string `arg:"--change" help:"identifier of the change; a repeated command with the same identifier does not apply it twice"`
}

type applyRequest struct {
	Change string `json:"change"`
	Base   int64  `json:"base"`
	Source string `json:"source"`
}

type changeOutcome struct {
	State   string   `json:"state"`
	Version int64    `json:"version"`
	Reasons []string `json:"reasons,omitempty"`
}

const changeIDBytes = 8

func (c *configApplyCommand) run(env *environment) error {
	next, err := readConfig(env, c.File)
	if err != nil {
		return err
	}
	in := applyRequest{Change: c.Change, Source: string(next.Source())}
	if in.Change == "" {
		b := make([]byte, changeIDBytes)
		_, _ = rand.Read(b)
		in.Change = hex.EncodeToString(b)
	}
	if c.Base != nil {
		in.Base = *c.Base
	} else {
		b, err := fetchConfig(env)
		if err != nil {
			return err
		}
		in.Base = b.Version
	}
	var out changeOutcome
	if err := env.api.call(http.MethodPost, "/config", in, &out); err != nil {
		return fmt.Errorf("change %s: %w", in.Change, err)
	}
	return printOutcome(env, in.Change, out)
}

// printOutcome prints the outcome of a change and returns an error unless it was accepted.
func printOutcome(env *environment, change string, out changeOutcome) error {
	if env.json {
		if err := env.printJSON(out); err != nil {
			return err
		}
	} else if _, err := fmt.Fprintf(env.stdout, "change %s: %s, version %d\n", change, out.State, out.Version); err != nil {
		return err
	}
	reasons := strings.Join(out.Reasons, "\n  ")
	switch out.State {
	case "accepted":
		return nil
	case "refused":
		return fmt.Errorf("%w:\n  %s", errRefused, reasons)
	default:
		return fmt.Errorf("%w:\n  %s", errPending, reasons)
	}
}
