package directory

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/jsonbound"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/roster"
)

// ErrRow is wrapped by the error for a row of the list of entries that cannot be used.
var ErrRow = errors.New("row of the list of entries cannot be used")

// row is the value that an entry stores about itself.
type row struct {
	Address string `json:"address"`
	// RenewedMS is the time of the renewal on the store's monotonic clock, as the
	// writer extrapolates it from its last read.
	RenewedMS int64 `json:"renewed_ms"`
	// RenewsEachMS is the interval at which the writer renews the row.
	RenewsEachMS int64 `json:"renews_each_ms"`
	// Relay, Zone, Cores and LinkMbps correspond to the fields of roster.Entry. Rows of an earlier
	// release lack them.
	Relay    string  `json:"relay,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Carried is data for entries that start after all others have stopped.
	Carried []byte `json:"carried,omitempty"`
}

const (
	// maxClockMS is the highest accepted time, about 300 years. A time.Duration can hold it, and no
	// monotonic clock reads more.
	maxClockMS = 9_000_000_000_000
	// maxExcerptBytes limits how much of a row an error repeats, because the error is logged.
	maxExcerptBytes = 128
)

// decodeRow decodes a row. It rejects rows that another kind of writer may have stored: with
// missing fields, with an address that is not an IPv4 IP:port (entries exchange datagrams over
// IPv4), or with impossible times. Host names are not resolved, because each read of the list would
// wait for the lookup.
func decodeRow(value []byte) (row, error) {
	if !utf8.Valid(value) {
		return row{}, fmt.Errorf("%w: not valid UTF-8", ErrRow)
	}
	// The invalid default makes a missing field fail the range check below.
	r := row{RenewedMS: -1}
	if err := jsonbound.Unmarshal(value, jsonbound.MaxRowBytes, &r); err != nil {
		return row{}, fmt.Errorf("%w: %s", ErrRow, events.Excerpt(err.Error(), maxExcerptBytes))
	}
	a, err := netip.ParseAddrPort(r.Address)
	if err != nil || a.Port() == 0 || !a.Addr().Is4() {
		return row{}, fmt.Errorf("%w: address %q is not an IPv4 IP:port", ErrRow, events.Excerpt(r.Address, maxExcerptBytes))
	}
	if r.RenewedMS < 0 || r.RenewedMS > maxClockMS || r.RenewsEachMS <= 0 || r.RenewsEachMS > maxClockMS {
		return row{}, fmt.Errorf("%w: renewal time of %d ms or interval of %d ms is out of range", ErrRow, r.RenewedMS, r.RenewsEachMS)
	}
	return r, nil
}

// entry returns the entry that the row describes. An invalid relay address is left out.
func (r row) entry() roster.Entry {
	e := roster.Entry{Address: r.Address, Zone: r.Zone, Size: roster.NewSize(r.Cores, r.LinkMbps)}
	if a, err := netip.ParseAddrPort(r.Relay); err == nil && a.Port() != 0 && a.Addr().Is4() {
		e.Relay = r.Relay
	}
	return e
}

// missed returns the number of renewals that the writer has missed as of clock, a time on the
// store's monotonic clock.
func (r row) missed(clock time.Duration) float64 {
	return float64(r.age(clock).Milliseconds()) / float64(r.RenewsEachMS)
}

// age returns the time since the row was written, as of clock.
func (r row) age(clock time.Duration) time.Duration {
	return clock - time.Duration(r.RenewedMS)*time.Millisecond
}

// maxBadRowLogs limits the log lines about unusable rows for each read.
const maxBadRowLogs = 20

// badRows holds the versions of the rows that the latest read could not use, by name.
type badRows map[string]int64

// isNew reports whether the latest read has not already rejected this version of the row.
func (b badRows) isNew(r platform.Record) bool {
	version, known := b[r.Name]
	return !known || version != r.Version
}
