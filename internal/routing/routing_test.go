package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestOrderPrefers(t *testing.T) {
	tests := []struct {
		name  string
		a, b  Candidate
		first string
	}{
		{"the own zone", Candidate{Name: "far"}, Candidate{Name: "near", SameZone: true}, "near"},
		{"another zone over a long wait", Candidate{Name: "far"}, Candidate{Name: "near", SameZone: true, Wait: time.Second}, "far"},
		{"a fresh report", Candidate{Name: "old", Age: 10 * time.Second}, Candidate{Name: "new"}, "new"},
		{"a cached prompt", Candidate{Name: "cold"}, Candidate{Name: "warm", PrefixPart: 1}, "warm"},
		{"free memory over a cached prompt", Candidate{Name: "free"}, Candidate{Name: "warm", PrefixPart: 1, UsedPart: 0.9}, "free"},
		{"one it sent less to", Candidate{Name: "busy", SentSince: 5}, Candidate{Name: "idle"}, "idle"},
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
