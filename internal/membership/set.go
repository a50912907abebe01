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

// Timing holds the intervals and timeouts of the membership loops.
type Timing struct {
	// List is the interval between reads of the VM list.
	List time.Duration
	// Heartbeat is the minimum interval between pings on a connection.
	Heartbeat time.Duration
	// Pings limits the pings per second to all peers together, so that the cost of a process does
	// not grow with the deployment. A peer in use is probed as soon as it is silent; see Probe.
	Pings float64
	// SuspectAfter is how long a ping may be unanswered before the peer gets no new work.
	SuspectAfter time.Duration
	// LostAfter is how long a ping may be unanswered before the connection to the peer is closed.
	LostAfter time.Duration
}

// DefaultTiming returns the values that apply unless a setting overrides them.
func DefaultTiming() Timing {
	return Timing{
		List: time.Second, Heartbeat: 500 * time.Millisecond, Pings: 10,
		SuspectAfter: 700 * time.Millisecond, LostAfter: 3 * time.Second,
	}
}

// Peer is another process as this one sees it.
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

// Identity returns what the peer reported about itself; it is zero before the first connection.
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

// Leaving reports whether the peer or the platform announced that the peer is leaving.
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

// SetLoad stores a load from a reply if it is newer than the known one.
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

// Set holds the processes on the VM list and the connections to them.
type Set struct {
	self    *Self
	vms     *platform.VMs
	timing  Timing
	methods peer.Methods
	// afterFunc calls f in its own goroutine after d, unless stop is called first. Tests replace
	// it.
	afterFunc func(d time.Duration, f func()) (stop func() bool)
	mu        sync.Mutex
	peers     map[string]*Peer
	// runCtx is the context of Run, with which the connections end; nil before Run.
	runCtx context.Context
	wg     sync.WaitGroup
	// reads counts the reads of the VM list that have begun. applied is the number of the read
	// whose list is in use.
	reads, applied int64
}

// NewSet returns an empty set. methods handle calls that peers make over the connections that this
// process opens.
func NewSet(self *Self, vms *platform.VMs, timing Timing, methods peer.Methods) *Set {
	s := &Set{self: self, vms: vms, timing: timing, peers: map[string]*Peer{}}
	s.afterFunc = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	s.methods = maps.Clone(methods)
	if s.methods == nil {
		s.methods = peer.Methods{}
	}
	maps.Copy(s.methods, self.Methods())
	s.methods[methodLeave] = s.handleLeaving
	return s
}

// Run reads the VM list and keeps a connection to each process on it until ctx ends.
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

// Refresh reads the VM list now. Before Run it applies nothing.
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
	// Reads may overlap. A list older than the one in use may lack processes that are connected by
	// now, and would close their connections.
	if s.runCtx == nil || read < s.applied {
		return nil
	}
	s.applied = read
	seen := map[string]bool{}
	for _, vm := range vms {
		seen[vm.Address()] = true
		s.addVM(s.runCtx, vm)
	}
	for addr, p := range s.peers {
		if !seen[addr] {
			delete(s.peers, addr)
			p.close()
		}
	}
	return nil
}

func (s *Set) addVM(ctx context.Context, vm platform.VM) {
	p, ok := s.peers[vm.Address()]
	if !ok {
		p = &Peer{address: vm.Address(), vm: vm, probe: make(chan struct{}, 1)}
		s.peers[vm.Address()] = p
		s.wg.Go(func() { s.maintain(ctx, p) })
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

// maintain keeps a connection to p while p is on the list.
func (s *Set) maintain(ctx context.Context, p *Peer) {
	for ctx.Err() == nil && s.listed(p) {
		if err := s.connect(ctx, p); err == nil {
			s.heartbeatLoop(ctx, p)
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
	callCtx, cancel := context.WithTimeout(ctx, s.timing.LostAfter)
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

// heartbeatLoop pings p until the connection ends or a ping times out.
func (s *Set) heartbeatLoop(ctx context.Context, p *Peer) {
	c := p.Conn()
	for s.heartbeat(ctx, p, c) {
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

// interval returns the time until the next ping to one peer. It is random, so that peers that were
// listed at the same time are not pinged at the same time.
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

// Probe pings the peer at once. Callers that wait too long for a reply of the peer use it: their
// wait is the cheapest sign that the peer may have failed.
func (p *Peer) Probe() {
	select {
	case p.probe <- struct{}{}:
	default:
	}
}

// ProbeEntries pings all entries at once, which delivers this process's status to them without
// delay.
func (s *Set) ProbeEntries() {
	for _, p := range s.Peers() {
		if p.Identity().role == RoleEntry {
			p.Probe()
		}
	}
}

// Suspected reports whether a ping to the peer has been unanswered for too long, or no connection
// is open.
func (p *Peer) Suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspected || p.conn == nil
}

// heartbeat sends one ping. It returns false when the connection is to be closed.
func (s *Set) heartbeat(ctx context.Context, p *Peer, c *peer.Conn) bool {
	// finished is guarded by the peer's lock. Stopping the timer does not stop a callback that has
	// already begun, and that callback must not suspect a peer whose answer was processed.
	finished := false
	stop := s.afterFunc(s.timing.SuspectAfter, func() { s.suspect(p, &finished) })
	defer stop()
	callCtx, cancel := context.WithTimeout(ctx, s.timing.LostAfter)
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
		s.self.receiveSuspects(p.Identity().process, r.Suspects, r.Runs)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	finished = true
	if err != nil {
		return false
	}
	s.self.Recorder.Observe(r.Stamp)
	if r.Mark > mark && s.self.OnNewerMark != nil {
		go s.self.OnNewerMark(c, r.Mark)
	}
	p.suspected = false
	p.leaving = p.leaving || r.Leaving
	p.mark = r.Mark
	if r.Load.AtMS > p.load.AtMS {
		p.load = r.Load
	}
	return true
}

// suspect marks p as suspected, so that it gets no new work, unless the ping has finished.
func (s *Set) suspect(p *Peer, finished *bool) {
	p.mu.Lock()
	if *finished {
		p.mu.Unlock()
		return
	}
	p.suspected = true
	p.mu.Unlock()
	s.self.Recorder.Note(events.PeerSuspected, "", "peer", p.Identity().Process())
}

func (s *Set) handleLeaving(_ context.Context, c *peer.Conn, _ json.RawMessage) (any, error) {
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

// Peers returns all listed peers, sorted by address.
func (s *Set) Peers() []*Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Collect(maps.Values(s.peers))
	slices.SortFunc(out, func(a, b *Peer) int { return strings.Compare(a.address, b.address) })
	return out
}

// Listed reports whether the VM list contains a VM of that name.
func (s *Set) Listed(vm string) bool {
	for _, p := range s.Peers() {
		if p.VMName() == vm {
			return true
		}
	}
	return false
}

// Upstream returns the connected peer that serves the named upstream. If several peers claim it,
// the one that started last is returned.
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
