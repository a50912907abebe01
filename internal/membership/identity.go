// Package membership knows the processes of the system: who they are, how to
// reach them, and which are leaving, suspected or lost. Peers come from the
// platform's VM list; liveness is seen on the connections to them.
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

// Role is what a process does.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Load is a sidecar's word on its upstream, as of a time. Its names are short
// because it rides on every heartbeat and reply.
type Load struct {
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
	Paused  int `json:"p,omitempty"`
	// UsedPermille is the part of KV memory in use, in thousandths.
	UsedPermille int `json:"u,omitempty"`
	// WaitMS is the expected wait of a new request in milliseconds.
	WaitMS int64 `json:"q,omitempty"`
	// OpensMS is until when the upstream takes no new request, in Unix milliseconds; 0 if it
	// does now.
	OpensMS int64 `json:"o,omitempty"`
	// AtMS is when the sidecar read it, in Unix milliseconds.
	AtMS int64 `json:"a,omitempty"`
}

// At returns when the sidecar read the load.
func (l Load) At() time.Time { return time.UnixMilli(l.AtMS) }

// OpensAt returns until when the upstream takes no new request; zero if it does now.
func (l Load) OpensAt() time.Time {
	if l.OpensMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(l.OpensMS)
}

const permille = 1000

// UsedPart returns the part of KV memory in use, from 0 to 1.
func (l Load) UsedPart() float64 { return float64(l.UsedPermille) / permille }

// Permille returns a part as thousandths.
func Permille(part float64) int { return int(part * permille) }

// Identity is what a process says of itself.
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

// Role returns what the process does.
func (i Identity) Role() Role { return i.role }

// Zone returns the availability zone.
func (i Identity) Zone() string { return i.zone }

// Upstream returns the upstream beside which a sidecar runs.
func (i Identity) Upstream() string { return i.upstream }

// Incarnation returns the identifier that is new at every start.
func (i Identity) Incarnation() string { return i.incarnation }

// Started returns when the process started, by its own clock.
func (i Identity) Started() time.Time { return i.started }

// Status is the part of a process's word that changes.
type Status struct {
	Leaving bool
	Mark    config.Mark
	Load    Load
	// Suspects are the requests under which upstreams ended.
	Suspects []quarantine.Word
}

// Self answers heartbeats for the own process. Status, Behind and Suspects are seams:
// Status is read for each answer, Behind is called when a peer shows a higher
// configuration mark, and Suspects, if set, with what one tells of requests under which
// upstreams ended.
type Self struct {
	Identity Identity
	Recorder *events.Recorder
	Status   func() Status
	Behind   func(c *peer.Conn, m config.Mark)
	Suspects func(process string, words []quarantine.Word)
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
	// Process is the sender's name, if it is an entry.
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

// hear takes over what a process tells of requests under which upstreams ended.
func (s *Self) hear(process string, messages []quarantine.Message, runs []quarantine.RunsMessage) {
	if s.Suspects == nil || process == "" {
		return
	}
	words := quarantine.Decode(messages, time.Now())
	quarantine.AddRuns(words, runs)
	s.Suspects(process, words)
}

// Methods returns the handlers that answer for the own process.
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
	st := s.Status()
	if p.Mark > st.Mark && s.Behind != nil {
		go s.Behind(c, p.Mark)
	}
	s.hear(p.Process, p.Suspects, p.Runs)
	return pingResult{Mark: st.Mark, Leaving: st.Leaving, Load: st.Load, Stamp: s.Recorder.Now(), Suspects: quarantine.Encode(st.Suspects, time.Now()), Runs: quarantine.EncodeRuns(st.Suspects)}, nil
}

// AnnounceLeaving tells all connected peers at once that the own process takes
// no new work.
func AnnounceLeaving(ctx context.Context, server *peer.Server) {
	server.Broadcast(ctx, methodLeave, struct{}{})
}
