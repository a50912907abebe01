package quarantine

// How entries use a Set, as the gateway does: internal/gateway, isolated.

// place returns the start of an upstream for a run, nil for none.
func (c *crowd) place(e *Set, run *Run) (u *rigUpstream, start string, ended chan struct{}) {
	isolation, trials := run.Isolation(), e.Trials()
	if isolation == Apart && !MostThere(c.there(), len(c.upstreams)) {
		return nil, "", nil
	}
	for range 4 * len(c.upstreams) {
		u, start, ended = c.pick(isolation != Anywhere)
		if u == nil || !trials[start] {
			return u, start, ended
		}
	}
	if isolation == Apart {
		return nil, "", nil
	}
	return u, start, ended
}

// there is the number of upstreams that are up.
func (c *crowd) there() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upstreams {
		if u.up {
			n++
		}
	}
	return n
}

func sent(run *Run, start string) { run.SentTo(start) }

func name(e *Set, name string) { e.SetName(name) }
