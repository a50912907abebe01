package daemon

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
)

// peerStatus describes another entry or an upstream in the status page of a gateway.
type peerStatus struct {
	VM       string  `json:"vm"`
	Zone     string  `json:"zone"`
	Address  string  `json:"address"`
	Role     string  `json:"role"`
	Upstream string  `json:"upstream,omitempty"`
	State    string  `json:"state"`
	Version  int64   `json:"version"`
	Running  int     `json:"running"`
	UsedPart float64 `json:"used_part"`
}

// badRowStatus describes the row of an upstream that cannot be used.
type badRowStatus struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Reason  string `json:"reason"`
}

// limitStatus describes an upstream with a rate limit.
type limitStatus struct {
	Upstream string  `json:"upstream"`
	Rate     float64 `json:"requests_per_s"`
	// Since is when this entry learned of the limit, and Named when the upstream is last known to
	// have stated it.
	Since time.Time `json:"since"`
	Named time.Time `json:"named"`
	// Granter is the entry that grants permits for requests to the upstream.
	Granter string `json:"granter,omitempty"`
}

// paceStatus describes the observed pace of an engine.
type paceStatus struct {
	Upstream string `json:"upstream"`
	// IntervalMS is the time between two events of a stream in milliseconds, and Slowdown that time
	// relative to the median of the service.
	IntervalMS float64 `json:"interval_ms"`
	Slowdown   float64 `json:"slowdown"`
	// Entries and Samples are the numbers of entries and samples that it is estimated from, and
	// Observed the time of the latest sample.
	Entries  int       `json:"entries"`
	Samples  int       `json:"samples"`
	Observed time.Time `json:"observed"`
}

// statusBody is the status page of a gateway. It has the form of the status page of an entry.
type statusBody struct {
	Process string `json:"process"`
	Zone    string `json:"zone"`
	// Version is the version of the route table in force. Accepted is set while that version is
	// confirmed.
	Version  int64          `json:"version"`
	Accepted bool           `json:"accepted"`
	Peers    []peerStatus   `json:"peers"`
	BadRows  []badRowStatus `json:"bad_rows"`
	Limits   []limitStatus  `json:"limits"`
	Paces    []paceStatus   `json:"paces"`
}

// The states of upstreams and entries in the status page.
const (
	stateUp        = "up"
	stateBackOff   = "back-off"
	stateLeaving   = "leaving"
	stateLapsed    = "lapsed"
	stateSuspected = "suspected"
)

// status returns to operators the state of other processes as seen by this gateway.
func (b *gatewayBuilder) status(w http.ResponseWriter, _ *http.Request) {
	out := statusBody{Process: b.settings.Name, Zone: b.settings.Zone, Peers: b.peerStatuses(), BadRows: b.upstreams.bad.list(), Limits: b.limitStatuses(), Paces: b.paceStatuses()}
	if table, confirmed := b.routes.Current(); table != nil {
		out.Version, out.Accepted = int64(table.Version()), time.Since(confirmed) < b.settings.KeyBound
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator disconnected.
	_ = json.NewEncoder(w).Encode(out)
}

func (b *gatewayBuilder) limitStatuses() []limitStatus {
	out := []limitStatus{}
	for _, l := range b.gateway.Limits().List() {
		out = append(out, limitStatus{Upstream: l.Upstream, Rate: l.Rate, Since: l.Since, Named: l.AdvertisedAt, Granter: l.Granter})
	}
	return out
}

// paceStatuses returns the paces of engines, the slowest first.
func (b *gatewayBuilder) paceStatuses() []paceStatus {
	out := []paceStatus{}
	for id, e := range b.gateway.KnownPaces() {
		out = append(out, paceStatus{
			Upstream: id, IntervalMS: float64(e.Interval.Microseconds()) / 1000, Slowdown: b.gateway.Slowdown(id),
			Entries: e.Entries, Samples: e.Samples, Observed: e.At,
		})
	}
	slices.SortFunc(out, func(a, b paceStatus) int {
		return cmp.Or(cmp.Compare(b.IntervalMS, a.IntervalMS), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}

func (b *gatewayBuilder) peerStatuses() []peerStatus {
	out := []peerStatus{}
	for name, p := range b.gossip.Peers() {
		s := peerStatus{VM: name, Zone: p.State.Zone, Address: p.Address, Role: "entry", State: stateUp, Version: int64(p.State.Routes)}
		if !p.State.StopBy.IsZero() {
			s.State = stateLeaving
		}
		out = append(out, s)
	}
	for _, u := range b.fleet.All() {
		load := b.gateway.KnownLoad(u.ID)
		out = append(out, peerStatus{VM: u.Name, Zone: u.Zone, Address: u.Address, Role: u.Service, Upstream: u.ID, State: stateOf(u, time.Now()), Running: load.Running})
	}
	slices.SortFunc(out, func(a, b peerStatus) int { return strings.Compare(a.Role+a.VM, b.Role+b.VM) })
	return out
}

func stateOf(u fleet.Upstream, now time.Time) string {
	switch {
	case u.State() == fleet.Leaving:
		return stateLeaving
	case u.State() == fleet.Lapsed:
		return stateLapsed
	case u.InBackOff(now):
		return stateBackOff
	case u.Suspect(now) || u.AvoidUntil().After(now):
		return stateSuspected
	default:
		return stateUp
	}
}
