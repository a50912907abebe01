package limits

import "maps"

// Entry is another entry of the deployment.
type Entry struct {
	Name string
	// Life identifies its current incarnation.
	Life string
	// Stops is set when it is about to stop.
	Stops bool
}

// peer is what another entry reported about itself in messages about limits.
type peer struct {
	// incarnation is the one in which the peer sent messages about limits and thus supports them.
	// Entries of earlier releases send none.
	incarnation string
	// acknowledged is set if the peer has confirmed that this incarnation of this entry supports limits.
	acknowledged bool
	// wantsAck is set until this entry has confirmed to the peer that the peer supports limits.
	wantsAck bool
}

// updatePeer records what a message states about its sender. The caller must hold s.mu.
func (s *Set) updatePeer(from string, m Message) {
	if m.Life == "" {
		return
	}
	if _, known := s.peers[from]; !known && len(s.peers) >= maxPeers {
		s.dropSilentPeers()
	}
	s.peers[from] = &peer{incarnation: m.Life, acknowledged: m.Knows == s.ownIncarnation, wantsAck: m.Asks}
}

// maxPeers bounds the entries that are kept: ten times as many as a deployment has.
const maxPeers = 4096

// dropSilentPeers drops the entries that send no gossip. They are asked again once they do.
// The caller must hold s.mu.
func (s *Set) dropSilentPeers() {
	live := map[string]bool{}
	for _, e := range s.others.LivePeers() {
		live[e.Name] = true
	}
	maps.DeleteFunc(s.peers, func(name string, _ *peer) bool { return !live[name] })
}

// granterCandidates returns the names of the entries that may grant permits: this one and those that
// send gossip and support limits, without those that are stopping unless all are. The caller must
// hold s.mu.
func (s *Set) granterCandidates() []string {
	var serving, stopping []string
	add := func(name string, stops bool) {
		if stops {
			stopping = append(stopping, name)
		} else {
			serving = append(serving, name)
		}
	}
	add(s.name, s.stopping)
	for _, e := range s.others.LivePeers() {
		if s.supportsLimits(e) {
			add(e.Name, e.Stops)
		}
	}
	if len(serving) == 0 {
		return stopping
	}
	return serving
}

// supportsLimits reports whether the current incarnation of an entry is known to support limits. The
// caller must hold s.mu.
func (s *Set) supportsLimits(e Entry) bool {
	p, known := s.peers[e.Name]
	return known && p.incarnation == e.Life
}

// withHandshake fills in the fields of a message by which two entries confirm to each other that
// they support limits. The caller must hold s.mu.
func (s *Set) withHandshake(to string, m Message) Message {
	m.Life = s.ownIncarnation
	p, known := s.peers[to]
	if known {
		m.Knows, p.wantsAck = p.incarnation, false
	}
	m.Asks = !known || !p.acknowledged
	return m
}

// Round returns the messages of one regular round, by name of the receiver. After a change they go
// to all entries. Later they go only to entries whose support of limits is not yet mutually
// confirmed: to agree on the granter, all entries must have the same candidates. Round returns
// nil without calling others while no limit is in force and none was recently.
func (s *Set) Round(others func() []Entry) map[string]Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.now().Before(s.announceUntil)
	if !all && !s.Any() {
		return nil
	}
	out := map[string]Message{}
	observations := s.observations()
	for _, e := range others() {
		p, known := s.peers[e.Name]
		if known && p.incarnation != e.Life {
			delete(s.peers, e.Name)
			known = false
		}
		if all || !known || !p.acknowledged || p.wantsAck {
			out[e.Name] = s.withHandshake(e.Name, Message{Words: observations})
		}
	}
	return out
}
