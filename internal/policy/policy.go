// Package policy compiles and runs the short CEL programs by which operators control the admission,
// the queue order and the pausing of requests on an engine. Types and cost of a program are checked once,
// when a configuration is staged. If a program fails at run time, the default applies, and the verdict
// names the program so that the caller can count the failure.
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

// ErrCompile is wrapped by all errors about the source of a policy.
var ErrCompile = errors.New("policy does not compile")

// maxCost is the highest cost that CEL may estimate for a program, in CEL's cost units, so that no policy
// delays decisions.
const maxCost = 1000

// Input holds the values that a policy can read.
type Input struct {
	Model     string
	Prompt    int
	MaxTokens int
	Account   string
	Weight    float64
	// UsedPart is the fraction of the engine's memory in use, from 0 to 1.
	UsedPart float64
	Running  int
	Waiting  int
	// Hour is the hour of the day in UTC, 0 to 23.
	Hour int
}

// Verdict is the decision of a policy on a request.
type Verdict struct {
	// Class names the curve of expected output lengths.
	Class string
	// Rank is the position in the queue: requests with a lower rank come first.
	Rank float64
	// Admit is false if the request is to be refused at once.
	Admit bool
	// GiveWay multiplies the cost of pausing the stream.
	GiveWay float64
	// Failed names the programs that failed, for which the default was used.
	Failed []string
}

// The names of the programs, which are also their keys in the configuration.
const (
	programClass   = "class"
	programRank    = "rank"
	programAdmit   = "admit"
	programGiveWay = "give_way"
)

// program is one compiled CEL program. A nil program stands for the default.
type program struct {
	name string
	run  cel.Program
}

// Policy is a compiled policy. A nil Policy decides by the default.
type Policy struct {
	name    string
	class   *program
	rank    *program
	admit   *program
	giveWay *program
}

// variables lists the variables of a program. They are scalars without nesting, since evaluation over
// nested maps costs three times as much.
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

// Compile compiles the programs of a policy and checks their types and cost.
func Compile(p *config.Policy) (*Policy, error) {
	env, err := newEnv()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCompile, err)
	}
	out := &Policy{name: p.Name}
	for _, item := range []struct {
		name   string
		text   string
		kind   *cel.Type
		target **program
	}{
		{programClass, p.Class, cel.StringType, &out.class},
		{programRank, p.Rank, cel.DoubleType, &out.rank},
		{programAdmit, p.Admit, cel.BoolType, &out.admit},
		{programGiveWay, p.GiveWay, cel.DoubleType, &out.giveWay},
	} {
		if *item.target, err = compile(env, item.name, item.text, item.kind); err != nil {
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
	cost, err := env.EstimateCost(ast, inputSizes{})
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

// maxTextLength is the longest string that the cost estimate assumes for a variable.
const maxTextLength = 64

// inputSizes tells CEL the sizes of variables for its cost estimate.
type inputSizes struct{}

// EstimateSize returns the same size range for all variables.
func (inputSizes) EstimateSize(checker.AstNode) *checker.SizeEstimate {
	return &checker.SizeEstimate{Min: 0, Max: maxTextLength}
}

// EstimateCallCost returns nil, so that CEL uses its default cost for all functions.
func (inputSizes) EstimateCallCost(string, string, *checker.AstNode, []checker.AstNode) *checker.CallEstimate {
	return nil
}

// activation resolves the variables of a program from an Input, without building a map.
type activation struct{ in *Input }

// ResolveName returns the value of the variable called name.
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

// Parent returns nil, since there is no outer scope.
func (activation) Parent() cel.Activation { return nil }

// Default returns the verdict of an empty policy.
func Default(in Input) Verdict {
	return Verdict{Class: in.Model, Admit: true, GiveWay: 1}
}

// Decide runs the policy on a request. A nil policy returns the default verdict.
func (p *Policy) Decide(in Input) Verdict {
	v := Default(in)
	if p == nil {
		return v
	}
	act := activation{&in}
	if s, ok := evaluate[types.String](p.class, act, &v); ok {
		v.Class = string(s)
	}
	if d, ok := evaluate[types.Double](p.rank, act, &v); ok {
		v.Rank = float64(d)
	}
	if b, ok := evaluate[types.Bool](p.admit, act, &v); ok {
		v.Admit = bool(b)
	}
	if d, ok := evaluate[types.Double](p.giveWay, act, &v); ok {
		v.GiveWay = max(float64(d), minGiveWay)
	}
	return v
}

// minGiveWay is the lowest GiveWay of a verdict. At 0, pausing the stream would cost nothing.
const minGiveWay = 0.01

// evaluate runs p and returns its result, and false if p is nil or fails. It adds a program that fails to
// v.Failed.
func evaluate[T ref.Val](p *program, act activation, v *Verdict) (T, bool) {
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

// Set holds the compiled policies of a configuration by name.
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

// HourOf returns the hour of the day in UTC, for Input.Hour.
func HourOf(t time.Time) int { return t.UTC().Hour() }
