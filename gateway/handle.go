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
)

// Times of a request.
const (
	// defaultPatience is how long a caller waits that does not say so.
	defaultPatience = 30 * time.Second
	// replyAllowance is left for the way of a response to the caller.
	replyAllowance = 10 * time.Millisecond
	// notReadyRetry is when a caller may return that came before the
	// configuration, or while it is too old.
	notReadyRetry = 200 * time.Millisecond
	// maxTries bounds the servers that a request tries to connect to.
	maxTries = 5
)

// exchange is one request of a caller on its way.
type exchange struct {
	id       string
	request  *ingress.Request
	route    *routes.Route
	customer *routes.Customer // nil on public routes
	service  string
	version  int64
	age      time.Duration // of the configuration when it decided
	deadline time.Time
	print    quarantine.Fingerprint

	attempts   int
	sends      int           // attempts that may have reached a server
	waited     time.Duration // for room at servers
	charged    time.Duration // for a token of the quota
	tried      []string
	mayHaveRun bool
	reason     string // of the final outcome
}

func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// Handle answers a request. It has the type ingress.Handler.
func (g *Gateway) Handle(ctx context.Context, r *ingress.Request) *ingress.Response {
	x := &exchange{id: g.dialect.RequestID(r.Header), request: r}
	response, refusal := g.answer(ctx, x)
	if refusal != nil {
		response = refuse(x, refusal)
		x.reason = refusal.Detail
	}
	g.record(ctx, x, response)
	return response
}

// answer runs the steps of a request.
func (g *Gateway) answer(ctx context.Context, x *exchange) (*ingress.Response, *problem.Document) {
	if refusal := g.admit(x); refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if refusal := g.charge(ctx, x); refusal != nil {
		return nil, refusal
	}
	return g.run(ctx, x)
}

// admit finds the route and customer of a request.
func (g *Gateway) admit(x *exchange) *problem.Document {
	if g.refusing.Load() {
		return problem.New(problem.TypeDraining, http.StatusServiceUnavailable, problem.RanNo, "this instance stops")
	}
	// The age is read first: an older configuration must not get the age of a newer
	// one that comes in between.
	x.age = g.ConfigAge()
	config := g.config.Load()
	if config == nil {
		return problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.RanNo, "no configuration is in force").WithRetryAfter(notReadyRetry)
	}
	g.mu.Lock()
	policy := g.policy
	g.mu.Unlock()
	x.version = config.Version
	x.route = config.Match(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		return deny(x, policy, problem.TypeRouteUnknown, http.StatusNotFound, "no route matches the host and path")
	}
	if !x.route.Public {
		if policy.MaxKeyAge > 0 && x.age > policy.MaxKeyAge {
			return problem.New(problem.TypeKeyStale, http.StatusServiceUnavailable, problem.RanNo, "the keys are too old to be accepted").WithRetryAfter(notReadyRetry)
		}
		x.customer = config.CustomerByAPIKey(g.dialect.APIKey(x.request.Header))
		if x.customer == nil {
			return deny(x, policy, problem.TypeKeyInvalid, http.StatusUnauthorized, "the key is not known")
		}
	}
	x.deadline = deadline(x, g.dialect)
	return nil
}

// deny returns a final refusal, or a temporary one if a newer configuration might
// allow the request.
func deny(x *exchange, p Policy, kind problem.Type, status int, detail string) *problem.Document {
	if p.MaxDenialAge > 0 && x.age > p.MaxDenialAge {
		return problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.RanNo, "the configuration may be out of date").WithRetryAfter(notReadyRetry)
	}
	return problem.New(kind, status, problem.RanNo, "%s", detail)
}

// deadline returns when the final answer is due.
func deadline(x *exchange, d Dialect) time.Time {
	left, ok := d.Timeout(x.request.Header)
	if !ok {
		left = defaultPatience
	}
	left -= replyAllowance
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	return x.request.Arrived.Add(left)
}

// charge takes a token of the customer's quota, here or from another instance.
func (g *Gateway) charge(ctx context.Context, x *exchange) *problem.Document {
	if x.customer == nil {
		return nil
	}
	g.mu.Lock()
	ok, wait := g.quotas.TakeToken(x.customer.Name, time.Now())
	g.mu.Unlock()
	if ok {
		return nil
	}
	start := time.Now()
	ok = g.loans.token(ctx, x.customer.Name)
	x.charged = time.Since(start)
	if ok {
		return nil
	}
	return problem.New(problem.TypeRateExceeded, http.StatusTooManyRequests, problem.RanNo, "the customer is over its rate").WithRetryAfter(wait)
}

// run sends the request to servers until one answers or none can.
func (g *Gateway) run(ctx context.Context, x *exchange) (*ingress.Response, *problem.Document) {
	want := g.want(x)
	g.mu.Lock()
	g.table.CountRequest(x.service, time.Now())
	g.mu.Unlock()
	var fallback *ingress.Response
	for {
		server, refusal := g.reserve(ctx, x, want)
		if refusal != nil {
			if fallback != nil {
				return fallback, nil
			}
			return nil, refusal
		}
		a := g.attempt(ctx, x, want, server)
		if a.response != nil && !a.again {
			return a.response, nil
		}
		if a.response != nil {
			fallback = a.response
		}
		if !a.again || !g.mayRepeat(ctx, x, a) {
			if fallback != nil {
				return fallback, nil
			}
			return nil, g.giveUp(ctx, x, a)
		}
		want.ExcludedServerIDs = x.tried
	}
}

// want describes the request to the table. The service is drawn once: a share of a
// split that has no room is not moved to another.
func (g *Gateway) want(x *exchange) *dispatch.Request {
	g.mu.Lock()
	x.service = x.route.PickService(g.rng)
	g.mu.Unlock()
	r := &dispatch.Request{
		ID:          x.id,
		Service:     x.service,
		Route:       x.route.Name,
		Priority:    routes.RequestPriority(x.route, x.customer),
		ObjectiveAt: x.request.Arrived.Add(x.route.LatencyObjective),
		Deadline:    x.deadline,
		BodyBytes:   len(x.request.Buffered),
		Customer:    x.customerName(),
	}
	if x.customer != nil {
		r.CustomerWeight = x.customer.Rate
	}
	if x.route.ObjectAffinity {
		if object := g.dialect.AffinityKey(x.request.Header); object != "" {
			r.ObjectHash = xxhash.Sum64String(x.route.Name + "/" + object)
		}
	}
	r.AllowedRegions, r.RegionBound = routes.AllowedRegions(x.route, x.customer)
	var body []byte
	if len(x.request.Buffered) > 0 {
		body = binaryHash(x.request.Buffered)
	}
	x.print = quarantine.FingerprintOf(x.customerName(), x.request.Method, x.request.Host+x.request.RequestURI, body)
	return r
}

func binaryHash(b []byte) []byte { return strconv.AppendUint(nil, xxhash.Sum64(b), 16) }

// reserve takes room at a server, waiting for it if need be.
func (g *Gateway) reserve(ctx context.Context, x *exchange, want *dispatch.Request) (target, *problem.Document) {
	start := time.Now()
	g.mu.Lock()
	decision, waiter := g.table.Submit(want, start)
	if decision.Verdict == dispatch.VerdictStart {
		chosen := targetOf(decision.Server)
		g.mu.Unlock()
		return chosen, nil
	}
	if decision.Verdict == dispatch.VerdictReject {
		g.mu.Unlock()
		return target{}, g.refusal(x, decision)
	}
	granted := make(chan target, 1)
	g.grants[waiter] = granted
	g.mu.Unlock()
	defer func() { x.waited += time.Since(start) }()
	for {
		timer := time.NewTimer(time.Until(decision.ReviewAt))
		select {
		case chosen := <-granted:
			timer.Stop()
			return chosen, nil
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		g.mu.Lock()
		if g.grants[waiter] == nil {
			g.mu.Unlock()
			return <-granted, nil
		}
		now := time.Now()
		if ctx.Err() != nil {
			g.table.RemoveWaiter(waiter)
			decision = dispatch.Decision{Verdict: dispatch.VerdictReject, Reason: "no room in time", RetryAfter: notReadyRetry}
		} else {
			decision = g.table.Review(waiter, now)
		}
		if decision.Verdict == dispatch.VerdictReject {
			delete(g.grants, waiter)
			g.mu.Unlock()
			return target{}, g.refusal(x, decision)
		}
		g.mu.Unlock()
	}
}

// refusal turns a decision into a problem.
func (g *Gateway) refusal(x *exchange, d dispatch.Decision) *problem.Document {
	if x.mayHaveRun {
		return problem.New(problem.TypeBackendFailed, http.StatusBadGateway, problem.RanUnknown, "no further server: %s", d.Reason)
	}
	if x.customer != nil {
		g.mu.Lock()
		g.quotas.Refund(x.customer.Name)
		g.mu.Unlock()
	}
	return problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.RanNo, "%s", d.Reason).WithRetryAfter(d.RetryAfter)
}

// mayRepeat reports whether the request may be sent to another server.
func (g *Gateway) mayRepeat(ctx context.Context, x *exchange, a attempt) bool {
	if ctx.Err() != nil || x.request.Streamed && a.sent {
		return false
	}
	if !a.sent {
		return len(x.tried) < maxTries
	}
	x.sends++
	if x.route.MaxAttempts > 0 && x.sends >= x.route.MaxAttempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.TakeRetry(x.service, g.policy.RetryBudget, time.Now())
}

// giveUp returns the final answer of a request that no server answered.
func (g *Gateway) giveUp(ctx context.Context, x *exchange, a attempt) *problem.Document {
	switch {
	case !x.mayHaveRun:
		return g.refusal(x, dispatch.Decision{Verdict: dispatch.VerdictReject, Reason: a.reason, RetryAfter: notReadyRetry})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.RanUnknown, "no response in time")
	default:
		return problem.New(problem.TypeBackendFailed, http.StatusBadGateway, problem.RanUnknown, "%s", a.reason)
	}
}
