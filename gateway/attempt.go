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

// sendResult is the result of one attempt, as the handling of the request needs it.
type sendResult struct {
	response  *ingress.Response // for the caller; nil if there is none
	retryable bool              // another attempt could succeed and does no harm
	sent      bool              // bytes may have reached the server
	reason    string
}

// crashProbeTimeout limits the connection attempt that checks whether a server still listens
// after it broke a connection.
const crashProbeTimeout = 200 * time.Millisecond

// sendAttempt sends the request to a server at which a slot is reserved, passes the result to
// the dispatcher, the quarantine and the metrics, and frees the slot.
func (g *Gateway) sendAttempt(ctx context.Context, state *requestState, request *dispatch.Request, server reservedServer) sendResult {
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller may have closed its connection just before the attempt starts.
		g.releaseServer(request, server, dispatch.AttemptResult{Outcome: dispatch.OutcomeCancelled})
		return sendResult{reason: "the caller left"}
	}
	state.attempts++
	state.triedServers = append(state.triedServers, server.id)
	start := time.Now()
	if err := g.suspects.Begin(state.fingerprint, server.id, start); err != nil {
		g.releaseServer(request, server, dispatch.AttemptResult{Outcome: dispatch.OutcomeCancelled})
		return sendResult{reason: err.Error()}
	}
	outgoing := g.serverRequest(state, server.id, time.Until(state.deadline))
	reply, sent, err := g.upstream.Send(ctx, server.id, server.address, outgoing, state.requestID)
	report := dispatch.AttemptResult{Duration: time.Since(start)}
	var result sendResult
	if err != nil {
		result, report.Outcome = g.classifyError(ctx, state, server, sent, err)
	} else {
		result, report = g.classifyResponse(state, reply, report)
	}
	result.sent = sent
	g.suspects.End(state.fingerprint, server.id, report.Outcome == dispatch.OutcomeSucceeded, time.Now())
	g.metrics.attempts.WithLabelValues(outcomeLabels[report.Outcome]).Inc()
	g.releaseServer(request, server, report)
	return result
}

// outcomeLabels are the values of the label "outcome" of the metric of attempts.
var outcomeLabels = map[dispatch.Outcome]string{
	dispatch.OutcomeSucceeded: "ok", dispatch.OutcomeRejected: "rejected", dispatch.OutcomeFailed: "failed", dispatch.OutcomeIncomplete: "broken",
	dispatch.OutcomeUnreachable: "unreachable", dispatch.OutcomeTimedOut: "timeout", dispatch.OutcomeCancelled: "cancelled", dispatch.OutcomeMisdirected: "misdirected",
}

// releaseServer passes the result of an attempt to the dispatcher, which frees the slot, and
// starts waiting requests of the service.
func (g *Gateway) releaseServer(request *dispatch.Request, server reservedServer, report dispatch.AttemptResult) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Finish(request, server.server, report, now)
	g.startQueued(server.service, now)
}

// classifyError returns the result and outcome of an attempt without a response. If the server
// seems to have crashed, the requests in flight there become suspect requests.
func (g *Gateway) classifyError(ctx context.Context, state *requestState, server reservedServer, sent bool, err error) (sendResult, dispatch.Outcome) {
	var dialErr *upstream.DialError
	if errors.As(err, &dialErr) {
		if errors.Is(ctx.Err(), context.Canceled) {
			return sendResult{reason: "the caller left"}, dispatch.OutcomeCancelled
		}
		return sendResult{retryable: true, reason: "the server cannot be reached"}, dispatch.OutcomeUnreachable
	}
	state.mayHaveExecuted = state.mayHaveExecuted || sent
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return sendResult{reason: "the caller left"}, dispatch.OutcomeCancelled
	case ctx.Err() != nil:
		return sendResult{reason: "no response in time"}, dispatch.OutcomeTimedOut
	}
	if refusesConnection(server.address) {
		for _, fingerprint := range g.suspects.ServerCrashed(server.id, time.Now()) {
			g.log.Warn("request was in flight at a crashed backend server", "server", server.id, "fingerprint", uint64(fingerprint))
		}
	}
	return sendResult{retryable: state.route.Idempotency == routes.Idempotent, reason: "the server broke off: " + err.Error()}, dispatch.OutcomeIncomplete
}

// refusesConnection reports whether connections to an address are refused because no process
// listens there.
func refusesConnection(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err == nil {
		conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// classifyResponse returns the results of an attempt with a response, for the handling of the
// request and for the dispatcher.
func (g *Gateway) classifyResponse(state *requestState, reply *upstream.Response, report dispatch.AttemptResult) (sendResult, dispatch.AttemptResult) {
	info := g.dialect.ParseResponse(reply.Status, reply.Header)
	report.Load, report.WarmupLeft = info.Load, info.WarmUpRemaining
	switch {
	case info.Misdirected:
		report.Outcome = dispatch.OutcomeMisdirected
		return sendResult{retryable: true, reason: "another server has the address"}, report
	case info.NotExecuted:
		report.Outcome = dispatch.OutcomeRejected
		return sendResult{retryable: true, reason: "the server rejected the request"}, report
	}
	state.mayHaveExecuted = true
	response := callerResponse(reply)
	if reply.Status >= http.StatusInternalServerError {
		report.Outcome = dispatch.OutcomeFailed
		state.reason = "the server failed"
		retryable := state.route.Idempotency == routes.Idempotent && reply.RemainingBody == nil
		return sendResult{response: response, retryable: retryable, reason: state.reason}, report
	}
	report.Outcome = dispatch.OutcomeSucceeded
	return sendResult{response: response}, report
}

// callerResponse turns a server's response into the one for the caller.
func callerResponse(reply *upstream.Response) *ingress.Response {
	length := reply.BodyLength
	hopheader.Remove(reply.Header)
	delete(reply.Header, "Content-Length")
	if reply.RemainingBody == nil {
		length = max(length, int64(len(reply.Body)))
	}
	return &ingress.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body, RemainingBody: reply.RemainingBody, BodyLength: length}
}
