package limits

import "maps"

// Entry is another entry of the deployment.
type Entry struct {
	Name string
	// Life tells its starts apart.
	Life string
	// Stops tells that it is about to end.
	Stops bool
}

// peer is what another entry told of itself in the messages about limits.
type peer struct {
	// life is the life in which it told of limits: it is aware of them. An entry of an earlier
	// release tells nothing.
	life string
	// knows tells that it knows that this life of this entry is aware of limits.
	knows bool
	// asks tells that it has not heard from this entry that this one knows it.
	asks bool
}

// met takes over what a message tells of its sender. It needs the lock.
func (s *Set) met(from string, m Message) {
	if m.Life == "" {
		return
	}
	if _, known := s.peers[from]; !known && len(s.peers) >= mostPeers {
		s.forgetPeers()
	}
	s.peers[from] = &peer{life: m.Life, knows: m.Knows == s.life, asks: m.Asks}
}

// mostPeers bounds the entries that are remembered: ten times as many as a deployment has.
const mostPeers = 4096

// forgetPeers forgets the entries that are not heard; they are asked again once they are. It needs
// the lock.
func (s *Set) forgetPeers() {
	heard := map[string]bool{}
	for _, e := range s.others.Heard() {
		heard[e.Name] = true
	}
	maps.DeleteFunc(s.peers, func(name string, _ *peer) bool { return !heard[name] })
}

// aware returns the names of the entries that are heard, that do not stop, and that are aware of
// limits. It needs the lock.
func (s *Set) aware() []string {
	var out []string
	for _, e := range s.others.Heard() {
		if !e.Stops && s.isAware(e) {
			out = append(out, e.Name)
		}
	}
	return out
}

// isAware reports whether an entry is known to be aware of limits. It needs the lock.
func (s *Set) isAware(e Entry) bool {
	p, known := s.peers[e.Name]
	return known && p.life == e.Life
}

// address completes a message for an entry. It needs the lock.
func (s *Set) address(to string, m Message) Message {
	m.Life = s.life
	p, known := s.peers[to]
	if known {
		m.Knows, p.asks = p.life, false
	}
	m.Asks = !known || !p.knows
	return m
}

// Round returns what other entries are to be told in a round of regular messages, by name. All are
// told of news. Later only those are that this entry and they do not know of each other that they
// are aware of limits: all have to know the same ones to agree on who grants permits. It is empty
// while no limit is in force and none was lately; others is not asked then.
func (s *Set) Round(others func() []Entry) map[string]Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.now().Before(s.newsUntil)
	if !all && !s.Any() {
		return nil
	}
	out := map[string]Message{}
	words := s.words()
	for _, e := range others() {
		p, known := s.peers[e.Name]
		if known && p.life != e.Life {
			delete(s.peers, e.Name)
			known = false
		}
		if all || !known || !p.knows || p.asks {
			out[e.Name] = s.address(e.Name, Message{Words: words})
		}
	}
	return out
}
