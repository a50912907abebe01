package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

type explainCommand struct {
	Request string        `arg:"--request,required" help:"identifier of the request"`
	Around  time.Duration `arg:"--around" default:"5s" help:"also show what the processes that served the request learnt of stores, routes, other entries and its upstreams, from this long before it"`
	Files   []string      `arg:"positional,required" help:"log files of the processes; what stands before a line's first brace is ignored"`
}

// errNoLines is returned when no line tells of the request.
var errNoLines = errors.New("no line tells of the request")

// maxLogLine bounds the length of a log line in bytes.
const maxLogLine = 1 << 20

// logTime is the form of a log line's time.
const logTime = "2006-01-02 15:04:05.000000"

// logLine is one line that a process wrote.
type logLine struct {
	At      time.Time         `json:"at"`
	Process string            `json:"process"`
	Event   int               `json:"event"`
	Name    string            `json:"name"`
	Request string            `json:"request,omitempty"`
	Fields  map[string]string `json:"fields,omitempty"`
}

func (c *explainCommand) run(env *environment) error {
	var lines []logLine
	skipped := 0
	for _, name := range c.Files {
		b, err := env.readFile(name)
		if err != nil {
			return err
		}
		got, bad, err := parseLog(bytes.NewReader(b))
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, got...)
		skipped += bad
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	story := c.story(lines)
	if len(story) == 0 {
		return fmt.Errorf("%w: %s (%d lines read, %d not understood)", errNoLines, c.Request, len(lines), skipped)
	}
	if env.json {
		return env.printJSON(story)
	}
	rows := make([][]any, 0, len(story))
	for _, l := range story {
		rows = append(rows, []any{l.At.Format("15:04:05.000000"), l.Process, l.Event, l.Name, fieldText(l.Fields)})
	}
	return env.table("TIME\tPROCESS\tEVENT\tNAME\tFIELDS", rows, "%s\t%s\t%d\t%s\t%s")
}

// story returns the lines of the request and those that tell what the processes
// that served it believed at the time, with all that any knew of the same request.
func (c *explainCommand) story(lines []logLine) []logLine {
	var own []logLine
	for _, l := range lines {
		if l.Request == c.Request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	first, last := own[0].At.Add(-c.Around), own[len(own)-1].At
	processes, upstreams, fingerprints := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range own {
		processes[l.Process] = true
		for _, field := range []string{"upstream", "from", "to"} {
			upstreams[l.Fields[field]] = true
		}
		fingerprints[l.Fields["fingerprint"]] = true
	}
	return slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		if l.Request == c.Request {
			return false
		}
		if fingerprint, named := l.Fields["fingerprint"]; named && l.Request == "" {
			// What ended under the same request may be long ago, and another process saw it.
			return !fingerprints[fingerprint] || l.At.After(last)
		}
		other := l.Request != "" || !processes[l.Process] || l.At.Before(first) || l.At.After(last)
		upstream, named := l.Fields["upstream"]
		return other || named && !upstreams[upstream]
	})
}

// parseLog reads log lines; it counts those that are none.
func parseLog(r io.Reader) (lines []logLine, bad int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		l, ok := parseLogLine(s.Bytes())
		if !ok {
			bad++
			continue
		}
		lines = append(lines, l)
	}
	return lines, bad, s.Err()
}

func parseLogLine(b []byte) (logLine, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(b[start:], &fields); err != nil {
		return logLine{}, false
	}
	l := logLine{Fields: map[string]string{}}
	for name, value := range fields {
		text := strings.TrimSpace(fmt.Sprint(value))
		switch name {
		case "ts":
			at, err := time.Parse(logTime, text)
			if err != nil {
				return logLine{}, false
			}
			l.At = at
		case "process":
			l.Process = text
		case "msg":
			l.Name = text
		case "request":
			l.Request = text
		case "event":
			n, ok := value.(float64)
			if !ok {
				return logLine{}, false
			}
			l.Event = int(n)
		case "logger", "level", "incarnation":
		default:
			l.Fields[name] = text
		}
	}
	return l, l.Event != 0
}
