package daemon

import (
	"slices"
	"testing"

	"github.com/sparshore/sparshore/internal/events"
	product "github.com/sparshore/sparshore/internal/platform"
)

func TestUpstreamChanges(t *testing.T) {
	row := func(name string) product.Record {
		return product.Record{Name: name, Value: []byte(`{"service":"llm","address":"10.0.0.1:1"}`)}
	}
	born := func(name, at string) product.Record {
		return product.Record{Name: name, Value: []byte(`{"service":"llm","address":"10.0.0.1:1","born":` + at + `}`)}
	}
	gone := func(name string) product.Record { return product.Record{Name: name, Gone: true} }
	for _, tc := range []struct {
		name    string
		rows    []product.Record
		present []string
		gone    []string
	}{
		{"rows come and go", []product.Record{row("a"), gone("b")}, []string{"a"}, []string{"b"}},
		{"a row that went and came back in one answer is there", []product.Record{gone("a"), row("a")}, []string{"a"}, nil},
		{"a row that came and went in one answer is gone", []product.Record{row("a"), gone("a")}, nil, []string{"a"}},
		{"a row whose birth cannot be used changes nothing", []product.Record{born("a", "1.5"), born("b", "7")}, []string{"b"}, nil},
		{"of two starts in one answer the last one counts", []product.Record{born("a", "7"), gone("a"), born("a", "8")}, []string{"a"}, nil},
		{"two rows with one address are both there", []product.Record{born("a", "7"), born("b", "7")}, []string{"a", "b"}, nil},
		{"a row that cannot be used changes nothing", []product.Record{{Name: "a", Value: []byte("{")}, row("b")}, []string{"b"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			records, left := upstreamChanges(tc.rows, events.Nop())
			var present, wentAway []string
			for _, r := range records {
				present = append(present, r.Name)
			}
			for _, g := range left {
				wentAway = append(wentAway, g.Name)
			}
			slices.Sort(present)
			if !slices.Equal(present, tc.present) {
				t.Errorf("present %v, want %v", present, tc.present)
			}
			if !slices.Equal(wentAway, tc.gone) {
				t.Errorf("gone %v, want %v", wentAway, tc.gone)
			}
		})
	}
}

// The versions tell which start of an upstream is the later one: they must not get lost
// on the way.
func TestUpstreamChangesKeepVersions(t *testing.T) {
	records, gone := upstreamChanges([]product.Record{
		{Name: "a", Version: 7, Value: []byte(`{"service":"llm","address":"10.0.0.1:1","born":5}`)}, {Name: "b", Version: 8, Gone: true},
	}, events.Nop())
	if len(records) != 1 || records[0].Version != 7 || records[0].Born != 5 {
		t.Errorf("records %+v, want version 7 and birth 5", records)
	}
	if len(gone) != 1 || gone[0].Version != 8 {
		t.Errorf("gone %+v, want version 8", gone)
	}
}
