package placement

import (
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
)

// growingStreams is the number of streams for whose remaining growth memory is left: streams
// end one by one, and one that ends frees more than the others grow until then.
const growingStreams = 2

// Room returns the reason why an engine with the given load cannot take a generation, or nil if
// it can. kept is the part of the prompt that the engine has in its prefix cache, usable the
// memory in tokens that may be filled with generations that have to move if the engine leaves,
// and readToken the time to prefill a token.
//
// It protects engines from more generations than fit into their memory: such an engine preempts
// running streams or lets new ones wait beyond their objective.
func Room(load gossip.Load, g *Generation, kept int, usable float64, readToken time.Duration) error {
	e := g.Engine
	if e.MemoryTokens > 0 && g.Prompt > e.MemoryTokens {
		return ErrTooLarge
	}
	if e.Slots > 0 && load.Running >= e.Slots {
		return ErrSlots
	}
	if g.Brief {
		usable = float64(e.MemoryTokens)
	}
	if e.MemoryTokens > 0 && load.Running > 0 && freeTokens(usable, load, g.Prompt-kept, g.Output) < 0 {
		return ErrMemory
	}
	if g.StartBy > 0 && load.Prefill > 0 && time.Duration(load.Prefill+g.Prompt-kept)*readToken > g.StartBy {
		return ErrPrompts
	}
	return nil
}

// freeTokens returns what is left of a memory in tokens, beside the load and a generation, at
// the peak until that generation has ended; negative if the generation does not fit.
func freeTokens(memory float64, load gossip.Load, prompt, output int) float64 {
	return memory - float64(load.Held+prompt) - expectedGrowth(load, output)
}

// expectedGrowth returns the memory, beyond what is held now, that is needed until a generation
// of output tokens has ended. During a short generation the other streams grow little; during a
// long one some of them end.
func expectedGrowth(load gossip.Load, output int) float64 {
	streams := float64(load.Running + 1)
	remaining := float64(max(load.Tokens-load.Held, 0)+output) / streams
	return min(streams*float64(output), growingStreams*remaining)
}
