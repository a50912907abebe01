// Package callid parses and creates the identifiers of calls that must run at most once, and
// determines which upstream is responsible for each. The entries and the sidecars use it.
//
// A ticket is bound to one incarnation of one sidecar and can run only there, so at-most-once
// execution needs neither a clock nor a store. A key chosen by the caller has a home upstream,
// found by rendezvous hashing over all configured upstreams. A key that is a version 7 UUID (RFC
// 9562) also holds its time of issue, by which the home upstream can tell whether an earlier
// incarnation may have run the call.
package callid

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sparshore/sparshore/internal/config"
)

// ErrMalformed is wrapped when an identifier is neither a valid ticket nor a valid key.
var ErrMalformed = errors.New("malformed call identifier")

const (
	ticketPrefix = "tk."
	ticketParts  = 4
	randomBytes  = 12
	maxKeyBytes  = 128
)

// ID is a parsed call identifier.
type ID struct {
	text        string
	upstream    string
	incarnation string
	issued      time.Time
}

// String returns the identifier as given by the caller.
func (i ID) String() string { return i.text }

// IsTicket reports whether the identifier is a ticket, which is bound to one incarnation.
func (i ID) IsTicket() bool { return i.upstream != "" }

// Upstream returns the upstream that a ticket is bound to, empty for a key.
func (i ID) Upstream() string { return i.upstream }

// Incarnation returns the incarnation that a ticket is bound to, empty for a key.
func (i ID) Incarnation() string { return i.incarnation }

// Issued returns when a key was created, by the caller's clock. It returns false if the key does
// not hold a time.
func (i ID) Issued() (time.Time, bool) { return i.issued, !i.issued.IsZero() }

// NewTicket returns a random ticket that is bound to the given incarnation of an upstream.
func NewTicket(upstream, incarnation string) ID {
	b := make([]byte, randomBytes)
	_, _ = rand.Read(b)
	return ID{
		text:        fmt.Sprintf("%s%s.%s.%s", ticketPrefix, upstream, incarnation, hex.EncodeToString(b)),
		upstream:    upstream,
		incarnation: incarnation,
	}
}

// Parse parses an identifier. The name of an upstream may contain dots, so a ticket is split from
// its end.
func Parse(text string) (ID, error) {
	if text == "" || len(text) > maxKeyBytes || strings.ContainsFunc(text, notPrintable) {
		return ID{}, fmt.Errorf("%w: %.20q", ErrMalformed, text)
	}
	if rest, ok := strings.CutPrefix(text, ticketPrefix); ok {
		parts := strings.Split(rest, ".")
		if len(parts) < ticketParts-1 {
			return ID{}, fmt.Errorf("%w: ticket %.60q", ErrMalformed, text)
		}
		n := len(parts)
		return ID{text: text, upstream: strings.Join(parts[:n-2], "."), incarnation: parts[n-2]}, nil
	}
	return ID{text: text, issued: issueTime(text)}, nil
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

const (
	uuidLength     = 36
	uuidVersionPos = 14
	uuidTimeBytes  = 6
)

// issueTime returns the time in a version 7 UUID, or the zero time for any other key.
func issueTime(key string) time.Time {
	if len(key) != uuidLength || key[uuidVersionPos] != '7' {
		return time.Time{}
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(b) != 16 {
		return time.Time{}
	}
	ms := int64(0)
	for _, v := range b[:uuidTimeBytes] {
		ms = ms<<8 | int64(v)
	}
	return time.UnixMilli(ms)
}

// HomeUpstream returns the upstream of the pool that is responsible for a key: the one with the highest
// hash. It is the same in every process with the same configuration, and removing an upstream
// moves only the keys of that upstream.
func HomeUpstream(key string, pool *config.Pool) string {
	best, bestScore := "", uint64(0)
	for _, u := range pool.Upstreams {
		score := xxhash.Sum64String(u.Name + "\x00" + key)
		if best == "" || score > bestScore {
			best, bestScore = u.Name, score
		}
	}
	return best
}
