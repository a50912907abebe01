// Package entry implements the HTTP API that an entry process serves to callers and operators. It
// authenticates callers, limits the concurrency of their accounts, chooses an upstream for each request and
// relays the answer of its sidecar. Every error of a completion or call tells the caller whether the request
// did not run or may have run.
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

// Settings holds the settings of an entry.
type Settings struct {
	// Zone is the availability zone the entry runs in.
	Zone string
	// MaxBody is the largest size in bytes of a request body.
	MaxBody int64
	// StartWithin is how long a generation may wait in queues before it starts.
	StartWithin time.Duration
	// DisconnectGrace is how long a generation continues after its caller has disconnected.
	DisconnectGrace time.Duration
	// ResumeWithin is how long the entry tries to reach a sidecar again after a lost connection before it
	// ends the stream with an error.
	ResumeWithin time.Duration
	// CallWithin is the deadline of a call to a plain service, from its arrival.
	CallWithin time.Duration
	// Attempts is the largest number of upstreams tried for one request.
	Attempts int
	// RetryRatio is the ratio of retries to requests that the retry budget permits.
	RetryRatio float64
	// Operators maps the SHA-256 of an operator's token to the operator's name.
	Operators map[string]string
}

// Entry serves the API for callers and the administration API.
type Entry struct {
	settings Settings
	identity membership.Identity
	set      *membership.Set
	client   *sidecar.Client
	store    *rollout.Store
	coord    *rollout.Coordinator
	rec      *events.Recorder
	reg      *prometheus.Registry
	metrics  *metrics
	now      func() time.Time

	// quarantine holds the suspects and the poison requests.
	quarantine *quarantine.Set
	// retrySchedule spreads the retries of callers that were refused while no upstream of their pool took
	// requests.
	retrySchedule placement.RetrySchedule

	draining      atomic.Bool
	joined        atomic.Bool
	requestSerial atomic.Int64
	inFlight      inflight.Counter

	mu             sync.Mutex
	retryBudgets   map[string]*routing.Budget
	sentCounts     map[string]sentSince
	activeRequests map[string]int
}

// sentSince counts the requests sent to an upstream since its latest load report.
type sentSince struct {
	report int64
	n      int
}

// New returns an Entry.
func New(settings Settings, identity membership.Identity, set *membership.Set, client *sidecar.Client, store *rollout.Store, coord *rollout.Coordinator, rec *events.Recorder, reg *prometheus.Registry, now func() time.Time) *Entry {
	e := &Entry{
		settings:       settings,
		identity:       identity,
		set:            set,
		client:         client,
		store:          store,
		coord:          coord,
		rec:            rec,
		reg:            reg,
		metrics:        newMetrics(reg, client),
		now:            now,
		retryBudgets:   map[string]*routing.Budget{},
		sentCounts:     map[string]sentSince{},
		activeRequests: map[string]int{},
		// time.Now has a monotonic reading, so the ages of crashes stay right when the wall clock jumps.
		quarantine: quarantine.New(rec, time.Now, set.ProbeEntries),
	}
	e.quarantine.SetName(identity.Process())
	return e
}

// Handler returns the handler for both APIs, the health checks and the metrics.
func (e *Entry) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.SkipClean(true)
	r.HandleFunc("/livez", e.livez).Methods(http.MethodGet)
	r.HandleFunc("/readyz", e.readyz).Methods(http.MethodGet)
	r.Handle("/metrics", promhttp.HandlerFor(e.reg, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.requireCaller(e.completions(chatAPI))).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.requireCaller(e.completions(textAPI))).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", e.requireCaller(e.listModels)).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", e.requireCaller(e.getModel)).Methods(http.MethodGet)
	r.HandleFunc("/services/{pool}/_tickets", e.requireCaller(e.createTicket)).Methods(http.MethodPost)
	r.HandleFunc("/services/{pool}/_calls/{id}", e.requireCaller(e.getCall)).Methods(http.MethodGet)
	r.PathPrefix("/services/{pool}/").HandlerFunc(e.requireCaller(e.service))
	e.adminRoutes(r.PathPrefix("/admin/v1").Subrouter())
	r.NotFoundHandler = http.HandlerFunc(e.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(e.notAllowed)
	return r
}

func (e *Entry) livez(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// MarkJoined makes the entry serve requests. The caller calls it once the entry is on the VM list and has read
// the head of the configuration after that: from then on no change is accepted without this entry.
func (e *Entry) MarkJoined() { e.joined.Store(true) }

// activeConfig returns the active configuration, nil before MarkJoined.
func (e *Entry) activeConfig() *config.Active {
	if !e.joined.Load() {
		return nil
	}
	return e.store.Active()
}

// readyz tells the platform's load balancer whether the entry takes requests.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.draining.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case e.activeConfig() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// Drain makes the readiness check fail, so that the load balancer sends no new requests. Requests that still
// arrive are served.
func (e *Entry) Drain() { e.draining.Store(true) }

// WaitIdle waits until no request is in flight. It returns false if ctx ends first.
func (e *Entry) WaitIdle(ctx context.Context) bool {
	return e.inFlight.WaitIdle(ctx)
}

// callerRequest is an authenticated request with its ID, its account and the configuration to serve it by.
type callerRequest struct {
	*http.Request
	id      string
	account *config.Account
	active  *config.Active
}

type callerHandler func(w http.ResponseWriter, r callerRequest)

const headerRequest = "X-Request-Id"

// requireCaller returns a handler that calls h only for requests with a valid API key whose account is
// within its concurrency limit.
func (e *Entry) requireCaller(h callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Enter()
		defer e.inFlight.Leave()
		id := e.identity.Incarnation() + "-" + strconv.FormatInt(e.requestSerial.Add(1), 10)
		w.Header().Set(headerRequest, id)
		active := e.activeConfig()
		if active == nil {
			writeError(w, errNotReady, sidecar.NotRun, e.now().Add(time.Second), e.now())
			return
		}
		cr := callerRequest{Request: r, id: id}
		if apiErr := cr.authenticate(active); apiErr != nil {
			writeError(w, apiErr, sidecar.NotRun, time.Time{}, e.now())
			return
		}
		account := cr.account
		if !e.acquireSlot(account) {
			writeError(w, errConcurrency, sidecar.NotRun, e.now().Add(time.Second), e.now())
			return
		}
		defer e.releaseSlot(account)
		e.rec.Note(events.RequestReceived, id, "account", account.Name, "path", r.URL.Path)
		h(w, cr)
	}
}

// authenticate determines the account by the request's key, and makes a configuration the one to serve it by.
func (r *callerRequest) authenticate(active *config.Active) *apiError {
	account, ok := active.Config().AccountOfKey(bearer(r.Request))
	if !ok {
		return errBadKey
	}
	r.account, r.active = account, active
	return nil
}

// bearer returns the bearer token of a request, empty if there is none.
func bearer(r *http.Request) string {
	const prefix = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) > len(prefix) && h[:len(prefix)] == prefix {
		return h[len(prefix):]
	}
	return ""
}

// acquireSlot counts a request of the account, or returns false if the account is at its limit at this entry.
// The account's concurrency limit is divided by the number of entries, so that entries enforce it without
// a shared store.
func (e *Entry) acquireSlot(a *config.Account) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Concurrency > 0 && e.activeRequests[a.Name] >= e.localShare(a.Concurrency) {
		return false
	}
	e.activeRequests[a.Name]++
	return true
}

// localShare returns this entry's share of a concurrency limit, rounded up.
func (e *Entry) localShare(limit int) int {
	entries := 0
	for _, p := range e.set.Peers() {
		if p.Identity().Role() == membership.RoleEntry {
			entries++
		}
	}
	entries = max(1, entries)
	return (limit + entries - 1) / entries
}

// releaseSlot ends the count of a request that acquireSlot counted.
func (e *Entry) releaseSlot(a *config.Account) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests[a.Name]--
	if e.activeRequests[a.Name] == 0 {
		delete(e.activeRequests, a.Name)
	}
}

// route returns the usable peers of a pool in the order in which to try them. It leaves out peers whose
// upstreams take no requests at present, since a refusal there would use up a retry.
func (e *Entry) route(pool *config.Pool) []*membership.Peer {
	peers := map[string]*membership.Peer{}
	var candidates []routing.Candidate
	for _, u := range pool.Upstreams {
		p, ok := e.set.Upstream(u.Name)
		if !ok || !p.Usable() || p.Load().ClosedUntil().After(e.now()) {
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

// retryAt returns when a caller should retry whose request no upstream of the pool takes. That is the
// earliest time at which one of the upstreams takes requests again, spread over callers, or
// defaultRetryDelay from now if no upstream has announced a time.
func (e *Entry) retryAt(pool *config.Pool) time.Time {
	var first time.Time
	for _, u := range pool.Upstreams {
		p, ok := e.set.Upstream(u.Name)
		if !ok || !p.Usable() {
			continue
		}
		if at := p.Load().ClosedUntil(); at.After(e.now()) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if first.IsZero() {
		return e.now().Add(defaultRetryDelay)
	}
	return e.retrySchedule.At(pool.Name, first)
}

// candidate returns the load of an upstream for routing.
func (e *Entry) candidate(u config.Upstream, p *membership.Peer) routing.Candidate {
	l := p.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sentCounts[u.Name]
	if s.report != l.AtMS {
		s = sentSince{report: l.AtMS}
		e.sentCounts[u.Name] = s
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

// noteSent counts a request sent to an upstream.
func (e *Entry) noteSent(upstream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sentCounts[upstream]
	s.n++
	e.sentCounts[upstream] = s
}

// retryBurst is the largest number of retries that a retry budget saves up.
const retryBurst = 10

// retryBudget returns the retry budget of a pool.
func (e *Entry) retryBudget(pool string) *routing.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.retryBudgets[pool]
	if !ok {
		b = routing.NewBudget(e.settings.RetryRatio, retryBurst)
		e.retryBudgets[pool] = b
	}
	return b
}

// readBody returns the body of a request, or an error if it is larger than Settings.MaxBody.
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
		return nil, errBadBody.withMessage(err.Error())
	}
}

// readCallerBody is readBody for a request that is served by the configuration in force once its body has arrived.
func (e *Entry) readCallerBody(w http.ResponseWriter, r *callerRequest) ([]byte, *apiError) {
	body, apiErr := e.readBody(w, r.Request)
	if apiErr != nil {
		return nil, apiErr
	}
	return body, r.authenticate(e.activeConfig())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
