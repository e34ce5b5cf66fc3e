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
		// Closing the connection of a request that is on its way would leave its
		// caller in doubt about whether it ran.
		w.Header().Set("Connection", "close")
		h.refuse(w, &exchange{id: newRequestID(), start: time.Now()}, problem.New(problem.TypeDraining, http.StatusServiceUnavailable, problem.RanNo, "this entry instance drains"))
		return
	}
	if index == nil {
		h.refuse(w, &exchange{id: newRequestID(), start: time.Now()}, problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.RanNo, "no configuration is in force").WithRetryAfter(time.Second))
		return
	}
	x, refusal := resolve(index, r)
	if refusal != nil {
		h.refuse(w, x, refusal)
		return
	}
	// A backend server may respond before it has read the whole body. Without
	// this, net/http would consume the rest of an upload first.
	_ = http.NewResponseController(w).EnableFullDuplex()
	ctx, cancel, refusal := withDeadline(r.Context(), x.route, r.Header)
	defer cancel()
	if refusal != nil {
		h.refuse(w, x, refusal)
		return
	}
	if refusal := h.serve(ctx, w, r, index, x); refusal != nil {
		h.refuse(w, x, refusal)
	}
}

// serve runs the steps of a request. It returns a refusal if no response was
// written.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, index *config.Index, x *exchange) *problem.Document {
	if refusal := h.authorize(x); refusal != nil {
		return refusal
	}
	if refusal := h.limit(ctx, x); refusal != nil {
		return refusal
	}
	release, refusal := h.Admission.Acquire(ctx, x.route.Service, x.customer, x.weight(index))
	if refusal != nil {
		return refusal
	}
	defer release()
	if refusal := h.readBody(w, r, x); refusal != nil {
		return refusal
	}
	if x.route.Idempotent {
		return h.serveIdempotent(ctx, w, r, x)
	}
	return h.serveClaimed(ctx, w, r, x)
}

// authorize checks the key. It is called on arrival and again before each
// attempt, since a key can be withdrawn while its request waits.
func (h *Handler) authorize(x *exchange) *problem.Document {
	if x.route.Access == config.AccessOpen {
		return nil
	}
	if x.key == "" {
		return problem.New(problem.TypeKeyMissing, http.StatusUnauthorized, x.ran(), "route %q needs a key in %s", x.route.Name, HeaderKey)
	}
	customer, refusal := h.Authorizer.Authorize(x.key, x.route)
	if refusal != nil {
		refusal.Ran = x.ran()
		return refusal
	}
	x.customer = customer
	return nil
}

// limit holds the customer to its rate. Requests without a customer, on routes
// open to all, are bounded by admission alone.
func (h *Handler) limit(ctx context.Context, x *exchange) *problem.Document {
	if x.customer == "" {
		return nil
	}
	ok, after := h.Limiter.Allow(ctx, x.customer)
	if ok {
		return nil
	}
	return problem.New(problem.TypeRateExceeded, http.StatusTooManyRequests, problem.RanNo, "customer %q is over its rate", x.customer).WithRetryAfter(after)
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, x *exchange) *problem.Document {
	limit := x.route.BodyLimit()
	hold := int64(StreamBufferBytes)
	if !x.route.Idempotent {
		limit = min(limit, MaxNonIdempotentBodyBytes)
		hold = limit + 1
	}
	body, err := readBody(w, r, hold, limit)
	if err != nil {
		return callerProblem(err, problem.RanNo)
	}
	x.body = body
	x.fingerprint = fingerprint(r, x)
	return nil
}

// serveIdempotent sends the request, and again to another server while that is
// safe and the retry budget allows it.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) *problem.Document {
	h.Balancer.RecordRequest(x.customer, x.route.Service)
	for n := 0; ; n++ {
		reply, failure := h.try(ctx, r, x, n)
		if failure == nil {
			return h.respond(w, x, reply)
		}
		if !h.mayRetry(ctx, x, failure, n) {
			return failure.problem
		}
	}
}

// mayRetry reports whether another attempt may follow a failed one, after the
// backoff.
func (h *Handler) mayRetry(ctx context.Context, x *exchange, f *failure, n int) bool {
	if f.kind == 0 || ctx.Err() != nil {
		return false
	}
	deadline, _ := ctx.Deadline()
	now := time.Now()
	wait, err := h.Balancer.NextRetry(retry.Attempt{
		Customer:       x.customer,
		Service:        x.route.Service,
		Number:         n + 1,
		Idempotent:     x.route.Idempotent,
		NotSent:        !x.sent,
		BodyReplayable: x.body.replayable(),
		Suspect:        f.crashes,
		Failure:        f.kind,
		Deadline:       retry.NewDeadline(now, deadline.Sub(now), 0),
	})
	if err != nil {
		h.Log.Info("request not retried", "request_id", x.id, "customer", x.customer, "route", x.route.Name, "reason", err.Error())
		return false
	}
	return sleep.For(ctx, wait) == nil
}

// serveClaimed runs non-idempotent work at most once.
func (h *Handler) serveClaimed(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) *problem.Document {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return problem.New(problem.TypeIdempotencyKeyMissing, http.StatusBadRequest, problem.RanNo, "route %q is not idempotent and needs %s", x.route.Name, HeaderIdempotencyKey)
	}
	claim, stored, refusal := h.Claims.Begin(ctx, ClaimRequest{
		Customer:       x.customer,
		Route:          x.route.Name,
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           x.path,
		Body:           x.body.held,
	})
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		writeStored(w, x, stored)
		h.logDone(x, stored.Status, "stored response")
		return nil
	}
	x.claim = claim
	return h.runClaim(ctx, w, r, x)
}

// runClaim sends claimed work. Once bytes may have been sent, the caller's
// departure no longer cancels it, so that its outcome can be stored.
func (h *Handler) runClaim(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) *problem.Document {
	ctx, cancel := detach(ctx)
	defer cancel()
	h.Balancer.RecordRequest(x.customer, x.route.Service)
	for n := 0; ; n++ {
		reply, failure := h.try(ctx, r, x, n)
		if failure == nil {
			return h.completeClaim(ctx, w, x, reply)
		}
		if h.mayRetry(ctx, x, failure, n) {
			continue
		}
		h.giveUp(ctx, x)
		return failure.problem
	}
}

// giveUp ends a claim whose work was not sent, or whose response is lost.
func (h *Handler) giveUp(ctx context.Context, x *exchange) {
	record, cancel := context.WithTimeout(context.WithoutCancel(ctx), ClaimRecordTimeout)
	defer cancel()
	if x.sent {
		x.claim.Abandon(record)
		return
	}
	x.claim.Release(record)
}

// detach keeps the deadline of ctx and drops its cancellation.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(detached)
	}
	return context.WithDeadline(detached, deadline)
}

func (h *Handler) completeClaim(ctx context.Context, w http.ResponseWriter, x *exchange, reply *reply) *problem.Document {
	body, err := reply.readAll(MaxStoredResponseBytes)
	if err != nil {
		h.giveUp(ctx, x)
		return incomplete(x, err)
	}
	stored := StoredResponse{Status: reply.status(), Header: callerHeader(reply.resp.Header), Body: body}
	record, cancel := context.WithTimeout(context.WithoutCancel(ctx), ClaimRecordTimeout)
	defer cancel()
	x.claim.Complete(record, stored)
	writeStored(w, x, &stored)
	h.logDone(x, stored.Status, "served by "+reply.server)
	return nil
}

// refuse writes a problem document.
func (h *Handler) refuse(w http.ResponseWriter, x *exchange, refusal *problem.Document) {
	refusal.RequestID = x.id
	w.Header().Set(HeaderRequestID, x.id)
	refusal.Write(w)
	h.logRefusal(x, refusal)
}

func (h *Handler) logDone(x *exchange, status int, reason string) {
	took := time.Since(x.start)
	h.Metrics.observe(x, status, "", took)
	h.Log.Info("request served", "request_id", x.id, "customer", x.customer, "route", x.route.Name,
		"status", status, "reason", reason, "attempts", len(x.tried), "duration_ms", took.Milliseconds())
}

func (h *Handler) logRefusal(x *exchange, refusal *problem.Document) {
	took := time.Since(x.start)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	h.Metrics.observe(x, refusal.Status, string(refusal.Type), took)
	h.Log.Info("request refused", "request_id", x.id, "customer", x.customer, "route", route,
		"status", refusal.Status, "type", shortType(refusal.Type), "ran", refusal.Ran, "detail", refusal.Detail,
		"attempts", len(x.tried), "duration_ms", took.Milliseconds())
}

func shortType(t problem.Type) string {
	return string(t[strings.LastIndexByte(string(t), ':')+1:])
}
