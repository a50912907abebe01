package gossip

// Stats holds the counters of a Node for metrics.
type Stats struct {
	// Live is the number of live peers, and Silent that of silent peers, which are listed, were named
	// or have been live.
	Live, Silent int
	// Delegate is whether the entry is a delegate, which forwards urgent states of its zone.
	Delegate bool
	// Forwarded counts the messages with which the entry forwarded states, and NotForwarded the own
	// states that no delegate forwarded in time.
	Forwarded, NotForwarded int
	// LateEchoes counts the received states that echo a message which arrived after they were encoded.
	LateEchoes int
}

// Stats returns the current counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Delegate = n.delegate
	for _, p := range n.peers {
		if p.silent {
			s.Silent++
		} else {
			s.Live++
		}
	}
	return s
}
