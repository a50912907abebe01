package ctl

import (
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/policy"
)

type policyCommand struct {
	Check   *policyCheckCommand   `arg:"subcommand:check" help:"compile the policies of a configuration file"`
	Explain *policyExplainCommand `arg:"subcommand:explain" help:"show which sample requests start, wait or are refused"`
}

func (*policyCommand) run(*environment) error { return errSubcommand }

type policyCheckCommand struct {
	File string `arg:"positional,required" help:"configuration file"`
}

func (c *policyCheckCommand) run(env *environment) error {
	cfg, err := readConfig(env, c.File)
	if err != nil {
		return err
	}
	for _, p := range cfg.Policies() {
		if _, err := fmt.Fprintf(env.stdout, "%s: ok\n", p.Name); err != nil {
			return err
		}
	}
	return nil
}

type policyExplainCommand struct {
	File    string `arg:"positional,required" help:"configuration file"`
	Samples string `arg:"positional,required" help:"file of sample requests"`
	Pool    string `arg:"--pool" help:"pool whose policy is explained; default is the first engine pool"`
}

// sampleFile describes the state of an engine and the requests that arrive there at the same
// time.
type sampleFile struct {
	Engine struct {
		Blocks      int `yaml:"blocks"`
		BlockTokens int `yaml:"block_tokens"`
		// Running are the streams that run before the requests arrive.
		Running []sampleRequest `yaml:"running"`
	} `yaml:"engine"`
	Hour     int             `yaml:"hour"`
	Requests []sampleRequest `yaml:"requests"`
}

type sampleRequest struct {
	ID        string `yaml:"id"`
	Model     string `yaml:"model"`
	Account   string `yaml:"account"`
	Prompt    int    `yaml:"prompt"`
	MaxTokens int    `yaml:"max_tokens"`
	Generated int    `yaml:"generated"`
}

// errSamples is wrapped by errors about sample requests.
var errSamples = errors.New("sample requests")

type explanation struct {
	ID      string  `json:"id"`
	Model   string  `json:"model"`
	Outcome string  `json:"outcome"`
	Why     string  `json:"why"`
	Class   string  `json:"class"`
	Rank    float64 `json:"rank"`
	GiveWay float64 `json:"give_way"`
}

func (c *policyExplainCommand) run(env *environment) error {
	cfg, err := readConfig(env, c.File)
	if err != nil {
		return err
	}
	raw, err := env.readFile(c.Samples)
	if err != nil {
		return fmt.Errorf("%w: %w", errSamples, err)
	}
	var samples sampleFile
	if err := yaml.UnmarshalWithOptions(raw, &samples, yaml.Strict()); err != nil {
		return fmt.Errorf("%w: %s: %w", errSamples, c.Samples, err)
	}
	pol, err := c.policy(cfg)
	if err != nil {
		return err
	}
	rows := explainSamples(cfg, pol, samples)
	if env.json {
		return env.printJSON(rows)
	}
	out := make([][]any, 0, len(rows))
	for _, r := range rows {
		out = append(out, []any{r.ID, r.Model, r.Outcome, r.Why, r.Class, r.Rank, r.GiveWay})
	}
	return env.table("REQUEST\tMODEL\tOUTCOME\tWHY\tCLASS\tRANK\tGIVE WAY", out, "%s\t%s\t%s\t%s\t%s\t%g\t%g")
}

// policy returns the compiled policy of the selected pool, or nil if the pool has none.
func (c *policyExplainCommand) policy(cfg *config.Config) (*policy.Policy, error) {
	set, err := policy.CompileAll(cfg)
	if err != nil {
		return nil, err
	}
	for _, p := range cfg.Pools() {
		if p.Name == c.Pool || (c.Pool == "" && p.Kind == config.KindEngine) {
			return set[p.Policy], nil
		}
	}
	return nil, fmt.Errorf("%w: no engine pool %q", errSamples, c.Pool)
}

// explainSamples runs the samples through the scheduler of internal/decision with a constant
// clock.
func explainSamples(cfg *config.Config, pol *policy.Policy, f sampleFile) []explanation {
	at := time.Unix(0, 0)
	sched := decision.New(decision.Settings{Blocks: f.Engine.Blocks, BlockTokens: f.Engine.BlockTokens, Risk: decision.DefaultRisk}, func() time.Time { return at })
	for i, s := range f.Engine.Running {
		id := fmt.Sprintf("running-%d", i)
		sched.Arrive(decision.Request{ID: id, Class: s.Model, Prompt: s.Prompt})
		sched.Decide()
		for range s.Generated {
			sched.Token(id)
		}
	}
	rows := make([]explanation, 0, len(f.Requests))
	rowIndex := map[string]int{}
	for _, s := range f.Requests {
		weight := 1.0
		if a, ok := cfg.Account(s.Account); ok && a.Weight > 0 {
			weight = a.Weight
		}
		used := float64(sched.Used()) / float64(max(1, f.Engine.Blocks))
		verdict := pol.Decide(policy.Input{
			Model: s.Model, Prompt: s.Prompt, MaxTokens: s.MaxTokens, Account: s.Account, Weight: weight,
			UsedPart: used, Running: sched.Running(), Waiting: sched.Waiting(), Hour: f.Hour,
		})
		row := explanation{ID: s.ID, Model: s.Model, Class: verdict.Class, Rank: verdict.Rank, GiveWay: verdict.GiveWay}
		if verdict.Admit {
			row.Outcome, row.Why = "waits", "memory"
			rowIndex[s.ID] = len(rows)
			sched.Arrive(decision.Request{
				ID: s.ID, Account: s.Account, Weight: weight, Class: verdict.Class, Rank: verdict.Rank, GiveWay: verdict.GiveWay,
				Prompt: s.Prompt, MaxTokens: s.MaxTokens,
			})
		} else {
			row.Outcome, row.Why = "refused", "policy"
		}
		rows = append(rows, row)
	}
	for _, a := range sched.Decide() {
		if i, ok := rowIndex[a.ID()]; ok && a.Kind() == decision.Admit {
			rows[i].Outcome, rows[i].Why = "goes", a.Reason()
		}
	}
	return rows
}
