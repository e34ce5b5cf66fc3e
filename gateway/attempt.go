package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/ingress"
	"github.com/jacinthrack/jacinthrack/internal/hopheader"
	"github.com/jacinthrack/jacinthrack/routes"
	"github.com/jacinthrack/jacinthrack/upstream"
)

// attempt is one try at a server and how it ended.
type attempt struct {
	response *ingress.Response // nil without a response for the caller
	again    bool              // the request may be sent to another server
	sent     bool              // bytes may have reached the server
	reason   string
}

// crashProbeTimeout bounds the check whether a server that broke off is still there.
const crashProbeTimeout = 200 * time.Millisecond

// attempt sends the request to a server and records the result.
func (g *Gateway) attempt(ctx context.Context, x *exchange, want *dispatch.Request, to target) attempt {
	if errors.Is(ctx.Err(), context.Canceled) {
		// The close of a connection may be read just before its request starts.
		g.finish(want, to, dispatch.AttemptResult{Outcome: dispatch.OutcomeCancelled})
		return attempt{reason: "the caller left"}
	}
	x.attempts++
	x.tried = append(x.tried, to.id)
	start := time.Now()
	if err := g.suspect.Begin(x.print, to.id, start); err != nil {
		g.finish(want, to, dispatch.AttemptResult{Outcome: dispatch.OutcomeCancelled})
		return attempt{reason: err.Error()}
	}
	request := g.outgoing(x, to.id, time.Until(x.deadline))
	reply, sent, err := g.client.Send(ctx, to.id, to.address, request, x.id)
	result := dispatch.AttemptResult{Duration: time.Since(start)}
	var a attempt
	if err != nil {
		a, result.Outcome = g.failed(ctx, x, to, sent, err)
	} else {
		a, result = g.replied(x, reply, result)
	}
	a.sent = sent
	g.suspect.End(x.print, to.id, result.Outcome == dispatch.OutcomeSucceeded, time.Now())
	g.metrics.attempts.WithLabelValues(outcomeNames[result.Outcome]).Inc()
	g.finish(want, to, result)
	return a
}

// outcomeNames are label values.
var outcomeNames = map[dispatch.Outcome]string{
	dispatch.OutcomeSucceeded: "ok", dispatch.OutcomeRejected: "rejected", dispatch.OutcomeFailed: "failed", dispatch.OutcomeIncomplete: "broken",
	dispatch.OutcomeUnreachable: "unreachable", dispatch.OutcomeTimedOut: "timeout", dispatch.OutcomeCancelled: "cancelled", dispatch.OutcomeMisdirected: "misdirected",
}

// finish gives the room back and starts requests that waited for it.
func (g *Gateway) finish(want *dispatch.Request, to target, result dispatch.AttemptResult) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Finish(want, to.server, result, now)
	g.pump(to.service, now)
}

// failed classifies an attempt without a response.
func (g *Gateway) failed(ctx context.Context, x *exchange, to target, sent bool, err error) (attempt, dispatch.Outcome) {
	var dial *upstream.DialError
	if errors.As(err, &dial) {
		if errors.Is(ctx.Err(), context.Canceled) {
			return attempt{reason: "the caller left"}, dispatch.OutcomeCancelled
		}
		return attempt{again: true, reason: "the server cannot be reached"}, dispatch.OutcomeUnreachable
	}
	x.mayHaveRun = x.mayHaveRun || sent
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return attempt{reason: "the caller left"}, dispatch.OutcomeCancelled
	case ctx.Err() != nil:
		return attempt{reason: "no response in time"}, dispatch.OutcomeTimedOut
	}
	if refusesConnections(to.address) {
		for _, print := range g.suspect.ServerCrashed(to.id, time.Now()) {
			g.log.Warn("request was in progress when a server died", "server", to.id, "fingerprint", uint64(print))
		}
	}
	return attempt{again: x.route.Idempotency == routes.Idempotent, reason: "the server broke off: " + err.Error()}, dispatch.OutcomeIncomplete
}

// refusesConnections reports whether nothing listens at an address any more.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err == nil {
		conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// replied classifies an attempt with a response.
func (g *Gateway) replied(x *exchange, reply *upstream.Reply, result dispatch.AttemptResult) (attempt, dispatch.AttemptResult) {
	remark := g.dialect.ParseResponse(reply.Status, reply.Header)
	result.Load, result.WarmupLeft = remark.Load, remark.WarmUpRemaining
	switch {
	case remark.Misdirected:
		result.Outcome = dispatch.OutcomeMisdirected
		return attempt{again: true, reason: "another server has the address"}, result
	case remark.NotExecuted:
		result.Outcome = dispatch.OutcomeRejected
		return attempt{again: true, reason: "the server rejected the request"}, result
	}
	x.mayHaveRun = true
	response := respond(reply)
	if reply.Status >= http.StatusInternalServerError {
		result.Outcome = dispatch.OutcomeFailed
		x.reason = "the server failed"
		again := x.route.Idempotency == routes.Idempotent && reply.Stream == nil
		return attempt{response: response, again: again, reason: x.reason}, result
	}
	result.Outcome = dispatch.OutcomeSucceeded
	return attempt{response: response}, result
}

// respond turns a server's response into that for the caller.
func respond(reply *upstream.Reply) *ingress.Response {
	length := reply.Length
	hopheader.Remove(reply.Header)
	delete(reply.Header, "Content-Length")
	if reply.Stream == nil {
		length = max(length, int64(len(reply.Body)))
	}
	return &ingress.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body, Stream: reply.Stream, Length: length}
}
