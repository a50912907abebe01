// Package callid gives the identifiers of calls that may not be repeated their
// two forms, and says which upstream is responsible for each.
//
// A ticket is bound to one incarnation of one sidecar: it can run only there,
// so no clock and no store is needed to run it at most once. A caller's key
// has a home, the upstream with the highest hash among all configured ones;
// a key that is a UUID of version 7 carries its own time of issue (RFC 9562),
// by which a home can tell whether an earlier incarnation may have seen it.
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

// ErrMalformed is returned for an identifier that has neither form.
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

// String returns the identifier as the caller gave it.
func (i ID) String() string { return i.text }

// Ticket reports whether the identifier is bound to one incarnation.
func (i ID) Ticket() bool { return i.upstream != "" }

// Upstream returns the upstream a ticket is bound to.
func (i ID) Upstream() string { return i.upstream }

// Incarnation returns the incarnation a ticket is bound to.
func (i ID) Incarnation() string { return i.incarnation }

// Issued returns when a caller's key was made, by the caller's clock, and
// false if the key does not say.
func (i ID) Issued() (time.Time, bool) { return i.issued, !i.issued.IsZero() }

// NewTicket makes an identifier that can run only in the given incarnation.
func NewTicket(upstream, incarnation string) ID {
	b := make([]byte, randomBytes)
	_, _ = rand.Read(b)
	return ID{
		text:        fmt.Sprintf("%s%s.%s.%s", ticketPrefix, upstream, incarnation, hex.EncodeToString(b)),
		upstream:    upstream,
		incarnation: incarnation,
	}
}

// Parse reads an identifier. Upstream names may hold dots, so a ticket is read
// from its end.
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

// issueTime returns the time in a version 7 UUID, or zero.
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

// Home returns the upstream of the pool that is responsible for a caller's
// key: the same in every process that holds the same configuration.
func Home(key string, pool *config.Pool) string {
	best, bestScore := "", uint64(0)
	for _, u := range pool.Upstreams {
		score := xxhash.Sum64String(u.Name + "\x00" + key)
		if best == "" || score > bestScore {
			best, bestScore = u.Name, score
		}
	}
	return best
}
