package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// stopWithin is how long a worker may go on after another one has taken its request over (RULES.md, TWICE).
	stopWithin = 400 * time.Millisecond
	// watchInterval is the time between two looks at what the workers do.
	watchInterval = 5 * time.Millisecond
)

// spoiledStream: a worker sends bytes that are not an answer in the middle of a stream that may be resumed. It is
// one of the workers that don't drop a request when its channel closes.
func spoiledStream(w *world) (broken bool, err error) {
	w.store.put("op", "config", config(3, true))
	var engines []*engine
	peers := func(address string) *engine {
		for _, e := range engines {
			if e.address() == address {
				return e
			}
		}
		return nil
	}
	var spoiled atomic.Bool
	for i := range 3 {
		e, err := w.newEngine(fmt.Sprintf("i-%d", i+1), "bne-a", peers)
		if err != nil {
			return false, err
		}
		if w.trouble {
			e.spoilOf, e.spoiled = "long-1", &spoiled
		}
		engines = append(engines, e)
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

	ended := make(chan streamResult, 1)
	go func() { ended <- w.stream(gateways[0], "long-1", 236) }()
	var overlapSince time.Time
	for {
		select {
		case <-ended:
			return broken, nil
		case <-time.After(watchInterval):
		}
		at := 0
		for _, e := range engines {
			if e.works("long-1") {
				at++
			}
		}
		switch {
		case at < 2:
			overlapSince = time.Time{}
		case overlapSince.IsZero():
			overlapSince = time.Now()
		case !broken && time.Since(overlapSince) > stopWithin:
			w.note("TWICE: %d workers are at work on long-1 for more than %v", at, stopWithin)
			broken = true
		}
	}
}
