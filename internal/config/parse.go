package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/sparshore/sparshore/internal/jsonbound"
)

// ErrInvalid is wrapped by every error about the content of a configuration.
var ErrInvalid = errors.New("invalid configuration")

// ValidationError is an error at one place of a configuration file.
type ValidationError struct {
	file  string
	line  int
	field string
	text  string
}

// Error returns the file, line and field of the error and its description.
func (f ValidationError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.field, f.text)
}

// ValidationErrors lists all errors found in a configuration file.
type ValidationErrors []ValidationError

// Error returns the errors, one on each line.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid, so that errors.Is recognizes ValidationErrors.
func (f ValidationErrors) Unwrap() error { return ErrInvalid }

const (
	maxAccounts  = 100_000
	maxNameBytes = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Parse parses and checks a configuration in YAML. file is the file name that errors contain. The error is
// a ValidationErrors value with all errors found.
func Parse(file string, source []byte) (*Config, error) {
	c := &Config{source: source}
	if err := yaml.UnmarshalWithOptions(source, &c.doc, yaml.Strict()); err != nil {
		return nil, syntaxFaults(file, err)
	}
	form, err := json.Marshal(c.doc)
	if err != nil {
		return nil, syntaxFaults(file, err)
	}
	return c.finish(form, &checker{file: file, source: source})
}

// maxCanonicalBytes bounds the canonical form, which entries send to each other and keep as one object.
const maxCanonicalBytes = 64 << 20

// ParseCanonical parses and checks the canonical form. It rejects fields that this build does not know, so
// that an older process never applies only a part of a configuration.
func ParseCanonical(form []byte) (*Config, error) {
	if err := jsonbound.Check(form, maxCanonicalBytes); err != nil {
		return nil, syntaxFaults("canonical", err)
	}
	c := &Config{}
	d := json.NewDecoder(bytes.NewReader(form))
	d.DisallowUnknownFields()
	if err := d.Decode(&c.doc); err != nil {
		return nil, syntaxFaults("canonical", err)
	}
	return c.finish(form, &checker{file: "canonical", source: form})
}

// finish builds the indexes of c and checks its content.
func (c *Config) finish(form []byte, k *checker) (*Config, error) {
	sum := sha256.Sum256(form)
	c.canonical, c.hash = form, hex.EncodeToString(sum[:])
	c.index()
	k.check(c)
	if len(k.faults) > 0 {
		return nil, k.faults
	}
	return c, nil
}

func syntaxFaults(file string, err error) error {
	f := ValidationError{file: file, field: "syntax", text: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		f.text = y.GetMessage()
		if tok := y.GetToken(); tok != nil {
			f.line = tok.Position.Line
			f.field = tok.Value
		}
	}
	return ValidationErrors{f}
}

func (c *Config) index() {
	c.pools = map[string]*Pool{}
	c.models = map[string]*Model{}
	c.accounts = map[string]*Account{}
	c.policies = map[string]*Policy{}
	c.byKey = map[string]*Account{}
	c.poolOf = map[string]*Pool{}
	for i := range c.doc.Pools {
		p := &c.doc.Pools[i]
		c.pools[p.Name] = p
		for _, u := range p.Upstreams {
			c.poolOf[u.Name] = p
		}
	}
	for i := range c.doc.Models {
		c.models[c.doc.Models[i].Name] = &c.doc.Models[i]
	}
	for i := range c.doc.Accounts {
		a := &c.doc.Accounts[i]
		c.accounts[a.Name] = a
		for _, h := range a.KeyHashes {
			c.byKey[h] = a
		}
	}
	for i := range c.doc.Policies {
		c.policies[c.doc.Policies[i].Name] = &c.doc.Policies[i]
	}
}

// checker checks the content of a configuration and collects the errors.
type checker struct {
	file   string
	source []byte
	// root is the syntax tree of source. It is parsed when the first error needs a line number.
	root   *ast.File
	faults ValidationErrors
}

// syntaxTree returns the syntax tree of the source, nil if the source cannot be parsed.
func (k *checker) syntaxTree() *ast.File {
	if k.root == nil {
		k.root, _ = parser.ParseBytes(k.source, 0)
	}
	return k.root
}

// addFault adds an error about the field at a YAML path.
func (k *checker) addFault(path, format string, args ...any) {
	f := ValidationError{file: k.file, field: strings.TrimPrefix(path, "$."), text: fmt.Sprintf(format, args...)}
	if p, err := yaml.PathString(path); err == nil && k.syntaxTree() != nil {
		if n, err := p.FilterFile(k.syntaxTree()); err == nil {
			f.line = n.GetToken().Position.Line
		}
	}
	k.faults = append(k.faults, f)
}

func (k *checker) check(c *Config) {
	k.pools(c)
	k.models(c)
	k.accounts(c)
	k.policies(c)
	slices.SortStableFunc(k.faults, func(a, b ValidationError) int { return a.line - b.line })
}

func (k *checker) name(path, name string, seen map[string]bool) {
	switch {
	case len(name) > maxNameBytes || !namePattern.MatchString(name):
		k.addFault(path, "name %q must match %s and have at most %d bytes", name, namePattern, maxNameBytes)
	case seen[name]:
		k.addFault(path, "name %q is used twice", name)
	}
	seen[name] = true
}

func (k *checker) pools(c *Config) {
	if len(c.doc.Pools) == 0 {
		k.addFault("$.pools", "at least one pool is needed")
	}
	names, upstreams := map[string]bool{}, map[string]bool{}
	for i, p := range c.doc.Pools {
		path := fmt.Sprintf("$.pools[%d]", i)
		k.name(path+".name", p.Name, names)
		if p.Kind != KindEngine && p.Kind != KindService {
			k.addFault(path+".kind", "kind %q must be %q or %q", p.Kind, KindEngine, KindService)
		}
		if p.Policy != "" && c.policies[p.Policy] == nil {
			k.addFault(path+".policy", "policy %q is not declared", p.Policy)
		}
		if len(p.Upstreams) == 0 {
			k.addFault(path+".upstreams", "pool %q has no upstream", p.Name)
		}
		for j, u := range p.Upstreams {
			upstreamPath := fmt.Sprintf("%s.upstreams[%d]", path, j)
			k.name(upstreamPath+".name", u.Name, upstreams)
			if u.Zone == "" {
				k.addFault(upstreamPath+".name", "upstream %q has no zone", u.Name)
			}
		}
	}
}

func (k *checker) models(c *Config) {
	names := map[string]bool{}
	for i, m := range c.doc.Models {
		path := fmt.Sprintf("$.models[%d]", i)
		k.name(path+".name", m.Name, names)
		p := c.pools[m.Pool]
		if p == nil {
			k.addFault(path+".pool", "pool %q is not declared", m.Pool)
		} else if p.Kind != KindEngine {
			k.addFault(path+".pool", "pool %q is no engine pool", m.Pool)
		}
	}
}

func (k *checker) accounts(c *Config) {
	if len(c.doc.Accounts) > maxAccounts {
		k.addFault("$.accounts", "%d accounts are more than %d", len(c.doc.Accounts), maxAccounts)
	}
	names, keys := map[string]bool{}, map[string]bool{}
	for i, a := range c.doc.Accounts {
		path := fmt.Sprintf("$.accounts[%d]", i)
		k.name(path+".name", a.Name, names)
		if a.Weight < 0 {
			k.addFault(path+".weight", "weight %v is negative", a.Weight)
		}
		if a.Concurrency < 0 {
			k.addFault(path+".concurrency", "concurrency %d is negative", a.Concurrency)
		}
		for j, h := range a.KeyHashes {
			hashPath := fmt.Sprintf("%s.key_hashes[%d]", path, j)
			if b, err := hex.DecodeString(h); err != nil || len(b) != sha256.Size {
				k.addFault(hashPath, "%q is no SHA-256 in hexadecimal", h)
			}
			if keys[h] {
				k.addFault(hashPath, "key hash is used twice")
			}
			keys[h] = true
		}
	}
}

func (k *checker) policies(c *Config) {
	names := map[string]bool{}
	for i, p := range c.doc.Policies {
		k.name(fmt.Sprintf("$.policies[%d].name", i), p.Name, names)
	}
}
