package belief

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/routetable"
)

// askDelay is how long others may have a later route table before this entry asks for it.
const askDelay = 700 * time.Millisecond

// StaleTableDetector detects that an entry has had an older route table than others for too long. The zero
// value is ready to use.
type StaleTableDetector struct {
	mu sync.Mutex
	// behindSince is when another entry first reported a table later than own, or when that table
	// was last asked for; zero if there was none.
	behindSince time.Time
	own         routetable.Version
}

// Observe processes the version of the route table that another entry has in force and reports whether
// to ask it for its table, at most once per askDelay. own is the version in force here, which the
// store last confirmed as the newest at the steady time confirmed. A change that the store is still
// delivering is not asked for: the store must have confirmed own after another entry
// reported the later table.
func (b *StaleTableDetector) Observe(own, heard routetable.Version, confirmed, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case heard <= own:
		return false
	case b.behindSince.IsZero() || b.own != own:
		b.behindSince, b.own = now, own
		return false
	case now.Sub(b.behindSince) < askDelay || !confirmed.After(b.behindSince):
		return false
	}
	b.behindSince = now
	return true
}
