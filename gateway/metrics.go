package gateway

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jacinthrack/jacinthrack/dispatch"
)

// metrics holds the Prometheus metrics of the data path.
type metrics struct {
	requests             *prometheus.CounterVec   // by outcome
	attempts             *prometheus.CounterVec   // by outcome
	duration             *prometheus.HistogramVec // by outcome
	retries              *prometheus.CounterVec   // by decision
	longResponses        *prometheus.CounterVec   // by outcome
	connections          prometheus.Counter
	unlogged             prometheus.Counter     // requests without a log line, above maxRequestLogsPerSecond
	selfReportRejections *prometheus.CounterVec // by reason
	badPauses            prometheus.Counter     // malformed or too long
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
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_retries_total", Help: "Retries that the retry budget granted or denied.",
		}, []string{"decision"}),
		longResponses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinthrack_long_responses_total", Help: "Responses too long to be buffered, by how they ended.",
		}, []string{"outcome"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jacinthrack_server_connections_total", Help: "Connections opened to backend servers.",
		}),
		unlogged: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jacinthrack_unlogged_requests_total", Help: "Requests without a log line, since there were too many.",
		}),
	}
	m.selfReportRejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinthrack_self_report_rejections_total", Help: "Requests rejected since all servers have asked for a pause or leave.",
	}, []string{"reason"})
	m.badPauses = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "jacinthrack_bad_pauses_total", Help: "Responses that ask for a pause that is malformed or too long.",
	})
	if r != nil {
		r.MustRegister(m.selfReportRejections, m.badPauses, m.requests, m.attempts, m.duration, m.retries, m.longResponses, m.connections, m.unlogged)
	}
	return m
}

// selfReportReasons are the values of the label "reason" of the metric of requests that were
// rejected because of what servers have said about themselves, by the reason of the decision.
var selfReportReasons = map[string]string{dispatch.ReasonAllPaused: "pause", dispatch.ReasonAllLeaving: "leaving"}

// registerStateMetrics registers the metrics that are read from the state of the gateway.
func (g *Gateway) registerStateMetrics(r prometheus.Registerer) {
	if r == nil {
		return
	}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "jacinthrack_isolated", Help: "1 while this instance has lost its links to all backend servers.",
	}, func() float64 {
		if g.Isolated() {
			return 1
		}
		return 0
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "jacinthrack_servers_leaving", Help: "Backend servers that have announced in a response that they leave.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.dispatcher.LeavingServers()))
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "jacinthrack_servers_paused", Help: "Backend servers that have asked this instance for a pause.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.dispatcher.PausedServers(time.Now())))
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "jacinthrack_response_buffer_bytes", Help: "Memory of the responses on their way from servers to callers.",
	}, func() float64 { return float64(g.upstream.BufferedBytes()) }))
}

// logRetryDecisions writes a log line for each service whose requests needed retries since the
// last call, with the state of the retry budget.
func (g *Gateway) logRetryDecisions() {
	g.mu.Lock()
	decisions := g.dispatcher.CollectRetryDecisions(g.policy.RetryBudget, time.Now())
	members := g.memberCount
	g.mu.Unlock()
	for _, d := range decisions {
		g.metrics.retries.WithLabelValues("granted").Add(float64(d.Granted))
		g.metrics.retries.WithLabelValues("denied").Add(float64(d.Denied))
		g.log.Info("decided on retries", "service", d.Service, "granted", d.Granted, "denied", d.Denied,
			"window_requests", d.Usage.Requests, "window_retries", d.Usage.Retries, "window_allowed", math.Round(d.Usage.Allowed*10)/10,
			"instances", members, "uptime_ms", time.Since(g.startedAt).Milliseconds())
	}
}
