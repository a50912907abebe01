package roster

import (
	"fmt"
	"slices"
	"testing"
)

// TestDelegatesAreTheLargest covers who works for a zone: the entries on its largest machines,
// whatever their names are.
func TestDelegatesAreTheLargest(t *testing.T) {
	small, wide, large := Size{Cores: 0.1, LinkMbps: 20}, Size{Cores: 0.1, LinkMbps: 1000}, Size{Cores: 1.6, LinkMbps: 1000}
	for _, tc := range []struct {
		name string
		all  []Candidate
		want []string
	}{
		{"nobody", nil, nil},
		{"one", []Candidate{{"a", "z", small}}, []string{"a"}},
		{"the larger processor", []Candidate{{"a", "z", wide}, {"b", "z", small}, {"c", "z", large}}, []string{"c", "a"}},
		{"the larger link", []Candidate{{"a", "z", small}, {"b", "z", small}, {"c", "z", wide}}, []string{"c", "a"}},
		{"by name among equals", []Candidate{{"c", "z", small}, {"b", "z", small}, {"a", "z", small}}, []string{"a", "b"}},
		{"a machine that is not known comes last", []Candidate{{"a", "z", Size{}}, {"b", "z", small}, {"c", "z", small}}, []string{"b", "c"}},
		{"of the zone only", []Candidate{{"a", "y", large}, {"b", "z", small}}, []string{"b"}},
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

// TestWorkForOthersIsBounded: however many entries there are, a delegate works for no more than
// zoneEach of its zone, and the entries of a zone spread over its delegates.
func TestWorkForOthersIsBounded(t *testing.T) {
	for _, n := range []int{3, 69, 167, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			delegates := ZoneDelegates(n)
			if each := n / delegates; each > zoneEach {
				t.Errorf("%d entries for each of %d delegates, want at most %d", each, delegates, zoneEach)
			}
			asked := make([]int, delegates)
			for i := range n {
				asked[Pick(fmt.Sprintf("front-%d", i), delegates)]++
			}
			if most := slices.Max(asked); n > 60 && most > 2*n/delegates {
				t.Errorf("%d of %d entries ask one of %d delegates", most, n, delegates)
			}
		})
	}
}

// TestSizeIsTheSameHoweverItIsLearnt: a size that goes through a row, or in thousandths through a
// message, compares as equal to the original.
func TestSizeIsTheSameHoweverItIsLearnt(t *testing.T) {
	for _, cores := range []float64{0.1 * 3, 1.001, 0.8 * 2, 0.144, 0.57, 1.0 / 3} {
		size := NewSize(cores, 99.9999)
		if got := NewSize(float64(size.MilliCores())/1000, size.LinkMbps); got != size {
			t.Errorf("%v cores: %+v through a message, want %+v", cores, got, size)
		}
	}
}
