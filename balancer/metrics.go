package balancer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics of the balancer. Label values come from the configuration.
type metrics struct {
	placements *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	room       *prometheus.GaugeVec
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
		room: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jacinthrack_room_requests",
			Help: "Further requests that this instance has room for, in all regions.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.placements, m.refusals, m.room)
	return m
}

// update sets the gauges.
func (m *metrics) update(b *Balancer, now time.Time) {
	s := b.current()
	if s == nil {
		return
	}
	for _, service := range s.index.Document().Services {
		m.room.WithLabelValues(service.Name).Set(float64(b.room(s, service.Name, now)))
	}
}
