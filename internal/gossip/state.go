package gossip

import (
	"time"

	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
	"github.com/sparshore/sparshore/internal/routing"
)

// Load is the load of requests in flight at one upstream, from one entry or as a sum over several.
type Load struct {
	// Running is the number of requests.
	Running int
	// Tokens is the KV memory that the requests are expected to take, in tokens.
	Tokens int
	// Prefill is the part of the prompts that is not processed yet, in tokens.
	Prefill int
	// Held is the KV memory that the requests take now, in tokens. Prompts count in full.
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

// State is what an entry reports to the other entries.
type State struct {
	// Incarnation identifies the process of the entry. It is encoded from Settings.
	Incarnation string
	// Zone is the availability zone of the entry.
	Zone string
	// Relay is the IP:port at which the entry serves data of the store to other entries.
	Relay string
	// Routes is the version of its route table.
	Routes routetable.Version
	// Confirmed is the latest monotonic time at which that version was known to be the newest; zero if
	// it never was.
	Confirmed time.Time
	// StopBy is the monotonic time at which a planned stop ends the entry; zero if none is under way.
	StopBy time.Time
	// StoreLost is whether the entry itself cannot reach the platform's store.
	StoreLost bool
	// Loads is the load that the entry has placed on each upstream.
	Loads map[string]Load
	// Paces holds what the entry measured of the pace of engines.
	Paces map[string]pace.Report
	// Intervals holds the mean time between two events of the streams that the entry had at an engine in the latest
	// moments.
	Intervals map[string]time.Duration
	// Unreachable holds, by upstream, the monotonic time at which the entry last failed to connect, if it
	// has not succeeded since.
	Unreachable map[string]time.Time
	// Leaving lists the upstreams that are known to be leaving.
	Leaving []string
	// Faults holds, by upstream, the monotonic time of the latest fault that the entry's requests met
	// there recently.
	Faults map[string]time.Time
	// Failures is the number of requests of the entry that each upstream failed recently.
	Failures map[string]int
	// Retries is the entry's use of the retry budgets, by service.
	Retries map[string]routing.Use
	// Suspects lists the requests that the entry knows to have run on upstreams when those crashed.
	Suspects []quarantine.Report
	// LastReceived is the send time of the receiver's latest message that had reached the sender of this
	// State, by the receiver's monotonic clock; zero for none. It is not encoded: the receiver takes it
	// from the echo.
	LastReceived time.Time
}
