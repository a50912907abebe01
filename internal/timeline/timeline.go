// Package timeline collects the recorded events of all processes into one list, ordered by their
// hybrid logical clocks. The administration API of an entry calls Gather; all processes serve
// Methods to their peers.
package timeline

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
)

const methodSelect = "timeline.select"

type selectParams struct {
	Request string `json:"request"`
}

type selectResult struct {
	Events []events.Event `json:"events"`
}

// Methods returns the peer methods that serve the events of this process.
func Methods(rec *events.Recorder) peer.Methods {
	return peer.Methods{
		methodSelect: func(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
			var p selectParams
			if err := json.Unmarshal(raw, &p); err != nil {
				return nil, fmt.Errorf("timeline: %w", err)
			}
			return selectResult{Events: rec.Select(p.Request)}, nil
		},
	}
}

// Gather collects the events about a request from all processes on the VM list, or all events if
// request is empty. It also returns the names of the VMs of processes that could not be reached or
// returned an error.
func Gather(ctx context.Context, set *membership.Set, request string) (all []events.Event, unreachable []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range set.Peers() {
		wg.Go(func() {
			entries, err := fetchEvents(ctx, p, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, p.VMName())
				return
			}
			all = append(all, entries...)
		})
	}
	wg.Wait()
	slices.SortStableFunc(all, func(a, b events.Event) int {
		if a.Stamp.Before(b.Stamp) {
			return -1
		}
		if b.Stamp.Before(a.Stamp) {
			return 1
		}
		return 0
	})
	return all, unreachable
}

func fetchEvents(ctx context.Context, p *membership.Peer, request string) ([]events.Event, error) {
	c := p.Conn()
	if c == nil {
		return nil, fmt.Errorf("%w: %s", peer.ErrUnreachable, p.Address())
	}
	var r selectResult
	if err := c.Call(ctx, methodSelect, selectParams{Request: request}, &r); err != nil {
		return nil, err
	}
	return r.Events, nil
}
