package config

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestParseGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := "ok\n"
			if _, err := Parse(filepath.Base(file), source); err != nil {
				if !errors.Is(err, ErrInvalid) {
					t.Errorf("error %v does not wrap ErrInvalid", err)
				}
				got = err.Error() + "\n"
			}
			golden := strings.TrimSuffix(file, ".yaml") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got:\n%swant:\n%s", got, want)
			}
		})
	}
}

func TestAccountOfKeyFindsOnlyDeclaredKeys(t *testing.T) {
	source := "pools: [{name: p, kind: engine, upstreams: [{name: u, zone: a}]}]\n" +
		"models: []\naccounts: [{name: a, key_hashes: [" + HashKey("secret") + "]}]\n"
	c, err := Parse("t", []byte(source))
	if err != nil {
		t.Fatal(err)
	}
	if a, ok := c.AccountOfKey("secret"); !ok || a.Name != "a" {
		t.Errorf("declared key: %v, %v", a, ok)
	}
	if _, ok := c.AccountOfKey("other"); ok {
		t.Error("an undeclared key was accepted")
	}
}

func TestCanonicalFormParsesToSameConfig(t *testing.T) {
	source, err := os.ReadFile("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse("good.yaml", source)
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseCanonical(c.Canonical())
	if err != nil || again.Hash() != c.Hash() {
		t.Fatalf("canonical form: %v, hash %s, want %s", err, again.Hash(), c.Hash())
	}
	asYAML, err := Parse("canonical.yaml", c.Canonical())
	if err != nil || asYAML.Hash() != c.Hash() {
		t.Errorf("canonical form as an operator's file: %v", err)
	}
	if _, err := ParseCanonical([]byte(`{"pools":[],"novelties":1}`)); !errors.Is(err, ErrInvalid) {
		t.Errorf("unknown field: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, file := range files {
		if b, err := os.ReadFile(file); err == nil {
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		c, err := Parse("fuzz", source)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error without ErrInvalid: %v", err)
			}
			return
		}
		for _, m := range c.Models() {
			if _, ok := c.Pool(m.Pool); !ok {
				t.Fatalf("model %q passed with an unknown pool %q", m.Name, m.Pool)
			}
		}
	})
}
