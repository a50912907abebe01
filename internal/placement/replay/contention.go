package replay

import "time"

// ContendedLoad is a load whose surges fill the memory of all engines: long generations arrive at
// 2.6 times their rate for 5.5 s, then brief and more urgent ones at 1.8 times theirs for 3.5 s.
// Gateways learn of each other's placements 350 ms late. Without the surges, all generations find
// room.
func ContendedLoad(gateways int) Load {
	l := CrowdedLoad()
	l.Engines, l.MemoryTokens, l.Slots = 48, 26900, 24
	long, brief := &l.Kinds[0], &l.Kinds[1]
	long.PerSecond, long.Output, long.Spread = 16, 700, 0.4
	long.Surge = Surge{From: 8 * time.Second, Until: 13500 * time.Millisecond, Factor: 2.6}
	brief.PerSecond = 20
	brief.Surge = Surge{From: 13500 * time.Millisecond, Until: 17 * time.Second, Factor: 1.8}
	l.Duration = 22 * time.Second
	l.Gateways, l.StateAge, l.WarmUp = gateways, 350*time.Millisecond, 2*time.Minute
	return l
}

// WithoutSurges returns the load with constant rates.
func (l Load) WithoutSurges() Load {
	kinds := l.Kinds
	l.Kinds = nil
	for _, k := range kinds {
		k.Surge = Surge{}
		l.Kinds = append(l.Kinds, k)
	}
	return l
}
