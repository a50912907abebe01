package placement

import (
	"errors"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/routetable"
)

// readToken is the time to prefill a prompt token in these tests.
const readToken = 140 * time.Microsecond

// TestRoom checks when an engine with a given load takes another generation. Without these
// limits engines would preempt streams or start generations too late.
func TestRoom(t *testing.T) {
	engine := &routetable.Engine{Slots: 8, MemoryTokens: 10000, EventTokens: 4}
	long := Generation{Engine: engine, Prompt: 2000, Output: 1000, StartBy: time.Second}
	brief := Generation{Engine: engine, Prompt: 1000, Output: 12, StartBy: time.Second, Brief: true}
	for _, tc := range []struct {
		name    string
		load    gossip.Load
		demand  Generation
		reserve float64
		want    error
	}{
		{"idle engine", gossip.Load{}, long, 0, nil},
		{"prompt larger than the memory", gossip.Load{}, Generation{Engine: engine, Prompt: 10001}, 0, ErrTooLarge},
		{"prompt that fills an idle engine", gossip.Load{}, Generation{Engine: engine, Prompt: 9900, Output: 1}, 0, nil},
		{"half of the memory held", gossip.Load{Running: 2, Held: 5000, Tokens: 6000}, long, 0, nil},
		{"nearly all memory held", gossip.Load{Running: 2, Held: 8000, Tokens: 9000}, long, 0, ErrMemory},
		{"brief generation still fits", gossip.Load{Running: 2, Held: 8000, Tokens: 9000}, brief, 0, nil},
		{"memory reserved for moves", gossip.Load{Running: 2, Held: 5000, Tokens: 6000}, long, 0.3, ErrMemory},
		{"brief generation uses the reserve", gossip.Load{Running: 2, Held: 8000, Tokens: 9000}, brief, 0.3, nil},
		{"all slots taken", gossip.Load{Running: 8, Held: 1000, Tokens: 1000}, brief, 0, ErrSlots},
		{"waiting prompts delay the start too much", gossip.Load{Running: 1, Held: 1000, Tokens: 1000, Prefill: 7000}, brief, 0, ErrPrompts},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Room(tc.load, &tc.demand, 0, (1-tc.reserve)*float64(engine.MemoryTokens), readToken); !errors.Is(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
