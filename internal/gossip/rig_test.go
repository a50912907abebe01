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
	"github.com/sparshore/sparshore/internal/roster"
)

const (
	// rigNear and rigFar are the times that a datagram takes within a zone and between zones.
	rigNear = 300 * time.Microsecond
	rigFar  = 1500 * time.Microsecond
	// rigZones is the number of zones.
	rigZones = 6
	// rigWrite is the time between an entry's read of the list and the row that it writes.
	rigWrite = 10 * time.Millisecond
	// rigQueue is the number of datagrams that wait at an entry before more are lost.
	rigQueue = 4096
)

var (
	rigSmall = roster.Size{Cores: 0.144, LinkMbps: 20}
	rigLarge = roster.Size{Cores: 1.6, LinkMbps: 1000}
)

// rig is a deployment on virtual time: entries that speak over a network that loses datagrams.
type rig struct {
	ctx  context.Context
	loss float64
	// every is the time between two regular messages; 0 for that of a gateway.
	every time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	entries []*rigEntry
	at      map[string]*rigEntry
	// news is what an entry tells that is urgent, as an upstream that leaves.
	news string
	told int
}

type rigDatagram struct {
	from net.Addr
	b    []byte
}

type rigEntry struct {
	rig     *rig
	name    string
	listed  roster.Entry
	node    *Node
	addr    net.Addr
	inbox   chan rigDatagram
	ended   <-chan struct{}
	cancel  context.CancelFunc
	started time.Time

	// The following are guarded by the rig's lock.

	dead    bool
	leaving []string
	// knows is when it first heard of the news.
	knows time.Time
	// messages and bytes count what it sent.
	messages, bytes int
}

// rigTiming is that of a gateway.
func rigTiming(name string, listed roster.Entry, life string) Settings {
	return Settings{
		Name: name, Zone: listed.Zone, Entry: listed, Life: life,
		Every: 200 * time.Millisecond, Least: 10 * time.Millisecond, Urgent: 100 * time.Millisecond, Rate: 250, UrgentRate: 1000, Forget: 1500 * time.Millisecond,
	}
}

func newRig(ctx context.Context, seed uint64, loss float64) *rig {
	return &rig{ctx: ctx, loss: loss, rng: rand.New(rand.NewPCG(seed, 1)), at: map[string]*rigEntry{}}
}

// start starts entries that all begin within a time; each finds in the list those that had written
// their row before it read. Of six entries one has a large machine.
func (r *rig) start(entries int, within time.Duration) {
	begin := time.Now()
	var all sync.WaitGroup
	for i := range entries {
		after := within * time.Duration(i) / time.Duration(entries)
		all.Go(func() {
			time.Sleep(after)
			r.join(i)
		})
	}
	all.Wait()
	time.Sleep(time.Until(begin.Add(within + 2*rigWrite)))
}

// join starts one entry.
func (r *rig) join(i int) {
	size := rigSmall
	if i/rigZones%6 == 5 {
		size = rigLarge
	}
	address := fmt.Sprintf("10.%d.%d.%d:7200", i%rigZones, i/250, i%250)
	e := &rigEntry{
		rig: r, name: fmt.Sprintf("e%04d", i), inbox: make(chan rigDatagram, rigQueue), started: time.Now(),
		listed: roster.Entry{Address: address, Relay: address, Zone: fmt.Sprint("z", i%rigZones), Size: size},
	}
	set := limits.New(e.name, "1", limits.Others{
		Heard: func() []limits.Entry { return e.node.Heard() }, Send: func(to string, m limits.Message) { e.node.Send(to, m) },
		Urge: func() {}, Told: func() time.Duration { return time.Second }, Way: func() time.Duration { return 0 },
	}, events.Nop(), time.Now)
	timing := rigTiming(e.name, e.listed, "1")
	timing.Every = max(timing.Every, r.every)
	e.node = New(timing, &rigConn{e}, e.state, e.hear, set, events.Nop(), time.Now)
	ctx, cancel := context.WithCancel(r.ctx)
	e.cancel, e.ended, e.addr = cancel, ctx.Done(), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address))
	r.mu.Lock()
	read := map[string]roster.Entry{}
	for _, o := range r.entries {
		if time.Since(o.started) > rigWrite {
			read[o.name] = o.listed
		}
	}
	r.entries = append(r.entries, e)
	r.at[address] = e
	r.mu.Unlock()
	go e.node.Run(ctx)
	e.node.Know(read)
}

// state is what an entry of a quiet deployment tells: one generation in flight.
func (e *rigEntry) state() State {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	return State{Zone: e.listed.Zone, Relay: e.listed.Relay, Routes: 7, Loads: map[string]Load{"i-" + e.name: {Running: 1, Tokens: 3000, Held: 3100}}, Leaving: e.leaving}
}

func (e *rigEntry) hear(_ string, s State) {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	if e.knows.IsZero() && e.rig.news != "" && slices.Contains(s.Leaving, e.rig.news) {
		e.knows = time.Now()
		e.rig.told++
	}
}

// kill ends an entry without a word.
func (e *rigEntry) kill() {
	e.rig.mu.Lock()
	e.dead = true
	e.rig.mu.Unlock()
	e.cancel()
}

// alive returns the entries that run.
func (r *rig) alive() []*rigEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.entries), func(e *rigEntry) bool { return e.dead })
}

// tell makes an entry tell urgent news, and returns how long it takes until it is heard by each
// other one that runs, in rising order; those that have not heard of it after a time count as that.
func (r *rig) tell(from *rigEntry, most time.Duration) []time.Duration {
	alive := r.alive()
	r.mu.Lock()
	r.news, r.told = fmt.Sprint("u", r.rng.Uint64()), 0
	for _, e := range alive {
		e.knows = time.Time{}
	}
	from.leaving = []string{r.news}
	start := time.Now()
	r.mu.Unlock()
	from.node.Urge()
	for time.Since(start) < most {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		done := r.told >= len(alive)-1
		r.mu.Unlock()
		if done {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	for _, e := range alive {
		switch {
		case e == from:
		case e.knows.IsZero():
			out = append(out, most)
		default:
			out = append(out, e.knows.Sub(start))
		}
	}
	slices.Sort(out)
	return out
}

// traffic is what the entries sent in a time: the mean, and that of the busiest one.
type traffic struct {
	messages, bytes, busiest float64
}

// count counts what the entries that run send while f runs.
func (r *rig) count(f func()) traffic {
	all := r.alive()
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

// heardBy is the number of others that each entry hears, the least first.
func (r *rig) heardBy() []int {
	var out []int
	for _, e := range r.alive() {
		out = append(out, len(e.node.Peers()))
	}
	slices.Sort(out)
	return out
}

// rigConn is the network as one entry sees it.
type rigConn struct{ e *rigEntry }

// WriteTo sends a datagram, which may be lost.
func (c *rigConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	r := c.e.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	c.e.messages++
	c.e.bytes += len(b)
	to, ok := r.at[addr.String()]
	if !ok || to.dead || c.e.dead || r.rng.Float64() < r.loss {
		return len(b), nil
	}
	way := rigNear
	if to.listed.Zone != c.e.listed.Zone {
		way = rigFar
	}
	d := rigDatagram{c.e.addr, slices.Clone(b)}
	time.AfterFunc(way, func() {
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
