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

	// sentAt is when the request last went to an upstream; zero before it did.
	sentAt time.Time
	// tried is set if the request was a suspect by then: it runs once at a time.
	tried bool
	// probation is set for the one try after a quarantine.
	probation bool
	// steady is set once the run blocks no other one.
	steady bool
	over   bool
}

// Route returns the name of the request's route.
func (r *Run) Route() string { return r.request.Route }

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
	return !ok || u.held.IsZero() || r.probation && r.sentAt.IsZero()
}

// Sent notes that the request goes to an upstream, of which it is not known how others call it.
// A run that had gone on well is tried anew.
func (r *Run) Sent() { r.SentTo("") }

// SentTo notes that the request goes to an upstream by the name that all entries have for it.
func (r *Run) SentTo(upstream string) {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.sentAt = r.set.now()
	u, ok := r.set.suspects[r.request.Fingerprint]
	r.tried = ok && r.set.restrained(u)
	delete(r.set.trials, r)
	if r.tried && upstream != "" {
		r.set.trials[r] = upstream
		defer r.set.urge()
	}
	if r.steady && !r.over {
		r.steady = false
		r.set.running[r.request.Fingerprint]++
	}
}

// Broke notes that the answer of a start broke off, by the name under which the request went
// there. Set.Ended or Set.Lives is to tell what became of the upstream.
func (r *Run) Broke(start string) {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.broke(start, r.set.startThatRan(start, r.sentAt))
}

// EndedWith notes that a start ended while it ran the request, as the process beside it tells.
func (r *Run) EndedWith(start string) {
	r.set.mu.Lock()
	r.broke(start, start)
	r.set.mu.Unlock()
	r.set.Ended(start)
}

// broke notes that the answer of a start broke off, which has another name than the one under which
// the request went there if it is a later start. It needs the lock.
func (r *Run) broke(name, ran string) {
	s := r.set
	if s.servedLately(r.request.Fingerprint) {
		return
	}
	u := s.suspectOf(r.request)
	if _, known := u.ends[ran]; known {
		return
	}
	b := breakOff{at: s.now(), name: name, kind: triedRun}
	if !r.tried || u.broke[ran].kind == firstRun {
		b.kind = firstRun
	}
	u.broke[ran] = b
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
	delete(r.set.trials, r)
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
