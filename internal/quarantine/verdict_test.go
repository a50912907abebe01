package quarantine

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// named returns a fingerprint that tests tell by a letter.
func named(letter string) Fingerprint { return FingerprintOf("", "", letter, "", nil) }

// TestJudge covers who is held. Each case names requests and the upstreams that ended while
// they ran there.
func TestJudge(t *testing.T) {
	for _, tc := range []struct {
		name string
		ends map[string]string
		held string
	}{
		{"nobody after two ends", map[string]string{"a": "1 2"}, ""},
		{"who ended three", map[string]string{"a": "1 2 3"}, "a"},
		{"not those that ran beside it at some ends", map[string]string{"a": "1 2 3", "b": "1 2", "c": "3"}, "a"},
		{"not those that ran beside it at three of its four ends", map[string]string{"a": "1 2 3 4", "b": "1 2 3"}, "a"},
		{"neither of two that ran at the same three ends", map[string]string{"a": "1 2 3", "b": "1 2 3"}, ""},
		{"the one of them under which one more ended", map[string]string{"a": "1 2 3 4", "b": "1 2 3"}, "a"},
		{"both if they ran at the same four", map[string]string{"a": "1 2 3 4", "b": "1 2 3 4"}, "a b"},
		{"two that ended three each", map[string]string{"a": "1 2 3", "b": "4 5 6"}, "a b"},
		{"not who ran beside one and then beside the other", map[string]string{"a": "1 2 3", "b": "4 5 6", "c": "1 2 4"}, "a b"},
		{"nor at four ends", map[string]string{"a": "1 2 3 4", "b": "5 6 7 8", "c": "1 2 5 6"}, "a b"},
		{"who ended three of its own beside those of another", map[string]string{"a": "1 2 3 4", "b": "1 5 6 7"}, "a b"},
		{"not for ends after which it was served", map[string]string{"a": "1 2 3!"}, ""},
		{"one whose rival was served since", map[string]string{"a": "1 2 3", "b": "1! 2! 3!"}, "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			suspects := map[Fingerprint]*suspect{}
			names := map[Fingerprint]string{}
			for name, ends := range tc.ends {
				u := newSuspect(named(name))
				for end := range strings.FieldsSeq(ends) {
					start := strings.TrimSuffix(end, "!")
					u.add(start, now, true)
					if start != end {
						u.voidEnd(start, now)
					}
				}
				suspects[u.fingerprint], names[u.fingerprint] = u, name
			}
			blamed, e := judge(suspects)
			var held []string
			for u := range blamed {
				held = append(held, names[u.fingerprint])
			}
			slices.Sort(held)
			if got := strings.Join(held, " "); got != tc.held {
				t.Errorf("held %q, want %q", got, tc.held)
			}
			for _, u := range suspects {
				if free := len(e.unexplained(u)) < verdictEnds; !blamed[u] && tc.held != "" && !free {
					t.Errorf("%s is left with %d ends", names[u.fingerprint], len(e.unexplained(u)))
				}
			}
		})
	}
}
