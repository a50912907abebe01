package daemon

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/directory"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/internal/originstore"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/relay"
	"github.com/sparshore/sparshore/internal/retryuse"
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
				Name: b.settings.Name, Zone: b.settings.Zone, Entry: b.ownEntry(), Incarnation: b.incarnation,
				Interval: gossipInterval, MinInterval: gossipIntervalMin, UrgentInterval: gossipUrgentIntervalMin, Rate: gossipRate, UrgentRate: gossipUrgentRate, SilenceTimeout: gossipPeerTimeout,
			}, conn, b.ownState, b.applyPeerState, b.gateway.Limits(), b.gateway.Origins(), b.rec, time.Now)
			registerGossipMetrics(b.reg, b.gossip.Stats)
			return b.gossip, nil
		},
		Start: func(context.Context, *kernel.Registry) error {
			b.directory = directory.New(directory.Settings{
				Table: tableEntries, Name: b.settings.Name, Entry: b.ownEntry(),
				ReadInterval: directoryInterval, SharedReadInterval: directoryReadSpacing, RenewalRetryDelay: directoryRetryInterval, CallTimeout: directoryCallTimeout, ContactTimeout: directoryContactTimeout,
				FirstDeployment: b.settings.StartTogether, FirstReadSpread: directoryFirstReadSpread, RereadDelayMax: directoryAlonePauseMax, IntroductionDelay: directoryPeersTimeout, SharedWriteInterval: directoryWriteSpacing,
			}, b.store, directory.Callbacks{OnList: b.applyEntryList, ContactCount: b.liveEntries, OnReady: b.markListed}, directory.RowData{Value: b.encodeQuarantined, OnRead: b.restoreQuarantined}, b.rec, time.Now)
			go b.gossip.Run(b.ctx)
			go b.directory.Run(b.ctx)
			go b.retryUse.Run(b.ctx)
			go b.originStore.Run(b.ctx)
			return nil
		},
	}
}

// ownEntry returns this entry as it registers itself in the list of entries.
func (b *gatewayBuilder) ownEntry() roster.Entry {
	s := b.settings
	return roster.Entry{Address: s.GossipListen, Relay: s.RelayListen, Zone: s.Zone, Size: s.size()}
}

// liveEntries returns the number of other entries that this entry receives gossip from.
func (b *gatewayBuilder) liveEntries() int { return len(b.gossip.LivePeers()) }

// relayPeers returns the entries that can be asked for tables. This includes listed entries that
// have not sent gossip yet, so that a starting entry need not read the tables from the store.
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

// newRetryUse returns the Keeper of this entry's use of the retry budgets.
func (b *gatewayBuilder) newRetryUse() *retryuse.Keeper {
	s := b.settings
	return retryuse.New(retryuse.Settings{
		Table: tableRetries, Name: s.Name, Incarnation: b.incarnation, Window: s.RetryWindow, TickInterval: retryUseTick,
		CallTimeout: retryUseCallTimeout, AskTimeout: retryUseAskTimeout, FirstDeployment: s.StartTogether,
	}, b.store, retryuse.Peers{
		Names: b.relayPeerNames, Ready: b.listed, Call: b.source.CallPeer,
		StoreInterval: func() time.Duration {
			return max(retryUseInterval, time.Duration(b.liveEntries()+1)*retryUseSpacing)
		},
	}, retryuse.Budgets{
		Usage: b.gateway.RetryUsage, Restore: b.gateway.RestoreRetries, Restored: b.gateway.SetRetriesRestored, PeerUsage: b.gateway.PeerRetries,
	}, b.rec, time.Now)
}

// newOriginStore returns the Keeper of what is stored of streams.
func (b *gatewayBuilder) newOriginStore() *originstore.Keeper {
	s := b.settings
	return originstore.New(originstore.Settings{
		Table: tableOrigins, Name: s.Name, Incarnation: b.incarnation, TickInterval: originStoreTick, CallTimeout: originStoreCallTimeout, Retention: fleet.SoftwareRetention, FirstDeployment: s.StartTogether,
	}, b.store, originstore.Fleet{Software: b.engineSoftware, FollowedSince: b.fleet.FollowedSince}, originstore.Peers{
		Known: func() []string { return b.gossip.PeerNames() }, Ready: b.listed,
		StoreInterval: func() time.Duration {
			return max(originStoreInterval, time.Duration(b.liveEntries()+1)*originStoreSpacing)
		},
	}, b.gateway.Origins().Own, b.rec, time.Now)
}

// engineSoftware returns the software versions of the services whose streams may be resumed.
func (b *gatewayBuilder) engineSoftware() map[string][]string {
	table, _ := b.routes.Current()
	software := b.fleet.Software()
	maps.DeleteFunc(software, func(name string, _ []string) bool {
		if table == nil {
			return true
		}
		service, ok := table.Service(name)
		return !ok || service.Engine == nil
	})
	return software
}

// relayPeerNames returns the names of the entries that can be asked, those that are heard first.
func (b *gatewayBuilder) relayPeerNames() []string {
	peers := b.relayPeers()
	slices.SortStableFunc(peers, func(x, y relay.Peer) int { return y.Confirmed.Compare(x.Confirmed) })
	names := make([]string, 0, len(peers))
	for _, p := range peers {
		if !slices.Contains(names, p.Name) {
			names = append(names, p.Name)
		}
	}
	return names
}

// relayService answers requests of other entries for what the store reported, and for their use of the retry
// budgets.
func (b *gatewayBuilder) relayService() kernel.Service {
	methods := func(*kernel.Registry) (peer.Methods, error) {
		m := b.relayLog.Methods()
		maps.Copy(m, b.retryUse.Methods())
		return m, nil
	}
	return listenForPeers(b.rec, "--relay-listen", b.settings.RelayListen, methods, func(*kernel.Registry) func(*peer.Conn) { return nil })
}

// applyEntryList applies the list of entries that was read.
func (b *gatewayBuilder) applyEntryList(listed map[string]roster.Entry) {
	b.gossip.SetListed(listed)
	if _, own := listed[b.settings.Name]; own {
		b.gateway.SetListedEntries(len(listed))
		return
	}
	b.gateway.RaiseEntries(len(listed) + 1)
}

// markListed allows the tables to be read: the entries that can be asked for them are known.
func (b *gatewayBuilder) markListed() { b.listedOnce.Do(func() { close(b.listed) }) }

// encodeQuarantined returns the quarantined requests in the form in which the row of this entry in
// the list of entries holds them; nil if there are none.
func (b *gatewayBuilder) encodeQuarantined() []byte {
	held := b.gateway.Quarantine().Quarantined()
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

// restoreQuarantined takes over the quarantined requests in the row of another entry. For an entry
// that starts when all others have stopped, the rows are the only source for them.
func (b *gatewayBuilder) restoreQuarantined(_ string, value []byte, age time.Duration) error {
	var held []quarantine.Message
	if err := cbor.Unmarshal(value, &held); err != nil {
		return fmt.Errorf("quarantined requests: %w", err)
	}
	b.gateway.Quarantine().Restore(quarantine.Decode(held, time.Now().Add(-max(age, 0))))
	return nil
}

// publishQuarantines renews the row of this entry once it has quarantined another request.
func (b *gatewayBuilder) publishQuarantines() {
	if n := b.gateway.Quarantine().LocalQuarantines(); n != b.publishedQuarantines {
		b.publishedQuarantines = n
		b.directory.RenewSoon()
	}
}

// ownState returns the state that this gateway gossips to the others.
func (b *gatewayBuilder) ownState() gossip.State {
	s := gossip.State{
		Zone: b.settings.Zone, Relay: b.settings.RelayListen, Loads: b.gateway.Load(), Paces: b.gateway.Paces(), Intervals: b.gateway.LatestIntervals(),
		StopBy: b.gateway.StopDeadline(), StoreLost: b.source.StoreLost(), Leaving: b.fleet.KnownLeaving(), Faults: b.fleet.Faults(), Unreachable: b.fleet.UnreachableSince(), Failures: b.fleet.Failures(), Retries: b.gateway.RetryUse(), Suspects: b.gateway.Quarantine().Reports(),
	}
	table, confirmed := b.routes.Current()
	if table != nil {
		s.Routes, s.Confirmed = table.Version(), confirmed
	}
	return s
}

// applyPeerState applies the state that another gateway gossiped.
func (b *gatewayBuilder) applyPeerState(from string, s gossip.State) {
	b.gateway.SetPeerLoad(from, s.Loads)
	b.gateway.SetPeerPaces(from, s.Paces)
	b.gateway.AddPeerIntervals(s.Intervals)
	b.gateway.Origins().PeerSeen(from, s.Incarnation)
	b.gateway.SetPeerRetryUse(from, s.Incarnation, s.Retries, s.LastReceived)
	b.fleet.PeerFaults(from, s.Faults)
	b.gateway.SetPeerUnreachable(s.Unreachable)
	b.fleet.PeerFailures(from, s.Failures)
	b.gateway.Quarantine().Merge(from, s.Suspects)
	b.fleet.PeerReportedLeaving(from, s.Leaving)
	if !s.Confirmed.IsZero() {
		b.routes.Confirm(s.Routes, s.Confirmed, from)
	}
	if table, confirmed := b.routes.Current(); table != nil && b.staleTable.Observe(table.Version(), s.Routes, confirmed, time.Now()) {
		go b.fetchLaterRoutes(from)
	}
}

// fetchLaterRoutes takes the route table of another entry that has a later one. This happens after
// the store was restored from an older copy that lacks the latest table.
func (b *gatewayBuilder) fetchLaterRoutes(from string) {
	ctx, cancel := context.WithTimeout(b.ctx, relayTimeoutMargin)
	defer cancel()
	s, err := b.source.ListFrom(ctx, from, platform.TableRoutes)
	if err != nil {
		b.rec.Note(events.RelayFailed, "", "peer", from, "error", err)
		return
	}
	b.routes.Adopt(from, s.Records)
}
