package forward

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts requests and measures their durations. The label values come from a
// bounded set: route names of the configuration, status codes and problem types.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewMetrics registers the metrics of the data path.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_requests_total",
			Help: "Requests by route, status and, for refusals, problem type.",
		}, []string{"route", "status", "problem"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "jacinthrack_request_duration_seconds",
			Help:    "Time from the arrival of a request to the end of its response.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"route"}),
	}
	registry.MustRegister(m.requests, m.latency)
	return m
}

// observe records a finished request. problemType is empty unless it was rejected.
func (m *Metrics) observe(state *requestState, status int, problemType string, duration time.Duration) {
	route := "unknown"
	if state.route != nil {
		route = state.route.Name
	}
	m.requests.WithLabelValues(route, strconv.Itoa(status), problemType).Inc()
	m.latency.WithLabelValues(route).Observe(duration.Seconds())
}
