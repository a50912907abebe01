package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/jsonbound"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/rollout"
	"github.com/sparshore/sparshore/internal/timeline"
)

func (e *Entry) adminRoutes(r *mux.Router) {
	r.HandleFunc("/status", e.requireOperator(e.adminStatus)).Methods(http.MethodGet)
	r.HandleFunc("/config", e.requireOperator(e.adminConfig)).Methods(http.MethodGet)
	r.HandleFunc("/config", e.requireOperator(e.adminApply)).Methods(http.MethodPost)
	r.HandleFunc("/changes/{id}", e.requireOperator(e.adminChange)).Methods(http.MethodGet)
	r.HandleFunc("/drain/{upstream}", e.requireOperator(e.adminDrain)).Methods(http.MethodPost)
	r.HandleFunc("/quarantine", e.requireOperator(e.adminQuarantine)).Methods(http.MethodGet)
	r.HandleFunc("/quarantine/{fingerprint}", e.requireOperator(e.quarantine.ServeLift)).Methods(http.MethodDelete)
	r.HandleFunc("/timeline", e.requireOperator(e.adminTimeline)).Methods(http.MethodGet)
}

// operatorHandler serves a request of the operator with the given name.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string)

// requireOperator returns a handler that calls h only for requests with a valid operator token. It compares
// the token's hash with all known hashes, each in constant time, so that the duration does not depend on
// the token.
func (e *Entry) requireOperator(h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.Sum256([]byte(bearer(r)))
		got := hex.EncodeToString(sum[:])
		name := ""
		for hash, operator := range e.settings.Operators {
			if subtle.ConstantTimeCompare([]byte(hash), []byte(got)) == 1 {
				name = operator
			}
		}
		if name == "" {
			writeJSON(w, errOperator.status, errOperator.body(""))
			return
		}
		h(w, r, name)
	}
}

// peerStatus is the state of one process in the answer to a status request.
type peerStatus struct {
	VM          string          `json:"vm"`
	Zone        string          `json:"zone"`
	Address     string          `json:"address"`
	Role        membership.Role `json:"role,omitempty"`
	Upstream    string          `json:"upstream,omitempty"`
	Incarnation string          `json:"incarnation,omitempty"`
	State       string          `json:"state"`
	Version     config.Version  `json:"version"`
	Running     int             `json:"running"`
	Waiting     int             `json:"waiting"`
	Paused      int             `json:"paused"`
	UsedPart    float64         `json:"used_part"`
}

type statusBody struct {
	Process  string         `json:"process"`
	Zone     string         `json:"zone"`
	Version  config.Version `json:"version"`
	Accepted bool           `json:"accepted"`
	Peers    []peerStatus   `json:"peers"`
}

func (e *Entry) adminStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	active := e.store.Active()
	out := statusBody{
		Process: e.identity.Process(), Zone: e.settings.Zone,
		Version: active.Version(), Accepted: active.Accepted(), Peers: []peerStatus{},
	}
	for _, p := range e.set.Peers() {
		i, l := p.Identity(), p.Load()
		out.Peers = append(out.Peers, peerStatus{
			VM: p.VMName(), Zone: p.VMZone(), Address: p.Address(), Role: i.Role(), Upstream: i.Upstream(),
			Incarnation: i.Incarnation(), State: peerState(p), Version: p.Mark().Version(),
			Running: l.Running, Waiting: l.Waiting, Paused: l.Paused, UsedPart: l.UsedPart(),
		})
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Entry) adminQuarantine(w http.ResponseWriter, r *http.Request, _ string) {
	e.quarantine.ServeList(w, r)
}

// peerState returns the state of a peer as seen by this process.
func peerState(p *membership.Peer) string {
	switch {
	case p.Leaving():
		return "leaving"
	case p.Conn() == nil:
		return "unreachable"
	case !p.Usable():
		return "suspected"
	default:
		return "up"
	}
}

type configBody struct {
	Version config.Version `json:"version"`
	Hash    string         `json:"hash"`
	Source  string         `json:"source"`
}

func (e *Entry) adminConfig(w http.ResponseWriter, r *http.Request, _ string) {
	active := e.store.Active()
	if active == nil {
		writeJSON(w, http.StatusOK, configBody{})
		return
	}
	writeJSON(w, http.StatusOK, configBody{Version: active.Version(), Hash: active.Config().Hash(), Source: string(e.coord.Source(r.Context(), active.Config()))})
}

type applyBody struct {
	Change string         `json:"change"`
	Base   config.Version `json:"base"`
	Source string         `json:"source"`
}

type outcomeBody struct {
	State   rollout.State  `json:"state"`
	Version config.Version `json:"version"`
	Reasons []string       `json:"reasons,omitempty"`
}

func outcomeOf(o rollout.Outcome) outcomeBody {
	return outcomeBody{State: o.State(), Version: o.Version(), Reasons: o.Reasons()}
}

func (e *Entry) adminApply(w http.ResponseWriter, r *http.Request, operator string) {
	raw, apiErr := e.readBody(w, r)
	if apiErr != nil {
		writeJSON(w, apiErr.status, apiErr.body(""))
		return
	}
	var b applyBody
	if err := jsonbound.Unmarshal(raw, len(raw), &b); err != nil || b.Change == "" {
		writeJSON(w, http.StatusBadRequest, errBadBody.withMessage("change, base and source are needed").body(""))
		return
	}
	// The rollout of a submitted change continues when the operator disconnects.
	ctx := context.WithoutCancel(r.Context())
	out := e.coord.Submit(ctx, rollout.Change{ID: b.Change, By: operator, Base: b.Base, Source: []byte(b.Source)})
	status := http.StatusOK
	switch out.State() {
	case rollout.Refused:
		status = http.StatusConflict
	case rollout.Committed, rollout.InDoubt:
		status = http.StatusAccepted
	}
	writeJSON(w, status, outcomeOf(out))
}

func (e *Entry) adminChange(w http.ResponseWriter, r *http.Request, _ string) {
	out, err := e.coord.Status(r.Context(), mux.Vars(r)["id"])
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errNoUpstream.withMessage(err.Error()).body(""))
		return
	}
	writeJSON(w, http.StatusOK, outcomeOf(out))
}

func (e *Entry) adminDrain(w http.ResponseWriter, r *http.Request, operator string) {
	name := mux.Vars(r)["upstream"]
	p, ok := e.set.Upstream(name)
	if !ok {
		writeJSON(w, http.StatusNotFound, errNoUpstream.withMessage(fmt.Sprintf("upstream %q cannot be reached", name)).body(""))
		return
	}
	if err := e.client.Drain(r.Context(), p, operator); err != nil {
		writeJSON(w, http.StatusBadGateway, errNoUpstream.withMessage(err.Error()).body(""))
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

type timelineBody struct {
	Events      []events.Event `json:"events"`
	Unreachable []string       `json:"unreachable"`
}

// timelineTimeout bounds the collection of events from all processes.
const timelineTimeout = 3 * time.Second

func (e *Entry) adminTimeline(w http.ResponseWriter, r *http.Request, _ string) {
	ctx, cancel := context.WithTimeout(r.Context(), timelineTimeout)
	defer cancel()
	all, unreachable := timeline.Gather(ctx, e.set, r.URL.Query().Get("request"))
	slices.Sort(unreachable)
	writeJSON(w, http.StatusOK, timelineBody{Events: all, Unreachable: unreachable})
}
