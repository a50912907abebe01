package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/loadgen"
)

type loadCommand struct {
	URLs      []string      `arg:"--url,separate,required" help:"entry to send to, on loopback; may be repeated"`
	Key       string        `arg:"--key,env:SPARSHORE_KEY" help:"client API key"`
	Model     string        `arg:"--model,required" help:"model to request"`
	Requests  int           `arg:"--requests" default:"100" help:"number of requests"`
	Rate      float64       `arg:"--rate" default:"10" help:"requests started per second"`
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of arrivals and lengths"`
	Prompt    int           `arg:"--prompt" default:"64" help:"prompt tokens"`
	Output    float64       `arg:"--output-tokens" default:"60" help:"median of output tokens"`
	Spread    float64       `arg:"--spread" default:"1" help:"standard deviation of the logarithm of output tokens"`
	MaxOutput int           `arg:"--max-output" default:"4096" help:"maximum output tokens of a request"`
	Resume    bool          `arg:"--resume" help:"resume broken streams at the next entry"`
	Timeout   time.Duration `arg:"--within" default:"2m" help:"time limit of one request"`
}

// errBreach is returned when a stream repeated, omitted or reordered tokens, or contained tokens of
// another generation.
var errBreach = errors.New("streams breached their guarantees")

func (c *loadCommand) run(env *environment) error {
	r, err := loadgen.Run(context.Background(), loadgen.Options{
		URLs: c.URLs, Key: c.Key, Model: c.Model, Requests: c.Requests, Rate: c.Rate, Seed: c.Seed,
		Prompt: c.Prompt, Output: c.Output, Spread: c.Spread, MaxOutput: c.MaxOutput, Resume: c.Resume, Timeout: c.Timeout,
	})
	if err != nil {
		return err
	}
	if err := printReport(env, r); err != nil {
		return err
	}
	if r.Breaches > 0 {
		return fmt.Errorf("%w: %d, first: %s", errBreach, r.Breaches, r.FirstBreach)
	}
	return nil
}

func printReport(env *environment, r loadgen.Report) error {
	if env.json {
		return env.printJSON(r)
	}
	rows := [][]any{
		{"asked", fmt.Sprint(r.Asked)},
		{"whole", fmt.Sprint(r.Whole)},
		{"cut", fmt.Sprint(r.Cut)},
		{"refused", fmt.Sprint(r.Refused)},
		{"broken", fmt.Sprint(r.Broken)},
		{"resumed", fmt.Sprint(r.Resumed)},
		{"breaches", fmt.Sprint(r.Breaches)},
		{"tokens", fmt.Sprint(r.Tokens)},
		{"seconds", fmt.Sprintf("%.1f", r.Seconds)},
		{"first token p50/p99", fmt.Sprintf("%.1f / %.1f ms", r.FirstP50, r.FirstP99)},
		{"time between tokens p50/p95/p99", fmt.Sprintf("%.1f / %.1f / %.1f ms", r.GapP50, r.GapP95, r.GapP99)},
		{"stall time p99, sum", fmt.Sprintf("%.0f ms, %.1f s", r.StallP99, r.StallSum)},
	}
	return env.table("MEASURE\tVALUE", rows, "%s\t%s")
}
