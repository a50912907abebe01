package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/standin"
)

// A service had answered before the time limit of its call, and the sidecar did not get to run
// until the limit was over: the call was given up as unknown, though its answer was there.
func TestCallWhoseAnswerCameBeforeTheTimeLimit(t *testing.T) {
	const limit, stall = 100 * time.Millisecond, 120 * time.Millisecond
	for _, tc := range []struct {
		name  string
		takes time.Duration
		whole bool
	}{
		{"it is there", 0, true},
		{"it is not", time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(tc.takes):
				case <-r.Context().Done():
				}
				_, _ = w.Write([]byte("body"))
			}))
			defer s.Close()
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return standin.NewHeldBack(c, time.Now().Add(stall)), nil
			}
			l := &serviceLink{base: s.URL, client: &http.Client{Transport: &http.Transport{DialContext: dial}}, fence: func() int64 { return 1 }, heard: hearsNothing}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			start := time.Now()
			a, err := l.do(ctx, invokeParams{Method: http.MethodGet, Path: "/"})
			if whole := err == nil && string(a.body) == "body"; whole != tc.whole {
				t.Errorf("%v; want it whole: %v", err, tc.whole)
			}
			if took := time.Since(start); took > limit+stall+200*time.Millisecond {
				t.Errorf("took %s", took)
			}
		})
	}
}

// An answer that is longer than what is read of one was passed on cut, as if it were whole.
func TestCallWhoseAnswerIsTooLong(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxAnswer+1)) }))
	defer s.Close()
	l := &serviceLink{base: s.URL, client: s.Client(), fence: func() int64 { return 1 }, heard: hearsNothing}
	a, err := l.do(t.Context(), invokeParams{Method: http.MethodGet, Path: "/"})
	if !errors.Is(err, errAnswerTooLong) {
		t.Errorf("%v, want %v", err, errAnswerTooLong)
	}
	if a != nil {
		t.Errorf("%d bytes of an answer of %d passed on", len(a.body), maxAnswer+1)
	}
}
