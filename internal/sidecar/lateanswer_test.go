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

// A service answers before the call's timeout, but the sidecar is not scheduled until the timeout
// has passed. The call must not be given up as unknown, since its answer is there.
func TestAnswerThatArrivedBeforeTheTimeoutIsRead(t *testing.T) {
	const limit, stall = 100 * time.Millisecond, 120 * time.Millisecond
	for _, tc := range []struct {
		name  string
		delay time.Duration
		whole bool
	}{
		{"answer before the timeout", 0, true},
		{"no answer before the timeout", time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(tc.delay):
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
				return standin.NewDelayedReadConn(c, time.Now().Add(stall)), nil
			}
			l := &serviceLink{base: s.URL, client: &http.Client{Transport: &http.Transport{DialContext: dial}}, fence: func() int64 { return 1 }, onAnswer: ignoreAnswer}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			start := time.Now()
			a, err := l.do(ctx, invokeParams{Method: http.MethodGet, Path: "/"})
			if whole := err == nil && string(a.body) == "body"; whole != tc.whole {
				t.Errorf("error %v; want a whole answer: %v", err, tc.whole)
			}
			if took := time.Since(start); took > limit+stall+200*time.Millisecond {
				t.Errorf("took %s", took)
			}
		})
	}
}

// An answer that exceeds maxAnswer must not be passed on truncated as if it were whole.
func TestTooLongAnswerIsAnError(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxAnswer+1)) }))
	defer s.Close()
	l := &serviceLink{base: s.URL, client: s.Client(), fence: func() int64 { return 1 }, onAnswer: ignoreAnswer}
	a, err := l.do(t.Context(), invokeParams{Method: http.MethodGet, Path: "/"})
	if !errors.Is(err, errAnswerTooLong) {
		t.Errorf("%v, want %v", err, errAnswerTooLong)
	}
	if a != nil {
		t.Errorf("%d bytes of an answer of %d passed on", len(a.body), maxAnswer+1)
	}
}
