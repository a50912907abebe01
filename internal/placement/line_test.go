package placement

import (
	"testing"
	"time"
)

// TestLineOrder guards against generations that overtake others of their rank, and against urgent ones that
// wait behind others.
func TestLineOrder(t *testing.T) {
	var l Line
	at := time.Unix(1000, 0)
	normal, urgent := Rank{Route: 1}, Rank{}
	if l.Ahead(normal) {
		t.Error("an empty line has a generation ahead")
	}
	second := l.Join(normal, at.Add(time.Second))
	first := l.Join(normal, at)
	together := l.Join(normal, at.Add(time.Second))
	if !l.Ahead(normal) || l.Ahead(urgent) {
		t.Error("want those of the rank ahead of a new one, and none ahead of an urgent one")
	}
	most := l.Join(urgent, at.Add(2*time.Second))
	for i, p := range []*Place{most, first, second, together} {
		if !l.First(p) {
			t.Errorf("number %d is not the first", i)
		}
		l.Leave(p)
		l.Leave(p)
	}
	if l.Ahead(normal) || l.First(first) {
		t.Error("the line is not empty")
	}
}
