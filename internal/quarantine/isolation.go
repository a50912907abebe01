package quarantine

// Isolation tells how far from suspects a request is to run. Two that end upstreams and run at the
// same one cannot be told apart by its end, nor from a sound one beside them.
type Isolation int

const (
	// Anywhere is for a request against which nothing speaks.
	Anywhere Isolation = iota
	// ApartIfPossible is for one under which an upstream ended. It is most likely sound, and its caller waits
	// for its second try.
	ApartIfPossible
	// Apart is for one under which more than one ended. It is tried where no other suspect runs, while most
	// upstreams are there.
	Apart
)

// MostThere reports whether enough of some upstreams are there to try a request under which more
// than one ended: two thirds. While upstreams end one after another without any request that
// causes it, a suspect would soon be at three more ends: 9 of 10,900 sound requests were
// refused as held, 186 with half of them (20 plays of the rig of the tests, an upstream ends each
// 0.15 s).
func MostThere(there, all int) bool { return 3*there >= 2*all }

// Isolation tells how far from suspects the request is to run.
func (r *Run) Isolation() Isolation {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.suspects[r.request.Fingerprint]
	switch {
	case !ok || !s.restrained(u):
		return Anywhere
	case s.level(u) <= repeatEnds:
		return ApartIfPossible
	default:
		return Apart
	}
}

// Trials returns the upstreams that run a suspect, here or as other entries tell, by the names
// that SentTo got; nil for none.
func (s *Set) Trials() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.trials) == 0 && len(s.busy) == 0 {
		return nil
	}
	out := map[string]bool{}
	for _, upstream := range s.trials {
		out[upstream] = true
	}
	now := s.now()
	for _, p := range s.busy {
		if now.Sub(p.at) >= busyFor {
			continue
		}
		for _, upstream := range p.upstreams {
			out[upstream] = true
		}
	}
	return out
}
