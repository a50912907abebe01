package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/pace"
)

// paceCollector exports the observed pace of engines.
type paceCollector struct {
	paces             *pace.Set
	interval, entries *prometheus.Desc
	rejected          *prometheus.Desc
}

func newPaceCollector(paces *pace.Set) *paceCollector {
	return &paceCollector{
		paces:    paces,
		interval: prometheus.NewDesc("sparshore_gateway_engine_event_seconds", "Observed time between two events of a stream at an engine while it reads no prompt.", []string{"upstream"}, nil),
		entries:  prometheus.NewDesc("sparshore_gateway_engine_observers", "Entries that observed the pace of an engine.", []string{"upstream"}, nil),
		rejected: prometheus.NewDesc("sparshore_gateway_paces_rejected_total", "Invalid reports of other entries about the pace of engines.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (p *paceCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- p.interval
	ch <- p.entries
	ch <- p.rejected
}

// Collect implements prometheus.Collector.
func (p *paceCollector) Collect(ch chan<- prometheus.Metric) {
	for id, e := range p.paces.List() {
		ch <- prometheus.MustNewConstMetric(p.interval, prometheus.GaugeValue, e.Interval.Seconds(), id)
		ch <- prometheus.MustNewConstMetric(p.entries, prometheus.GaugeValue, float64(e.Entries), id)
	}
	ch <- prometheus.MustNewConstMetric(p.rejected, prometheus.CounterValue, float64(p.paces.Rejected()))
}
