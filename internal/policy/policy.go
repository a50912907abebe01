// Package policy compiles the short CEL programs by which operators say who
// goes first, who waits, who is refused and who gives way. A policy is checked
// for types and cost once, when a configuration is staged; a failure at run time
// falls back to a stated default and is counted.
package policy

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/checker"
	"github.com/google/cel-go/common/types"
	"github.com/google/cel-go/common/types/ref"

	"github.com/sparshore/sparshore/internal/config"
)

// ErrCompile is wrapped by errors about a policy's text.
var ErrCompile = errors.New("policy does not compile")

// maxCost bounds a program's estimated cost in CEL's own units, so that no
// policy can hold up the decision.
const maxCost = 1000

// Input is what a policy can see.
type Input struct {
	Model     string
	Prompt    int
	MaxTokens int
	Account   string
	Weight    float64
	// UsedPart is the part of the engine's memory in use, from 0 to 1.
	UsedPart float64
	Running  int
	Waiting  int
	// Hour is the hour of the day, 0 to 23, UTC.
	Hour int
}

// Verdict is what a policy says about a request.
type Verdict struct {
	// Class names the length curve.
	Class string
	// Rank orders the queue, lower first.
	Rank float64
	// Admit is false for a request that is refused at once.
	Admit bool
	// GiveWay multiplies the cost of pausing the stream.
	GiveWay float64
	// Failed names the programs that failed and were replaced by the default.
	Failed []string
}

// The names of the programs and their result types.
const (
	programClass   = "class"
	programRank    = "rank"
	programAdmit   = "admit"
	programGiveWay = "give_way"
)

// program is one compiled program; nil stands for the default.
type program struct {
	name string
	run  cel.Program
}

// Policy is a compiled policy.
type Policy struct {
	name    string
	class   *program
	rank    *program
	admit   *program
	giveWay *program
}

// variables are flat: an activation over a few scalars costs a third of one
// over nested maps.
var variables = []struct {
	name string
	kind *cel.Type
}{
	{"request_model", cel.StringType},
	{"request_prompt", cel.IntType},
	{"request_max_tokens", cel.IntType},
	{"account_name", cel.StringType},
	{"account_weight", cel.DoubleType},
	{"engine_used", cel.DoubleType},
	{"engine_running", cel.IntType},
	{"engine_waiting", cel.IntType},
	{"hour", cel.IntType},
}

func newEnv() (*cel.Env, error) {
	var opts []cel.EnvOption
	for _, v := range variables {
		opts = append(opts, cel.Variable(v.name, v.kind))
	}
	return cel.NewEnv(opts...)
}

// Compile checks a policy's programs for types and cost.
func Compile(p *config.Policy) (*Policy, error) {
	env, err := newEnv()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCompile, err)
	}
	out := &Policy{name: p.Name}
	for _, item := range []struct {
		name string
		text string
		kind *cel.Type
		into **program
	}{
		{programClass, p.Class, cel.StringType, &out.class},
		{programRank, p.Rank, cel.DoubleType, &out.rank},
		{programAdmit, p.Admit, cel.BoolType, &out.admit},
		{programGiveWay, p.GiveWay, cel.DoubleType, &out.giveWay},
	} {
		if *item.into, err = compile(env, item.name, item.text, item.kind); err != nil {
			return nil, fmt.Errorf("policy %s, %s: %w", p.Name, item.name, err)
		}
	}
	return out, nil
}

func compile(env *cel.Env, name, text string, kind *cel.Type) (*program, error) {
	if text == "" {
		return nil, nil
	}
	ast, issues := env.Compile(text)
	if issues.Err() != nil {
		return nil, fmt.Errorf("%w: %v", ErrCompile, issues.Err())
	}
	if !ast.OutputType().IsExactType(kind) {
		return nil, fmt.Errorf("%w: it gives %s, want %s", ErrCompile, ast.OutputType(), kind)
	}
	cost, err := env.EstimateCost(ast, sizes{})
	if err != nil {
		return nil, fmt.Errorf("%w: cost: %v", ErrCompile, err)
	}
	if cost.Max > maxCost {
		return nil, fmt.Errorf("%w: it may cost %d, the limit is %d", ErrCompile, cost.Max, maxCost)
	}
	run, err := env.Program(ast, cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCompile, err)
	}
	return &program{name: name, run: run}, nil
}

// maxText bounds the strings that a policy sees, for the cost estimate.
const maxText = 64

type sizes struct{}

// EstimateSize bounds the size of all variables.
func (sizes) EstimateSize(checker.AstNode) *checker.SizeEstimate {
	return &checker.SizeEstimate{Min: 0, Max: maxText}
}

// EstimateCallCost leaves all functions at their usual cost.
func (sizes) EstimateCallCost(string, string, *checker.AstNode, []checker.AstNode) *checker.CallEstimate {
	return nil
}

// activation gives programs their variables without a map.
type activation struct{ in *Input }

// ResolveName returns the variable called name.
func (a activation) ResolveName(name string) (any, bool) {
	switch name {
	case "request_model":
		return a.in.Model, true
	case "request_prompt":
		return int64(a.in.Prompt), true
	case "request_max_tokens":
		return int64(a.in.MaxTokens), true
	case "account_name":
		return a.in.Account, true
	case "account_weight":
		return a.in.Weight, true
	case "engine_used":
		return a.in.UsedPart, true
	case "engine_running":
		return int64(a.in.Running), true
	case "engine_waiting":
		return int64(a.in.Waiting), true
	case "hour":
		return int64(a.in.Hour), true
	default:
		return nil, false
	}
}

// Parent returns nil: there is no outer scope.
func (activation) Parent() cel.Activation { return nil }

// Default is the verdict of an empty policy.
func Default(in Input) Verdict {
	return Verdict{Class: in.Model, Admit: true, GiveWay: 1}
}

// Decide runs the policy. A nil policy gives the default.
func (p *Policy) Decide(in Input) Verdict {
	v := Default(in)
	if p == nil {
		return v
	}
	act := activation{&in}
	if s, ok := value[types.String](p.class, act, &v); ok {
		v.Class = string(s)
	}
	if d, ok := value[types.Double](p.rank, act, &v); ok {
		v.Rank = float64(d)
	}
	if b, ok := value[types.Bool](p.admit, act, &v); ok {
		v.Admit = bool(b)
	}
	if d, ok := value[types.Double](p.giveWay, act, &v); ok {
		v.GiveWay = max(float64(d), minGiveWay)
	}
	return v
}

// minGiveWay keeps a policy from making a stream free to pause.
const minGiveWay = 0.01

func value[T ref.Val](p *program, act activation, v *Verdict) (T, bool) {
	var none T
	if p == nil {
		return none, false
	}
	out, _, err := p.run.Eval(act)
	if err != nil {
		v.Failed = append(v.Failed, p.name)
		return none, false
	}
	t, ok := out.(T)
	return t, ok
}

// Set is the compiled policies of a configuration, by name.
type Set map[string]*Policy

// CompileAll compiles every policy of a configuration.
func CompileAll(c *config.Config) (Set, error) {
	out := Set{}
	for i := range c.Policies() {
		p := &c.Policies()[i]
		compiled, err := Compile(p)
		if err != nil {
			return nil, err
		}
		out[p.Name] = compiled
	}
	return out, nil
}

// HourOf returns the hour that policies see for a time.
func HourOf(t time.Time) int { return t.UTC().Hour() }
