package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/ingress"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/routes"
	"github.com/jacinthrack/jacinthrack/upstream"
)

// Limits on handling a request.
const (
	// defaultTimeout is the timeout of a caller that does not send one.
	defaultTimeout = 30 * time.Second
	// responseMargin is subtracted from the caller's timeout, so that the response can
	// still reach the caller.
	responseMargin = 10 * time.Millisecond
	// notReadyRetryAfter is the Retry-After time of a rejection before the first
	// configuration or while the configuration is too old.
	notReadyRetryAfter = 200 * time.Millisecond
	// maxServersTried is the maximum number of servers tried for a request of which no byte
	// was sent.
	maxServersTried = 5
)

// requestState is the state of one request while the gateway handles it.
type requestState struct {
	requestID     string
	request       *ingress.Request
	route         *routes.Route
	customer      *routes.Customer // nil on public routes
	service       string
	configVersion int64
	configAge     time.Duration // at the time the route and customer were looked up
	deadline      time.Time
	fingerprint   quarantine.Fingerprint
	buffers       *upstream.Buffers // of the responses of servers

	attempts        int
	relayedAttempts int           // attempts through other instances
	sentAttempts    int           // attempts of which bytes may have reached a server
	capacityWait    time.Duration // time spent waiting for free capacity at servers
	quotaWait       time.Duration // time spent borrowing a quota token from other instances
	triedServers    []string      // IDs
	mayHaveRun      bool          // a server may have run the request
	reason          string        // why the request was rejected or failed; for its log line
}

func (state *requestState) customerName() string {
	if state.customer == nil {
		return ""
	}
	return state.customer.Name
}

// lastServer returns the id of the server of the last attempt, of which there must be one.
func (state *requestState) lastServer() string { return state.triedServers[len(state.triedServers)-1] }

// Handle processes a request of a caller and returns the response. It has the type
// ingress.Handler.
func (g *Gateway) Handle(ctx context.Context, r *ingress.Request) *ingress.Response {
	state := &requestState{requestID: g.dialect.RequestID(r.Header), request: r}
	response, rejection := g.process(ctx, state)
	if rejection != nil {
		response = problemResponse(state, rejection)
		state.reason = rejection.Detail
	}
	g.recordOutcome(ctx, state, response)
	return response
}

// process runs a request through admission, quota and forwarding. It returns either a
// response or the reason for a rejection.
func (g *Gateway) process(ctx context.Context, state *requestState) (*ingress.Response, *problem.Document) {
	if rejection := g.admit(state); rejection != nil {
		return nil, rejection
	}
	ctx, cancel := context.WithDeadline(ctx, state.deadline)
	state.buffers = g.upstream.NewBuffers()
	response, rejection := g.takeTokenAndForward(ctx, state)
	if response == nil {
		cancel()
		state.buffers.Release()
		return nil, rejection
	}
	response.ReleaseBody = state.buffers.Release
	if response.RemainingBody != nil {
		g.streamResponse(ctx, cancel, state, response)
	} else {
		cancel()
	}
	return response, nil
}

// takeTokenAndForward runs an admitted request within its deadline, which is that of ctx.
func (g *Gateway) takeTokenAndForward(ctx context.Context, state *requestState) (*ingress.Response, *problem.Document) {
	if rejection := g.takeQuotaToken(ctx, state); rejection != nil {
		return nil, rejection
	}
	return g.forward(ctx, state)
}

// admit looks up the route and the customer of a request and sets its deadline. It returns a
// rejection if all requests are rejected, no configuration is in force, the route or key is
// unknown, or the keys are too old.
func (g *Gateway) admit(state *requestState) *problem.Document {
	if g.rejecting.Load() {
		return drainingProblem()
	}
	// The age is read before the configuration: if a newer configuration arrives in
	// between, the older one must not be used with the age of the newer one.
	state.configAge = g.ConfigAge()
	config := g.config.Load()
	if config == nil {
		return problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.DidNotRun, "no configuration is in force").WithRetryAfter(notReadyRetryAfter)
	}
	g.mu.Lock()
	policy := g.policy
	g.mu.Unlock()
	state.configVersion = config.Version
	state.route = config.Match(state.request.Host, state.request.URL.Path)
	if state.route == nil {
		return denyRequest(state, policy, problem.TypeRouteUnknown, http.StatusNotFound, "no route matches the host and path")
	}
	if !state.route.Public {
		if policy.MaxKeyAge > 0 && state.configAge > policy.MaxKeyAge {
			return problem.New(problem.TypeKeyDataStale, http.StatusServiceUnavailable, problem.DidNotRun, "the keys are too old to be accepted").WithRetryAfter(notReadyRetryAfter)
		}
		state.customer = config.CustomerByAPIKey(g.dialect.APIKey(state.request.Header))
		if state.customer == nil {
			return denyRequest(state, policy, problem.TypeKeyInvalid, http.StatusUnauthorized, "the key is not known")
		}
	}
	state.deadline = responseDeadline(state, g.dialect)
	plan := g.stopPlan.Load()
	if !g.endsBefore(plan, state) {
		return drainingProblem()
	}
	plan.capDeadline(state)
	return nil
}

// denyRequest returns a final rejection, or a temporary one if the configuration is so old
// that a newer one might allow the request.
func denyRequest(state *requestState, p Policy, problemType problem.Type, status int, detail string) *problem.Document {
	if p.MaxDenialAge > 0 && state.configAge > p.MaxDenialAge {
		return problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.DidNotRun, "the configuration may be out of date").WithRetryAfter(notReadyRetryAfter)
	}
	return problem.New(problemType, status, problem.DidNotRun, "%s", detail)
}

// responseDeadline returns the time by which the final response must be ready. It depends on
// the timeouts of the caller and the route.
func responseDeadline(state *requestState, d Dialect) time.Time {
	timeout, ok := d.Timeout(state.request.Header)
	if !ok {
		timeout = defaultTimeout
	}
	timeout -= responseMargin
	if state.route.Timeout > 0 {
		timeout = min(timeout, state.route.Timeout)
	}
	return state.request.ArrivalTime.Add(timeout)
}

// takeQuotaToken takes a token of the customer's quota from this instance's bucket or borrows
// one from another instance. Requests on public routes need none.
func (g *Gateway) takeQuotaToken(ctx context.Context, state *requestState) *problem.Document {
	if state.customer == nil {
		return nil
	}
	g.mu.Lock()
	ok, retryAfter := g.quotas.TakeToken(state.customer.Name, time.Now())
	g.mu.Unlock()
	if ok {
		return nil
	}
	start := time.Now()
	ok = g.borrower.borrowAndTake(ctx, state.customer.Name)
	state.quotaWait = time.Since(start)
	if ok {
		return nil
	}
	return problem.New(problem.TypeRateExceeded, http.StatusTooManyRequests, problem.DidNotRun, "the customer is over its rate").WithRetryAfter(retryAfter)
}

// forward sends the request to servers, one attempt after the other, until a response needs
// no retry or no further attempt is possible or allowed. If a server answered with a failure
// and no later attempt gets a response, the failure is returned to the caller.
func (g *Gateway) forward(ctx context.Context, state *requestState) (*ingress.Response, *problem.Document) {
	request := g.dispatchRequest(state)
	g.mu.Lock()
	g.dispatcher.CountRequest(state.service, time.Now())
	g.mu.Unlock()
	var failureResponse *ingress.Response // the last response with a failure status
	for {
		server, rejection := g.reserveServer(ctx, state, request)
		if rejection != nil {
			if failureResponse != nil {
				return failureResponse, nil
			}
			return nil, rejection
		}
		result := g.sendAttempt(ctx, state, request, server)
		if result.response != nil && !result.retryable {
			return result.response, nil
		}
		if result.response != nil {
			failureResponse = result.response
		}
		if !result.retryable || !g.mayRetry(ctx, state, result) {
			if failureResponse != nil {
				return failureResponse, nil
			}
			return nil, g.failureProblem(ctx, state, result)
		}
		request.ExcludedServerIDs = state.triedServers
	}
}

// dispatchRequest describes the request to the dispatcher. The service is drawn once per
// request: if a route splits its traffic between services and one of them has no free
// capacity, its part of the traffic is not moved to another service.
func (g *Gateway) dispatchRequest(state *requestState) *dispatch.Request {
	g.mu.Lock()
	state.service = state.route.PickService(g.rng)
	g.mu.Unlock()
	request := &dispatch.Request{
		ID:          state.requestID,
		Service:     state.service,
		Route:       state.route.Name,
		Priority:    routes.RequestPriority(state.route, state.customer),
		ObjectiveAt: state.request.ArrivalTime.Add(state.route.LatencyObjective),
		Deadline:    state.deadline,
		BodyBytes:   len(state.request.BufferedBody),
		Customer:    state.customerName(),
	}
	if state.customer != nil {
		request.CustomerWeight = state.customer.Rate
	}
	if state.route.ObjectAffinity {
		if object := g.dialect.AffinityKey(state.request.Header); object != "" {
			request.ObjectHash = xxhash.Sum64String(state.route.Name + "/" + object)
		}
	}
	request.AllowedRegions, request.RegionRestricted = routes.AllowedRegions(state.route, state.customer)
	var bodyHash []byte
	if len(state.request.BufferedBody) > 0 {
		bodyHash = hexHash(state.request.BufferedBody)
	}
	state.fingerprint = quarantine.FingerprintOf(state.customerName(), state.request.Method, state.request.Host+state.request.RequestURI, bodyHash)
	return request
}

// hexHash returns the xxHash of the bytes in hexadecimal digits.
func hexHash(b []byte) []byte { return strconv.AppendUint(nil, xxhash.Sum64(b), 16) }

// reserveServer reserves a slot at a server and waits for one if necessary.
func (g *Gateway) reserveServer(ctx context.Context, state *requestState, request *dispatch.Request) (reservedServer, *problem.Document) {
	if !g.endsBeforeStop(state) {
		return reservedServer{}, g.stopProblem(state)
	}
	start := time.Now()
	g.mu.Lock()
	decision, waiter := g.dispatcher.Submit(request, start)
	if decision.Verdict == dispatch.VerdictStart {
		server := newReservedServer(decision.Server)
		g.mu.Unlock()
		return server, nil
	}
	if decision.Verdict == dispatch.VerdictReject {
		g.mu.Unlock()
		return reservedServer{}, g.rejectionProblem(state, decision)
	}
	assigned := make(chan waitResult, 1)
	g.waiterChannels[waiter] = assigned
	g.mu.Unlock()
	defer func() { state.capacityWait += time.Since(start) }()
	stopPlanned := g.stopPlanned
	for {
		timer := time.NewTimer(time.Until(decision.ReviewAt))
		select {
		case result := <-assigned:
			timer.Stop()
			return g.endWait(state, request, result)
		case <-timer.C:
		case <-stopPlanned:
			timer.Stop()
			stopPlanned = nil
		case <-ctx.Done():
			timer.Stop()
		}
		endsBeforeStop := g.endsBeforeStop(state)
		g.mu.Lock()
		if g.waiterChannels[waiter] == nil {
			// startWaiters has assigned a server in the meantime and sent it to the channel.
			g.mu.Unlock()
			return g.endWait(state, request, <-assigned)
		}
		if !endsBeforeStop {
			g.dispatcher.RemoveWaiter(waiter)
			delete(g.waiterChannels, waiter)
			g.mu.Unlock()
			return reservedServer{}, g.stopProblem(state)
		}
		now := time.Now()
		if ctx.Err() != nil {
			g.dispatcher.RemoveWaiter(waiter)
			decision = dispatch.Decision{Verdict: dispatch.VerdictReject, Reason: "no room in time", RetryAfter: notReadyRetryAfter}
		} else {
			decision = g.dispatcher.Review(waiter, now)
		}
		if decision.Verdict == dispatch.VerdictReject {
			delete(g.waiterChannels, waiter)
			g.mu.Unlock()
			return reservedServer{}, g.rejectionProblem(state, decision)
		}
		g.mu.Unlock()
	}
}

// endWait returns the server that was assigned to a request after a wait, or a rejection, also if
// the process ends too soon by now.
func (g *Gateway) endWait(state *requestState, request *dispatch.Request, result waitResult) (reservedServer, *problem.Document) {
	if result.rejection != nil {
		return reservedServer{}, g.rejectionProblem(state, *result.rejection)
	}
	if g.endsBeforeStop(state) {
		return result.server, nil
	}
	g.finishAttempt(request, result.server, dispatch.AttemptResult{Outcome: dispatch.OutcomeCancelled})
	return reservedServer{}, g.stopProblem(state)
}

// rejectionProblem returns the problem document for a rejection decision. If no server can have
// run the request, it also refunds the customer's quota token.
func (g *Gateway) rejectionProblem(state *requestState, d dispatch.Decision) *problem.Document {
	if reason, ok := selfReportReasons[d.Reason]; ok {
		g.metrics.selfReportRejections.WithLabelValues(reason).Inc()
	}
	if state.mayHaveRun {
		return problem.New(problem.TypeBackendFailed, http.StatusBadGateway, problem.MayHaveRun, "no further server: %s", d.Reason)
	}
	g.refundQuota(state)
	return problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.DidNotRun, "%s", d.Reason).WithRetryAfter(d.RetryAfter)
}

// refundQuota returns the customer's quota token of a request that did not run.
func (g *Gateway) refundQuota(state *requestState) {
	if state.customer == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.Refund(state.customer.Name)
}

// mayRetry reports whether another attempt is allowed. An attempt that sent nothing does not
// use the retry budget.
func (g *Gateway) mayRetry(ctx context.Context, state *requestState, result sendResult) bool {
	if ctx.Err() != nil || state.request.Streamed && result.maybeSent {
		return false
	}
	if !result.maybeSent {
		return len(state.triedServers) < maxServersTried
	}
	state.sentAttempts++
	if state.route.MaxAttempts > 0 && state.sentAttempts >= state.route.MaxAttempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.TakeRetry(state.service, g.policy.RetryBudget, time.Now())
}

// failureProblem returns the problem document for a request that ended without a response from
// a server.
func (g *Gateway) failureProblem(ctx context.Context, state *requestState, result sendResult) *problem.Document {
	switch {
	case !state.mayHaveRun:
		return g.rejectionProblem(state, dispatch.Decision{Verdict: dispatch.VerdictReject, Reason: result.reason, RetryAfter: notReadyRetryAfter})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return responseTimeoutProblem()
	default:
		return problem.New(problem.TypeBackendFailed, http.StatusBadGateway, problem.MayHaveRun, "%s", result.reason)
	}
}

// responseTimeoutProblem returns the problem document for a request whose server sent no complete
// response before the deadline.
func responseTimeoutProblem() *problem.Document {
	return problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.MayHaveRun, "no response in time")
}
