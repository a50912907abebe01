package quarantine

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

const (
	// verdictEnds is the number of upstreams that a request may end before it is held.
	// All that ran there are suspects after one end; three ends, apart from other suspects
	// and with no good answer between them, do not happen to a sound request.
	verdictEnds = 3
	// repeatEnds is the number of ends after which this system does not send a request
	// again by itself.
	repeatEnds = 1
	// mostEnds bounds the ends that are remembered of one request: more than one ends at
	// hundreds of entries whose news is old. What is not remembered explains no other's ends.
	mostEnds = 64
	// mostSuspects bounds the requests that are remembered: some twenty full engines.
	mostSuspects = 1024
	// holdLeast is the first time for which a request is held. It costs one upstream to
	// find out whether it still ends them; each end doubles the time, up to holdMost.
	holdLeast = 10 * time.Minute
	holdMost  = 8 * time.Hour
	// settleWithin is the time in which it shows whether an upstream ended whose answer
	// broke off: by its address, or by the row of its next start.
	settleWithin = 3 * time.Second
	// rememberFor is how long a request under which one or two upstreams ended is
	// remembered, and one that was held after that.
	rememberFor = 10 * time.Minute
	// voidFor is how long it is remembered which ends no longer count: late messages may
	// tell of them again.
	voidFor = time.Minute
	// servedFor is how long a request that was served here is no suspect, whatever ended
	// meanwhile: those that end upstreams are never served. It is longer than news takes.
	// Sound requests that many callers send alike run at many ends: of 52,000 beside one that
	// ends upstreams 6 to 8 were not served, 15 to 18 without it (300 entries, news 0.7 s
	// old, three plays of the rig of the tests).
	servedFor = 2 * time.Second
	// mostServed bounds the requests that are remembered as served.
	mostServed = 4096
	// busyFor is how long another entry's word that it runs a suspect is gone by without
	// a newer one.
	busyFor = 2 * time.Second
	// newsWithin is the time in which others that ran at an end are heard of from other entries,
	// or served. A request that is not held is not tried again so long after the latest of three.
	newsWithin = time.Second
	// awayFor is how long an upstream that ended is usually away.
	awayFor = 2 * time.Second
)

// The reasons for which a request is not run.
var (
	// ErrHeld is for a request that is kept from upstreams.
	ErrHeld = errors.New("upstreams ended while they ran this request")
	// ErrOnTrial is for one that may be, while it runs somewhere, or until it shows whether
	// upstreams ended.
	ErrOnTrial = errors.New("an upstream ended under this request, and it is being tried at another one")
)

// Set is what an entry knows of requests under which upstreams ended.
type Set struct {
	rec *events.Recorder
	now func() time.Time
	// urge tells the other entries at once.
	urge func()

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// explained are the starts whose end a held request explains.
	explained explained
	// served tells when requests were served here lately.
	served map[Fingerprint]time.Time
	// running counts the runs of each request here whose trial is not over.
	running map[Fingerprint]int
	// trials are the upstreams that run suspects for this entry.
	trials map[*Run]string
	// verdicts counts the requests held for what this entry saw.
	verdicts int
	// busy are the suspects that other entries run, by entry.
	busy map[string]peerRuns
	// name is that of this entry, and heardAt tells when others were heard of.
	name    string
	heardAt map[string]time.Time
	// changed is closed and replaced when a request that waits may have to look again.
	changed chan struct{}
}

// peerRuns are the suspects that another entry runs, as of a time.
type peerRuns struct {
	at   time.Time
	runs map[Fingerprint]bool
	// upstreams are those that run them.
	upstreams []string
}

// New returns an empty Set.
func New(rec *events.Recorder, now func() time.Time, urge func()) *Set {
	return &Set{
		rec: rec, now: now, urge: urge, suspects: map[Fingerprint]*suspect{}, running: map[Fingerprint]int{}, served: map[Fingerprint]time.Time{}, trials: map[*Run]string{}, heardAt: map[string]time.Time{},
		busy: map[string]peerRuns{}, changed: make(chan struct{}),
	}
}

// Request names a request for operators.
type Request struct {
	Fingerprint Fingerprint
	Route       string
	Account     string
}

// Enter begins to serve a request. A suspect runs once at a time: it waits for its turn, for
// the given time at most, and then gets ErrOnTrial. One that is held gets ErrHeld at once.
// Without turns one sent 30 times a second at 300 entries ended 13 or 14 upstreams, 10 with
// them (news 0.1 s old, three plays of the rig of the tests).
func (s *Set) Enter(ctx context.Context, r Request, wait time.Duration) (*Run, error) {
	var expired <-chan time.Time
	for {
		run, changed, err := s.enter(r)
		if err == nil || errors.Is(err, ErrHeld) {
			return run, err
		}
		if expired == nil {
			t := time.NewTimer(wait)
			defer t.Stop()
			expired = t.C
		}
		select {
		case <-changed:
		case <-expired:
			return nil, err
		case <-ctx.Done():
			return nil, err
		}
	}
}

func (s *Set) enter(r Request) (*Run, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &Run{set: s, request: r}
	if u, ok := s.suspects[r.Fingerprint]; ok && s.restrained(u) {
		if !u.held.IsZero() && s.now().Before(u.heldUntil()) {
			u.refused++
			return nil, nil, ErrHeld
		}
		if s.level(u) >= verdictEnds && !s.myTurn(u) || s.running[r.Fingerprint] > 0 || s.busyElsewhere(r.Fingerprint) || s.unclear(u) {
			return nil, s.changed, ErrOnTrial
		}
		run.probation, run.tried = !u.held.IsZero(), true
		defer s.urge()
	}
	s.running[r.Fingerprint]++
	return run, nil, nil
}

// level is the number of ends that speak against a request, those counted that may turn
// out to be ends. It needs the lock.
func (s *Set) level(u *suspect) int {
	if s.explains(u) {
		return u.unsettled()
	}
	return len(u.live()) + u.unsettled()
}

// explains reports whether one request that is held explains all that speaks against another one,
// as for a sound one that many callers send. One whose ends several explain together is a
// suspect still: beside them it may end upstreams as well. It needs the lock.
func (s *Set) explains(u *suspect) bool {
	live := u.live()
	if len(s.explained.unexplained(u)) > 0 {
		return false
	}
	for _, h := range s.suspects {
		if h != u && !h.held.IsZero() && !slices.ContainsFunc(live, func(start string) bool { return !h.ranAt(start) }) {
			return true
		}
	}
	return false
}

// restrained reports whether a request runs once at a time, or not at all. It needs the lock.
func (s *Set) restrained(u *suspect) bool { return !u.held.IsZero() || s.level(u) > 0 }

// unclear reports whether it is about to show that a request is to be held: as many upstreams
// may have ended under it. Some take seconds until they are back; without the wait a request
// that comes seven times a second ended 6 to 8 sidecars, 3 with it. It needs the lock.
func (s *Set) unclear(u *suspect) bool {
	return u.held.IsZero() && s.level(u) >= verdictEnds && (u.unsettled() > 0 || s.now().Before(u.latestEnd().Add(newsWithin)))
}

// busyElsewhere reports whether another entry runs a suspect. It needs the lock.
func (s *Set) busyElsewhere(f Fingerprint) bool {
	now := s.now()
	for _, p := range s.busy {
		if p.runs[f] && now.Sub(p.at) < busyFor {
			return true
		}
	}
	return false
}

// wake lets those that wait look again. It needs the lock.
func (s *Set) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// suspectOf returns what is known of a request, which is made known. It needs the lock.
func (s *Set) suspectOf(r Request) *suspect {
	u, ok := s.suspects[r.Fingerprint]
	if !ok {
		s.makeRoom()
		u = newSuspect(r.Fingerprint)
		s.suspects[r.Fingerprint] = u
	}
	if u.route == "" {
		u.route, u.account = r.Route, r.Account
	}
	return u
}

// makeRoom forgets the suspect that matters least if there are too many: a flood of
// requests that each end one upstream does not push out those that are held.
func (s *Set) makeRoom() {
	if len(s.suspects) < mostSuspects {
		return
	}
	var least *suspect
	for _, u := range s.suspects {
		if least == nil || matters(u, least) < 0 {
			least = u
		}
	}
	delete(s.suspects, least.fingerprint)
	s.rec.Note(events.RequestForgotten, "", "fingerprint", least.fingerprint, "ends", len(least.live()), "suspects", mostSuspects)
}

// matters orders suspects by ends, then by the latest one.
func matters(a, b *suspect) int {
	return cmp.Or(cmp.Compare(len(a.live()), len(b.live())), a.latestEnd().Compare(b.latestEnd()))
}

// Ended notes that a start of an upstream ended by itself, with all that it ran.
func (s *Set) Ended(start string) {
	s.mu.Lock()
	changed := false
	for _, u := range s.suspects {
		for ran, b := range u.broke {
			if b.name != start {
				continue
			}
			delete(u.broke, ran)
			if u.add(ran, b.at, true) {
				changed = true
				u.ran(ran, b.kind)
				s.exculpate(u, ran)
				s.rec.Note(events.RequestSuspected, "", "fingerprint", u.fingerprint, "route", u.route, "account", u.account, "upstream", ran, "ends", len(u.live()), "on-trial", b.kind == triedRun)
			}
		}
	}
	s.judge()
	s.mu.Unlock()
	if changed {
		s.urge()
	}
}

// servedLately reports whether a request was served here lately. It needs the lock.
func (s *Set) servedLately(f Fingerprint) bool { return s.now().Sub(s.served[f]) < servedFor }

// exculpate voids an end under a request that was served here lately. It needs the lock.
func (s *Set) exculpate(u *suspect, start string) {
	if s.servedLately(u.fingerprint) {
		u.voidEnd(start, s.now())
	}
}

// Lives notes that a start of an upstream whose answers broke off did not end, as far as its
// address tells.
func (s *Set) Lives(start string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.suspects {
		for ran, b := range u.broke {
			if b.name == start {
				b.alive = true
				u.broke[ran] = b
			}
		}
	}
	s.wake()
}

// judge holds those that are to blame for all that is known by now, and lets go of others:
// while news is under way a sound request may look guilty. It needs the lock.
func (s *Set) judge() {
	peers := s.hearsPeers()
	for _, u := range s.suspects {
		u.noteTold(s.now(), peers)
	}
	held, e := judge(s.suspects)
	s.explained = e
	for _, u := range s.suspects {
		switch was := !u.held.IsZero(); {
		case held[u] && !was:
			u.held = s.now()
			if u.seenHere() {
				s.verdicts++
			}
			s.rec.Note(events.RequestHeld, "", "fingerprint", u.fingerprint, "route", u.route, "account", u.account, "ends", len(u.live()), "upstreams", slices.Sorted(slices.Values(u.live())), "for", u.heldUntil().Sub(s.now()))
		case !held[u] && was:
			u.held = time.Time{}
			s.rec.Note(events.RequestCleared, "", "fingerprint", u.fingerprint, "route", u.route, "account", u.account, "why", "others are to blame, or it was served", "ends", len(u.live()), "held", true)
		}
	}
	s.wake()
}

// hearsPeers reports whether another entry was heard of lately. It needs the lock.
func (s *Set) hearsPeers() bool {
	for _, at := range s.heardAt {
		if s.now().Sub(at) < peerFor {
			return true
		}
	}
	return false
}

// Sweep settles what can be settled by now and forgets what is old. replaced tells whether
// a later start took the place of one.
func (s *Set) Sweep(replaced func(start string) bool) {
	s.mu.Lock()
	now := s.now()
	maps.DeleteFunc(s.heardAt, func(_ string, at time.Time) bool { return now.Sub(at) >= peerFor })
	maps.DeleteFunc(s.served, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= servedFor })
	over := map[string]bool{}
	for f, u := range s.suspects {
		for ran, b := range u.broke {
			switch {
			case replaced(b.name):
				over[b.name] = true
			case now.Sub(b.at) > settleWithin:
				delete(u.broke, ran)
			}
		}
		if u.old(now) {
			delete(s.suspects, f)
		}
	}
	s.judge()
	s.mu.Unlock()
	for start := range over {
		s.Ended(start)
	}
}
