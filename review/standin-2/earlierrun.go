package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of earlierRun.
const (
	earlierWorkers = 3
	earlierClients = 6
	// earlierStreams is the number of streams that each client asks for.
	earlierStreams = 14
	// earlierPrompt is the size of a prompt in tokens, which takes 0.36 s to read, and earlierEvents the length of a stream.
	earlierPrompt = 5000
	earlierEvents = 50
	// spoilt is the request at the faulty worker whose answer is spoilt, of some 28.
	spoilt = 10
	// overlap is how long the worker before may still work on a request that goes on at another one.
	overlap = 400 * time.Millisecond
)

var earlierEngines = engineFigures{step: 7 * time.Millisecond, perRun: 100 * time.Microsecond, readPerMS: 14, piece: 256, slots: 48, stride: 4}

// earlierRun has clients ask for streams that may be resumed. One of three workers goes on with a request when its channel
// closes, and spoils one answer.
func earlierRun(s setup) error {
	st, err := newStore()
	if err != nil {
		return err
	}
	var engines []*engine
	for i := range earlierWorkers {
		e, err := newEngine(fmt.Sprintf("i-5ab4dda%d", i), earlierEngines, s.rec)
		if err != nil {
			return err
		}
		if i == 0 {
			e.goesOn = true
			if s.trouble {
				e.spoils = func(n int) bool { return n == spoilt }
			}
		}
		engines = append(engines, e)
		st.put("servers", e.id, wireBeat{Service: "huvo11a", Address: e.address, Zone: "bne-a", Version: "v1", Slots: 48, State: "ready"})
	}
	st.put("op", "config", wireConfig{
		Version: 7,
		Routes: []wireRoute{
			{Name: "r-1", Host: host, PathPrefix: "/lohu930/", RouteType: "streaming", TimeoutMS: 39000, TargetLatency: 1800, Service: "huvo11a", MaxAttempts: 2, Sticky: true, Resumable: true, GapAimMS: 180},
		},
		Services: []wireService{{Name: "huvo11a", HealthPath: "/health", MaxConnections: 372, Protocol: "h1", Engine: &wireEngine{Slots: 48, KVCapacityTokens: 34414, KVTokenBytes: 131072, LinkMbps: 19000, Moves: true, Stride: 4}}},
		Limits:   usualLimits, Tenants: usualTenants,
	})
	g, err := startGateway(s.root, s.logs, "front-bne-a-1", "bne-a", st.address, binday, true)
	if err != nil {
		return err
	}
	defer g.kill()
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	b := newBalancer(g)
	var mu sync.Mutex
	whole := 0
	var clients sync.WaitGroup
	for i := range earlierClients {
		clients.Go(func() {
			c := newClient(fmt.Sprintf("client%d", i), g, b, s.rec)
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			for range earlierStreams {
				r := c.do(http.MethodPost, chatPath, fmt.Sprintf("%d,%d", earlierPrompt, 4*earlierEvents), nil, chatLimit)
				mu.Lock()
				if r.status == http.StatusOK && r.whole && r.events == earlierEvents {
					whole++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	// What a worker goes on with ends by itself.
	time.Sleep(4 * time.Second)
	twice := findOverlaps(engines, s.rec)
	s.rec.note("%d of %d streams were whole, %d were worked on at two workers for longer than %v", whole, earlierClients*earlierStreams, twice, overlap)
	switch {
	case twice > 0:
		return fmt.Errorf("%w: TWICE: %d request went on at another worker while the one before worked on it for longer than %v", errBroken, twice, overlap)
	case whole == 0:
		return fmt.Errorf("no stream was whole")
	}
	return nil
}

// findOverlaps returns the number of requests at which a worker still worked when another one had worked on it for overlap.
func findOverlaps(engines []*engine, rec *record) (found int) {
	first := map[string]*work{}
	for _, e := range engines {
		e.mu.Lock()
		for _, w := range e.worked {
			other, known := first[w.request]
			if !known {
				first[w.request] = w
				continue
			}
			before, after := other, w
			if after.from.Before(before.from) {
				before, after = after, before
			}
			both := before.to.Sub(after.from)
			rec.note("%s went on at worker %s; worker %s worked on it for %.2f s longer", w.request, after.worker, before.worker, both.Seconds())
			if both > overlap {
				found++
			}
		}
		e.mu.Unlock()
	}
	return found
}
