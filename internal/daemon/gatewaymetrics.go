package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/gossip"
)

// registerGossipMetrics registers the metrics of a gateway about the other entries.
func registerGossipMetrics(reg prometheus.Registerer, stats func() gossip.Stats) {
	gauge := func(name, help string, value func(gossip.Stats) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(stats()) })
	}
	counter := func(name, help string, value func(gossip.Stats) float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return value(stats()) })
	}
	reg.MustRegister(
		gauge("sparshore_gateway_entries_heard", "Other entries that this entry receives gossip from.", func(s gossip.Stats) float64 { return float64(s.Live) }),
		gauge("sparshore_gateway_entries_silent", "Other entries that are listed or sent gossip before, and that this entry receives no gossip from.", func(s gossip.Stats) float64 { return float64(s.Silent) }),
		gauge("sparshore_gateway_delegate", "1 while this entry forwards urgent gossip messages of other entries.", func(s gossip.Stats) float64 {
			if s.Delegate {
				return 1
			}
			return 0
		}),
		counter("sparshore_gateway_passed_on_total", "Messages with which this entry forwarded urgent gossip of other entries.", func(s gossip.Stats) float64 { return float64(s.Forwarded) }),
		counter("sparshore_gateway_late_echoes_total", "Gossip messages that echo a message which arrived after their content was encoded.", func(s gossip.Stats) float64 { return float64(s.LateEchoes) }),
		counter("sparshore_gateway_not_passed_on_total", "Times that no delegate forwarded urgent gossip of this entry in time.", func(s gossip.Stats) float64 { return float64(s.NotForwarded) }),
	)
}

// registerRouteMetrics registers the counters of what confirmed the route table.
func registerRouteMetrics(reg prometheus.Registerer, confirmations func() [belief.Sources]int) {
	for source := range belief.Sources {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sparshore_gateway_routes_confirmations_total", Help: "Confirmations of the route table, by source.",
			ConstLabels: prometheus.Labels{"source": source.String()},
		}, func() float64 { return float64(confirmations()[source]) }))
	}
}

// registerRelayMetrics registers the counter of older tables that other entries answered with.
func registerRelayMetrics(reg prometheus.Registerer, olderTables func() int64) {
	reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sparshore_gateway_relay_older_tables_total", Help: "Whole tables of other entries that were rejected because a later one was known.",
	}, func() float64 { return float64(olderTables()) }))
}
