package daemon

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	product "github.com/sparshore/sparshore/internal/platform"
)

// errBad is why the decoder of these tests refuses a row.
var errBad = errors.New("bad row")

// decodeWord decodes rows that hold the name of a service and an address.
func decodeWord(id string, value []byte) (fleet.Record, error) {
	service, address, ok := strings.Cut(string(value), " ")
	if !ok {
		return fleet.Record{}, errBad
	}
	return fleet.Record{ID: id, Service: service, Address: address, Leaving: address == "draining"}, nil
}

func good(name string) product.Record {
	return product.Record{Name: name, Value: []byte("llm 10.0.0.1:1")}
}

func bad(name string) product.Record { return product.Record{Name: name, Value: []byte("{")} }

func gone(name string) product.Record { return product.Record{Name: name, Gone: true} }

func TestUpstreamChanges(t *testing.T) {
	for _, tc := range []struct {
		name    string
		rows    []product.Record
		present []string
		gone    []string
	}{
		{"rows come and go", []product.Record{good("a"), gone("b")}, []string{"a"}, []string{"b"}},
		{"a row that went and came back in one answer is there", []product.Record{gone("a"), good("a")}, []string{"a"}, nil},
		{"a row that came and went in one answer is gone", []product.Record{good("a"), gone("a")}, nil, []string{"a"}},
		{"a row that cannot be used changes nothing", []product.Record{bad("a"), good("b")}, []string{"b"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			records, left := newUpstreamRows(decodeWord, nil, events.Nop()).changes(tc.rows)
			var present []string
			for _, r := range records {
				present = append(present, r.ID)
			}
			slices.Sort(present)
			if !slices.Equal(present, tc.present) {
				t.Errorf("present %v, want %v", present, tc.present)
			}
			if !slices.Equal(left, tc.gone) {
				t.Errorf("gone %v, want %v", left, tc.gone)
			}
		})
	}
}
