package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/routing"
)

// metrics are the gateway's counters and histograms.
type metrics struct {
	refusals        *prometheus.CounterVec
	answers         *prometheus.CounterVec
	attempts        *prometheus.CounterVec
	moves           *prometheus.CounterVec
	unansweredTotal *prometheus.CounterVec
	permits         *prometheus.CounterVec
	resumptions     *prometheus.CounterVec
	evictions       *prometheus.CounterVec
	connectChecks   *prometheus.CounterVec
	endChecks       *prometheus.CounterVec
	quarantined     prometheus.Counter
	// headroomRefusals counts generations refused for the memory reserved for brief ones.
	headroomRefusals prometheus.Counter
	answer           prometheus.Histogram
	firstEvent       prometheus.Histogram
	gap              prometheus.Histogram
}

// Values of the cause label for requests that end without a complete answer.
const (
	// unansweredCallerClosed: the caller or the network closed the connection.
	unansweredCallerClosed = "caller left"
	// unansweredClosedHere: this process closed the connection.
	unansweredClosedHere = "connection ended here"
	// unansweredEvicted: the caller did not read, and its connection was closed.
	unansweredEvicted = "evicted"
	// unansweredPanic: the handler panicked.
	unansweredPanic = "panic"
)

// newMetrics registers the metrics; age returns the age of the route table in seconds.
func newMetrics(reg prometheus.Registerer, age func() float64) *metrics {
	m := &metrics{
		refusals:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_refusals_total", Help: "Requests that the gateway answered itself instead of an upstream, by status."}, []string{"status"}),
		answers:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_answers_total", Help: "Finished requests, by result."}, []string{"end"}),
		attempts:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_attempts_total", Help: "Requests sent to upstreams, by reason."}, []string{"reason"}),
		moves:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_moves_total", Help: "Moves of running generations, by result."}, []string{"result"}),
		unansweredTotal:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_unanswered_total", Help: "Requests whose connection ended without a complete answer, by cause."}, []string{"cause"}),
		permits:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_permits_total", Help: "Permits requested for sending to rate-limited upstreams, by result."}, []string{"result"}),
		resumptions:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_resumptions_total", Help: "Streams that callers resumed, by how the software version that began them was learned."}, []string{"source"}),
		evictions:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_memory_evictions_total", Help: "Connections closed because their callers did not read, by cause: memory was needed, or the write timeout passed."}, []string{"cause"}),
		connectChecks:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_connection_checks_total", Help: "Connections opened to check engines that this entry or another one could not reach, by result."}, []string{"result"}),
		endChecks:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sparshore_gateway_end_checks_total", Help: "Queries to upstreams after the end of answers that have neither a length nor chunks, by what proved that the answers are complete."}, []string{"proof"}),
		quarantined:      prometheus.NewCounter(prometheus.CounterOpts{Name: "sparshore_gateway_held_total", Help: "Requests refused because upstreams crashed while running them."}),
		headroomRefusals: prometheus.NewCounter(prometheus.CounterOpts{Name: "sparshore_gateway_headroom_refusals_total", Help: "Generations refused because the free memory of all engines is reserved for brief ones."}),
		answer:           prometheus.NewHistogram(prometheus.HistogramOpts{Name: "sparshore_gateway_answer_seconds", Help: "Time to the complete answer of a plain call.", Buckets: prometheus.ExponentialBuckets(0.004, 2, 12)}),
		firstEvent:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "sparshore_gateway_first_event_seconds", Help: "Time to a stream's first event.", Buckets: prometheus.ExponentialBuckets(0.02, 2, 12)}),
		gap:              prometheus.NewHistogram(prometheus.HistogramOpts{Name: "sparshore_gateway_move_gap_seconds", Help: "Pause of a stream while its generation moved.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}),
	}
	routes := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "sparshore_gateway_routes_age_seconds", Help: "Time since the route table was last confirmed to be current."}, age)
	reg.MustRegister(routes, m.refusals, m.answers, m.attempts, m.moves, m.unansweredTotal, m.permits, m.resumptions, m.evictions, m.connectChecks, m.endChecks, m.quarantined, m.headroomRefusals, m.answer, m.firstEvent, m.gap)
	return m
}

func (m *metrics) refused(status int)           { m.refusals.WithLabelValues(strconv.Itoa(status)).Inc() }
func (m *metrics) ended(end string)             { m.answers.WithLabelValues(end).Inc() }
func (m *metrics) attempted(reason string)      { m.attempts.WithLabelValues(reason).Inc() }
func (m *metrics) permitted(err error)          { m.permits.WithLabelValues(permitResult(err)).Inc() }
func (m *metrics) resumed(source origin.Source) { m.resumptions.WithLabelValues(string(source)).Inc() }
func (m *metrics) moved(result string)          { m.moves.WithLabelValues(result).Inc() }
func (m *metrics) unanswered(cause string)      { m.unansweredTotal.WithLabelValues(cause).Inc() }
func (m *metrics) evicted(cause string, n int)  { m.evictions.WithLabelValues(cause).Add(float64(n)) }
func (m *metrics) connectionChecked(ok bool) {
	result := "failed"
	if ok {
		result = "connected"
	}
	m.connectChecks.WithLabelValues(result).Inc()
}

// endChecked counts a query of end checks.
func (m *metrics) endChecked(proof endProof) {
	label := string(proof)
	if proof == unproven {
		label = "none"
	}
	m.endChecks.WithLabelValues(label).Inc()
}

func (m *metrics) observeAnswer(d time.Duration)     { m.answer.Observe(d.Seconds()) }
func (m *metrics) observeFirstEvent(d time.Duration) { m.firstEvent.Observe(d.Seconds()) }
func (m *metrics) observeMoveGap(d time.Duration)    { m.gap.Observe(d.Seconds()) }

// registerOriginMetrics registers the metrics about the streams whose origins this entry keeps.
func registerOriginMetrics(reg prometheus.Registerer, size func() (kept, dropped int)) {
	reg.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "sparshore_gateway_stream_origins", Help: "Streams whose software version this entry keeps, its own and those of other entries."}, func() float64 {
			kept, _ := size()
			return float64(kept)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "sparshore_gateway_stream_origins_dropped_total", Help: "Streams whose software version this entry forgot early for lack of room."}, func() float64 {
			_, dropped := size()
			return float64(dropped)
		}),
	)
}

// limitRates exports the rate limits in force by upstream.
type limitRates struct {
	list func() []limits.State
	desc *prometheus.Desc
}

func newLimitRates(list func() []limits.State) *limitRates {
	return &limitRates{list: list, desc: prometheus.NewDesc("sparshore_gateway_upstream_limit", "Requests per second that an upstream accepts from all entries together, while it states a limit.", []string{"upstream"}, nil)}
}

// Describe implements prometheus.Collector.
func (l *limitRates) Describe(c chan<- *prometheus.Desc) { c <- l.desc }

// Collect implements prometheus.Collector.
func (l *limitRates) Collect(c chan<- prometheus.Metric) {
	for _, s := range l.list() {
		c <- prometheus.MustNewConstMetric(l.desc, prometheus.GaugeValue, s.Rate, s.Upstream)
	}
}

// retryUse is the collector for this entry's use of the retry budgets.
type retryUse struct {
	use  func() map[string]routing.Use
	desc *prometheus.Desc
}

func newRetryUse(use func() map[string]routing.Use) *retryUse {
	return &retryUse{use: use, desc: prometheus.NewDesc("sparshore_gateway_retry_use", "What this entry counts for the retry budget of a service in the present window, by kind: requests of callers, or extra attempts.", []string{"service", "kind"}, nil)}
}

// Describe implements prometheus.Collector.
func (r *retryUse) Describe(ch chan<- *prometheus.Desc) { ch <- r.desc }

// Collect implements prometheus.Collector.
func (r *retryUse) Collect(ch chan<- prometheus.Metric) {
	for service, u := range r.use() {
		ch <- prometheus.MustNewConstMetric(r.desc, prometheus.GaugeValue, float64(u.Requests), service, "requests")
		ch <- prometheus.MustNewConstMetric(r.desc, prometheus.GaugeValue, float64(u.Extra), service, "extra")
	}
}
