package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	// hupDelay is how long after the start of a process the platform tells it that its settings file has
	// changed.
	hupDelay = 5 * time.Millisecond
	// rounds is how often each machine is restarted.
	rounds = 3
)

// hupAtStart: two of four machines are stopped and started in turn, three times, and the settings file of each
// changes just as its process starts.
func hupAtStart(w *world) (broken bool, err error) {
	// A process that is started by one that ignores SIGHUP, as under nohup, ignores it too.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	w.store.put("op", "config", plainConfig(3))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		if _, err := w.newPlainWorker(id, "bne-a", false); err != nil {
			return false, err
		}
	}
	var gateways []*gateway
	for _, name := range []string{"front-1", "front-2", "front-3", "front-4"} {
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
		g.together = false
	}
	ownEnds := map[string]int{}
	for range rounds {
		for _, g := range gateways[:2] {
			ended, err := w.restart(g)
			if err != nil {
				return false, err
			}
			if ended {
				ownEnds[g.name]++
			}
		}
	}
	for _, g := range gateways[:2] {
		w.note("%s: ended by itself %d times", g.name, ownEnds[g.name])
	}
	return ownEnds["front-1"] >= rounds && ownEnds["front-2"] >= rounds, nil
}

// restart stops a gateway and starts it again. With trouble, its settings file changes as it starts. restart
// reports whether the new process ended by itself; the platform then starts another one.
func (w *world) restart(g *gateway) (ended bool, err error) {
	g.signal(syscall.SIGTERM)
	<-g.ended()
	time.Sleep(restartDelay)
	if err := g.start(); err != nil {
		return false, err
	}
	time.Sleep(hupDelay)
	if w.trouble {
		g.signal(syscall.SIGHUP)
	}
	select {
	case <-g.ended():
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			return false, err
		}
		return true, g.awaitReady()
	case <-time.After(time.Second):
		return false, g.awaitReady()
	}
}

// ended is closed when the current process of the gateway has ended.
func (g *gateway) ended() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done
}
