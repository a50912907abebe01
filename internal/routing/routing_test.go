package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestOrderPrefers checks which of two upstreams comes first when they differ in a term of the
// score.
func TestOrderPrefers(t *testing.T) {
	tests := []struct {
		name  string
		a, b  Candidate
		first string
	}{
		{"same zone", Candidate{Name: "far"}, Candidate{Name: "near", SameZone: true}, "near"},
		{"other zone over a long wait", Candidate{Name: "far"}, Candidate{Name: "near", SameZone: true, Wait: time.Second}, "far"},
		{"fresh report", Candidate{Name: "old", Age: 10 * time.Second}, Candidate{Name: "new"}, "new"},
		{"cached prompt", Candidate{Name: "cold"}, Candidate{Name: "warm", PrefixPart: 1}, "warm"},
		{"free memory over cached prompt", Candidate{Name: "free"}, Candidate{Name: "warm", PrefixPart: 1, UsedPart: 0.9}, "free"},
		{"fewer requests sent since the report", Candidate{Name: "busy", SentSince: 5}, Candidate{Name: "idle"}, "idle"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Order([]Candidate{tt.a, tt.b}, DefaultWeights(), rand.New(rand.NewPCG(1, 1)))
			if got[0].Name != tt.first {
				t.Errorf("first is %s, want %s", got[0].Name, tt.first)
			}
		})
	}
}

// TestBudgetKeepsRetriesToAPartOfRequests guards against retries that multiply the load of
// failing upstreams.
func TestBudgetKeepsRetriesToAPartOfRequests(t *testing.T) {
	b := NewBudget(0.1, 10)
	const requests = 10_000
	retries := 0
	for range requests {
		b.Request()
		for b.Retry() {
			retries++
		}
	}
	if retries > requests/10+10 {
		t.Errorf("%d retries for %d requests", retries, requests)
	}
}
