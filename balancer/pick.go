package balancer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/forward"
	"github.com/jacinthrack/jacinthrack/headroom"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/placement"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/retry"
	"github.com/jacinthrack/jacinthrack/selector"
	"github.com/jacinthrack/jacinthrack/shiftcap"
)

// defaultRetryAfter is the time after which the caller of a rejected request may try
// again.
const defaultRetryAfter = time.Second

// ownRegionHop is the path to a backend server in the region of this instance, with the
// least time in which one can respond.
var ownRegionHop = retry.Hop{RoundTrip: 2 * time.Millisecond, MinProcessing: time.Millisecond}

// RecordRequest implements forward.Balancer.
func (b *Balancer) RecordRequest(customer, service string) {
	b.budgets.RecordRequest(customer, service, time.Now())
}

// NextRetry implements forward.Balancer.
func (b *Balancer) NextRetry(a retry.Attempt) (time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgets.NextRetry(a, ownRegionHop, time.Now(), b.rng)
}

// capacityCheckInterval is the time between two placement attempts of a waiting request.
const capacityCheckInterval = 5 * time.Millisecond

// Pick implements forward.Balancer. A request that finds no free capacity waits for up
// to the policy's queue wait.
func (b *Balancer) Pick(ctx context.Context, pickReq forward.PickRequest) (*forward.PickedServer, *problem.Document) {
	s := b.currentConfigState()
	if s == nil {
		return nil, problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.DidNotRun, "no configuration is in force").WithRetryAfter(defaultRetryAfter)
	}
	start := time.Now()
	deadline := start.Add(s.index.Document().Policy.QueueWait.Std())
	// The shift is decided once, so that a waiting request takes one token and not
	// one per placement attempt.
	req := b.placementRequest(s, pickReq, start)
	for firstTry := true; ; firstTry = false {
		now := time.Now()
		decision, err := b.place(s, pickReq, req, now)
		if err == nil {
			return b.newPickedServer(s, pickReq, decision), nil
		}
		if firstTry {
			b.recordUnplaced(s, pickReq, err, now)
		}
		if !isOverloaded(err) || now.After(deadline) || sleep.For(ctx, capacityCheckInterval) != nil {
			rejection := rejectionProblem(err)
			b.logRejection(pickReq, decision, rejection)
			return nil, rejection
		}
	}
}

// isOverloaded reports whether a request was not placed for lack of free capacity, so
// that it may be placed when another one completes.
func isOverloaded(err error) bool {
	var noServer *placement.NoServerError
	return errors.As(err, &noServer) && noServer.Overloaded
}

// recordUnplaced counts a request that found no server as demand for capacity in other
// regions, unless only capacity reserved for other regions was free.
func (b *Balancer) recordUnplaced(s *configState, pickReq forward.PickRequest, err error, now time.Time) {
	var noServer *placement.NoServerError
	if errors.As(err, &noServer) && !noServer.CapacityReserved {
		s.reservationHolder.RecordUnplaced(pickReq.Route.Service, b.meanLatency(s, pickReq.Route.Service), now)
	}
}

// defaultLatency is the assumed latency of a service without requests so far.
const defaultLatency = 20 * time.Millisecond

// meanLatency returns the mean of the known latencies of a service's servers, or
// defaultLatency.
func (b *Balancer) meanLatency(s *configState, service string) time.Duration {
	var sum time.Duration
	count := 0
	for _, server := range s.index.ServersOfService(service) {
		if latency := b.tracker.Latency(server.Name); latency > 0 {
			sum += latency
			count++
		}
	}
	if count == 0 {
		return defaultLatency
	}
	return sum / time.Duration(count)
}

func (b *Balancer) newPickedServer(s *configState, pickReq forward.PickRequest, d placement.Decision) *forward.PickedServer {
	b.logPlacement(pickReq, d)
	server := s.servers[d.Server]
	attempt := &placedAttempt{balancer: b, configState: s, pickReq: pickReq, decision: d}
	picked := &forward.PickedServer{Server: &server, Reason: d.Reason.String(), Done: attempt.finish}
	if d.Region != s.region {
		picked.Charge = func(upload bool, bytes int) time.Duration {
			return s.linkBudgets.Charge(d.Region, direction(upload), int64(bytes), time.Now())
		}
	}
	return picked
}

func direction(upload bool) headroom.Direction {
	if upload {
		return headroom.Outbound
	}
	return headroom.Inbound
}

// place chooses a server for an attempt. It counts the attempt as in flight at the server
// and in quarantine and, if the server is in another region, against the reservation
// there. On an error nothing stays counted.
func (b *Balancer) place(s *configState, pickReq forward.PickRequest, req placement.Request, now time.Time) (placement.Decision, error) {
	in := b.placementInputs(s, pickReq, now)
	b.mu.Lock()
	decision := s.placer.Place(req, in, b.rng, now)
	b.mu.Unlock()
	if err := decision.Err(pickReq.Route.Service); err != nil {
		return decision, err
	}
	if err := b.admitAttempt(s, pickReq, decision, now); err != nil {
		s.placer.RequestDone(decision.Server)
		return decision, err
	}
	return decision, nil
}

func (b *Balancer) placementInputs(s *configState, pickReq forward.PickRequest, now time.Time) placement.Inputs {
	in := placement.Inputs{
		States:          b.tracker,
		Policy:          s.index.Document().Policy,
		SpilloverErrors: make(map[string]error),
		// Capacity reserved for other regions is not available to local requests.
		ReservedRequests: s.reservationPublisher.GrantedRequests(pickReq.Route.Service, now),
	}
	for _, region := range s.index.Document().Regions {
		if region.Name != s.region {
			in.SpilloverErrors[region.Name] = s.reservationHolder.Check(spilloverTo(region.Name, pickReq), now)
		}
	}
	return in
}

func spilloverTo(region string, pickReq forward.PickRequest) headroom.SpilloverRequest {
	return headroom.SpilloverRequest{Region: region, Service: pickReq.Route.Service, UploadBytes: max(0, pickReq.BodyBytes)}
}

// placementRequest builds the request for the placement of an attempt. Requests that are
// not shifted use the servers that the shift moves traffic away from.
func (b *Balancer) placementRequest(s *configState, pickReq forward.PickRequest, now time.Time) placement.Request {
	shifts := s.index.ShiftsOfRoute(pickReq.Route.Name)
	req := placement.Request{
		Service:  pickReq.Route.Service,
		Selector: pickReq.Route.Selector,
		Exclude:  pickReq.ExcludedServers,
	}
	if len(shifts) == 0 {
		return req
	}
	for _, shift := range shifts {
		req.Selector = selector.And(req.Selector, shift.From)
	}
	outcome := shiftcap.Decide(shifts, pickReq.Route.Name, shiftDraw(pickReq), b.opts.ShiftTokens, now)
	if outcome.Shifted {
		shift := outcome.Shift
		shift.To = selector.And(pickReq.Route.Selector, shift.To)
		req.Shift = &shift
	}
	return req
}

// shiftDraw returns a number in [0, 1) that decides whether a request is in the fraction
// of a shift. It depends only on the request ID: it is the same for all attempts of a
// request and evenly distributed, even over requests with the same content.
func shiftDraw(pickReq forward.PickRequest) float64 {
	const bits = 53 // in the mantissa of a float64
	return float64(xxhash.Sum64String(pickReq.RequestID)>>(64-bits)) / (1 << bits)
}

// admitAttempt counts an attempt in quarantine and, for a server of another region, against
// the reservation there. On an error nothing stays counted.
func (b *Balancer) admitAttempt(s *configState, pickReq forward.PickRequest, d placement.Decision, now time.Time) error {
	fingerprint := quarantine.Fingerprint(pickReq.Fingerprint)
	if err := b.quarantine.Begin(fingerprint, d.Server, now); err != nil {
		return err
	}
	if d.Region == s.region {
		return nil
	}
	err := s.reservationHolder.Admit(spilloverTo(d.Region, pickReq), now)
	if err != nil {
		b.quarantine.End(fingerprint, d.Server, false, now)
	}
	return err
}

func rejectionProblem(err error) *problem.Document {
	var (
		quarantined *quarantine.QuarantinedError
		probation   *quarantine.ProbationError
		noServer    *placement.NoServerError
	)
	switch {
	case errors.As(err, &quarantined):
		return problem.New(problem.TypeQuarantined, http.StatusServiceUnavailable, problem.DidNotRun, "%v", quarantined).WithRetryAfter(quarantined.RetryAfter)
	case errors.As(err, &probation):
		return problem.New(problem.TypeQuarantined, http.StatusServiceUnavailable, problem.DidNotRun, "%v", probation).WithRetryAfter(defaultRetryAfter)
	case errors.As(err, &noServer) && !noServer.Overloaded:
		return problem.New(problem.TypeNoBackendServer, http.StatusServiceUnavailable, problem.DidNotRun, "%v", noServer).WithRetryAfter(defaultRetryAfter)
	default:
		return problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.DidNotRun, "%v", err).WithRetryAfter(defaultRetryAfter)
	}
}

// maxLoggedRejections is the maximum number of rejected servers in a log line, which
// also has the number of those left out.
const maxLoggedRejections = 8

func (b *Balancer) logPlacement(pickReq forward.PickRequest, d placement.Decision) {
	b.metrics.placements.WithLabelValues(pickReq.Route.Service, d.Tier.String()).Inc()
	rejected, omitted := describeRejections(d.Rejections)
	b.log.Info("request placed at a backend server", "request_id", pickReq.RequestID, "customer", pickReq.Customer, "route", pickReq.Route.Name,
		"attempt", pickReq.AttemptIndex, "server", d.Server, "tier", d.Tier.String(), "reason", d.Reason.String(),
		"shifted", d.Shifted, "static", d.LoadEstimated, "rejected", rejected, "rejected_omitted", omitted)
}

func (b *Balancer) logRejection(pickReq forward.PickRequest, d placement.Decision, rejection *problem.Document) {
	rejected, omitted := describeRejections(d.Rejections)
	b.metrics.rejections.WithLabelValues(pickReq.Route.Service, string(rejection.Type)).Inc()
	b.log.Info("request not placed at any backend server", "request_id", pickReq.RequestID, "customer", pickReq.Customer, "route", pickReq.Route.Name,
		"attempt", pickReq.AttemptIndex, "reason", rejection.Detail, "rejected", rejected, "rejected_omitted", omitted)
}

func describeRejections(rejections []placement.Rejection) (texts []string, omitted int) {
	for i, r := range rejections {
		if i == maxLoggedRejections {
			return texts, len(rejections) - i
		}
		texts = append(texts, r.String())
	}
	return texts, 0
}

// Explain returns the placement decision for a hypothetical request of the route. It
// leaves the counts of requests in flight unchanged.
func (b *Balancer) Explain(route config.Route, now time.Time) (placement.Decision, error) {
	s := b.currentConfigState()
	if s == nil {
		return placement.Decision{}, &NoConfigError{}
	}
	pickReq := forward.PickRequest{Route: &route, BodyBytes: 0}
	req := placement.Request{Service: route.Service, Selector: route.Selector}
	for _, shift := range s.index.ShiftsOfRoute(route.Name) {
		req.Selector = selector.And(req.Selector, shift.From)
	}
	in := b.placementInputs(s, pickReq, now)
	b.mu.Lock()
	decision := s.placer.Place(req, in, b.rng, now)
	b.mu.Unlock()
	if decision.Server != "" {
		s.placer.RequestDone(decision.Server)
	}
	return decision, nil
}

// NoConfigError reports that the balancer has no configuration yet.
type NoConfigError struct{}

func (e *NoConfigError) Error() string { return "no configuration is in force" }
