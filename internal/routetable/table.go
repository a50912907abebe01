// Package routetable holds a version of the operator's routes: which service answers which
// requests, which client accounts may send them, and within which limits. The platform package
// decodes a Table from the store, and the gateway looks up the route, account and service of each
// request in it. A Table is not modified after New.
package routetable

import (
	"slices"
	"strings"
	"time"
)

// Version numbers route tables; a higher version replaces a lower one.
type Version int64

// Kind tells whether the requests of a route may run more than once, and whether their answers are
// streams.
type Kind int

// The kinds of route.
const (
	// Repeatable marks requests that may run more than once.
	Repeatable Kind = iota
	// Once marks requests that may run at most once for each attempt of the caller.
	Once
	// Stream marks generations, whose answers are event streams.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route tells where requests for a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the operator's limit on how long a request may be held.
	Timeout time.Duration
	// Objective is the target latency: the time within which an answer, or the first event of a
	// stream, has its full value for the caller.
	Objective time.Duration
	// MaxPause is the longest pause between two events with which a stream is still in time; 0 if the
	// operator states none.
	MaxPause time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Shares are the services that answer, by weight.
	Shares []Share
	// MaxAttempts limits the number of upstreams to which one request may be sent.
	MaxAttempts int
	// Public routes need no client API key.
	Public bool
	// Resumable streams may continue at another upstream after their last event.
	Resumable bool
}

// Repeats reports whether a request of the route may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of generations that run at once.
	Slots int
	// MemoryTokens is the KV memory of one engine in tokens.
	MemoryTokens int
	// Moves is set if the memory of a running generation can be moved to another engine.
	Moves bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CopyRate is the KV memory, in tokens, that an engine can copy to others per second; 0 if it
	// is not stated.
	CopyRate float64
}

// Service is a group of upstreams that give equivalent answers.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
	// HealthPath is the path of the health check of its upstreams, empty if there is none.
	HealthPath string
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the timeout for receiving the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection of a caller is kept open.
	IdleTimeout time.Duration
}

// Account is a client account with its API keys.
type Account struct {
	Name     string
	Keys     []string
	Priority int
}

// Table is one version of the operator's routes, indexed for lookups.
type Table struct {
	version  Version
	byHost   map[string][]*Route
	services map[string]*Service
	limits   Limits
	byKey    map[string]*Account
	accounts int
}

// New returns a table of the given parts.
func New(version Version, routes []Route, services []Service, limits Limits, accounts []Account) *Table {
	t := &Table{
		version: version, limits: limits, accounts: len(accounts),
		byHost: map[string][]*Route{}, services: map[string]*Service{}, byKey: map[string]*Account{},
	}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range accounts {
		for _, k := range accounts[i].Keys {
			t.byKey[k] = &accounts[i]
		}
	}
	return t
}

// Version returns the table's version.
func (t *Table) Version() Version { return t.version }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service called name.
func (t *Table) Service(name string) (*Service, bool) { s, ok := t.services[name]; return s, ok }

// NeedsKey reports whether requests of a route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.accounts > 0 && !r.Public }

// AccountOf returns the account that holds an API key.
func (t *Table) AccountOf(key string) (*Account, bool) {
	if key == "" {
		return nil, false
	}
	a, ok := t.byKey[key]
	return a, ok
}

// Match returns the route with the longest matching prefix for a host and path. A port in host is
// ignored unless routes name it.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	list, ok := t.byHost[host]
	if !ok {
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil, false
		}
		list = t.byHost[name]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pick returns the service for a request, chosen by weight. roll is a random number, uniform in [0,
// 1).
func (r *Route) Pick(roll float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	left := roll * float64(total)
	for _, s := range r.Shares {
		left -= float64(max(s.Weight, 0))
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
