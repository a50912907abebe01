package ctl

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

type timelineCommand struct {
	Request string `arg:"--request" help:"identifier of a request or change; default is all events"`
}

type timelineEvent struct {
	Stamp struct {
		Wall  int64  `json:"wall"`
		Logic uint32 `json:"logic"`
	} `json:"stamp"`
	Process     string            `json:"process"`
	Incarnation string            `json:"incarnation"`
	Event       int               `json:"event"`
	Name        string            `json:"name"`
	Request     string            `json:"request,omitempty"`
	Fields      map[string]string `json:"fields,omitempty"`
}

type timelineResponse struct {
	Events      []timelineEvent `json:"events"`
	Unreachable []string        `json:"unreachable"`
}

func (c *timelineCommand) run(env *environment) error {
	var b timelineResponse
	if err := env.api.callBounded(http.MethodGet, "/timeline?request="+url.QueryEscape(c.Request), nil, &b, maxTimelineBytes); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(b)
	}
	rows := make([][]any, 0, len(b.Events))
	for _, e := range b.Events {
		at := time.Unix(0, e.Stamp.Wall).UTC().Format("15:04:05.000000")
		rows = append(rows, []any{at, e.Process, e.Event, e.Name, e.Request, formatFields(e.Fields)})
	}
	if err := env.table("TIME\tPROCESS\tEVENT\tNAME\tREQUEST\tFIELDS", rows, "%s\t%s\t%d\t%s\t%s\t%s"); err != nil {
		return err
	}
	for _, name := range b.Unreachable {
		if _, err := fmt.Fprintf(env.stdout, "not reached: %s\n", name); err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the fields as sorted key=value pairs.
func formatFields(fields map[string]string) string {
	parts := make([]string, 0, len(fields))
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, k+"="+fields[k])
	}
	return strings.Join(parts, " ")
}
