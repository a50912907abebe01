package membership

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/quarantine"
)

// Timing are the periods of the membership loops.
type Timing struct {
	// List is the time between reads of the VM list.
	List time.Duration
	// Heartbeat is the least time between pings on a connection.
	Heartbeat time.Duration
	// Pings bounds the pings a second to all peers together, so that the cost
	// of a process does not grow with the deployment. What is in use is probed
	// at once when it is silent; see Probe.
	Pings float64
	// Suspect is how long a ping may stay unanswered before the peer gets no
	// new work.
	Suspect time.Duration
	// Lost is how long before its connection is closed.
	Lost time.Duration
}

// DefaultTiming returns the periods used unless a setting says otherwise.
func DefaultTiming() Timing {
	return Timing{
		List: time.Second, Heartbeat: 500 * time.Millisecond, Pings: 10,
		Suspect: 700 * time.Millisecond, Lost: 3 * time.Second,
	}
}

// Peer is one process seen from this one.
type Peer struct {
	address string

	mu        sync.Mutex
	identity  Identity
	conn      *peer.Conn
	leaving   bool
	suspected bool
	load      Load
	mark      config.Mark
	vm        platform.VM
	probe     chan struct{}
}

// Address returns where the peer listens.
func (p *Peer) Address() string { return p.address }

// VMName returns the name under which the platform lists the peer's VM.
func (p *Peer) VMName() string { return p.vm.Name() }

// VMZone returns the zone the platform lists for the peer's VM.
func (p *Peer) VMZone() string { return p.vm.Zone() }

// Identity returns what the peer said of itself; it is zero before the first
// contact.
func (p *Peer) Identity() Identity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.identity
}

// Conn returns the open connection, or nil.
func (p *Peer) Conn() *peer.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// Usable reports whether the peer may get new work.
func (p *Peer) Usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil && !p.leaving && !p.suspected && !p.vm.Leaving()
}

// Leaving reports whether the peer or the platform said that it leaves.
func (p *Peer) Leaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving || p.vm.Leaving()
}

// Load returns the newest load the peer reported.
func (p *Peer) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load
}

// SetLoad takes a newer load, from a reply.
func (p *Peer) SetLoad(l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.AtMS > p.load.AtMS {
		p.load = l
	}
}

// Mark returns the configuration mark the peer last reported.
func (p *Peer) Mark() config.Mark {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mark
}

// Set is the processes known to this one.
type Set struct {
	self    *Self
	vms     *platform.VMs
	timing  Timing
	methods peer.Methods
	// after calls f in its own goroutine once d has passed, unless stop comes first.
	after func(d time.Duration, f func()) (stop func() bool)
	mu    sync.Mutex
	peers map[string]*Peer
	// runCtx ends the connections; it is set by Run.
	runCtx context.Context
	wg     sync.WaitGroup
	// reads counts the reads of the VM list as they begin; taken is the number of the
	// one whose list was taken last.
	reads, taken int64
}

// NewSet returns an empty set. methods answer what peers send over the
// connections that this process opens.
func NewSet(self *Self, vms *platform.VMs, timing Timing, methods peer.Methods) *Set {
	s := &Set{self: self, vms: vms, timing: timing, peers: map[string]*Peer{}}
	s.after = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	s.methods = maps.Clone(methods)
	if s.methods == nil {
		s.methods = peer.Methods{}
	}
	maps.Copy(s.methods, self.Methods())
	s.methods[methodLeave] = s.peerLeaves
	return s
}

// Run reads the VM list and keeps connections to all processes on it until ctx
// ends.
func (s *Set) Run(ctx context.Context) {
	tick := time.NewTicker(s.timing.List)
	defer tick.Stop()
	s.mu.Lock()
	s.runCtx = ctx
	s.mu.Unlock()
	for {
		if err := s.Refresh(ctx); err != nil && ctx.Err() == nil {
			s.self.Recorder.Note(events.VMListFailed, "", "error", err)
		}
		select {
		case <-ctx.Done():
			s.wg.Wait()
			return
		case <-tick.C:
		}
	}
}

// Refresh reads the VM list now. It does nothing before Run.
func (s *Set) Refresh(ctx context.Context) error {
	s.mu.Lock()
	s.reads++
	read := s.reads
	s.mu.Unlock()
	vms, err := s.vms.List(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Reads run beside each other. A list from before the one that was taken lacks
	// processes that are connected by now, and must not end their connections.
	if s.runCtx == nil || read < s.taken {
		return nil
	}
	s.taken = read
	seen := map[string]bool{}
	for _, vm := range vms {
		seen[vm.Address()] = true
		s.learn(s.runCtx, vm)
	}
	for addr, p := range s.peers {
		if !seen[addr] {
			delete(s.peers, addr)
			p.close()
		}
	}
	return nil
}

func (s *Set) learn(ctx context.Context, vm platform.VM) {
	p, ok := s.peers[vm.Address()]
	if !ok {
		p = &Peer{address: vm.Address(), vm: vm, probe: make(chan struct{}, 1)}
		s.peers[vm.Address()] = p
		s.wg.Go(func() { s.keep(ctx, p) })
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm.Leaving() && !p.vm.Leaving() {
		s.self.Recorder.Note(events.PeerLeaving, "", "peer", vm.Name(), "source", "vm-list")
	}
	p.vm = vm
}

func (p *Peer) close() {
	if c := p.Conn(); c != nil {
		c.Close()
	}
}

// keep holds a connection to p while it is on the list.
func (s *Set) keep(ctx context.Context, p *Peer) {
	for ctx.Err() == nil && s.listed(p) {
		if err := s.connect(ctx, p); err == nil {
			s.watch(ctx, p)
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.timing.Heartbeat):
		}
	}
	p.close()
}

func (s *Set) listed(p *Peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[p.address] == p
}

func (s *Set) connect(ctx context.Context, p *Peer) error {
	c, err := peer.Dial(ctx, p.address, s.methods)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, s.timing.Lost)
	defer cancel()
	var h helloResult
	if err := c.Call(callCtx, methodHello, struct{}{}, &h); err != nil {
		c.Close()
		return err
	}
	c.Attach(peerKey{}, p)
	p.mu.Lock()
	if p.identity.incarnation != h.Incarnation {
		p.leaving = false
	}
	p.identity = NewIdentity(h.Process, h.Role, h.Zone, h.Upstream, h.Incarnation, h.Started)
	p.conn, p.suspected = c, false
	p.mu.Unlock()
	s.self.Recorder.Note(events.PeerConnected, "", "peer", h.Process, "incarnation", h.Incarnation)
	return nil
}

type peerKey struct{}

// watch pings until the connection ends or stays silent too long.
func (s *Set) watch(ctx context.Context, p *Peer) {
	c := p.Conn()
	for s.beat(ctx, p, c) {
		select {
		case <-ctx.Done():
		case <-c.Done():
		case <-p.probe:
			continue
		case <-time.After(s.interval()):
			continue
		}
		break
	}
	c.Close()
	p.mu.Lock()
	p.conn = nil
	p.mu.Unlock()
	if ctx.Err() == nil {
		s.self.Recorder.Note(events.PeerLost, "", "peer", p.Identity().Process())
	}
}

// interval is the time until the next ping to one peer, spread at random so
// that peers learned at the same time are not pinged at the same time.
func (s *Set) interval() time.Duration {
	mean := s.meanInterval()
	return mean/2 + rand.N(mean)
}

func (s *Set) meanInterval() time.Duration {
	s.mu.Lock()
	n := len(s.peers)
	s.mu.Unlock()
	if s.timing.Pings <= 0 {
		return s.timing.Heartbeat
	}
	return max(s.timing.Heartbeat, time.Duration(float64(n)/s.timing.Pings*float64(time.Second)))
}

// Probe pings the peer at once. It is for those who wait for the peer and hear
// nothing: their wait is the cheapest sign that something may be wrong.
func (p *Peer) Probe() {
	select {
	case p.probe <- struct{}{}:
	default:
	}
}

// ProbeEntries pings all entries at once, which tells them what they are to know.
func (s *Set) ProbeEntries() {
	for _, p := range s.Peers() {
		if p.Identity().role == RoleEntry {
			p.Probe()
		}
	}
}

// Suspected reports whether a ping to the peer is unanswered for too long.
func (p *Peer) Suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspected || p.conn == nil
}

// beat sends one ping. It returns false when the connection is to be given up.
func (s *Set) beat(ctx context.Context, p *Peer, c *peer.Conn) bool {
	// over is guarded by the peer's lock. Stopping the timer does not reach a callback
	// that has begun, and that must not undo what the answer set.
	over := false
	stop := s.after(s.timing.Suspect, func() { s.suspect(p, &over) })
	defer stop()
	callCtx, cancel := context.WithTimeout(ctx, s.timing.Lost)
	defer cancel()
	var r pingResult
	status := s.self.Status()
	mark := status.Mark
	params := pingParams{Mark: mark, Stamp: s.self.Recorder.Now()}
	entry := p.Identity().role == RoleEntry
	if entry && s.self.Identity.role == RoleEntry {
		params.Process, params.Suspects = s.self.Identity.process, quarantine.Encode(status.Suspects, time.Now())
		params.Runs = quarantine.EncodeRuns(status.Suspects)
	}
	err := c.Call(callCtx, methodPing, params, &r)
	if entry && err == nil {
		s.self.hear(p.Identity().process, r.Suspects, r.Runs)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	over = true
	if err != nil {
		return false
	}
	s.self.Recorder.Observe(r.Stamp)
	if r.Mark > mark && s.self.Behind != nil {
		go s.self.Behind(c, r.Mark)
	}
	p.suspected = false
	p.leaving = p.leaving || r.Leaving
	p.mark = r.Mark
	if r.Load.AtMS > p.load.AtMS {
		p.load = r.Load
	}
	return true
}

// suspect takes new work away from p, unless the ping that it is about is over.
func (s *Set) suspect(p *Peer, over *bool) {
	p.mu.Lock()
	if *over {
		p.mu.Unlock()
		return
	}
	p.suspected = true
	p.mu.Unlock()
	s.self.Recorder.Note(events.PeerSuspected, "", "peer", p.Identity().Process())
}

func (s *Set) peerLeaves(_ context.Context, c *peer.Conn, _ json.RawMessage) (any, error) {
	p, ok := c.Attached(peerKey{}).(*Peer)
	if !ok {
		return nil, nil
	}
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	s.self.Recorder.Note(events.PeerLeaving, "", "peer", p.Identity().Process(), "source", "peer")
	return nil, nil
}

// Peers returns all listed peers, by address.
func (s *Set) Peers() []*Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Collect(maps.Values(s.peers))
	slices.SortFunc(out, func(a, b *Peer) int { return strings.Compare(a.address, b.address) })
	return out
}

// Listed reports whether the VM list shows a VM by the name.
func (s *Set) Listed(vm string) bool {
	for _, p := range s.Peers() {
		if p.VMName() == vm {
			return true
		}
	}
	return false
}

// Upstream returns the peer beside the named upstream: of several that claim
// it, the one that started last.
func (s *Set) Upstream(name string) (*Peer, bool) {
	var best *Peer
	for _, p := range s.Peers() {
		i := p.Identity()
		if i.upstream != name || p.Conn() == nil {
			continue
		}
		if best == nil || i.started.After(best.Identity().started) {
			best = p
		}
	}
	return best, best != nil
}
