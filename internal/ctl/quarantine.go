package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"time"
)

type quarantineCommand struct {
	List *quarantineListCommand `arg:"subcommand:list" help:"show requests under which upstreams ended"`
	Lift *quarantineLiftCommand `arg:"subcommand:lift" help:"let a request go to upstreams again"`
}

func (c *quarantineCommand) run(env *environment) error {
	if c.Lift != nil {
		return c.Lift.run(env)
	}
	return (&quarantineListCommand{}).run(env)
}

type quarantineListCommand struct{}

type heldRequest struct {
	Fingerprint string     `json:"fingerprint"`
	Route       string     `json:"route"`
	Account     string     `json:"account,omitempty"`
	Ends        []string   `json:"upstreams_ended"`
	Latest      time.Time  `json:"latest_end"`
	Held        *time.Time `json:"held_since,omitempty"`
	Until       *time.Time `json:"held_until,omitempty"`
	Refused     int        `json:"refused"`
}

type quarantineBody struct {
	Requests []heldRequest `json:"requests"`
}

func (*quarantineListCommand) run(env *environment) error {
	var b quarantineBody
	if err := env.api.call(http.MethodGet, "/quarantine", nil, &b); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(b)
	}
	rows := make([][]any, 0, len(b.Requests))
	for _, r := range b.Requests {
		rows = append(rows, []any{r.Fingerprint, r.Route, r.Account, len(r.Ends), r.Latest.Format(time.RFC3339), moment(r.Held), moment(r.Until), r.Refused})
	}
	return env.table("FINGERPRINT\tROUTE\tACCOUNT\tENDED\tLATEST END\tHELD SINCE\tTRIED AGAIN\tREFUSED", rows, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d")
}

// moment prints a time, or a dash for none.
func moment(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Format(time.RFC3339)
}

type quarantineLiftCommand struct {
	Fingerprint string `arg:"positional,required" help:"the request's fingerprint, as list shows it"`
}

func (c *quarantineLiftCommand) run(env *environment) error {
	if err := env.api.call(http.MethodDelete, "/quarantine/"+url.PathEscape(c.Fingerprint), nil, nil); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.stdout, "%s may go to upstreams again\n", c.Fingerprint)
	return err
}
