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

type statusBody struct {
	Process  string       `json:"process"`
	Zone     string       `json:"zone"`
	Version  int64        `json:"version"`
	Accepted bool         `json:"accepted"`
	Peers    []peerStatus `json:"peers"`
	// BadRows are rows of upstreams that cannot be used, as gateways tell.
	BadRows []badRow `json:"bad_rows,omitempty"`
	// Limits are upstreams that take only so many requests a second.
	Limits []upstreamLimit `json:"limits,omitempty"`
}

type upstreamLimit struct {
	Upstream string    `json:"upstream"`
	Rate     float64   `json:"requests_per_s"`
	Since    time.Time `json:"since"`
	Named    time.Time `json:"named"`
	Granter  string    `json:"granter,omitempty"`
}

type badRow struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Reason  string `json:"reason"`
}

func (*statusCommand) run(env *environment) error {
	var b statusBody
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
	if err := printLimits(env, b.Limits); err != nil || len(b.BadRows) == 0 {
		return err
	}
	bad := make([][]any, 0, len(b.BadRows))
	for _, r := range b.BadRows {
		bad = append(bad, []any{r.Name, r.Version, r.Reason})
	}
	return env.table("\nROW THAT CANNOT BE USED\tVERSION\tREASON", bad, "%s\t%d\t%s")
}

// printLimits shows the upstreams that take only so many requests a second, if there are any.
func printLimits(env *environment, limits []upstreamLimit) error {
	if len(limits) == 0 {
		return nil
	}
	rows := make([][]any, 0, len(limits))
	for _, l := range limits {
		rows = append(rows, []any{l.Upstream, l.Rate, l.Since.Format(time.RFC3339), l.Named.Format(time.RFC3339), l.Granter})
	}
	return env.table("\nLIMITED UPSTREAM\tREQUESTS A SECOND\tSINCE\tLATEST WORD\tGRANTED BY", rows, "%s\t%v\t%s\t%s\t%s")
}
