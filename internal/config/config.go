// Package config parses and checks the configuration that operators submit: pools of upstreams, models,
// client accounts and policies. All processes use it to look up pools, models and accounts. A Config is
// immutable once parsed, and processes that run the same version hold the same Config.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"time"
)

// PoolKind is the kind of upstreams in a pool: engines or plain services.
type PoolKind string

// The kinds of pools.
const (
	KindEngine  PoolKind = "engine"
	KindService PoolKind = "service"
)

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	Name      string     `yaml:"name" json:"name"`
	Kind      PoolKind   `yaml:"kind" json:"kind"`
	Policy    string     `yaml:"policy,omitempty" json:"policy,omitempty"`
	Upstreams []Upstream `yaml:"upstreams" json:"upstreams"`
	// Repeatable lists the HTTP methods of a service pool whose calls may run more than once.
	Repeatable []string `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
}

// Upstream is an engine or a plain service with its sidecar.
type Upstream struct {
	Name         string `yaml:"name" json:"name"`
	Zone         string `yaml:"zone" json:"zone"`
	ChecksOrders bool   `yaml:"checks_orders,omitempty" json:"checks_orders,omitempty"`
}

// Model maps the model name that callers use to a pool and to the model and adapter loaded there.
type Model struct {
	Name    string `yaml:"name" json:"name"`
	Pool    string `yaml:"pool" json:"pool"`
	Base    string `yaml:"base,omitempty" json:"base,omitempty"`
	Adapter string `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
}

// Account is a client account. KeyHashes are the SHA-256 hashes of its API keys in hexadecimal.
type Account struct {
	Name        string   `yaml:"name" json:"name"`
	KeyHashes   []string `yaml:"key_hashes" json:"key_hashes"`
	Weight      float64  `yaml:"weight,omitempty" json:"weight,omitempty"`
	Concurrency int      `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
}

// Policy is a set of short CEL programs. An empty program stands for the default.
type Policy struct {
	Name    string `yaml:"name" json:"name"`
	Class   string `yaml:"class,omitempty" json:"class,omitempty"`
	Rank    string `yaml:"rank,omitempty" json:"rank,omitempty"`
	Admit   string `yaml:"admit,omitempty" json:"admit,omitempty"`
	GiveWay string `yaml:"give_way,omitempty" json:"give_way,omitempty"`
}

// document is the structure of the configuration file.
type document struct {
	Pools    []Pool    `yaml:"pools" json:"pools"`
	Models   []Model   `yaml:"models" json:"models"`
	Accounts []Account `yaml:"accounts" json:"accounts"`
	Policies []Policy  `yaml:"policies,omitempty" json:"policies,omitempty"`
}

// Config is a valid configuration with indexes for look-ups.
type Config struct {
	source    []byte
	canonical []byte
	hash      string
	doc       document
	pools     map[string]*Pool
	models    map[string]*Model
	accounts  map[string]*Account
	policies  map[string]*Policy
	byKey     map[string]*Account
	poolOf    map[string]*Pool
}

// Source returns the text that the operator submitted, nil if the configuration was parsed from its
// canonical form.
func (c *Config) Source() []byte { return c.source }

// Canonical returns the configuration as JSON with the field names of the configuration file, so that
// Parse accepts it too. Processes exchange this form because it is parsed about thirty times faster than
// YAML.
func (c *Config) Canonical() []byte { return c.canonical }

// Hash returns the SHA-256 of the canonical form in hexadecimal.
func (c *Config) Hash() string { return c.hash }

// Pools returns all pools in the order of the file.
func (c *Config) Pools() []Pool { return c.doc.Pools }

// Models returns all models in the order of the file.
func (c *Config) Models() []Model { return c.doc.Models }

// Accounts returns all client accounts in the order of the file.
func (c *Config) Accounts() []Account { return c.doc.Accounts }

// Policies returns all policies in the order of the file.
func (c *Config) Policies() []Policy { return c.doc.Policies }

// Pool returns the pool called name.
func (c *Config) Pool(name string) (*Pool, bool) { p, ok := c.pools[name]; return p, ok }

// Model returns the model called name.
func (c *Config) Model(name string) (*Model, bool) { m, ok := c.models[name]; return m, ok }

// Account returns the client account called name.
func (c *Config) Account(name string) (*Account, bool) { a, ok := c.accounts[name]; return a, ok }

// Policy returns the policy called name.
func (c *Config) Policy(name string) (*Policy, bool) { p, ok := c.policies[name]; return p, ok }

// PoolOf returns the pool of the upstream called name.
func (c *Config) PoolOf(upstream string) (*Pool, bool) { p, ok := c.poolOf[upstream]; return p, ok }

// AccountOfKey returns the account that owns a client API key. It looks up the hash of the key and
// compares the hashes in constant time.
func (c *Config) AccountOfKey(key string) (*Account, bool) {
	h := HashKey(key)
	a, ok := c.byKey[h]
	if !ok {
		return nil, false
	}
	for _, known := range a.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(known), []byte(h)) == 1 {
			return a, true
		}
	}
	return nil, false
}

// HashKey returns the form in which a client API key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// RepeatableMethod reports whether a call with the HTTP method may run more than once.
func (p *Pool) RepeatableMethod(method string) bool { return slices.Contains(p.Repeatable, method) }

// Upstream returns the pool's upstream called name.
func (p *Pool) Upstream(name string) (Upstream, bool) {
	for _, u := range p.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}

// Version is the number of a configuration. A process never changes to a lower version.
type Version int64

// Mark combines a version with whether the version is accepted, which means that it is known to be active
// in all processes. Marks are ordered by version; of one version, the accepted mark is the greater one.
type Mark int64

// MarkOf returns the mark of version v.
func MarkOf(v Version, accepted bool) Mark {
	m := Mark(v) * 2
	if accepted {
		m++
	}
	return m
}

// Version returns the version of the mark.
func (m Mark) Version() Version { return Version(m / 2) }

// Active is the configuration that a process has activated, with its version.
type Active struct {
	version    Version
	accepted   bool
	homesSince time.Time
	cfg        *Config
}

// NewActive returns cfg as the active configuration with version v. accepted tells whether the version is
// known to be active in all processes. homesSince is the time since which no process can have run calls
// under another assignment of keys to upstreams.
func NewActive(cfg *Config, v Version, accepted bool, homesSince time.Time) *Active {
	return &Active{version: v, accepted: accepted, homesSince: homesSince, cfg: cfg}
}

// Mark returns the mark of the active version, 0 if there is none.
func (a *Active) Mark() Mark {
	if a == nil {
		return 0
	}
	return MarkOf(a.version, a.accepted)
}

// Version returns the active version, 0 if there is none.
func (a *Active) Version() Version {
	if a == nil {
		return 0
	}
	return a.version
}

// Accepted reports whether the version is known to be active in all processes.
func (a *Active) Accepted() bool { return a != nil && a.accepted }

// Config returns the active configuration.
func (a *Active) Config() *Config { return a.cfg }

// HomesSince returns the time since which idempotency keys have had their present homes. The home of a
// key is the upstream that runs the calls with this key.
func (a *Active) HomesSince() time.Time { return a.homesSince }

// SameHomes reports whether every idempotency key has the same home upstream in both configurations.
func SameHomes(a, b *Config) bool {
	return slices.Equal(homeNames(a), homeNames(b))
}

// homeNames returns the names, sorted, of all upstreams of service pools, on which the homes of keys depend.
func homeNames(c *Config) []string {
	var names []string
	for _, p := range c.doc.Pools {
		if p.Kind != KindService {
			continue
		}
		for _, u := range p.Upstreams {
			names = append(names, p.Name+"/"+u.Name)
		}
	}
	slices.Sort(names)
	return names
}
