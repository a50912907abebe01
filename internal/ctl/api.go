package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// errAPI is wrapped by errors that the administration API answered.
var errAPI = errors.New("administration API")

// api speaks the administration API of an entry.
type api struct {
	base   string
	token  string
	client *http.Client
}

// apiTimeout is longer than a change may take.
const apiTimeout = 40 * time.Second

func newAPI(server, token string) *api {
	return &api{base: strings.TrimSuffix(server, "/") + "/admin/v1", token: token, client: &http.Client{Timeout: apiTimeout}}
}

type apiFault struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

// call sends in, if not nil, and decodes the answer into out. Answers with a
// status from 400 on are errors, except 409, which carries a result.
func (a *api) call(method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s %s: %w", method, path, err)
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequest(method, a.base+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	r.Header.Set("Authorization", "Bearer "+a.token)
	resp, err := a.client.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %v", errAPI, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %v", errAPI, err)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusConflict {
		var f apiFault
		_ = json.Unmarshal(b, &f)
		return fmt.Errorf("%w: status %d: %s", errAPI, resp.StatusCode, f.Error.Message)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("%w: %s: %v", errAPI, path, err)
	}
	return nil
}
