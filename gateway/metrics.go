package gateway

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus metrics of the data path.
type metrics struct {
	requests    *prometheus.CounterVec   // by outcome
	attempts    *prometheus.CounterVec   // by outcome
	duration    *prometheus.HistogramVec // by outcome
	connections prometheus.Counter
	unlogged    prometheus.Counter // requests without a log line, above maxRequestLogsPerSecond
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_requests_total", Help: "Requests of callers by outcome.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_attempts_total", Help: "Attempts at backend servers by outcome.",
		}, []string{"outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "jacinthrack_request_seconds", Help: "Time from the arrival of a request to its response.",
			Buckets: []float64{0.01, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.2, 2, 4, 8},
		}, []string{"outcome"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jacinthrack_server_connections_total", Help: "Connections opened to backend servers.",
		}),
		unlogged: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jacinthrack_unlogged_requests_total", Help: "Requests without a log line, since there were too many.",
		}),
	}
	if r != nil {
		r.MustRegister(m.requests, m.attempts, m.duration, m.connections, m.unlogged)
	}
	return m
}
