package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/sidecar"
)

type metrics struct {
	requests *prometheus.CounterVec
	retries  prometheus.Counter
	resumes  prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, client *sidecar.Client) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sparshore_entry_requests_total", Help: "Requests by how they ended.",
		}, []string{"end"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sparshore_entry_retries_total", Help: "Requests sent to another upstream after a failed attempt.",
		}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sparshore_entry_resumes_total", Help: "Streams resumed at the next offset.",
		}),
	}
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sparshore_entry_frames_dropped_total", Help: "Frames dropped because their generation, connection or offset was not the expected one.",
	}, func() float64 { return float64(client.Dropped()) })
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sparshore_entry_streams_open", Help: "Streams being received from sidecars.",
	}, func() float64 { return float64(client.Open()) })
	reg.MustRegister(m.requests, m.retries, m.resumes, dropped, open)
	return m
}
