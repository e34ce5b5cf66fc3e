package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthrack/jacinthrack/ingress"
	"github.com/jacinthrack/jacinthrack/problem"
)

// refuse turns a problem into a response.
func refuse(x *exchange, d *problem.Document) *ingress.Response {
	d.RequestID = x.id
	body, err := json.Marshal(d)
	if err != nil {
		body = nil // the document holds only text
	}
	header := http.Header{"Content-Type": {problem.ContentType}, "Cache-Control": {"no-store"}}
	if d.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(d.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	return &ingress.Response{Status: d.Status, Header: header, Body: body, Length: int64(len(body))}
}

// record counts and logs the outcome.
func (g *Gateway) record(ctx context.Context, x *exchange, r *ingress.Response) {
	outcome := outcomeOf(ctx, r)
	took := time.Since(x.request.Arrived)
	g.metrics.requests.WithLabelValues(outcome).Inc()
	g.metrics.latency.WithLabelValues(outcome).Observe(took.Seconds())
	if !g.lines.Allow() {
		g.metrics.unlogged.Inc()
		return
	}
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	g.log.LogAttrs(ctx, slog.LevelInfo, "request",
		slog.String("request", x.id), slog.String("outcome", outcome), slog.Int("status", r.Status),
		slog.String("route", route), slog.String("service", x.service), slog.String("customer", x.customerName()),
		slog.Int64("version", x.version), slog.Int64("age_ms", min(x.age, time.Hour).Milliseconds()),
		slog.Int("attempts", x.attempts), slog.String("servers", strings.Join(x.tried, ",")),
		slog.Bool("may_have_run", x.mayHaveRun), slog.Int64("charged_ms", x.charged.Milliseconds()), slog.Int64("waited_ms", x.waited.Milliseconds()),
		slog.Int64("took_ms", took.Milliseconds()),
		slog.String("reason", x.reason))
}

func outcomeOf(ctx context.Context, r *ingress.Response) string {
	switch {
	case ctx.Err() != nil:
		return "caller left"
	case r.Status < 400:
		return "ok"
	case r.Status == http.StatusTooManyRequests:
		return "over rate"
	case r.Status == http.StatusServiceUnavailable:
		return "refused"
	case r.Status < 500:
		return "denied"
	default:
		return "failed"
	}
}
