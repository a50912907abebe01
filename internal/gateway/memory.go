package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membudget"
)

// errMemory means that what should be buffered does not fit into the memory budget.
var errMemory = errors.New("the memory for buffered requests and responses is used up")

const (
	// unreadBeforeEviction is how long a caller has not read when its memory may be taken for another
	// response. A caller that reads at all acknowledges data several times a second, also on a slow
	// network.
	unreadBeforeEviction = time.Second
	// callerWriteTimeout is how long a caller may leave data unread before its connection is closed,
	// however much memory is free. Most callers give up on a response earlier.
	callerWriteTimeout = 30 * time.Second
	// memoryRetryDelay is the retry delay of requests that are refused for lack of memory. After it,
	// the memory of callers that do not read can be taken.
	memoryRetryDelay = unreadBeforeEviction
)

// Values of the cause label of evictions.
const (
	// evictedForMemory: another request needed the memory.
	evictedForMemory = "memory"
	// evictedForTimeout: the caller did not read within callerWriteTimeout.
	evictedForTimeout = "write timeout"
)

// newMemoryBudget returns a budget for buffered requests and responses and registers its metrics. It
// returns nil if there is no limit.
func newMemoryBudget(limit int64, reg prometheus.Registerer) *membudget.Budget {
	if limit <= 0 {
		return nil
	}
	b := membudget.New(limit)
	gauge := func(kind string, value func() int64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sparshore_gateway_memory_budget_bytes", Help: "Memory for buffered requests and responses, by kind: what is used, and the limit.", ConstLabels: prometheus.Labels{"kind": kind},
		}, func() float64 { return float64(value()) })
	}
	reg.MustRegister(gauge("used", b.Used), gauge("limit", b.Limit))
	return b
}

// newMemoryHolder returns the holder of what is buffered for a request, or nil if there is no memory
// budget.
func (g *Gateway) newMemoryHolder(w http.ResponseWriter) *membudget.Holder {
	if g.memory == nil {
		return nil
	}
	return g.memory.NewHolder(func() {
		// A write that waits for the caller fails at once, and its handler closes the connection.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
	})
}

// growMemory takes n bytes for a request. If they do not fit, it evicts requests whose callers do not
// read.
func (g *Gateway) growMemory(rq *request, n int64) error {
	if rq.memory == nil {
		return nil
	}
	ok, evicted := rq.memory.GrowOrEvict(n, g.now(), unreadBeforeEviction)
	if evicted > 0 {
		g.met.evicted(evictedForMemory, evicted)
	}
	if !ok {
		return errMemory
	}
	return nil
}

// SweepMemory lets streams whose callers do not read continue at their upstreams, closes connections of
// callers that have not read for callerWriteTimeout, and logs when the memory budget is exhausted and
// when it is available again. It is to be called a few times a second.
func (g *Gateway) SweepMemory() {
	if g.memory == nil {
		return
	}
	now := g.now()
	g.readAheads.sweep(now)
	if n := g.memory.EvictUnread(now, callerWriteTimeout); n > 0 {
		g.met.evicted(evictedForTimeout, n)
	}
	exhausted, changed := g.memory.Update()
	if !changed {
		return
	}
	id := events.MemoryAvailable
	if exhausted {
		id = events.MemoryExhausted
	}
	g.rec.Note(id, "", "used", g.memory.Used(), "limit", g.memory.Limit())
}
