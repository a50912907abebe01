package belief

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/routetable"
)

// behindFor is how long others may know a later route table before it is asked for.
const behindFor = 700 * time.Millisecond

// Behind tells when an entry has known an older route table than others for too long. The zero value
// is ready to use.
type Behind struct {
	mu sync.Mutex
	// since is since when others are heard with a later table than own; zero if none is.
	since time.Time
	own   routetable.Version
}

// Hear takes over which version another entry has in force beside the own one, which was last
// confirmed at a steady time, and reports whether to ask it for its table, once in each behindFor. A
// change that is on its way is not asked for: the store has not said since that there is none.
func (b *Behind) Hear(own, heard routetable.Version, confirmed, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case heard <= own:
		return false
	case b.since.IsZero() || b.own != own:
		b.since, b.own = now, own
		return false
	case now.Sub(b.since) < behindFor || !confirmed.After(b.since):
		return false
	}
	b.since = now
	return true
}
