package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
)

// ErrUnknown is for a fingerprint of which nothing is known.
var ErrUnknown = errors.New("no upstream is known to have ended under a request of this fingerprint")

// ErrFingerprint is for a text that is no fingerprint.
var ErrFingerprint = errors.New("a fingerprint has 32 hexadecimal digits")

// View is what operators see of a request under which upstreams ended.
type View struct {
	Request
	// Ends are the starts of upstreams whose ends speak against it, and Latest is when the
	// latest came.
	Ends   []string
	Latest time.Time
	// Held is when it was first refused for them, and Until when it is tried again; zero
	// if it is not held.
	Held  time.Time
	Until time.Time
	// Refused is how often this entry refused it.
	Refused int
}

// List returns the requests under which upstreams ended, those with the most ends first. Ends
// that one which is held explains are left out.
func (s *Set) List() []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []*suspect
	for _, u := range s.suspects {
		if !u.held.IsZero() || len(s.explained.unexplained(u)) > 0 {
			known = append(known, u)
		}
	}
	slices.SortFunc(known, func(a, b *suspect) int { return matters(b, a) })
	out := make([]View, 0, len(known))
	for _, u := range known {
		v := View{
			Request: Request{Fingerprint: u.fingerprint, Route: u.route, Account: u.account},
			Ends:    slices.Sorted(slices.Values(u.live())), Latest: u.latestEnd(), Held: u.held, Refused: u.refused,
		}
		if !u.held.IsZero() {
			v.Until = u.heldUntil()
		}
		out = append(out, v)
	}
	return out
}

// Lift lets a request go to upstreams again, at all entries that hear of it.
func (s *Set) Lift(f Fingerprint, by string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.suspects[f]
	if !ok {
		return ErrUnknown
	}
	s.clear(u, "lifted by "+by)
	return nil
}

// ParseFingerprint reads a fingerprint from hexadecimal digits.
func ParseFingerprint(text string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(f) {
		return f, fmt.Errorf("%w: %.40q", ErrFingerprint, text)
	}
	copy(f[:], b)
	return f, nil
}

// viewBody is a View on its way to operators.
type viewBody struct {
	Fingerprint string     `json:"fingerprint"`
	Route       string     `json:"route"`
	Account     string     `json:"account,omitempty"`
	Ends        []string   `json:"upstreams_ended"`
	Latest      time.Time  `json:"latest_end"`
	Held        *time.Time `json:"held_since,omitempty"`
	Until       *time.Time `json:"held_until,omitempty"`
	Refused     int        `json:"refused"`
}

type listBody struct {
	Requests []viewBody `json:"requests"`
}

type faultBody struct {
	Error faultDetail `json:"error"`
}

type faultDetail struct {
	Message string `json:"message"`
}

// ServeList answers operators with what List returns.
func (s *Set) ServeList(w http.ResponseWriter, _ *http.Request) {
	out := listBody{Requests: []viewBody{}}
	for _, v := range s.List() {
		b := viewBody{Fingerprint: v.Fingerprint.String(), Route: v.Route, Account: v.Account, Ends: v.Ends, Latest: v.Latest, Refused: v.Refused}
		if !v.Held.IsZero() {
			b.Held, b.Until = &v.Held, &v.Until
		}
		out.Requests = append(out.Requests, b)
	}
	write(w, http.StatusOK, out)
}

// ServeLift lifts the quarantine of the request whose fingerprint the route's variable
// names, for an operator.
func (s *Set) ServeLift(w http.ResponseWriter, r *http.Request, operator string) {
	f, err := ParseFingerprint(mux.Vars(r)["fingerprint"])
	if err == nil {
		err = s.Lift(f, operator)
	}
	switch {
	case errors.Is(err, ErrFingerprint):
		write(w, http.StatusBadRequest, faultBody{faultDetail{err.Error()}})
	case err != nil:
		write(w, http.StatusNotFound, faultBody{faultDetail{err.Error()}})
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator who left asks again.
	_ = json.NewEncoder(w).Encode(v)
}
