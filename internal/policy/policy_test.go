package policy

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sparshore/sparshore/internal/config"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestCompileRejectsInvalidPrograms(t *testing.T) {
	tests := []struct {
		name   string
		policy config.Policy
		want   string
	}{
		{"unknown variable", config.Policy{Rank: "request_length * 1.0"}, "undeclared reference"},
		{"wrong result type", config.Policy{Admit: "1"}, "it gives int, want bool"},
		{"int multiplied by double", config.Policy{Rank: "request_prompt * 1.0"}, "no matching overload"},
		{"cost above the limit", config.Policy{Admit: "[1,2,3,4,5,6,7,8,9].all(a, [1,2,3,4,5,6,7,8,9].all(b, [1,2,3,4,5,6,7,8,9].all(c, a + b + c < hour)))"}, "the limit is 1000"},
		{"syntax error", config.Policy{Class: "'a' +"}, "Syntax error"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Compile(&tt.policy)
			if !errors.Is(err, ErrCompile) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("err = %v, want an ErrCompile with %q", err, tt.want)
			}
		})
	}
}

func TestRunTimeFailureFallsBackToDefault(t *testing.T) {
	p, err := Compile(&config.Policy{Name: "p", Rank: "double(100 / request_max_tokens)", Class: "'short'"})
	if err != nil {
		t.Fatal(err)
	}
	v := p.Decide(Input{Model: "m"})
	if v.Rank != 0 || v.Class != "short" || !v.Admit || strings.Join(v.Failed, "") != programRank {
		t.Errorf("verdict %+v", v)
	}
}

func TestNilPolicyDecidesByDefault(t *testing.T) {
	var none *Policy
	in := Input{Model: "m"}
	if v := none.Decide(in); v.Class != "m" || !v.Admit || v.GiveWay != 1 {
		t.Errorf("verdict %+v", v)
	}
}

// TestShippedExamples runs the two example policies on sample requests and compares the verdicts with
// golden files.
func TestShippedExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/policy-*.yaml")
	if err != nil || len(files) != 2 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	samples := []Input{
		{Model: "bins", Prompt: 40, Account: "app", Weight: 1, UsedPart: 0.3, Hour: 10},
		{Model: "bins", Prompt: 40, Account: "app", Weight: 1, UsedPart: 0.95, Waiting: 40, Hour: 10},
		{Model: "route-summary", Prompt: 1800, Account: "council", Weight: 1, UsedPart: 0.95, Hour: 10},
		{Model: "dictation", Prompt: 60, Account: "house-a", Weight: 2, UsedPart: 0.8, Hour: 6},
		{Model: "day-summary", Prompt: 3000, MaxTokens: 6000, Account: "house-a", Weight: 2, UsedPart: 0.95, Waiting: 5, Hour: 16},
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			c, err := config.Parse(file, source)
			if err != nil {
				t.Fatal(err)
			}
			set, err := CompileAll(c)
			if err != nil {
				t.Fatal(err)
			}
			var b strings.Builder
			for _, in := range samples {
				fmt.Fprintf(&b, "%+v\n  -> %+v\n", in, set[c.Policies()[0].Name].Decide(in))
			}
			golden := filepath.Join("testdata", strings.TrimSuffix(filepath.Base(file), ".yaml")+".golden")
			if *update {
				if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if b.String() != string(want) {
				t.Errorf("got:\n%swant:\n%s", b.String(), want)
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	p, err := Compile(&config.Policy{
		Rank:    "request_model == 'dictation' ? 0.0 : 1.0",
		GiveWay: "request_model == 'dictation' ? 8.0 : 1.0",
	})
	if err != nil {
		b.Fatal(err)
	}
	in := Input{Model: "dictation", Prompt: 60}
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(in)
	}
}
