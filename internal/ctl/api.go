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

	"github.com/sparshore/sparshore/internal/httphead"
	"github.com/sparshore/sparshore/internal/sizebound"
)

// errAPI is wrapped by errors of calls to the administration API, including calls that get no
// response.
var errAPI = errors.New("administration API")

// A failing process, or another server at its address, may send without end.
const (
	// maxResponseBytes bounds in bytes the body of a response, except that of a timeline. The longest is a
	// configuration: its source has at most 1 MiB by default, and JSON escapes may take six times as many bytes.
	maxResponseBytes = 16 << 20
	// maxTimelineBytes bounds in bytes a timeline: 4,096 events of about 300 bytes of each of 100 processes.
	maxTimelineBytes = 128 << 20
)

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
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = sizebound.MaxHeadBytes
	return &api{base: strings.TrimSuffix(server, "/") + "/admin/v1", token: token, client: &http.Client{Timeout: apiTimeout, Transport: &httphead.Transport{Transport: transport}}}
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
	return a.callBounded(method, path, in, out, maxResponseBytes)
}

// callBounded does what call does, with a body of the response of at most most bytes.
func (a *api) callBounded(method, path string, in, out any, most int64) error {
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
	if !sizebound.Within(resp.Header) {
		return fmt.Errorf("%w: %w: more than %d header lines", errAPI, sizebound.ErrTooLong, sizebound.MaxHeadLines)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(b)) > most {
		err = fmt.Errorf("%w: body of more than %d bytes", sizebound.ErrTooLong, most)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errAPI, err)
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
