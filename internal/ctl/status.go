package ctl

import (
	"fmt"
	"net/http"
	"time"
)

type statusCommand struct{}

type peerStatus struct {
	VM          string  `json:"vm"`
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`
	Role        string  `json:"role"`
	Upstream    string  `json:"upstream,omitempty"`
	Incarnation string  `json:"incarnation"`
	State       string  `json:"state"`
	Version     int64   `json:"version"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Paused      int     `json:"paused"`
	UsedPart    float64 `json:"used_part"`
}

type statusResponse struct {
	Process  string       `json:"process"`
	Zone     string       `json:"zone"`
	Version  int64        `json:"version"`
	Accepted bool         `json:"accepted"`
	Peers    []peerStatus `json:"peers"`
	// InvalidRecords are records of upstreams that gateways cannot use.
	InvalidRecords []invalidRecord `json:"bad_rows,omitempty"`
	// Limits are the upstreams with a rate limit.
	Limits []upstreamLimit `json:"limits,omitempty"`
	// Paces are the observed speeds of engines, the slowest first.
	Paces []enginePace `json:"paces,omitempty"`
}

// enginePace is the observed pace of an engine: the time between two events of a stream, also relative to
// the median of its service.
type enginePace struct {
	Upstream   string    `json:"upstream"`
	IntervalMS float64   `json:"interval_ms"`
	Slowdown   float64   `json:"slowdown"`
	Entries    int       `json:"entries"`
	Samples    int       `json:"samples"`
	Observed   time.Time `json:"observed"`
}

// upstreamLimit is the rate limit of an upstream. AdvertisedAt is when the upstream last announced
// the limit, Granter the entry that grants its permits.
type upstreamLimit struct {
	Upstream     string    `json:"upstream"`
	Rate         float64   `json:"requests_per_s"`
	Since        time.Time `json:"since"`
	AdvertisedAt time.Time `json:"named"`
	Granter      string    `json:"granter,omitempty"`
}

type invalidRecord struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Reason  string `json:"reason"`
}

func (*statusCommand) run(env *environment) error {
	var b statusResponse
	if err := env.api.call(http.MethodGet, "/status", nil, &b); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(b)
	}
	state := "accepted"
	if !b.Accepted {
		state = "not known to be in force everywhere"
	}
	if _, err := fmt.Fprintf(env.stdout, "seen by %s in zone %s: version %d, %s\n", b.Process, b.Zone, b.Version, state); err != nil {
		return err
	}
	rows := make([][]any, 0, len(b.Peers))
	for _, p := range b.Peers {
		rows = append(rows, []any{p.VM, p.Zone, p.Role, p.Upstream, p.State, p.Version, p.Running, p.Waiting, p.Paused, 100 * p.UsedPart})
	}
	if err := env.table("VM\tZONE\tROLE\tUPSTREAM\tSTATE\tVERSION\tRUNNING\tWAITING\tPAUSED\tMEMORY", rows,
		"%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.0f%%"); err != nil {
		return err
	}
	if err := printLimits(env, b.Limits); err != nil {
		return err
	}
	if err := printPaces(env, b.Paces); err != nil || len(b.InvalidRecords) == 0 {
		return err
	}
	bad := make([][]any, 0, len(b.InvalidRecords))
	for _, r := range b.InvalidRecords {
		bad = append(bad, []any{r.Name, r.Version, r.Reason})
	}
	return env.table("\nROW THAT CANNOT BE USED\tVERSION\tREASON", bad, "%s\t%d\t%s")
}

// printLimits prints the upstreams with a rate limit. It prints nothing if there are none.
func printLimits(env *environment, limits []upstreamLimit) error {
	if len(limits) == 0 {
		return nil
	}
	rows := make([][]any, 0, len(limits))
	for _, l := range limits {
		rows = append(rows, []any{l.Upstream, l.Rate, l.Since.Format(time.RFC3339), l.AdvertisedAt.Format(time.RFC3339), l.Granter})
	}
	return env.table("\nLIMITED UPSTREAM\tREQUESTS A SECOND\tSINCE\tLATEST WORD\tGRANTED BY", rows, "%s\t%v\t%s\t%s\t%s")
}

// printPaces prints the observed paces of engines, if there are any.
func printPaces(env *environment, paces []enginePace) error {
	if len(paces) == 0 {
		return nil
	}
	rows := make([][]any, 0, len(paces))
	for _, p := range paces {
		rows = append(rows, []any{p.Upstream, p.IntervalMS, p.Slowdown, p.Entries, p.Samples, time.Since(p.Observed).Round(time.Second)})
	}
	return env.table("\nENGINE\tMS AN EVENT\tOF THE MEDIAN\tENTRIES\tSAMPLES\tLAST SEEN", rows, "%s\t%.1f\t%.2f\t%d\t%d\t%s")
}
