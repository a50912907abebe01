package sidecar

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters of one sidecar.
type Metrics struct {
	generations   *prometheus.CounterVec
	calls         *prometheus.CounterVec
	pauses        prometheus.Counter
	dropped       prometheus.Counter
	commandErrors prometheus.Counter
	tokens        prometheus.Counter
	// policyFailures counts policy programs that failed at run time.
	policyFailures *prometheus.CounterVec
}

// NewMetrics registers the counters with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		generations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sparshore_sidecar_generations_total", Help: "Generations by how they ended.",
		}, []string{"end"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sparshore_sidecar_calls_total", Help: "Calls to a plain service by outcome.",
		}, []string{"outcome"}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sparshore_sidecar_pauses_total", Help: "Streams paused in favor of others.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sparshore_sidecar_dropped_total", Help: "Repeated or late events of the engine that were dropped.",
		}),
		commandErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sparshore_sidecar_order_errors_total", Help: "Commands that the engine did not carry out.",
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sparshore_sidecar_tokens_total", Help: "Output tokens received from the engine.",
		}),
	}
	m.policyFailures = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sparshore_sidecar_policy_failures_total", Help: "Policy programs that failed and were replaced by the default.",
	}, []string{"program"})
	reg.MustRegister(m.policyFailures, m.generations, m.calls, m.pauses, m.dropped, m.commandErrors, m.tokens)
	return m
}
