package callid

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/config"
)

func TestParse(t *testing.T) {
	tests := []struct {
		name     string
		text     string
		upstream string
		issued   int64
		err      error
	}{
		{name: "ticket", text: "tk.led-1.abc.00ff", upstream: "led-1"},
		{name: "ticket of an upstream with dots", text: "tk.led.a.1.abc.00ff", upstream: "led.a.1"},
		{name: "ticket with missing parts", text: "tk.led-1", err: ErrMalformed},
		{name: "plain key", text: "reminder-17"},
		{name: "version 7 UUID", text: "0190163d-8694-739b-aea5-966c26f8ad91", issued: 0x0190163d8694},
		{name: "version 4 UUID", text: "0190163d-8694-439b-aea5-966c26f8ad91"},
		{name: "empty", text: "", err: ErrMalformed},
		{name: "line break", text: "a\nb", err: ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			id, err := Parse(tt.text)
			if !errors.Is(err, tt.err) {
				t.Fatalf("err = %v, want %v", err, tt.err)
			}
			if id.Upstream() != tt.upstream {
				t.Errorf("upstream = %q, want %q", id.Upstream(), tt.upstream)
			}
			issued, ok := id.Issued()
			if ok != (tt.issued != 0) || (ok && !issued.Equal(time.UnixMilli(tt.issued))) {
				t.Errorf("issued = %v, %v, want %d", issued, ok, tt.issued)
			}
		})
	}
}

func TestTicketRoundTrip(t *testing.T) {
	made := NewTicket("led.x", "i1")
	read, err := Parse(made.String())
	if err != nil || read.Upstream() != "led.x" || read.Incarnation() != "i1" || !read.IsTicket() {
		t.Errorf("Parse(%s) = %+v, %v", made, read, err)
	}
}

func TestHomeMovesOnlyKeysOfRemovedUpstream(t *testing.T) {
	full := &config.Pool{}
	for i := range 5 {
		full.Upstreams = append(full.Upstreams, config.Upstream{Name: fmt.Sprint("u", i)})
	}
	less := &config.Pool{Upstreams: full.Upstreams[:4]}
	share := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("k", i)
		was, is := HomeUpstream(key, full), HomeUpstream(key, less)
		share[was]++
		if was != "u4" && was != is {
			t.Fatalf("key %s moved from %s to %s", key, was, is)
		}
	}
	for u, n := range share {
		if n < 120 || n > 280 {
			t.Errorf("%s is home of %d of 1000 keys", u, n)
		}
	}
}
