package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/retry"
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index := h.Config()
	if h.Draining() {
		// Closes the connection only after a response. Without one, the caller of a
		// request that is already on its way could not tell whether it ran.
		w.Header().Set("Connection", "close")
		h.writeRejection(w, &requestState{requestID: newRequestID(), receivedAt: time.Now()}, problem.New(problem.TypeDraining, http.StatusServiceUnavailable, problem.DidNotRun, "this entry instance drains"))
		return
	}
	if index == nil {
		h.writeRejection(w, &requestState{requestID: newRequestID(), receivedAt: time.Now()}, problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.DidNotRun, "no configuration is in force").WithRetryAfter(time.Second))
		return
	}
	state, rejection := resolveRoute(index, r)
	if rejection != nil {
		h.writeRejection(w, state, rejection)
		return
	}
	// A backend server may respond before it has read the whole body. Without full
	// duplex, net/http would read the rest of the upload before it sends the response.
	_ = http.NewResponseController(w).EnableFullDuplex()
	ctx, cancel, rejection := withDeadline(r.Context(), state.route, r.Header)
	defer cancel()
	if rejection != nil {
		h.writeRejection(w, state, rejection)
		return
	}
	if rejection := h.serve(ctx, w, r, index, state); rejection != nil {
		h.writeRejection(w, state, rejection)
	}
}

// serve runs the steps of a request. It returns a rejection if it wrote no response.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, index *config.Index, state *requestState) *problem.Document {
	if rejection := h.authorize(state); rejection != nil {
		return rejection
	}
	if rejection := h.checkRate(ctx, state); rejection != nil {
		return rejection
	}
	release, rejection := h.Admission.Acquire(ctx, state.route.Service, state.customer, state.fairWeight(index))
	if rejection != nil {
		return rejection
	}
	defer release()
	if rejection := h.readBody(w, r, state); rejection != nil {
		return rejection
	}
	if state.route.Idempotent {
		return h.serveIdempotent(ctx, w, r, state)
	}
	return h.serveNonIdempotent(ctx, w, r, state)
}

// authorize checks the API key. It is called on arrival and again before each attempt,
// since a key can be withdrawn while its request waits.
func (h *Handler) authorize(state *requestState) *problem.Document {
	if state.route.Access == config.AccessOpen {
		return nil
	}
	if state.presentedKey == "" {
		return problem.New(problem.TypeKeyMissing, http.StatusUnauthorized, state.ran(), "route %q needs a key in %s", state.route.Name, HeaderKey)
	}
	customer, rejection := h.Authorizer.Authorize(state.presentedKey, state.route)
	if rejection != nil {
		rejection.Ran = state.ran()
		return rejection
	}
	state.customer = customer
	return nil
}

// checkRate enforces the customer's rate limit. Requests on routes without a key have no
// customer and are bounded by Admission alone.
func (h *Handler) checkRate(ctx context.Context, state *requestState) *problem.Document {
	if state.customer == "" {
		return nil
	}
	ok, after := h.Limiter.Allow(ctx, state.customer)
	if ok {
		return nil
	}
	return problem.New(problem.TypeRateExceeded, http.StatusTooManyRequests, problem.DidNotRun, "customer %q is over its rate", state.customer).WithRetryAfter(after)
}

// readBody reads the request body into state.body: up to the maximum size for a
// non-idempotent request, the start of it otherwise.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, state *requestState) *problem.Document {
	limit := state.route.EffectiveMaxBodyBytes()
	bufferBytes := int64(StreamBufferBytes)
	if !state.route.Idempotent {
		limit = min(limit, MaxNonIdempotentBodyBytes)
		bufferBytes = limit + 1 // so that the whole body is buffered
	}
	body, err := readBody(w, r, bufferBytes, limit)
	if err != nil {
		return callerBodyProblem(err, problem.DidNotRun)
	}
	state.body = body
	state.fingerprint = requestFingerprint(r, state)
	return nil
}

// serveIdempotent sends the request, and retries it at other servers as long as that is
// safe and the retry budget allows it.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, r *http.Request, state *requestState) *problem.Document {
	h.Balancer.RecordRequest(state.customer, state.route.Service)
	for n := 0; ; n++ {
		response, failure := h.runAttempt(ctx, r, state, n)
		if failure == nil {
			return h.writeResponse(w, state, response)
		}
		if !h.waitForRetry(ctx, state, failure, n) {
			return failure.problem
		}
	}
}

// waitForRetry reports whether the request may be retried after attempt n failed. If so,
// it first waits for the backoff.
func (h *Handler) waitForRetry(ctx context.Context, state *requestState, f *attemptFailure, n int) bool {
	if f.kind == 0 || ctx.Err() != nil {
		return false
	}
	deadline, _ := ctx.Deadline()
	now := time.Now()
	wait, err := h.Balancer.NextRetry(retry.Attempt{
		Customer:       state.customer,
		Service:        state.route.Service,
		Number:         n + 1,
		Idempotent:     state.route.Idempotent,
		NotSent:        !state.maybeSent,
		BodyReplayable: state.body.replayable(),
		Suspect:        f.suspect,
		Failure:        f.kind,
		Deadline:       retry.NewDeadline(now, deadline.Sub(now), 0),
	})
	if err != nil {
		h.Log.Info("request not retried", "request_id", state.requestID, "customer", state.customer, "route", state.route.Name, "reason", err.Error())
		return false
	}
	return sleep.For(ctx, wait) == nil
}

// serveNonIdempotent claims the request, so that it runs at most once, and sends it, or
// writes the stored response if it has already run.
func (h *Handler) serveNonIdempotent(ctx context.Context, w http.ResponseWriter, r *http.Request, state *requestState) *problem.Document {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return problem.New(problem.TypeIdempotencyKeyMissing, http.StatusBadRequest, problem.DidNotRun, "route %q is not idempotent and needs %s", state.route.Name, HeaderIdempotencyKey)
	}
	claim, stored, rejection := h.Claims.Begin(ctx, ClaimRequest{
		Customer:       state.customer,
		Route:          state.route.Name,
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           state.backendPath,
		Body:           state.body.buffered,
	})
	if rejection != nil {
		return rejection
	}
	if stored != nil {
		writeStoredResponse(w, state, stored)
		h.recordServed(state, stored.Status, "stored response")
		return nil
	}
	state.claim = claim
	return h.runClaimedRequest(ctx, w, r, state)
}

// runClaimedRequest sends a claimed request. It is not cancelled when the caller
// disconnects, so that the outcome is stored if bytes may have been sent.
func (h *Handler) runClaimedRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, state *requestState) *problem.Document {
	ctx, cancel := withoutCancelWithDeadline(ctx)
	defer cancel()
	h.Balancer.RecordRequest(state.customer, state.route.Service)
	for n := 0; ; n++ {
		response, failure := h.runAttempt(ctx, r, state, n)
		if failure == nil {
			return h.completeClaim(ctx, w, state, response)
		}
		if h.waitForRetry(ctx, state, failure, n) {
			continue
		}
		h.releaseOrAbandonClaim(ctx, state)
		return failure.problem
	}
}

// releaseOrAbandonClaim ends the claim of a failed request: it releases the claim if nothing
// was sent, and abandons it if the request may have run.
func (h *Handler) releaseOrAbandonClaim(ctx context.Context, state *requestState) {
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ClaimRecordTimeout)
	defer cancel()
	if state.maybeSent {
		state.claim.Abandon(recordCtx)
		return
	}
	state.claim.Release(recordCtx)
}

// withoutCancelWithDeadline returns a context with the values and the deadline of ctx that
// is not cancelled with ctx.
func withoutCancelWithDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(detached)
	}
	return context.WithDeadline(detached, deadline)
}

// completeClaim reads the whole response, stores it with the claim and writes it to the
// caller.
func (h *Handler) completeClaim(ctx context.Context, w http.ResponseWriter, state *requestState, response *backendResponse) *problem.Document {
	body, err := response.readAll(MaxStoredResponseBytes)
	if err != nil {
		h.releaseOrAbandonClaim(ctx, state)
		return incompleteResponseProblem(state, err)
	}
	stored := StoredResponse{Status: response.status(), Header: headerForCaller(response.resp.Header), Body: body}
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ClaimRecordTimeout)
	defer cancel()
	state.claim.Complete(recordCtx, stored)
	writeStoredResponse(w, state, &stored)
	h.recordServed(state, stored.Status, "backend server "+response.serverName)
	return nil
}

// writeRejection writes a problem document as the response, and logs and counts it.
func (h *Handler) writeRejection(w http.ResponseWriter, state *requestState, rejection *problem.Document) {
	rejection.RequestID = state.requestID
	w.Header().Set(HeaderRequestID, state.requestID)
	rejection.Write(w)
	h.recordRejection(state, rejection)
}

// recordServed logs and counts a request that got a response from source.
func (h *Handler) recordServed(state *requestState, status int, source string) {
	duration := time.Since(state.receivedAt)
	h.Metrics.observe(state, status, "", duration)
	h.Log.Info("request served", "request_id", state.requestID, "customer", state.customer, "route", state.route.Name,
		"status", status, "source", source, "attempts", len(state.triedServers), "duration_ms", duration.Milliseconds())
}

// recordRejection logs and counts a request that was answered with a problem document.
func (h *Handler) recordRejection(state *requestState, rejection *problem.Document) {
	duration := time.Since(state.receivedAt)
	route := ""
	if state.route != nil {
		route = state.route.Name
	}
	h.Metrics.observe(state, rejection.Status, string(rejection.Type), duration)
	h.Log.Info("request rejected", "request_id", state.requestID, "customer", state.customer, "route", route,
		"status", rejection.Status, "type", problemTypeName(rejection.Type), "ran", rejection.Ran, "detail", rejection.Detail,
		"attempts", len(state.triedServers), "duration_ms", duration.Milliseconds())
}

// problemTypeName returns the last segment of the URN of a problem type.
func problemTypeName(t problem.Type) string {
	return string(t[strings.LastIndexByte(string(t), ':')+1:])
}
