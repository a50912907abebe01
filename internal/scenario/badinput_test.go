package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// TestBadInput sends invalid requests and checks the error responses. It guards against
// invalid requests that reach an engine or service, and against leaked goroutines and
// file descriptors after rejected requests and broken streams.
func TestBadInput(t *testing.T) {
	c, entries := deployCluster(t, 1, 1, 1, 1, "SPARSHORE_MAX_BODY=4096")
	good := `{"model":"bins","messages":[{"role":"user","content":"out=3"}]}`
	tests := []struct {
		name   string
		method string
		path   string
		key    string
		idem   string
		body   string
		status int
		code   string
		param  string
	}{
		{name: "no key", path: "/v1/chat/completions", body: good, key: "-", status: 401, code: "invalid_api_key"},
		{name: "unknown key", path: "/v1/chat/completions", body: good, key: "nobody", status: 401, code: "invalid_api_key"},
		{name: "invalid JSON", path: "/v1/chat/completions", body: `{"model":`, status: 400, code: "invalid_body"},
		{name: "body is a list", path: "/v1/chat/completions", body: `[]`, status: 400, code: "invalid_body"},
		{name: "no model", path: "/v1/chat/completions", body: `{"messages":[]}`, status: 400, code: "invalid_body", param: "model"},
		{name: "unknown model", path: "/v1/chat/completions", body: strings.Replace(good, "bins", "cans", 1), status: 404, code: "model_not_found", param: "model"},
		{name: "model of a wrong type", path: "/v1/chat/completions", body: `{"model":7,"messages":[]}`, status: 400, code: "invalid_body", param: "model"},
		{name: "messages of a wrong type", path: "/v1/chat/completions", body: `{"model":"bins","messages":"hello"}`, status: 400, code: "invalid_body", param: "messages"},
		{name: "no prompt", path: "/v1/completions", body: `{"model":"bins"}`, status: 400, code: "invalid_body", param: "prompt"},
		{name: "negative max_tokens", path: "/v1/chat/completions", body: `{"model":"bins","messages":[],"max_tokens":-1}`, status: 400, code: "invalid_body", param: "max_tokens"},
		{name: "zero max_completion_tokens", path: "/v1/chat/completions", body: `{"model":"bins","messages":[],"max_completion_tokens":0}`, status: 400, code: "invalid_body", param: "max_completion_tokens"},
		{name: "two choices", path: "/v1/chat/completions", body: `{"model":"bins","messages":[],"n":2}`, status: 400, code: "invalid_body", param: "n"},
		{name: "oversized body", path: "/v1/chat/completions", body: `{"model":"` + strings.Repeat("x", 5000) + `"}`, status: 413, code: "body_too_large"},
		{name: "unknown path", path: "/v1/embeddings", body: good, status: 404, code: "not_found"},
		{name: "wrong method", method: http.MethodGet, path: "/v1/chat/completions", status: 405, code: "method_not_allowed"},
		{name: "unknown service", path: "/services/nothing/x", status: 404, code: "pool_not_found"},
		{name: "engine pool as a service", path: "/services/chat/x", status: 404, code: "pool_not_found"},
		{name: "malformed ticket", path: "/services/ledger/x", idem: "tk.short", status: 400, code: "invalid_body", param: "Idempotency-Key"},
		{name: "oversized idempotency key", path: "/services/ledger/x", idem: strings.Repeat("k", 300), status: 400, code: "invalid_body", param: "Idempotency-Key"},
		{name: "no operator token", method: http.MethodGet, path: "/admin/v1/status", status: 401, code: "invalid_operator_token"},
	}
	base := c.proc(entries[0]).baseURL
	level := c.resourceUse(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			method := tt.method
			if method == "" {
				method = http.MethodPost
			}
			r, err := http.NewRequestWithContext(t.Context(), method, base+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			if tt.key == "" {
				tt.key = apiKey
			}
			if tt.key != "-" {
				r.Header.Set("Authorization", "Bearer "+tt.key)
			}
			if tt.idem != "" {
				r.Header.Set("Idempotency-Key", tt.idem)
			}
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			var body struct {
				Error struct {
					Message string  `json:"message"`
					Type    string  `json:"type"`
					Param   *string `json:"param"`
					Code    string  `json:"code"`
				} `json:"error"`
			}
			if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
				t.Fatalf("status %d, body is not an error object: %v", resp.StatusCode, err)
			}
			param := ""
			if body.Error.Param != nil {
				param = *body.Error.Param
			}
			if resp.StatusCode != tt.status || body.Error.Code != tt.code || param != tt.param || body.Error.Message == "" || body.Error.Type == "" {
				t.Errorf("status %d, error %+v, param %q", resp.StatusCode, body.Error, param)
			}
		})
	}
	counts, err := c.engineCounts("eng-1")
	if err != nil || counts["submitted"] != 0 {
		t.Errorf("the engine received %d requests, %v", counts["submitted"], err)
	}
	if runs, err := c.runCounts(); err != nil || len(runs) != 0 {
		t.Errorf("the service ran %v, %v", runs, err)
	}
	c.breakStreams(t, base)
	if err := waitFor(func() error { return c.checkReleased(t, level) }); err != nil {
		t.Error(err)
	}
}

// breakStreams sends streaming requests that end early, because the engine fails in mid
// stream or the caller disconnects.
func (c *cluster) breakStreams(t *testing.T, base string) {
	t.Helper()
	for _, fault := range []string{`{"garbage":3}`, `{"stop_after":3}`, `{"repeat":3}`, `{}`} {
		c.control(c.upstreamURLs["eng-1"]+"/control/faults", json.RawMessage(fault))
		for range 5 {
			a := newStreamResult()
			done := make(chan struct{})
			go func() {
				defer close(done)
				a.sendStream(base, 30)
			}()
			if fault == `{}` {
				if err := waitFor(func() error {
					if a.count() < 2 {
						return errNotUp
					}
					return nil
				}); err != nil {
					t.Fatal(err)
				}
				a.mu.Lock()
				a.stop()
				a.mu.Unlock()
			}
			<-done
		}
	}
}

// resourceCount is the number of goroutines and open files of a process.
type resourceCount struct{ goroutines, files int }

var goroutinesLine = regexp.MustCompile(`(?m)^go_goroutines (\d+)`)

func (c *cluster) resourceUse(t *testing.T) map[string]resourceCount {
	t.Helper()
	out := map[string]resourceCount{}
	for name, p := range c.procs {
		resp, err := http.Get(p.baseURL + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		m := goroutinesLine.FindSubmatch(b)
		if err != nil || m == nil {
			t.Fatalf("metrics of %s: %v", name, err)
		}
		n, _ := strconv.Atoi(string(m[1]))
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		out[name] = resourceCount{goroutines: n, files: len(files)}
	}
	return out
}

// idleConnAllowance covers idle connections that a process keeps for reuse.
const idleConnAllowance = 8

func (c *cluster) checkReleased(t *testing.T, before map[string]resourceCount) error {
	for name, now := range c.resourceUse(t) {
		was := before[name]
		if now.goroutines > was.goroutines+idleConnAllowance || now.files > was.files+idleConnAllowance {
			return fmt.Errorf("%s: %+v now, %+v before", name, now, was)
		}
	}
	return nil
}
