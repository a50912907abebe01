// Package membership tracks the other processes of a deployment: their identity, their address, and
// whether they are leaving, suspected or lost. Entries and sidecars run a Set, which takes the
// addresses from the platform's VM list, keeps a connection to each process and detects failures by
// heartbeats on it. A Self answers the heartbeats of the others with the state of its own process.
package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/quarantine"
)

// Role tells whether a process is an entry or a sidecar.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Load is a sidecar's report on its upstream at one time. The JSON names are short because each
// heartbeat and reply carries a load.
type Load struct {
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
	Paused  int `json:"p,omitempty"`
	// UsedPermille is the used part of KV memory, in thousandths.
	UsedPermille int `json:"u,omitempty"`
	// WaitMS is the expected wait of a new request in milliseconds.
	WaitMS int64 `json:"q,omitempty"`
	// ClosedUntilMS is the time until which the upstream accepts no new request, in Unix milliseconds; 0
	// if it accepts them now.
	ClosedUntilMS int64 `json:"o,omitempty"`
	// AtMS is when the sidecar measured the load, in Unix milliseconds.
	AtMS int64 `json:"a,omitempty"`
}

// At returns when the sidecar measured the load.
func (l Load) At() time.Time { return time.UnixMilli(l.AtMS) }

// ClosedUntil returns the time until which the upstream accepts no new request; zero if it accepts them
// now.
func (l Load) ClosedUntil() time.Time {
	if l.ClosedUntilMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(l.ClosedUntilMS)
}

const permille = 1000

// UsedPart returns the used part of KV memory, from 0 to 1.
func (l Load) UsedPart() float64 { return float64(l.UsedPermille) / permille }

// Permille converts a part from 0 to 1 to thousandths.
func Permille(part float64) int { return int(part * permille) }

// Identity describes one incarnation of a process.
type Identity struct {
	process     string
	role        Role
	zone        string
	upstream    string
	incarnation string
	started     time.Time
}

// NewIdentity returns the identity of a process; upstream is empty for an
// entry.
func NewIdentity(process string, role Role, zone, upstream, incarnation string, started time.Time) Identity {
	return Identity{process: process, role: role, zone: zone, upstream: upstream, incarnation: incarnation, started: started}
}

// Process returns the process's name.
func (i Identity) Process() string { return i.process }

// Role returns whether the process is an entry or a sidecar.
func (i Identity) Role() Role { return i.role }

// Zone returns the availability zone.
func (i Identity) Zone() string { return i.zone }

// Upstream returns the upstream that a sidecar serves; it is empty for an entry.
func (i Identity) Upstream() string { return i.upstream }

// Incarnation returns the identifier of this run of the process, which is new at every start.
func (i Identity) Incarnation() string { return i.incarnation }

// Started returns when the process started, by its own clock.
func (i Identity) Started() time.Time { return i.started }

// Status is the changing part of what a process reports in its heartbeats.
type Status struct {
	Leaving bool
	Mark    config.Mark
	Load    Load
	// Suspects are the requests that were running when upstreams crashed.
	Suspects []quarantine.Report
}

// Self answers heartbeats for this process. The daemon sets the functions. Status is called for
// each ping that is sent or answered, and Behind when a peer reports a higher configuration mark.
// Suspects may be nil; it receives the suspect requests that another process reports.
type Self struct {
	Identity    Identity
	Recorder    *events.Recorder
	Status      func() Status
	OnNewerMark func(c *peer.Conn, m config.Mark)
	Suspects    func(process string, words []quarantine.Report)
}

const (
	methodHello = "member.hello"
	methodPing  = "member.ping"
	methodLeave = "member.leaving"
)

type helloResult struct {
	Process     string    `json:"process"`
	Role        Role      `json:"role"`
	Zone        string    `json:"zone"`
	Upstream    string    `json:"upstream,omitempty"`
	Incarnation string    `json:"incarnation"`
	Started     time.Time `json:"started"`
}

type pingParams struct {
	Mark  config.Mark  `json:"m"`
	Stamp events.Stamp `json:"t"`
	// Process is the sender's name. It is set only in pings between entries.
	Process  string                   `json:"p,omitempty"`
	Suspects []quarantine.Message     `json:"s,omitempty"`
	Runs     []quarantine.RunsMessage `json:"r,omitempty"`
}

type pingResult struct {
	Mark     config.Mark              `json:"m"`
	Leaving  bool                     `json:"leaving,omitempty"`
	Load     Load                     `json:"load"`
	Stamp    events.Stamp             `json:"t"`
	Suspects []quarantine.Message     `json:"s,omitempty"`
	Runs     []quarantine.RunsMessage `json:"r,omitempty"`
}

// receiveSuspects processes the suspect requests that another process reported.
func (s *Self) receiveSuspects(process string, messages []quarantine.Message, runs []quarantine.RunsMessage) {
	if s.Suspects == nil || process == "" {
		return
	}
	words := quarantine.Decode(messages, time.Now())
	quarantine.AddRuns(words, runs)
	s.Suspects(process, words)
}

// Methods returns the handlers for calls about this process.
func (s *Self) Methods() peer.Methods {
	return peer.Methods{
		methodHello: s.hello,
		methodPing:  s.ping,
	}
}

func (s *Self) hello(context.Context, *peer.Conn, json.RawMessage) (any, error) {
	i := s.Identity
	return helloResult{
		Process: i.process, Role: i.role, Zone: i.zone, Upstream: i.upstream,
		Incarnation: i.incarnation, Started: i.started,
	}, nil
}

func (s *Self) ping(_ context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p pingParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("ping: %w", err)
	}
	s.Recorder.Observe(p.Stamp)
	status := s.Status()
	if p.Mark > status.Mark && s.OnNewerMark != nil {
		go s.OnNewerMark(c, p.Mark)
	}
	s.receiveSuspects(p.Process, p.Suspects, p.Runs)
	return pingResult{Mark: status.Mark, Leaving: status.Leaving, Load: status.Load, Stamp: s.Recorder.Now(), Suspects: quarantine.Encode(status.Suspects, time.Now()), Runs: quarantine.EncodeRuns(status.Suspects)}, nil
}

// AnnounceLeaving tells all connected peers that this process accepts no new work.
func AnnounceLeaving(ctx context.Context, server *peer.Server) {
	server.Broadcast(ctx, methodLeave, struct{}{})
}
