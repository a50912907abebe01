package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of pausedUpload.
const (
	pausedClients = 4
	// pausedFor is how long the workers stop to read; the clients and the route give a request 15 s.
	pausedFor = 5 * time.Second
	// pausedRounds is how many requests each client sends.
	pausedRounds = 3
)

// pausedUpload has clients send long bodies to a worker that begins its answer, reads no more for some seconds, and then
// reads on and answers the rest. Its answers have no length and end with the channel.
func pausedUpload(s setup) error {
	st, err := newStore()
	if err != nil {
		return err
	}
	pause := pausedFor
	if !s.trouble {
		pause = 0
	}
	for i := range uploadWorkers {
		w, err := newUploadWorker(fmt.Sprintf("i-7f3a00%02d", i), pause, s.rec)
		if err != nil {
			return err
		}
		st.put("servers", w.id, wireBeat{Service: "wuno96b", Address: w.address, Zone: "bne-a", Version: "v1", Slots: 6, State: "ready"})
	}
	st.put("op", "config", uploadConfig())
	g, err := startGateway(s.root, s.logs, "front-bne-a-1", "bne-a", st.address, binday, true)
	if err != nil {
		return err
	}
	defer g.kill()
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	var outcomes [3]atomic.Int64
	var clients sync.WaitGroup
	for i := range pausedClients {
		clients.Go(func() {
			body := bytes.Repeat([]byte{byte('a' + i)}, uploadBytes)
			for n := range pausedRounds {
				outcomes[upload(g, fmt.Sprintf("%08x%08x", i, n), body, s.rec)].Add(1)
			}
		})
	}
	clients.Wait()
	return judgeUploads(s.rec, &outcomes)
}
