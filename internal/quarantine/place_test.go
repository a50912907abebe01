package quarantine

// The simulated entries use a Set in the same way as the gateway does (internal/gateway).

// place returns an upstream for a run, with its current incarnation; nil if there is none.
func (c *multiRig) place(e *Set, run *Run) (u *rigUpstream, incarnation string, crashed chan struct{}) {
	isolation, trials := run.Isolation(), e.Trials()
	if isolation == Apart && !EnoughAvailable(c.available(), len(c.upstreams)) {
		return nil, "", nil
	}
	for range 4 * len(c.upstreams) {
		u, incarnation, crashed = c.pick(isolation != Anywhere)
		if u == nil || !trials[incarnation] {
			return u, incarnation, crashed
		}
	}
	if isolation == Apart {
		return nil, "", nil
	}
	return u, incarnation, crashed
}

// available returns the number of upstreams that are up.
func (c *multiRig) available() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upstreams {
		if u.up {
			n++
		}
	}
	return n
}

func noteSent(run *Run, incarnation string) { run.SentTo(incarnation) }

func setName(e *Set, name string) { e.SetName(name) }
