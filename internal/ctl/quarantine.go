package ctl

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

type quarantineCommand struct {
	List *quarantineListCommand `arg:"subcommand:list" help:"list requests that were running when upstreams crashed"`
	Lift *quarantineLiftCommand `arg:"subcommand:lift" help:"clear a suspect or quarantined request"`
}

func (c *quarantineCommand) run(env *environment) error {
	if c.Lift != nil {
		return c.Lift.run(env)
	}
	return (&quarantineListCommand{}).run(env)
}

type quarantineListCommand struct{}

// suspectRequest is a request that was running when upstreams crashed, or a part of the prompts of such requests. It is in quarantine if
// QuarantinedAt is set.
type suspectRequest struct {
	Fingerprint      string     `json:"fingerprint"`
	Route            string     `json:"route"`
	Account          string     `json:"account,omitempty"`
	PromptPart       string     `json:"prompt_part,omitempty"`
	Crashes          []string   `json:"upstreams_ended"`
	LatestCrash      time.Time  `json:"latest_end"`
	QuarantinedAt    *time.Time `json:"held_since,omitempty"`
	QuarantinedUntil *time.Time `json:"held_until,omitempty"`
	Refused          int        `json:"refused"`
}

type quarantineResponse struct {
	Requests []suspectRequest `json:"requests"`
}

func (*quarantineListCommand) run(env *environment) error {
	var b quarantineResponse
	if err := env.api.call(http.MethodGet, "/quarantine", nil, &b); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(b)
	}
	rows := make([][]any, 0, len(b.Requests))
	for _, r := range b.Requests {
		rows = append(rows, []any{r.Fingerprint, r.Route, r.Account, cmp.Or(r.PromptPart, "-"), len(r.Crashes), r.LatestCrash.Format(time.RFC3339), formatTime(r.QuarantinedAt), formatTime(r.QuarantinedUntil), r.Refused})
	}
	return env.table("FINGERPRINT\tROUTE\tACCOUNT\tPROMPT PART\tENDED\tLATEST END\tHELD SINCE\tTRIED AGAIN\tREFUSED", rows, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d")
}

// formatTime formats a time, or nil as a dash.
func formatTime(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Format(time.RFC3339)
}

type quarantineLiftCommand struct {
	Fingerprint string `arg:"positional,required" help:"fingerprint of the request, as printed by list"`
}

func (c *quarantineLiftCommand) run(env *environment) error {
	if err := env.api.call(http.MethodDelete, "/quarantine/"+url.PathEscape(c.Fingerprint), nil, nil); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.stdout, "%s may go to upstreams again\n", c.Fingerprint)
	return err
}
