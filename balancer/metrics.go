package balancer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of the balancer. Label values come from the
// configuration.
type metrics struct {
	placements   *prometheus.CounterVec
	rejections   *prometheus.CounterVec
	freeCapacity *prometheus.GaugeVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_placements_total",
			Help: "Placed attempts by service and distance of the chosen server.",
		}, []string{"service", "tier"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_placement_refusals_total",
			Help: "Attempts without a server by service and problem type.",
		}, []string{"service", "problem"}),
		freeCapacity: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jacinthrack_room_requests",
			Help: "Further requests that this instance has room for, in all regions.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.placements, m.rejections, m.freeCapacity)
	return m
}

// update sets the free capacity of each service.
func (m *metrics) update(b *Balancer, now time.Time) {
	s := b.currentConfigState()
	if s == nil {
		return
	}
	for _, service := range s.index.Document().Services {
		m.freeCapacity.WithLabelValues(service.Name).Set(float64(b.freeCapacity(s, service.Name, now)))
	}
}
