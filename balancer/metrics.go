package balancer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics of the balancer. Label values come from the configuration.
type metrics struct {
	placements *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	capacity   *prometheus.GaugeVec
	inUse      *prometheus.GaugeVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_placements_total",
			Help: "Placed attempts by service and distance of the chosen server.",
		}, []string{"service", "tier"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_placement_refusals_total",
			Help: "Attempts without a server by service and problem type.",
		}, []string{"service", "problem"}),
		capacity: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jacinthrack_region_capacity_requests",
			Help: "Requests in progress that this instance may have in its own region.",
		}, []string{"service"}),
		inUse: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jacinthrack_region_in_use_requests",
			Help: "Requests in progress of this instance in its own region.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.placements, m.refusals, m.capacity, m.inUse)
	return m
}

// update sets the gauges.
func (m *metrics) update(b *Balancer, now time.Time) {
	s := b.current()
	if s == nil {
		return
	}
	in := b.localInputs(s)
	for _, service := range s.index.Document().Services {
		limit, inUse := s.book.Capacity(service.Name, in, now)
		m.capacity.WithLabelValues(service.Name).Set(float64(limit))
		m.inUse.WithLabelValues(service.Name).Set(float64(inUse))
	}
}
