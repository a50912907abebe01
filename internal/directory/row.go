package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// ErrRow is wrapped when a row of the list of entries cannot be used.
var ErrRow = errors.New("row of the list of entries cannot be used")

// row is what an entry writes about itself.
type row struct {
	Address string `json:"address"`
	// RenewedMS is the store's steady clock, as the writer last read it.
	RenewedMS int64 `json:"renewed_ms"`
	// RenewsEachMS is the time after which the writer renews the row.
	RenewsEachMS int64 `json:"renews_each_ms"`
	// Relay, Zone, Cores and LinkMbps are as in roster.Entry; rows of an earlier release lack them.
	Relay    string  `json:"relay,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Carried is kept for entries that start when all others are gone.
	Carried []byte `json:"carried,omitempty"`
}

const (
	// mostMS is 300 years, which a duration can hold, and beyond what a steady clock reads.
	mostMS = 9_000_000_000_000
	// mostTold bounds in bytes what an error repeats of a row: it goes into a log line.
	mostTold = 128
)

// decodeRow decodes a row. One that may be of another writer names no entry: without all
// fields, with an address that is no IPv4 IP:port, over which entries speak, or with times
// that cannot be. Names are not looked up: each read of the list would wait for that.
func decodeRow(value []byte) (row, error) {
	if !utf8.Valid(value) {
		return row{}, fmt.Errorf("%w: it is no text", ErrRow)
	}
	// Absent is no value that a writer may state.
	r := row{RenewedMS: -1}
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, fmt.Errorf("%w: %s", ErrRow, events.Excerpt(err.Error(), mostTold))
	}
	a, err := netip.ParseAddrPort(r.Address)
	if err != nil || a.Port() == 0 || !a.Addr().Is4() {
		return row{}, fmt.Errorf("%w: address %q is no IPv4 IP:port", ErrRow, events.Excerpt(r.Address, mostTold))
	}
	if r.RenewedMS < 0 || r.RenewedMS > mostMS || r.RenewsEachMS <= 0 || r.RenewsEachMS > mostMS {
		return row{}, fmt.Errorf("%w: renewed at %d ms, each %d ms", ErrRow, r.RenewedMS, r.RenewsEachMS)
	}
	return r, nil
}

// entry is how the writer is listed. A relay address that cannot be is left out.
func (r row) entry() roster.Entry {
	e := roster.Entry{Address: r.Address, Zone: r.Zone, Size: roster.NewSize(r.Cores, r.LinkMbps)}
	if a, err := netip.ParseAddrPort(r.Relay); err == nil && a.Port() != 0 && a.Addr().Is4() {
		e.Relay = r.Relay
	}
	return e
}

// missed is the number of renewals that the writer has missed at a moment of the
// store's clock.
func (r row) missed(clock time.Duration) float64 {
	return float64(r.age(clock).Milliseconds()) / float64(r.RenewsEachMS)
}

// age is the time since the row was written, at a moment of the store's clock.
func (r row) age(clock time.Duration) time.Duration {
	return clock - time.Duration(r.RenewedMS)*time.Millisecond
}

// mostLines bounds the log lines about rows of one read.
const mostLines = 20

// badRows are the versions of rows that could not be used in the latest read, by name.
type badRows map[string]int64

// fresh reports whether a version of a row was not among them.
func (b badRows) fresh(r platform.Record) bool {
	version, known := b[r.Name]
	return !known || version != r.Version
}
