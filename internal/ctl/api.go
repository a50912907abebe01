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

// errAPI is wrapped by errors of calls to the administration API, including calls that get no
// response.
var errAPI = errors.New("administration API")

// api is a client of the administration API of an entry or gateway.
type api struct {
	base   string
	token  string
	client *http.Client
}

// apiTimeout exceeds the longest time that a configuration change takes, so that a command learns
// its outcome.
const apiTimeout = 40 * time.Second

func newAPI(server, token string) *api {
	return &api{base: strings.TrimSuffix(server, "/") + "/admin/v1", token: token, client: &http.Client{Timeout: apiTimeout}}
}

// apiError is the body of an error response.
type apiError struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

// call sends a request with in as its JSON body, if in is not nil, and decodes the response into
// out. Status codes from 400 are errors, except 409, which carries the outcome of a refused
// change.
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
		var failure apiError
		_ = json.Unmarshal(b, &failure)
		return fmt.Errorf("%w: status %d: %s", errAPI, resp.StatusCode, failure.Error.Message)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("%w: %s: %v", errAPI, path, err)
	}
	return nil
}
