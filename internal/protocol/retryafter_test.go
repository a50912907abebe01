package protocol

import (
	"testing"
	"time"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		text string
		want time.Duration
	}{
		{"", 0}, {"0.25", 250 * time.Millisecond}, {" 3 ", 3 * time.Second}, {"0", 0}, {"-1", 0}, {"NaN", 0}, {"soon", 0},
		{"1e300", maxRetryAfterSeconds * time.Second}, {"Inf", maxRetryAfterSeconds * time.Second}, {"Wed, 21 Oct 2026 07:28:00 GMT", 0},
	} {
		t.Run(tc.text, func(t *testing.T) {
			got := ParseRetryAfter(tc.text, now)
			if got.IsZero() != (tc.want == 0) || !got.IsZero() && got.Sub(now) != tc.want {
				t.Errorf("%v, want in %s", got, tc.want)
			}
		})
	}
}
