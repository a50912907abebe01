package quarantine

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// Run is a request while an entry serves it. All its methods may be called at any time,
// by several goroutines.
type Run struct {
	set     *Set
	request Request

	// The rest needs the lock of the set.

	// sent is set once the request went to an upstream.
	sent bool
	// probation is set for the one try after a quarantine.
	probation bool
	// steady is set once the run blocks no other one.
	steady bool
	over   bool
}

// Suspected reports whether an upstream ended under the request.
func (r *Run) Suspected() bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	u, ok := r.set.suspects[r.request.Fingerprint]
	return ok && r.set.restrained(u)
}

// MayRepeat reports whether the request may be sent to one more upstream after it may have
// run: one under which an upstream ended gets one more try, alone. Those that a kill of
// their upstream broke off are served by that; one that ends upstreams would end as many
// as its route allows attempts, each time it comes.
func (r *Run) MayRepeat() bool {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.suspects[r.request.Fingerprint]
	if !ok || !s.restrained(u) {
		return true
	}
	return u.held.IsZero() && s.level(u) <= repeatEnds && s.running[r.request.Fingerprint] <= 1 && !s.busyElsewhere(r.request.Fingerprint)
}

// MaySend reports whether the request is not held by now: it may have waited since it came.
func (r *Run) MaySend() bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	u, ok := r.set.suspects[r.request.Fingerprint]
	return !ok || u.held.IsZero() || r.probation && !r.sent
}

// Sent notes that the request goes to an upstream. A run that had gone on well is tried anew.
func (r *Run) Sent() {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.sent = true
	if r.steady && !r.over {
		r.steady = false
		r.set.running[r.request.Fingerprint]++
	}
}

// Broke notes that the answer of a start broke off. Set.Ended or Set.Lives is to tell what
// became of the upstream.
func (r *Run) Broke(start string) {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servedLately(r.request.Fingerprint) {
		return
	}
	u := s.suspectOf(r.request)
	if _, known := u.ends[start]; !known {
		u.broke[start] = breakOff{at: s.now()}
	}
}

// Served notes that an upstream answered the request to the end: it does not end those that
// run it.
func (r *Run) Served() {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.served) < mostServed {
		s.served[r.request.Fingerprint] = s.now()
	}
	u, ok := s.suspects[r.request.Fingerprint]
	if !ok {
		return
	}
	s.clear(u, "it was served")
}

// clear voids what speaks against a request. It needs the lock.
func (s *Set) clear(u *suspect, why string) {
	held := !u.held.IsZero()
	ends := u.clear(s.now())
	u.held = time.Time{}
	if ends > 0 {
		s.rec.Note(events.RequestCleared, "", "fingerprint", u.fingerprint, "route", u.route, "account", u.account, "why", why, "ends", ends, "held", held)
		s.urge()
	}
	s.judge()
}

// Steady notes that the request runs on well after its begin: others with its fingerprint
// need not wait for its end.
func (r *Run) Steady() {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.settle()
}

// settle ends the trial. It needs the lock.
func (r *Run) settle() {
	if r.steady {
		return
	}
	r.steady = true
	f := r.request.Fingerprint
	if r.set.running[f]--; r.set.running[f] <= 0 {
		delete(r.set.running, f)
	}
	if _, ok := r.set.suspects[f]; ok {
		r.set.wake()
	}
}

// Leave ends the run.
func (r *Run) Leave() {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.over {
		return
	}
	r.over = true
	r.settle()
	if u, ok := s.suspects[r.request.Fingerprint]; ok && s.restrained(u) {
		// Those elsewhere that wait for it may go.
		s.urge()
	}
}
