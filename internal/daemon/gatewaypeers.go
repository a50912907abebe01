package daemon

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/directory"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/relay"
	"github.com/sparshore/sparshore/internal/roster"
	"github.com/sparshore/sparshore/platform"
)

func (b *gatewayBuilder) gossipService() kernel.Service {
	return kernel.Service{
		Name: serviceGossip,
		Build: func(*kernel.Registry) (any, error) {
			conn, err := net.ListenPacket("udp4", b.settings.GossipListen)
			if err != nil {
				return nil, fmt.Errorf("--gossip-listen: %w", err)
			}
			b.gossip = gossip.New(gossip.Settings{
				Name: b.settings.Name, Zone: b.settings.Zone, Entry: b.listedAs(), Life: b.life,
				Every: gossipEvery, Least: gossipLeast, Urgent: gossipUrgent, Rate: gossipRate, UrgentRate: gossipUrgentRate, Forget: gossipForget,
			}, conn, b.ownState, b.peerState, b.gateway.Limits(), b.rec, time.Now)
			registerEntries(b.reg, b.gossip.Stats)
			return b.gossip, nil
		},
		Start: func(context.Context, *kernel.Registry) error {
			b.directory = directory.New(directory.Settings{
				Table: tableEntries, Name: b.settings.Name, Entry: b.listedAs(),
				Every: directoryEvery, ReadEach: directoryReadEach, Again: directoryAgain, CallWithin: directoryCall, HeardWithin: directoryHeard,
				Together: b.settings.StartTogether, TogetherWithin: directoryTogether, AloneWithin: directoryAlone, ToldWithin: directoryTold, WriteEach: directoryWriteEach,
			}, b.store, directory.Others{Found: b.found, Heard: b.othersHeard, Known: b.othersKnown}, directory.Carried{Value: b.heldRequests, Heard: b.heardHeld}, b.rec, time.Now)
			go b.gossip.Run(b.ctx)
			go b.directory.Run(b.ctx)
			return nil
		},
	}
}

// listedAs is how this entry lists itself.
func (b *gatewayBuilder) listedAs() roster.Entry {
	s := b.settings
	return roster.Entry{Address: s.GossipListen, Relay: s.RelayListen, Zone: s.Zone, Size: s.size()}
}

// othersHeard is the number of other entries that are heard.
func (b *gatewayBuilder) othersHeard() int { return len(b.gossip.Heard()) }

// relayPeers returns the entries that can be asked for tables. One that is listed may be asked
// before it is heard, so that an entry that starts need not read the tables from the store.
func (b *gatewayBuilder) relayPeers() []relay.Peer {
	var out []relay.Peer
	b.gossip.Each(func(name string, p *gossip.Peer) {
		if p.State.Relay != "" {
			out = append(out, relay.Peer{Name: name, Zone: p.State.Zone, Size: p.Size, Address: p.State.Relay, Confirmed: p.State.Confirmed, StoreLost: p.State.StoreLost})
		}
	})
	for name, e := range b.gossip.Expected() {
		if e.Relay != "" {
			out = append(out, relay.Peer{Name: name, Zone: e.Zone, Size: e.Size, Address: e.Relay})
		}
	}
	return out
}

// relayService answers other entries' questions for what the store said.
func (b *gatewayBuilder) relayService() kernel.Service {
	methods := func(*kernel.Registry) (peer.Methods, error) { return b.log.Methods(), nil }
	return listenForPeers(b.rec, "--relay-listen", b.settings.RelayListen, methods, func(*kernel.Registry) func(*peer.Conn) { return nil })
}

// found takes over the list of entries.
func (b *gatewayBuilder) found(listed map[string]roster.Entry) {
	b.gossip.Know(listed)
	if _, own := listed[b.settings.Name]; own {
		b.gateway.Registered(len(listed))
	}
}

// othersKnown lets the tables be read: it is known whom to ask.
func (b *gatewayBuilder) othersKnown() { b.listedOnce.Do(func() { close(b.listed) }) }

// heldRequests is what the own row in the list of entries holds of requests that end
// upstreams.
func (b *gatewayBuilder) heldRequests() []byte {
	held := b.gateway.Quarantine().Held()
	if len(held) == 0 {
		return nil
	}
	value, err := cbor.Marshal(quarantine.Encode(held, time.Now()))
	if err != nil {
		b.rec.Note(events.RegisterFailed, "", "carried", len(held), "error", err)
		return nil
	}
	return value
}

// heardHeld takes over what an entry's row holds of them: an entry that starts when all others
// are gone learns of them by nothing else.
func (b *gatewayBuilder) heardHeld(entry string, value []byte, age time.Duration) {
	var held []quarantine.Message
	if err := cbor.Unmarshal(value, &held); err != nil {
		b.rec.Note(events.RegisterFailed, "", "row", entry, "error", err)
		return
	}
	b.gateway.Quarantine().Recall(quarantine.Decode(held, time.Now().Add(-max(age, 0))))
}

// tellHeld writes the own row anew once a request is held for what this entry saw.
func (b *gatewayBuilder) tellHeld() {
	if n := b.gateway.Quarantine().Verdicts(); n != b.verdicts {
		b.verdicts = n
		b.directory.RenewSoon()
	}
}

// ownState is what this gateway tells the others.
func (b *gatewayBuilder) ownState() gossip.State {
	s := gossip.State{
		Zone: b.settings.Zone, Relay: b.settings.RelayListen, Loads: b.gateway.Load(),
		StopBy: b.gateway.StopBy(), StoreLost: b.source.StoreLost(), Leaving: b.fleet.KnownLeaving(), Faults: b.fleet.Faults(), Failures: b.fleet.Failures(), Retries: b.gateway.RetryUse(), Suspects: b.gateway.Quarantine().Tell(),
	}
	table, confirmed := b.routes.Current()
	if table != nil {
		s.Routes, s.Confirmed = table.Version(), confirmed
	}
	return s
}

// peerState takes over what another gateway told.
func (b *gatewayBuilder) peerState(from string, s gossip.State) {
	b.gateway.PeerLoad(from, s.Loads)
	b.gateway.PeerRetryUse(from, s.Retries, s.HeardUs)
	b.fleet.PeerFaults(from, s.Faults)
	b.fleet.PeerFailures(from, s.Failures)
	b.gateway.Quarantine().Hear(from, s.Suspects)
	b.fleet.PeerLeaving(from, s.Leaving)
	if !s.Confirmed.IsZero() {
		b.routes.Confirm(s.Routes, s.Confirmed)
	}
	if table, confirmed := b.routes.Current(); table != nil && b.behind.Hear(table.Version(), s.Routes, confirmed, time.Now()) {
		go b.catchUp(from)
	}
}

// catchUp takes the route table of another entry that has a later one: the store came back from a
// copy and does not have it.
func (b *gatewayBuilder) catchUp(from string) {
	ctx, cancel := context.WithTimeout(b.ctx, relaySlack)
	defer cancel()
	s, err := b.source.ListFrom(ctx, from, platform.TableRoutes)
	if err != nil {
		b.rec.Note(events.RelayFailed, "", "peer", from, "error", err)
		return
	}
	b.routes.Learn(from, s.Records)
}
