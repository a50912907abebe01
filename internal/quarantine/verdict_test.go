package quarantine

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// named returns the fingerprint of a request that tests identify by a short name.
func named(letter string) Fingerprint { return FingerprintOf("", "", letter, "", nil) }

// TestAttribution covers which requests are quarantined. Each case maps requests to the upstream
// incarnations that crashed while they ran there; "!" marks a crash after which the request was served.
func TestAttribution(t *testing.T) {
	for _, tc := range []struct {
		name        string
		crashes     map[string]string
		quarantined string
	}{
		{"none after two crashes", map[string]string{"a": "1 2"}, ""},
		{"a request with three crashes", map[string]string{"a": "1 2 3"}, "a"},
		{"not requests that ran beside it at some crashes", map[string]string{"a": "1 2 3", "b": "1 2", "c": "3"}, "a"},
		{"not a request that ran beside it at three of its four crashes", map[string]string{"a": "1 2 3 4", "b": "1 2 3"}, "a"},
		{"neither of two with the same three crashes", map[string]string{"a": "1 2 3", "b": "1 2 3"}, ""},
		{"the one of two that has one more crash", map[string]string{"a": "1 2 3 4", "b": "1 2 3"}, "a"},
		{"both of two with the same four crashes", map[string]string{"a": "1 2 3 4", "b": "1 2 3 4"}, "a b"},
		{"two with three separate crashes each", map[string]string{"a": "1 2 3", "b": "4 5 6"}, "a b"},
		{"not a request beside each of two poison requests", map[string]string{"a": "1 2 3", "b": "4 5 6", "c": "1 2 4"}, "a b"},
		{"not a request beside each of them at two crashes", map[string]string{"a": "1 2 3 4", "b": "5 6 7 8", "c": "1 2 5 6"}, "a b"},
		{"two with three own crashes and a shared one", map[string]string{"a": "1 2 3 4", "b": "1 5 6 7"}, "a b"},
		{"not for a crash after which it was served", map[string]string{"a": "1 2 3!"}, ""},
		{"the one of two that was not served since", map[string]string{"a": "1 2 3", "b": "1! 2! 3!"}, "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			suspects := map[Fingerprint]*suspect{}
			names := map[Fingerprint]string{}
			for name, crashes := range tc.crashes {
				u := newSuspect(named(name))
				for crash := range strings.FieldsSeq(crashes) {
					incarnation := strings.TrimSuffix(crash, "!")
					u.addCrash(incarnation, now, true)
					if incarnation != crash {
						u.voidCrash(incarnation, now)
					}
				}
				suspects[u.fingerprint], names[u.fingerprint] = u, name
			}
			quarantinedSuspects, e := attribute(suspects)
			var quarantined []string
			for u := range quarantinedSuspects {
				quarantined = append(quarantined, names[u.fingerprint])
			}
			slices.Sort(quarantined)
			if got := strings.Join(quarantined, " "); got != tc.quarantined {
				t.Errorf("quarantined %q, want %q", got, tc.quarantined)
			}
			for _, u := range suspects {
				if belowThreshold := len(e.unexplained(u)) < quarantineThreshold; !quarantinedSuspects[u] &&
					tc.quarantined != "" && !belowThreshold {
					t.Errorf("%s has %d unexplained crashes left", names[u.fingerprint], len(e.unexplained(u)))
				}
			}
		})
	}
}
