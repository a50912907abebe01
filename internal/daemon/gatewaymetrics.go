package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/gossip"
)

// registerEntries registers what a gateway tells of the other entries.
func registerEntries(reg prometheus.Registerer, stats func() gossip.Stats) {
	gauge := func(name, help string, value func(gossip.Stats) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(stats()) })
	}
	counter := func(name, help string, value func(gossip.Stats) float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return value(stats()) })
	}
	reg.MustRegister(
		gauge("sparshore_gateway_entries_heard", "Other entries that are heard.", func(s gossip.Stats) float64 { return float64(s.Heard) }),
		gauge("sparshore_gateway_entries_silent", "Other entries that are listed, or were heard, and are not heard.", func(s gossip.Stats) float64 { return float64(s.Silent) }),
		gauge("sparshore_gateway_delegate", "1 while this entry passes on to others what entries tell at once.", func(s gossip.Stats) float64 {
			if s.Delegate {
				return 1
			}
			return 0
		}),
		counter("sparshore_gateway_passed_on_total", "Messages in which this entry passed on what others told at once.", func(s gossip.Stats) float64 { return float64(s.PassedOn) }),
		counter("sparshore_gateway_not_passed_on_total", "Times that no delegate passed on in time what this entry told at once.", func(s gossip.Stats) float64 { return float64(s.NotPassedOn) }),
	)
}
