// Package entry serves callers: it checks who they are, chooses an upstream,
// relays the answer, and says plainly what became of each request.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/inflight"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/rollout"
	"github.com/sparshore/sparshore/internal/routing"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// Settings are the fixed numbers of an entry.
type Settings struct {
	// Zone is the availability zone the entry runs in.
	Zone string
	// MaxBody bounds a caller's request in bytes.
	MaxBody int64
	// StartWithin is how long a generation may wait for its start.
	StartWithin time.Duration
	// GoneGrace is how long a stream whose caller went away is kept.
	GoneGrace time.Duration
	// ResumeWithin is how long a broken link to a sidecar may take to heal
	// before a stream is cut.
	ResumeWithin time.Duration
	// CallWithin bounds a call to a plain service.
	CallWithin time.Duration
	// Attempts bounds the upstreams tried for one request.
	Attempts int
	// RetryPart is the part of requests that may be retries.
	RetryPart float64
	// Operators maps the SHA-256 of an operator's token to the operator's name.
	Operators map[string]string
}

// Entry serves the caller's and the administration API.
type Entry struct {
	settings Settings
	identity membership.Identity
	set      *membership.Set
	client   *sidecar.Client
	store    *rollout.Store
	coord    *rollout.Coordinator
	rec      *events.Recorder
	reg      *prometheus.Registry
	met      *metrics
	now      func() time.Time

	// quarantine knows the requests that end upstreams.
	quarantine *quarantine.Set
	// returns orders callers that were refused while no upstream of their pool took work.
	returns placement.Returns

	draining atomic.Bool
	joined   atomic.Bool
	serial   atomic.Int64
	inFlight inflight.Counter

	mu      sync.Mutex
	budgets map[string]*routing.Budget
	sent    map[string]sentSince
	active  map[string]int
}

// sentSince counts the requests sent to an upstream since its last report.
type sentSince struct {
	report int64
	n      int
}

// New returns an Entry.
func New(settings Settings, identity membership.Identity, set *membership.Set, client *sidecar.Client, store *rollout.Store, coord *rollout.Coordinator, rec *events.Recorder, reg *prometheus.Registry, now func() time.Time) *Entry {
	e := &Entry{
		settings: settings,
		identity: identity,
		set:      set,
		client:   client,
		store:    store,
		coord:    coord,
		rec:      rec,
		reg:      reg,
		met:      newMetrics(reg, client),
		now:      now,
		budgets:  map[string]*routing.Budget{},
		sent:     map[string]sentSince{},
		active:   map[string]int{},
		// Ages of ends are steady: the time of day may jump.
		quarantine: quarantine.New(rec, time.Now, set.ProbeEntries),
	}
	e.quarantine.SetName(identity.Process())
	return e
}

// Handler serves both APIs.
func (e *Entry) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.SkipClean(true)
	r.HandleFunc("/livez", e.livez).Methods(http.MethodGet)
	r.HandleFunc("/readyz", e.readyz).Methods(http.MethodGet)
	r.Handle("/metrics", promhttp.HandlerFor(e.reg, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.caller(e.completions(chatShape))).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.caller(e.completions(textShape))).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", e.caller(e.listModels)).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", e.caller(e.getModel)).Methods(http.MethodGet)
	r.HandleFunc("/services/{pool}/_tickets", e.caller(e.mintTicket)).Methods(http.MethodPost)
	r.HandleFunc("/services/{pool}/_calls/{id}", e.caller(e.getCall)).Methods(http.MethodGet)
	r.PathPrefix("/services/{pool}/").HandlerFunc(e.caller(e.service))
	e.adminRoutes(r.PathPrefix("/admin/v1").Subrouter())
	r.NotFoundHandler = http.HandlerFunc(e.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(e.notAllowed)
	return r
}

func (e *Entry) livez(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// Joined lets the entry serve: it is on the VM list and has read the head since,
// so no change can be accepted without it.
func (e *Entry) Joined() { e.joined.Store(true) }

// inForce returns the configuration to serve by, nil before the entry joined.
func (e *Entry) inForce() *config.Active {
	if !e.joined.Load() {
		return nil
	}
	return e.store.Active()
}

// readyz tells the platform's balancer whether to send callers here.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.draining.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case e.inForce() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// Drain tells the balancer to send nothing new; what comes all the same is
// still served.
func (e *Entry) Drain() { e.draining.Store(true) }

// Idle waits until no request is in flight; it returns false if ctx ends first.
func (e *Entry) Idle(ctx context.Context) bool {
	return e.inFlight.Idle(ctx)
}

// callerRequest is a request whose account is known.
type callerRequest struct {
	*http.Request
	id      string
	account *config.Account
	active  *config.Active
}

type callerHandler func(w http.ResponseWriter, r callerRequest)

const headerRequest = "X-Request-Id"

// caller checks the client API key and the account's concurrency.
func (e *Entry) caller(h callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Enter()
		defer e.inFlight.Leave()
		id := e.identity.Incarnation() + "-" + strconv.FormatInt(e.serial.Add(1), 10)
		w.Header().Set(headerRequest, id)
		active := e.inForce()
		if active == nil {
			writeError(w, errNotReady, sidecar.NotRun, e.now().Add(time.Second), e.now())
			return
		}
		account, ok := active.Config().AccountOfKey(bearer(r))
		if !ok {
			writeError(w, errBadKey, sidecar.NotRun, time.Time{}, e.now())
			return
		}
		if !e.enter(account) {
			writeError(w, errConcurrency, sidecar.NotRun, e.now().Add(time.Second), e.now())
			return
		}
		defer e.exit(account)
		e.rec.Note(events.RequestReceived, id, "account", account.Name, "path", r.URL.Path)
		h(w, callerRequest{Request: r, id: id, account: account, active: active})
	}
}

func bearer(r *http.Request) string {
	const prefix = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) > len(prefix) && h[:len(prefix)] == prefix {
		return h[len(prefix):]
	}
	return ""
}

// enter takes one of the account's places at this entry. The account's limit
// is divided by the number of entries, so that it holds without a store.
func (e *Entry) enter(a *config.Account) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Concurrency > 0 && e.active[a.Name] >= e.shareOf(a.Concurrency) {
		return false
	}
	e.active[a.Name]++
	return true
}

func (e *Entry) shareOf(limit int) int {
	entries := 0
	for _, p := range e.set.Peers() {
		if p.Identity().Role() == membership.RoleEntry {
			entries++
		}
	}
	entries = max(1, entries)
	return (limit + entries - 1) / entries
}

func (e *Entry) exit(a *config.Account) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[a.Name]--
	if e.active[a.Name] == 0 {
		delete(e.active, a.Name)
	}
}

// route returns the usable peers of a pool in the order in which to try them, without those whose
// upstreams take nothing now: a request would be refused there and use up a retry.
func (e *Entry) route(pool *config.Pool) []*membership.Peer {
	peers := map[string]*membership.Peer{}
	var candidates []routing.Candidate
	for _, u := range pool.Upstreams {
		p, ok := e.set.Upstream(u.Name)
		if !ok || !p.Usable() || p.Load().OpensAt().After(e.now()) {
			continue
		}
		peers[u.Name] = p
		candidates = append(candidates, e.candidate(u, p))
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	out := make([]*membership.Peer, 0, len(candidates))
	for _, c := range routing.Order(candidates, routing.DefaultWeights(), rng) {
		out = append(out, peers[c.Name])
	}
	return out
}

// retryAt is when a caller should come back whose request no upstream of a pool takes: when the
// first of those does that say when, and a while later if none says.
func (e *Entry) retryAt(pool *config.Pool) time.Time {
	var first time.Time
	for _, u := range pool.Upstreams {
		p, ok := e.set.Upstream(u.Name)
		if !ok || !p.Usable() {
			continue
		}
		if at := p.Load().OpensAt(); at.After(e.now()) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if first.IsZero() {
		return e.now().Add(overloadRetry)
	}
	return e.returns.At(pool.Name, first)
}

func (e *Entry) candidate(u config.Upstream, p *membership.Peer) routing.Candidate {
	l := p.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sent[u.Name]
	if s.report != l.AtMS {
		s = sentSince{report: l.AtMS}
		e.sent[u.Name] = s
	}
	return routing.Candidate{
		Name:      u.Name,
		SameZone:  u.Zone == e.settings.Zone,
		Wait:      time.Duration(l.WaitMS) * time.Millisecond,
		UsedPart:  l.UsedPart(),
		Age:       max(0, e.now().Sub(l.At())),
		SentSince: s.n,
	}
}

func (e *Entry) noteSent(upstream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sent[upstream]
	s.n++
	e.sent[upstream] = s
}

const retrySavings = 10

func (e *Entry) budget(pool string) *routing.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.budgets[pool]
	if !ok {
		b = routing.NewBudget(e.settings.RetryPart, retrySavings)
		e.budgets[pool] = b
	}
	return b
}

// readBody reads at most the allowed size of a caller's body.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apiError) {
	body := http.MaxBytesReader(w, r.Body, e.settings.MaxBody)
	b, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return b, nil
	case errors.As(err, &tooLarge):
		return nil, errTooLarge
	default:
		return nil, errBadBody.with(err.Error())
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
