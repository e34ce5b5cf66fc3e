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

// problemResponse returns the response whose body is the problem document.
func problemResponse(state *requestState, document *problem.Document) *ingress.Response {
	document.RequestID = state.requestID
	body, err := json.Marshal(document)
	if err != nil {
		body = nil // cannot happen: the document contains only text and numbers
	}
	header := http.Header{"Content-Type": {problem.ContentType}, "Cache-Control": {"no-store"}}
	if document.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(document.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	return &ingress.Response{Status: document.Status, Header: header, Body: body, BodyLength: int64(len(body))}
}

// recordOutcome updates the metrics and writes the log line of a request.
func (g *Gateway) recordOutcome(ctx context.Context, state *requestState, response *ingress.Response) {
	outcome := outcomeLabel(ctx, response)
	duration := time.Since(state.request.ArrivalTime)
	g.metrics.requests.WithLabelValues(outcome).Inc()
	g.metrics.duration.WithLabelValues(outcome).Observe(duration.Seconds())
	if !g.requestLogLimiter.Allow() {
		g.metrics.unlogged.Inc()
		return
	}
	route := ""
	if state.route != nil {
		route = state.route.Name
	}
	g.log.LogAttrs(ctx, slog.LevelInfo, "handled request",
		slog.String("request_id", state.requestID), slog.String("outcome", outcome), slog.Int("status", response.Status),
		slog.String("route", route), slog.String("service", state.service), slog.String("customer", state.customerName()),
		slog.Int64("config_version", state.configVersion), slog.Int64("age_ms", min(state.configAge, time.Hour).Milliseconds()),
		slog.Int("attempts", state.attempts), slog.Int("relayed_attempts", state.relayedAttempts), slog.String("servers", strings.Join(state.triedServers, ",")),
		slog.Bool("may_have_run", state.mayHaveRun), slog.Int64("quota_wait_ms", state.quotaWait.Milliseconds()), slog.Int64("capacity_wait_ms", state.capacityWait.Milliseconds()),
		slog.Int64("duration_ms", duration.Milliseconds()),
		slog.String("reason", state.reason))
}

// outcomeLabel returns the value of the label "outcome" for the response to a request. ctx is the
// context of the caller, which does not end at the deadline of the request.
func outcomeLabel(ctx context.Context, response *ingress.Response) string {
	switch {
	case ctx.Err() != nil:
		return "caller left"
	case response.Status < 400:
		return "ok"
	case response.Status == http.StatusTooManyRequests:
		return "over rate"
	case response.Status == http.StatusServiceUnavailable:
		return "refused"
	case response.Status < 500:
		return "denied"
	default:
		return "failed"
	}
}
