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

// ErrUnknown is returned for a fingerprint without a known suspect.
var ErrUnknown = errors.New("no upstream is known to have ended under a request of this fingerprint")

// ErrFingerprint is returned for text that is not a valid fingerprint.
var ErrFingerprint = errors.New("a fingerprint has 32 hexadecimal digits")

// View is what operators see of a suspect.
type View struct {
	Request
	// Crashes lists the incarnations whose crashes count against the request, and Latest is the time of the
	// latest of these crashes.
	Crashes []string
	Latest  time.Time
	// QuarantinedAt is the time at which the request was quarantined, and QuarantinedUntil the time at
	// which it may be tried again. Both are zero if it is not quarantined.
	QuarantinedAt    time.Time
	QuarantinedUntil time.Time
	// Refused is how often this entry refused the request because of the quarantine.
	Refused int
}

// List returns the suspects, those with the most crashes first. It leaves out requests whose
// crashes are all explained by quarantined requests, unless they are quarantined themselves.
func (s *Set) List() []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []*suspect
	for _, u := range s.suspects {
		if !u.quarantinedAt.IsZero() || len(s.explained.unexplained(u)) > 0 {
			listed = append(listed, u)
		}
	}
	slices.SortFunc(listed, func(a, b *suspect) int { return compareEvidence(b, a) })
	out := make([]View, 0, len(listed))
	for _, u := range listed {
		v := View{
			Request: Request{Fingerprint: u.fingerprint, Route: u.route, Account: u.account, Part: u.part},
			Crashes: slices.Sorted(slices.Values(u.activeCrashes())), Latest: u.latestCrash(),
			QuarantinedAt: u.quarantinedAt, Refused: u.refused,
		}
		if !u.quarantinedAt.IsZero() {
			v.QuarantinedUntil = u.quarantinedUntil()
		}
		out = append(out, v)
	}
	return out
}

// Lift ends the quarantine of a request at this entry and, by gossip, at all other entries.
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

// ParseFingerprint parses a fingerprint from hexadecimal digits.
func ParseFingerprint(text string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(f) {
		return f, fmt.Errorf("%w: %.40q", ErrFingerprint, text)
	}
	copy(f[:], b)
	return f, nil
}

// viewBody is the JSON form of a View.
type viewBody struct {
	Fingerprint string     `json:"fingerprint"`
	Route       string     `json:"route"`
	Account     string     `json:"account,omitempty"`
	Part        string     `json:"prompt_part,omitempty"`
	Ends        []string   `json:"upstreams_ended"`
	Latest      time.Time  `json:"latest_end"`
	Held        *time.Time `json:"held_since,omitempty"`
	Until       *time.Time `json:"held_until,omitempty"`
	Refused     int        `json:"refused"`
}

type listBody struct {
	Requests []viewBody `json:"requests"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}

// ServeList answers an operator's request with the result of List.
func (s *Set) ServeList(w http.ResponseWriter, _ *http.Request) {
	out := listBody{Requests: []viewBody{}}
	for _, v := range s.List() {
		b := viewBody{
			Fingerprint: v.Fingerprint.String(), Route: v.Route, Account: v.Account, Part: v.Part,
			Ends: v.Crashes, Latest: v.Latest, Refused: v.Refused,
		}
		if !v.QuarantinedAt.IsZero() {
			b.Held, b.Until = &v.QuarantinedAt, &v.QuarantinedUntil
		}
		out.Requests = append(out.Requests, b)
	}
	writeJSON(w, http.StatusOK, out)
}

// ServeLift lifts, for an operator, the quarantine of the request whose fingerprint is in the path.
func (s *Set) ServeLift(w http.ResponseWriter, r *http.Request, operator string) {
	f, err := ParseFingerprint(mux.Vars(r)["fingerprint"])
	if err == nil {
		err = s.Lift(f, operator)
	}
	switch {
	case errors.Is(err, ErrFingerprint):
		writeJSON(w, http.StatusBadRequest, errorBody{errorDetail{err.Error()}})
	case err != nil:
		writeJSON(w, http.StatusNotFound, errorBody{errorDetail{err.Error()}})
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the operator's connection is closed; the operator can ask again.
	_ = json.NewEncoder(w).Encode(v)
}
