package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host    = "ficu95.example"
	key     = "xd9dnn2ctnfzs989anu6"
	chatURL = "/lohu930/2f"
)

// config is a configuration of one streaming route.
func config(version int, resumable bool) map[string]any {
	attempts := 1
	if resumable {
		attempts = 2
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "chat", "host": host, fieldPrefix: "/lohu930/", fieldKind: "streaming", "timeout_ms": 39000, fieldObjective: 1800, "priority": 1,
			"service": service, fieldAttempts: attempts, "public": false, "sticky": true, "resumable": resumable, fieldPause: 180,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 372, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 48, fieldCapacity: 34414, fieldTokenBytes: 131072, "link_mbps": 19000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
			"models": []any{map[string]any{"name": "m"}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", fieldKeys: []string{key}, "priority": 1}},
	}
}

// streamResult is what a client saw of a stream.
type streamResult struct {
	status   int
	events   int
	complete bool
	// wrong lists pieces that are missing, doubled or of another request.
	wrong []string
}

// stream sends a generation of n events to a gateway and reads its answer.
func (w *world) stream(g *gateway, id string, n int) (res streamResult) {
	defer func() { w.note("client: %s ends: %+v", id, res) }()
	c, err := net.DialTimeout("tcp4", g.listen, time.Second)
	if err != nil {
		return res
	}
	defer func() { _ = c.Close() }()
	body := "{\"prompt\":\"" + id + "\"}"
	w.note("client: sends %s to %s", id, g.name)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"+headerModel+": m\r\n"+headerUsage+": 3000,%d\r\n"+headerPrefix+": 5c1e07a2:79,%x:2921\r\n"+headerDeadline+": 39000\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		chatURL, host, id, 4*n, id, key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	if res.status != http.StatusOK {
		return res
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		res.events++
		if want := fmt.Sprintf("%s %d", id, res.events); data != want && len(res.wrong) < 3 {
			res.wrong = append(res.wrong, fmt.Sprintf("piece %q where %q is due", data, want))
		}
	}
	res.complete = lines.Err() == nil
	return res
}

// soundAnswers is how many streams without a fault a case has beside the one that its worker spoils. The pages give
// 3 in 100 as the share of such answers.
const soundAnswers = 49

// streamBriefly sends soundAnswers short streams to a gateway and waits for them.
func (w *world) streamBriefly(g *gateway) {
	var clients sync.WaitGroup
	for i := range soundAnswers {
		clients.Go(func() { w.stream(g, fmt.Sprintf("brief-%d", i), 4) })
		time.Sleep(30 * time.Millisecond)
	}
	clients.Wait()
}
