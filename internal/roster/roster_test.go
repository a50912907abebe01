package roster

import (
	"fmt"
	"slices"
	"testing"
)

// TestDelegatesAreTheLargest checks that the entries on a zone's largest machines become its
// delegates, and that names only decide between equal machines.
func TestDelegatesAreTheLargest(t *testing.T) {
	small, wide, large := Size{Cores: 0.1, LinkMbps: 20}, Size{Cores: 0.1, LinkMbps: 1000}, Size{Cores: 1.6, LinkMbps: 1000}
	for _, tc := range []struct {
		name string
		all  []Candidate
		want []string
	}{
		{"no entries", nil, nil},
		{"a single entry", []Candidate{{"a", "z", small}}, []string{"a"}},
		{"the larger processor", []Candidate{{"a", "z", wide}, {"b", "z", small}, {"c", "z", large}}, []string{"c", "a"}},
		{"the larger link", []Candidate{{"a", "z", small}, {"b", "z", small}, {"c", "z", wide}}, []string{"c", "a"}},
		{"by name among equals", []Candidate{{"c", "z", small}, {"b", "z", small}, {"a", "z", small}}, []string{"a", "b"}},
		{"an unknown machine comes last", []Candidate{{"a", "z", Size{}}, {"b", "z", small}, {"c", "z", small}}, []string{"b", "c"}},
		{"entries of other zones are ignored", []Candidate{{"a", "y", large}, {"b", "z", small}}, []string{"b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, c := range Delegates(tc.all, "z") {
				got = append(got, c.Name)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("delegates %v, want %v", got, tc.want)
			}
		})
	}
}

// TestEntriesPerDelegateAreBounded checks that a delegate serves at most entriesPerDelegate entries
// of its zone however many there are, and that the entries spread over the delegates.
func TestEntriesPerDelegateAreBounded(t *testing.T) {
	for _, n := range []int{3, 69, 167, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			delegates := ZoneDelegates(n)
			if each := n / delegates; each > entriesPerDelegate {
				t.Errorf("%d entries per delegate with %d delegates, want at most %d", each, delegates, entriesPerDelegate)
			}
			asked := make([]int, delegates)
			for i := range n {
				asked[StartIndex(fmt.Sprintf("front-%d", i), delegates)]++
			}
			if most := slices.Max(asked); n > 60 && most > 2*n/delegates {
				t.Errorf("%d of %d entries ask one of %d delegates", most, n, delegates)
			}
		})
	}
}

// TestSizeSurvivesEncoding checks that a size that was encoded in thousandths, as in a message,
// equals the original. Otherwise entries would disagree on the order of candidates.
func TestSizeSurvivesEncoding(t *testing.T) {
	for _, cores := range []float64{0.1 * 3, 1.001, 0.8 * 2, 0.144, 0.57, 1.0 / 3} {
		size := NewSize(cores, 99.9999)
		if got := NewSize(float64(size.MilliCores())/1000, size.LinkMbps); got != size {
			t.Errorf("%v cores: %+v after encoding, want %+v", cores, got, size)
		}
	}
}
