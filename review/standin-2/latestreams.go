package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Figures of lateStreams. Those of the workers and requests are of sites/binday-prod.toml or smaller.
const (
	// quietFor is how long the service is quiet at first, and busyFor how long it is busy before the stop.
	quietFor = 12 * time.Second
	busyFor  = 12 * time.Second
	// busyClients is the number of clients of the other gateway that ask for streams all the time.
	busyClients = 72
	// callers is the number of clients of the gateway that stops that make calls, and rest up to restMost after each.
	callers  = 30
	restMost = 8 * time.Second
	// lateClients is the number of its clients that ask for a stream after it was told to stop: the first at lateFrom
	// after the signal, the last at lateTo.
	lateClients = 6
	lateFrom    = 3100 * time.Millisecond
	lateTo      = 3500 * time.Millisecond
	chatPath    = "/lohu930/2f"
	callPath    = "/puxa403/2f"
	chatLimit   = 39 * time.Second
)

var lateEngines = engineFigures{step: 7 * time.Millisecond, perRun: 400 * time.Microsecond, readPerMS: 14, piece: 256, slots: 48, stride: 4}

// lateStreams stops one of two gateways while the engines are busy. Its clients made only calls of late.
func lateStreams(s setup) error {
	st, err := newStore()
	if err != nil {
		return err
	}
	for i := range 2 {
		e, err := newEngine(fmt.Sprintf("i-02d9e6b%d", i), lateEngines, s.rec)
		if err != nil {
			return err
		}
		st.put("servers", e.id, wireBeat{Service: "huvo11a", Address: e.address, Zone: "bne-a", Version: "v1", Slots: 48, State: "ready"})
		p, err := newPlainWorker(fmt.Sprintf("i-7f3a91c%d", i), 15*time.Millisecond)
		if err != nil {
			return err
		}
		st.put("servers", p.id, wireBeat{Service: "wuno96b", Address: p.address, Zone: "bne-a", Version: "v1", Slots: 6, State: "ready"})
	}
	st.put("op", "config", wireConfig{
		Version: 7,
		Routes: []wireRoute{
			{Name: "r-1", Host: host, PathPrefix: "/lohu930/", RouteType: "streaming", TimeoutMS: 39000, TargetLatency: 1800, Priority: 1, Service: "huvo11a", MaxAttempts: 1, Sticky: true, GapAimMS: 180},
			{Name: "r-2", Host: host, PathPrefix: "/puxa403/", RouteType: "safe", TimeoutMS: 600, TargetLatency: 100, Priority: 2, Service: "wuno96b", MaxAttempts: 2},
		},
		Services: []wireService{
			{Name: "huvo11a", HealthPath: "/health", MaxConnections: 372, Protocol: "h1", Engine: &wireEngine{Slots: 48, KVCapacityTokens: 34414, KVTokenBytes: 131072, LinkMbps: 19000, Stride: 4}},
			{Name: "wuno96b", HealthPath: "/health", MaxConnections: 100, Protocol: "h1"},
		},
		Limits: usualLimits, Tenants: usualTenants,
	})
	other, err := startGateway(s.root, s.logs, "front-bne-a-1", "bne-a", st.address, binday, true)
	if err != nil {
		return err
	}
	defer other.kill()
	stopped, err := startGateway(s.root, s.logs, "front-bne-b-1", "bne-b", st.address, binday, true)
	if err != nil {
		return err
	}
	defer stopped.kill()
	for _, g := range []*gateway{other, stopped} {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	b := newBalancer(other, stopped)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	start := time.Now()
	signalAt := start.Add(quietFor + busyFor)
	for i := range callers {
		all.Go(func() { makeCalls(ctx, newClient(fmt.Sprintf("caller%d", i), stopped, b, s.rec)) })
	}
	for i := range busyClients {
		all.Go(func() {
			sleepUntil(ctx, start.Add(quietFor+rand.N(4*time.Second)))
			askForStreams(ctx, newClient(fmt.Sprintf("busy%d", i), other, b, s.rec))
		})
	}
	late := make([]*client, lateClients)
	for i := range late {
		late[i] = newClient(fmt.Sprintf("late%d", i), stopped, b, s.rec)
	}
	// The quiet time: a few streams, so that the gateway has measured the engines.
	for n := range 2 {
		var quiet sync.WaitGroup
		for _, c := range late {
			quiet.Go(func() {
				time.Sleep(rand.N(time.Second))
				c.do(http.MethodPost, chatPath, fmt.Sprintf("%d,%d", 300, 4*(20+10*n)), nil, chatLimit)
			})
		}
		quiet.Wait()
	}
	replies := make(chan reply, lateClients)
	for i, c := range late {
		go func() {
			// They use their channels once more before the stop, and rest for less than the limit of 12 s after that.
			sleepUntil(ctx, signalAt.Add(-time.Second-rand.N(3*time.Second)))
			c.do(http.MethodGet, callPath, "", nil, 600*time.Millisecond)
			sleepUntil(ctx, signalAt.Add(lateFrom+time.Duration(i)*(lateTo-lateFrom)/(lateClients-1)))
			replies <- c.do(http.MethodPost, chatPath, fmt.Sprintf("%d,%d", 300, 4*lateEvents(i)), nil, chatLimit)
		}()
	}
	sleepUntil(ctx, signalAt)
	signalled := time.Now()
	if s.trouble {
		s.rec.note("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-stopped.ended:
				s.rec.note("%s has ended", stopped.name)
			case <-time.After(time.Until(signalled.Add(time.Duration(binday.graceS) * time.Second))):
				s.rec.note("SIGKILL to %s", stopped.name)
				stopped.signal(os.Kill)
			}
		}()
	}
	lost, served := 0, 0
	for range lateClients {
		r := <-replies
		switch sentAfter := r.sent.Sub(signalled); {
		case r.whole && r.status == http.StatusOK:
			served++
		case s.trouble && r.at == stopped && sentAfter > 3*time.Second && r.status == http.StatusOK && !r.whole:
			lost++
			s.rec.note("LOST: %s was sent %.2f s after the SIGTERM, passed on, and ended after %d events, %.2f s after the SIGTERM", r.id, sentAfter.Seconds(), r.events, r.ended.Sub(signalled).Seconds())
		}
	}
	cancel()
	all.Wait()
	s.rec.note("of %d late streams %d were whole and %d lost", lateClients, served, lost)
	switch {
	case lost > 0:
		return fmt.Errorf("%w: LOST: %d of %d streams that were sent later than 3 s after the SIGTERM", errBroken, lost, lateClients)
	case !s.trouble && served < lateClients:
		return fmt.Errorf("%d of %d late streams were served without a stop", served, lateClients)
	}
	return nil
}

// lateEvents returns the length of a late stream in events.
func lateEvents(i int) int { return 55 + 4*i }

// makeCalls makes calls on a kept channel, with rests between them.
func makeCalls(ctx context.Context, c *client) {
	for ctx.Err() == nil {
		c.do(http.MethodGet, callPath, "", nil, 600*time.Millisecond)
		sleepUntil(ctx, time.Now().Add(rand.N(restMost)))
	}
}

// askForStreams asks for one stream after another.
func askForStreams(ctx context.Context, c *client) {
	for ctx.Err() == nil {
		r := c.do(http.MethodPost, chatPath, fmt.Sprintf("%d,%d", 300, 4*(60+rand.IntN(80))), nil, chatLimit)
		if r.status != http.StatusOK {
			sleepUntil(ctx, time.Now().Add(300*time.Millisecond))
		}
	}
}

// sleepUntil waits until a time, or until ctx ends.
func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}
