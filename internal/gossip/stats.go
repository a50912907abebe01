package gossip

// Stats is how a Node is doing.
type Stats struct {
	// Heard is the number of other entries that are heard, and Silent that of those that are
	// listed, or were heard, and are not.
	Heard, Silent int
	// Delegate tells that it passes on what others of its zone tell at once.
	Delegate bool
	// PassedOn counts the messages in which it did, and NotPassedOn the own news that no
	// delegate passed on in time.
	PassedOn, NotPassedOn int
}

// Stats returns how the Node is doing.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Delegate = n.delegate
	for _, p := range n.peers {
		if p.lost {
			s.Silent++
		} else {
			s.Heard++
		}
	}
	return s
}
