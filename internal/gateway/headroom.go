package gateway

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/placement"
)

// recordArrival records the arrival of a generation for the forecast of brief ones, and returns its demand.
func (g *Gateway) recordArrival(rq *request) *placement.Generation {
	now := g.now()
	gen := g.generationOf(rq, now)
	hold := g.readTime.expected(gen.Prompt) + g.eventInterval.remaining(gen.Output, gen.Engine.EventTokens)
	g.briefForecast(rq.service.Name).Arrived(gen, hold, now)
	return gen
}

// headroom returns the memory that a new generation has to leave free for brief ones.
func (g *Gateway) headroom(service string, gen *placement.Generation, now time.Time) placement.Headroom {
	return g.briefForecast(service).Headroom(gen, int(g.liveEntries.Load()), g.fleet.ServingCount(service), now)
}

// briefForecast returns the forecast of a service.
func (g *Gateway) briefForecast(service string) *placement.BriefForecast {
	return forService(&g.mu, g.briefForecasts, service)
}

// headroomByService returns the memory, in tokens, that a generation of the least urgent rank has
// to leave free at an engine on average.
func (g *Gateway) headroomByService() map[string]float64 {
	table, _ := g.routes.Current()
	if table == nil {
		return nil
	}
	g.mu.Lock()
	services := make([]string, 0, len(g.briefForecasts))
	for name := range g.briefForecasts {
		services = append(services, name)
	}
	g.mu.Unlock()
	out := map[string]float64{}
	for _, name := range services {
		if service, ok := table.Service(name); ok && service.Engine != nil {
			least := &placement.Generation{Engine: service.Engine, Rank: placement.Rank{Account: math.MaxInt, Route: math.MaxInt}}
			out[name] = g.headroom(name, least, g.now()).Tokens()
		}
	}
	return out
}

// headroomGauge exports the memory reserved for brief generations by service.
type headroomGauge struct {
	byService func() map[string]float64
	desc      *prometheus.Desc
}

func newHeadroomGauge(byService func() map[string]float64) *headroomGauge {
	return &headroomGauge{byService: byService, desc: prometheus.NewDesc("sparshore_gateway_headroom_tokens", "Memory of an engine, in tokens and averaged over the engines, that generations of the least urgent rank leave free for brief ones.", []string{"service"}, nil)}
}

// Describe implements prometheus.Collector.
func (h *headroomGauge) Describe(c chan<- *prometheus.Desc) { c <- h.desc }

// Collect implements prometheus.Collector.
func (h *headroomGauge) Collect(c chan<- prometheus.Metric) {
	for service, tokens := range h.byService() {
		c <- prometheus.MustNewConstMetric(h.desc, prometheus.GaugeValue, tokens, service)
	}
}
