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
	Around  time.Duration `arg:"--around" default:"5s" help:"also show events about stores, routes, other entries and the upstreams of the request, from this long before its first event, in the processes that served it"`
	Files   []string      `arg:"positional,required" help:"log files of the processes; text before the first brace of a line is ignored"`
}

// errNoLogLines is returned when no log line contains the request's ID.
var errNoLogLines = errors.New("no log line mentions the request")

// maxLogLine bounds the length of a log line in bytes.
const maxLogLine = 1 << 20

// logTime is the time layout of log lines.
const logTime = "2006-01-02 15:04:05.000000"

// logLine is an event that a process logged.
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
	selected := c.relevantLines(lines)
	if len(selected) == 0 {
		return fmt.Errorf("%w: %s (%d lines parsed, %d skipped)", errNoLogLines, c.Request, len(lines), skipped)
	}
	if env.json {
		return env.printJSON(selected)
	}
	rows := make([][]any, 0, len(selected))
	for _, l := range selected {
		rows = append(rows, []any{l.At.Format("15:04:05.000000"), l.Process, l.Event, l.Name, formatFields(l.Fields)})
	}
	return env.table("TIME\tPROCESS\tEVENT\tNAME\tFIELDS", rows, "%s\t%s\t%d\t%s\t%s")
}

// relevantLines returns the following lines in their given order:
//   - the lines of the request,
//   - other lines without a request, between c.Around before its first line and its last line, of
//     processes that served it, unless they concern an upstream that it did not use,
//   - lines of any process about its fingerprint, up to its last line.
func (c *explainCommand) relevantLines(lines []logLine) []logLine {
	var requestLines []logLine
	for _, l := range lines {
		if l.Request == c.Request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	first, last := requestLines[0].At.Add(-c.Around), requestLines[len(requestLines)-1].At
	processes, upstreams, fingerprints := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range requestLines {
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
			// Crashes under the same fingerprint may have happened long before, at other processes.
			return !fingerprints[fingerprint] || l.At.After(last)
		}
		unrelated := l.Request != "" || !processes[l.Process] || l.At.Before(first) || l.At.After(last)
		upstream, named := l.Fields["upstream"]
		return unrelated || named && !upstreams[upstream]
	})
}

// parseLog returns the events in a log and the number of lines that contain none.
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
