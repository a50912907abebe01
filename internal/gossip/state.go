package gossip

import (
	"time"

	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
	"github.com/sparshore/sparshore/internal/routing"
)

// Load is what one entry has in flight at one upstream.
type Load struct {
	// Running counts requests.
	Running int
	// Tokens is the KV memory that they are expected to take, in tokens.
	Tokens int
	// Prefill is the part of the prompts not read yet, in tokens.
	Prefill int
	// Held is the KV memory that they take by now, prompts counted whole, in tokens.
	Held int
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, Tokens: l.Tokens + o.Tokens, Prefill: l.Prefill + o.Prefill, Held: l.Held + o.Held}
}

// Sub returns the load without o.
func (l Load) Sub(o Load) Load {
	return Load{Running: l.Running - o.Running, Tokens: l.Tokens - o.Tokens, Prefill: l.Prefill - o.Prefill, Held: l.Held - o.Held}
}

// State is what an entry tells the others.
type State struct {
	// Zone is the availability zone it runs in.
	Zone string
	// Relay is the IP:port at which it passes on what the store told it.
	Relay string
	// Routes is the version of its route table.
	Routes routetable.Version
	// Confirmed is the steady time at which that version was known to be the
	// newest; zero if it never was.
	Confirmed time.Time
	// StopBy is the steady time at which a planned stop ends it; zero while none is
	// under way.
	StopBy time.Time
	// StoreLost tells that it does not reach the platform's store itself.
	StoreLost bool
	// Loads are by upstream.
	Loads map[string]Load
	// Leaving are upstreams known to leave.
	Leaving []string
	// Faults are the upstreams at which its requests met a fault lately, and the
	// steady time of the latest one.
	Faults map[string]time.Time
	// Failures are the numbers of requests that upstreams lately failed it.
	Failures map[string]int
	// Retries is what it took of the retry budgets, by service.
	Retries map[string]routing.Use
	// Suspects is what it knows of requests under which upstreams ended.
	Suspects []quarantine.Word
	// HeardUs is when the latest message was sent that it had of this entry, by the steady
	// clock of this one; zero for none. It is not part of what is sent: an echo tells it.
	HeardUs time.Time
}
