package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/roster"
)

const (
	// rigZoneDelay and rigCrossZoneDelay are the transit times within a zone and between zones.
	rigZoneDelay      = 300 * time.Microsecond
	rigCrossZoneDelay = 1500 * time.Microsecond
	// rigZones is the number of zones.
	rigZones = 6
	// rigWriteDelay is the time between an entry's read of the list and the write of its own record.
	rigWriteDelay = 10 * time.Millisecond
	// rigQueueLength is the length of an entry's receive queue, beyond which datagrams are dropped.
	rigQueueLength = 4096
)

var (
	rigSmall = roster.Size{Cores: 0.144, LinkMbps: 20}
	rigLarge = roster.Size{Cores: 1.6, LinkMbps: 1000}
)

// rig simulates a deployment in virtual time, with a network between the entries that loses datagrams.
type rig struct {
	ctx  context.Context
	loss float64
	// every is the minimum of the regular interval; 0 for the interval of a gateway.
	every time.Duration

	mu        sync.Mutex
	rng       *rand.Rand
	entries   []*rigEntry
	byAddress map[string]*rigEntry
	// update is the name of a leaving upstream that one entry spreads, and informed the number of
	// entries that have received it.
	update   string
	informed int
}

type rigDatagram struct {
	from net.Addr
	b    []byte
}

type rigEntry struct {
	rig     *rig
	name    string
	entry   roster.Entry
	node    *Node
	addr    net.Addr
	inbox   chan rigDatagram
	ended   <-chan struct{}
	cancel  context.CancelFunc
	started time.Time

	// The following are guarded by the rig's lock.

	dead    bool
	leaving []string
	// informedAt is when the update first reached the entry.
	informedAt time.Time
	// messages and bytes count the datagrams that the entry sent.
	messages, bytes int
}

// rigSettings returns settings with the timing of a gateway.
func rigSettings(name string, entry roster.Entry, incarnation string) Settings {
	return Settings{
		Name: name, Zone: entry.Zone, Entry: entry, Incarnation: incarnation,
		Interval: 200 * time.Millisecond, MinInterval: 10 * time.Millisecond, UrgentInterval: 100 * time.Millisecond, Rate: 250, UrgentRate: 1000, SilenceTimeout: 1500 * time.Millisecond,
	}
}

func newRig(ctx context.Context, seed uint64, loss float64) *rig {
	return &rig{ctx: ctx, loss: loss, rng: rand.New(rand.NewPCG(seed, 1)), byAddress: map[string]*rigEntry{}}
}

// start starts entries, spread evenly over a time. Each entry reads the records that were written before.
// One of six entries has a large machine.
func (r *rig) start(entries int, within time.Duration) {
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range entries {
		after := within * time.Duration(i) / time.Duration(entries)
		wg.Go(func() {
			time.Sleep(after)
			r.join(i)
		})
	}
	wg.Wait()
	time.Sleep(time.Until(begin.Add(within + 2*rigWriteDelay)))
}

// join starts one entry.
func (r *rig) join(i int) {
	size := rigSmall
	if i/rigZones%6 == 5 {
		size = rigLarge
	}
	address := fmt.Sprintf("10.%d.%d.%d:7200", i%rigZones, i/250, i%250)
	e := &rigEntry{
		rig: r, name: fmt.Sprintf("e%04d", i), inbox: make(chan rigDatagram, rigQueueLength), started: time.Now(),
		entry: roster.Entry{Address: address, Relay: address, Zone: fmt.Sprint("z", i%rigZones), Size: size},
	}
	set := limits.New(e.name, "1", limits.Peers{
		LivePeers: func() []limits.Entry { return e.node.LivePeers() }, Send: func(to string, m limits.Message, at time.Time) { e.node.Send(to, m, at) },
		Broadcast: func() {}, BroadcastTime: func() time.Duration { return time.Second }, RoundTrip: func() time.Duration { return 0 },
	}, events.Nop(), time.Now)
	timing := rigSettings(e.name, e.entry, "1")
	timing.Interval = max(timing.Interval, r.every)
	e.node = New(timing, &rigConn{e}, e.state, e.received, set, origin.New(origin.Alone(), events.Nop(), time.Now), events.Nop(), time.Now)
	ctx, cancel := context.WithCancel(r.ctx)
	e.cancel, e.ended, e.addr = cancel, ctx.Done(), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address))
	r.mu.Lock()
	read := map[string]roster.Entry{}
	for _, o := range r.entries {
		if time.Since(o.started) > rigWriteDelay {
			read[o.name] = o.entry
		}
	}
	r.entries = append(r.entries, e)
	r.byAddress[address] = e
	r.mu.Unlock()
	go e.node.Run(ctx)
	e.node.SetListed(read)
}

// state returns the state of an entry with one generation in flight.
func (e *rigEntry) state() State {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	return State{Zone: e.entry.Zone, Relay: e.entry.Relay, Routes: 7, Loads: map[string]Load{"i-" + e.name: {Running: 1, Tokens: 3000, Held: 3100}}, Leaving: e.leaving}
}

func (e *rigEntry) received(_ string, s State) {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	if e.informedAt.IsZero() && e.rig.update != "" && slices.Contains(s.Leaving, e.rig.update) {
		e.informedAt = time.Now()
		e.rig.informed++
	}
}

// kill ends an entry without notice to the others.
func (e *rigEntry) kill() {
	e.rig.mu.Lock()
	e.dead = true
	e.rig.mu.Unlock()
	e.cancel()
}

// running returns the entries that were not killed.
func (r *rig) running() []*rigEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.entries), func(e *rigEntry) bool { return e.dead })
}

// spread makes an entry spread an urgent update, and returns the times until it reached each other running
// entry, in ascending order. An entry that it has not reached within limit counts as limit.
func (r *rig) spread(from *rigEntry, limit time.Duration) []time.Duration {
	running := r.running()
	r.mu.Lock()
	r.update, r.informed = fmt.Sprint("u", r.rng.Uint64()), 0
	for _, e := range running {
		e.informedAt = time.Time{}
	}
	from.leaving = []string{r.update}
	start := time.Now()
	r.mu.Unlock()
	from.node.SendNow()
	for time.Since(start) < limit {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		done := r.informed >= len(running)-1
		r.mu.Unlock()
		if done {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	for _, e := range running {
		switch {
		case e == from:
		case e.informedAt.IsZero():
			out = append(out, limit)
		default:
			out = append(out, e.informedAt.Sub(start))
		}
	}
	slices.Sort(out)
	return out
}

// traffic is the mean number of messages and bytes per second and entry, and the message rate of the
// busiest entry.
type traffic struct {
	messages, bytes, busiest float64
}

// trafficDuring measures the traffic of the running entries while f runs.
func (r *rig) trafficDuring(f func()) traffic {
	all := r.running()
	r.mu.Lock()
	for _, e := range all {
		e.messages, e.bytes = 0, 0
	}
	r.mu.Unlock()
	start := time.Now()
	f()
	lasted := time.Since(start).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	var t traffic
	for _, e := range all {
		t.messages += float64(e.messages) / lasted / float64(len(all))
		t.bytes += float64(e.bytes) / lasted / float64(len(all))
		t.busiest = max(t.busiest, float64(e.messages)/lasted)
	}
	return t
}

// liveCounts returns the number of live peers of each running entry, in ascending order.
func (r *rig) liveCounts() []int {
	var out []int
	for _, e := range r.running() {
		out = append(out, len(e.node.Peers()))
	}
	slices.Sort(out)
	return out
}

// rigConn is the connection of one entry to the simulated network.
type rigConn struct{ e *rigEntry }

// WriteTo sends a datagram, which may be lost.
func (c *rigConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	r := c.e.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	c.e.messages++
	c.e.bytes += len(b)
	to, ok := r.byAddress[addr.String()]
	if !ok || to.dead || c.e.dead || r.rng.Float64() < r.loss {
		return len(b), nil
	}
	delay := rigZoneDelay
	if to.entry.Zone != c.e.entry.Zone {
		delay = rigCrossZoneDelay
	}
	d := rigDatagram{c.e.addr, slices.Clone(b)}
	time.AfterFunc(delay, func() {
		select {
		case to.inbox <- d:
		default:
		}
	})
	return len(b), nil
}

// ReadFrom returns the next datagram.
func (c *rigConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.e.inbox:
		return copy(b, d.b), d.from, nil
	case <-c.e.ended:
		return 0, nil, net.ErrClosed
	}
}

func (c *rigConn) Close() error                     { return nil }
func (c *rigConn) LocalAddr() net.Addr              { return nil }
func (c *rigConn) SetDeadline(time.Time) error      { return nil }
func (c *rigConn) SetReadDeadline(time.Time) error  { return nil }
func (c *rigConn) SetWriteDeadline(time.Time) error { return nil }
