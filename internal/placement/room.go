package placement

import (
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
)

// growingStreams is the number of streams' remaining growth for which there is room:
// streams end one by one, and one that ends frees more than the others grow until then.
const growingStreams = 2

// Room reports why an engine with a load cannot take a generation; nil if it can. kept is
// the part of the prompt that it keeps already, usable the memory in tokens that may be
// filled with what has to move if the engine leaves, and readToken the time to read a token.
//
// The load it answers: more generations than memory. An engine that is sent more than it
// holds preempts running streams or lets new ones wait beyond their objective.
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
	if e.MemoryTokens > 0 && load.Running > 0 && spare(usable, load, g.Prompt-kept, g.Output) < 0 {
		return ErrMemory
	}
	if g.StartBy > 0 && load.Prefill > 0 && time.Duration(load.Prefill+g.Prompt-kept)*readToken > g.StartBy {
		return ErrPrompts
	}
	return nil
}

// spare is what is left of a memory in tokens beside a load and a generation until that
// has ended; negative if it does not fit.
func spare(memory float64, load gossip.Load, prompt, output int) float64 {
	return memory - float64(load.Held+prompt) - growth(load, output)
}

// growth is the memory beyond what is held now that is needed until a generation of
// a number of output tokens has ended. A brief one sees the others grow little; a
// long one sees some of them end.
func growth(load gossip.Load, output int) float64 {
	streams := float64(load.Running + 1)
	remaining := float64(max(load.Tokens-load.Held, 0)+output) / streams
	return min(streams*float64(output), growingStreams*remaining)
}
