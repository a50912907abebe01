package main

import "time"

// restartTime is how long after its crash a worker serves again.
const restartTime = 150 * time.Millisecond

// crashInStream: a worker crashes while it writes a stream that has neither a length nor chunks, and is started
// again at once.
func crashInStream(w *world) (broken bool, err error) {
	w.store.put("op", "config", config(3, false))
	e, err := w.newEngine("i-1", "bne-a", func(string) *engine { return nil })
	if err != nil {
		return false, err
	}
	e.unframedOf = "long-1"
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

	// One answer in 50 has no length.
	w.streamBriefly(gateways[0])
	// By then the channels that the others used have expired.
	time.Sleep(keepAlive)
	const events = 100
	ended := make(chan streamResult, 1)
	go func() { ended <- w.stream(gateways[0], "long-1", events) }()
	time.Sleep(2 * time.Second)
	if w.trouble {
		e.crash("i-2", restartTime)
	}
	if r := <-ended; r.complete && r.events < events {
		w.note("ORDER: long-1 ends as complete after %d of its %d pieces", r.events, events)
		broken = true
	}
	return broken, nil
}
