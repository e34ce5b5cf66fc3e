package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/ingress"
	"github.com/jacinthrack/jacinthrack/internal/hopheader"
	"github.com/jacinthrack/jacinthrack/routes"
	"github.com/jacinthrack/jacinthrack/upstream"
)

// sendResult is what an attempt means for the request: its response and whether a retry makes
// sense. dispatch.AttemptResult is what it means for the server.
type sendResult struct {
	response  *ingress.Response // for the caller; nil if there is none
	retryable bool              // another attempt could succeed and does no harm
	maybeSent bool              // bytes may have reached the server
	reason    string            // why there is no response or the response is a failure; for the log line and the problem document
}

// crashProbeTimeout limits the connection attempt that checks whether a server still listens
// after it broke a connection.
const crashProbeTimeout = 200 * time.Millisecond

// sendAttempt sends the request to a server at which a slot is reserved, passes the result to
// the dispatcher, the quarantine and the metrics, and frees the slot.
func (g *Gateway) sendAttempt(ctx context.Context, state *requestState, request *dispatch.Request, server reservedServer) sendResult {
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller may have closed its connection just before the attempt starts.
		g.finishAttempt(request, server, dispatch.AttemptResult{Outcome: dispatch.OutcomeCancelled})
		return sendResult{reason: "the caller left"}
	}
	state.attempts++
	state.triedServers = append(state.triedServers, server.id)
	start := time.Now()
	if err := g.suspects.Begin(state.fingerprint, server.id, start); err != nil {
		g.finishAttempt(request, server, dispatch.AttemptResult{Outcome: dispatch.OutcomeCancelled})
		return sendResult{reason: err.Error()}
	}
	outgoing := g.serverRequest(state, server.id, time.Until(state.deadline))
	target := upstream.Target{ServerID: server.id, Address: server.address, Path: g.links.path(request.RegionRestricted)}
	if target.Path != upstream.PathDirect {
		state.relayedAttempts++
	}
	serverResponse, maybeSent, err := g.upstream.Send(ctx, target, outgoing, state.requestID, state.buffers)
	attemptResult := dispatch.AttemptResult{Duration: time.Since(start), Incarnation: server.incarnation}
	var result sendResult
	if err != nil {
		result, attemptResult.Outcome = g.handleSendError(ctx, state, server, maybeSent, err)
	} else {
		result, attemptResult = g.handleServerResponse(state, serverResponse, attemptResult)
	}
	result.maybeSent = maybeSent
	g.suspects.End(state.fingerprint, server.id, attemptResult.Outcome == dispatch.OutcomeSucceeded, time.Now())
	g.metrics.attempts.WithLabelValues(outcomeLabels[attemptResult.Outcome]).Inc()
	g.finishAttempt(request, server, attemptResult)
	return result
}

// outcomeLabels are the values of the label "outcome" of the metric of attempts.
var outcomeLabels = map[dispatch.Outcome]string{
	dispatch.OutcomeSucceeded: "ok", dispatch.OutcomeRejected: "rejected", dispatch.OutcomeFailed: "failed", dispatch.OutcomeIncomplete: "broken",
	dispatch.OutcomeUnreachable: "unreachable", dispatch.OutcomeTimedOut: "timeout", dispatch.OutcomeCancelled: "cancelled", dispatch.OutcomeMisdirected: "misdirected",
}

// finishAttempt passes the result of an attempt to the dispatcher, which frees the slot, and
// starts waiting requests of the service.
func (g *Gateway) finishAttempt(request *dispatch.Request, server reservedServer, attemptResult dispatch.AttemptResult) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	wasLimited, wasLeaving, wasPaused := server.server.NamesRateLimit(), server.server.Leaving(), server.server.PausedFor(now) > 0
	g.dispatcher.Finish(request, server.server, attemptResult, now)
	if limited := server.server.NamesRateLimit(); limited != wasLimited {
		g.logRateLimit(server, limited, now)
	}
	if !wasLeaving && server.server.Leaving() {
		g.log.Info("server announced that it leaves", "server", server.id, "service", server.service, "request_id", request.ID)
	}
	if pause := server.server.PausedFor(now); !wasPaused && pause > 0 {
		g.pausedServers = g.dispatcher.PausedServers(now)
		g.log.Info("server asked for a pause", "server", server.id, "service", server.service, "request_id", request.ID, "pause", pause.String())
	}
	g.startWaiters(server.service, now)
}

// logEndedPauses logs which servers take requests again after a pause.
func (g *Gateway) logEndedPauses() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pausedServers) == 0 {
		return
	}
	paused := g.dispatcher.PausedServers(time.Now())
	g.logAbsent("pause of a server has ended", g.pausedServers, paused)
	g.pausedServers = paused
}

// logNoLongerLeaving logs which of the servers that were leaving no longer are: their ids were
// taken by another process, or they have long been gone. The lock must be held.
func (g *Gateway) logNoLongerLeaving(wasLeaving []string) {
	if len(wasLeaving) == 0 {
		return
	}
	g.logAbsent("announcement of a server that it leaves no longer holds", wasLeaving, g.dispatcher.LeavingServers())
}

// logAbsent logs the message for each server of before that is not in now, which is in order.
func (g *Gateway) logAbsent(message string, before, now []string) {
	for _, id := range before {
		if _, found := slices.BinarySearch(now, id); !found {
			g.log.Info(message, "server", id)
		}
	}
}

// logRateLimit logs that a server has named a rate limit in a response, or no longer does. The lock
// must be held.
func (g *Gateway) logRateLimit(server reservedServer, limited bool, now time.Time) {
	if !limited {
		g.log.Info("server no longer limits its rate of requests", "server", server.id, "service", server.service)
		return
	}
	perSecond, _ := server.server.RateLimit(now)
	g.log.Info("server limits its rate of requests", "server", server.id, "service", server.service, "per_second", perSecond, "instances", g.memberCount)
}

// handleSendError records in the request's state whether a server may have run the request, and
// returns the result and outcome of an attempt without a response. If the server broke the
// connection and refuses new ones, it counts as crashed, and the requests in flight there
// become suspect requests.
func (g *Gateway) handleSendError(ctx context.Context, state *requestState, server reservedServer, maybeSent bool, err error) (sendResult, dispatch.Outcome) {
	var dialErr *upstream.DialError
	if errors.As(err, &dialErr) {
		if errors.Is(ctx.Err(), context.Canceled) {
			return sendResult{reason: "the caller left"}, dispatch.OutcomeCancelled
		}
		return sendResult{retryable: true, reason: "the server cannot be reached"}, dispatch.OutcomeUnreachable
	}
	state.mayHaveRun = state.mayHaveRun || maybeSent
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return sendResult{reason: "the caller left"}, dispatch.OutcomeCancelled
	case ctx.Err() != nil:
		return sendResult{reason: "no response in time"}, dispatch.OutcomeTimedOut
	}
	if !g.Isolated() && g.refusesConnection(server.address) {
		for _, fingerprint := range g.suspects.ServerCrashed(server.id, time.Now()) {
			g.log.Warn("request was in flight at a crashed backend server", "server", server.id, "fingerprint", uint64(fingerprint))
		}
	}
	return sendResult{retryable: state.route.Idempotency == routes.Idempotent, reason: "the server broke off: " + err.Error()}, dispatch.OutcomeIncomplete
}

// refusesConnection reports whether connections to an address are refused because no process
// listens there.
func (g *Gateway) refusesConnection(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	conn, err := g.links.dial(ctx, address)
	if err == nil {
		conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// handleServerResponse records in the request's state that a server may have run the request,
// unless the response states that it did not, and returns the results of the attempt for the
// request and for the dispatcher.
func (g *Gateway) handleServerResponse(state *requestState, serverResponse *upstream.Response, attemptResult dispatch.AttemptResult) (sendResult, dispatch.AttemptResult) {
	info := g.dialect.ParseResponse(serverResponse.Status, serverResponse.Header)
	attemptResult.Load, attemptResult.WarmupLeft, attemptResult.Rate = info.Load, info.WarmupLeft, info.Rate
	attemptResult.Leaving, attemptResult.Pause = info.Leaving, info.Pause
	if info.BadPause {
		g.metrics.badPauses.Inc()
		g.log.Warn("server asked for a pause that is malformed or too long", "request_id", state.requestID,
			"server", state.lastServer(), "used", info.Pause.String())
	}
	if (info.Misdirected || info.NotRun) && serverResponse.RemainingBody != nil {
		serverResponse.RemainingBody.Close() // nobody reads the rest
	}
	switch {
	case info.Misdirected:
		attemptResult.Outcome = dispatch.OutcomeMisdirected
		return sendResult{retryable: true, reason: "another server has the address"}, attemptResult
	case info.NotRun:
		attemptResult.Outcome = dispatch.OutcomeRejected
		return sendResult{retryable: true, reason: "the server rejected the request"}, attemptResult
	}
	state.mayHaveRun = true
	response := callerResponse(serverResponse)
	if serverResponse.Status >= http.StatusInternalServerError {
		attemptResult.Outcome = dispatch.OutcomeFailed
		state.reason = "the server failed"
		retryable := state.route.Idempotency == routes.Idempotent && serverResponse.RemainingBody == nil
		return sendResult{response: response, retryable: retryable, reason: state.reason}, attemptResult
	}
	attemptResult.Outcome = dispatch.OutcomeSucceeded
	return sendResult{response: response}, attemptResult
}

// callerResponse turns a server's response into the one for the caller.
func callerResponse(serverResponse *upstream.Response) *ingress.Response {
	length := serverResponse.BodyLength
	hopheader.Remove(serverResponse.Header)
	delete(serverResponse.Header, "Content-Length")
	if serverResponse.RemainingBody == nil {
		// The stated length is larger than the body in the response to a HEAD request.
		length = max(length, int64(len(serverResponse.Body)))
	}
	return &ingress.Response{Status: serverResponse.Status, Header: serverResponse.Header, Body: serverResponse.Body, RemainingBody: serverResponse.RemainingBody, BodyLength: length}
}
