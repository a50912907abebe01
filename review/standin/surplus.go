package main

import (
	"sync"
	"time"
)

// surplusBeforeCopy: a worker sends one surplus answer, late, in the place of the next answer on its channel.
// The worker is released soon after, so that the next request on the channel is a command to copy a run.
func surplusBeforeCopy(w *world) (broken bool, err error) {
	var mu sync.Mutex
	byAddress := map[string]*engine{}
	peers := func(address string) *engine {
		mu.Lock()
		defer mu.Unlock()
		return byAddress[address]
	}
	add := func(id string) (*engine, error) {
		e, err := w.newEngine(id, "bne-a", peers)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		byAddress[e.address()] = e
		mu.Unlock()
		return e, nil
	}
	w.store.put("op", "config", config(3, false))
	old, err := add("i-old")
	if err != nil {
		return false, err
	}
	if w.trouble {
		old.surplusOf = "brief"
	}
	var gateways []*gateway
	for _, name := range []string{"front-1", "front-2"} {
		g, err := w.newGateway(name, "bne-a")
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	w.streamBriefly(gateways[0])

	var clients sync.WaitGroup
	results := make([]streamResult, 3)
	send := func(i int, id string, n int) {
		clients.Go(func() { results[i] = w.stream(gateways[0], id, n) })
	}
	send(0, "long-1", 236)
	time.Sleep(300 * time.Millisecond)
	send(1, "long-2", 236)
	time.Sleep(time.Second)
	send(2, "brief", 4)
	time.Sleep(time.Second)
	// A release: the new worker starts first, then the old one drains and ends.
	fresh, err := add("i-new")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	old.drain()
	time.Sleep(drainTime + time.Second)
	old.end()
	clients.Wait()

	for _, m := range append(old.mixedUp(), fresh.mixedUp()...) {
		w.note("MIXED: %s", m)
		broken = true
	}
	for _, r := range results {
		for _, p := range r.wrong {
			w.note("client got %s", p)
			broken = true
		}
	}
	return broken, nil
}
