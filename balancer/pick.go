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

// retryAfter is when a refused request may find room.
const retryAfter = time.Second

// nextHop is the path to a backend server of the own region and the least time
// in which one can answer.
var nextHop = retry.Hop{RoundTrip: 2 * time.Millisecond, MinProcessing: time.Millisecond}

// RecordRequest implements forward.Balancer.
func (b *Balancer) RecordRequest(customer, service string) {
	b.budgets.RecordRequest(customer, service, time.Now())
}

// NextRetry implements forward.Balancer.
func (b *Balancer) NextRetry(a retry.Attempt) (time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgets.NextRetry(a, nextHop, time.Now(), b.rng)
}

// roomCheckInterval is the time between two looks for room while a request waits.
const roomCheckInterval = 5 * time.Millisecond

// Pick implements forward.Balancer. A request that finds no room waits for the
// policy's queue wait.
func (b *Balancer) Pick(ctx context.Context, call forward.Call) (*forward.Pick, *problem.Document) {
	s := b.current()
	if s == nil {
		return nil, problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.RanNo, "no configuration is in force").WithRetryAfter(retryAfter)
	}
	start := time.Now()
	deadline := start.Add(s.index.Document().Policy.QueueWait.Std())
	// Decided once: a request that waits takes one token of a shift, not one for
	// each look for room.
	req := b.request(s, call, start)
	for first := true; ; first = false {
		now := time.Now()
		decision, err := b.place(s, call, req, now)
		if err == nil {
			return b.picked(s, call, decision), nil
		}
		if first {
			b.miss(s, call, err, now)
		}
		if !isFull(err) || now.After(deadline) || sleep.For(ctx, roomCheckInterval) != nil {
			refusal := refusalOf(err)
			b.logRefusal(call, decision, refusal)
			return nil, refusal
		}
	}
}

// isFull reports a refusal that ends when a request in progress ends.
func isFull(err error) bool {
	var none *placement.NoServerError
	return errors.As(err, &none) && none.Overloaded
}

// miss tells headroom about a request that found no server.
func (b *Balancer) miss(s *state, call forward.Call, err error, now time.Time) {
	var none *placement.NoServerError
	if errors.As(err, &none) && !none.CapacityReserved {
		s.holder.RecordUnplaced(call.Route.Service, b.typicalLatency(s, call.Route.Service), now)
	}
}

// defaultLatency stands in for the latency of a service without requests so far.
const defaultLatency = 20 * time.Millisecond

// typicalLatency returns the mean latency of a service's servers.
func (b *Balancer) typicalLatency(s *state, service string) time.Duration {
	var sum time.Duration
	count := 0
	for _, server := range s.index.Servers(service) {
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

func (b *Balancer) picked(s *state, call forward.Call, d placement.Decision) *forward.Pick {
	b.logPlacement(call, d)
	server := s.servers[d.Server]
	ticket := &ticket{balancer: b, state: s, call: call, decision: d}
	pick := &forward.Pick{Server: &server, Reason: d.Reason.String(), Done: ticket.done}
	if d.Region != s.region {
		pick.Charge = func(upload bool, bytes int) time.Duration {
			return s.links.Charge(d.Region, direction(upload), int64(bytes), time.Now())
		}
	}
	return pick
}

func direction(upload bool) headroom.Direction {
	if upload {
		return headroom.Outbound
	}
	return headroom.Inbound
}

// place chooses a server and reserves everything that the attempt needs.
func (b *Balancer) place(s *state, call forward.Call, req placement.Request, now time.Time) (placement.Decision, error) {
	in := b.inputs(s, call, now)
	b.mu.Lock()
	decision := s.book.Place(req, in, b.rng, now)
	b.mu.Unlock()
	if err := decision.Err(call.Route.Service); err != nil {
		return decision, err
	}
	if err := b.reserve(s, call, decision, now); err != nil {
		s.book.RequestDone(decision.Server)
		return decision, err
	}
	return decision, nil
}

func (b *Balancer) inputs(s *state, call forward.Call, now time.Time) placement.Inputs {
	in := placement.Inputs{
		States: b.tracker,
		Policy: s.index.Document().Policy,
		SpilloverErrors:  make(map[string]error),
		// Room that other regions were granted is not for local requests.
		ReservedRequests: s.publisher.GrantedRequests(call.Route.Service, now),
	}
	for _, region := range s.index.Document().Regions {
		if region.Name != s.region {
			in.SpilloverErrors[region.Name] = s.holder.Check(spill(region.Name, call), now)
		}
	}
	return in
}

func spill(region string, call forward.Call) headroom.SpilloverRequest {
	return headroom.SpilloverRequest{Region: region, Service: call.Route.Service, UploadBytes: max(0, call.BodyBytes)}
}

// request describes the attempt to placement. Requests outside a shift stay with
// the servers that the shift moves traffic away from.
func (b *Balancer) request(s *state, call forward.Call, now time.Time) placement.Request {
	shifts := s.index.Shifts(call.Route.Name)
	req := placement.Request{
		Service:  call.Route.Service,
		Selector: call.Route.Selector,
		Exclude:  call.Exclude,
	}
	if len(shifts) == 0 {
		return req
	}
	for _, shift := range shifts {
		req.Selector = selector.All(req.Selector, shift.From)
	}
	outcome := shiftcap.Decide(shifts, call.Route.Name, draw(call), b.opts.ShiftTokens, now)
	if outcome.Shifted {
		shift := outcome.Shift
		shift.To = selector.All(call.Route.Selector, shift.To)
		req.Shift = &shift
	}
	return req
}

// draw gives all attempts of one request the same place in a shift's fraction, and
// spreads requests evenly, also those with the same content.
func draw(call forward.Call) float64 {
	const bits = 53 // of the mantissa of a float64
	return float64(xxhash.Sum64String(call.RequestID)>>(64-bits)) / (1 << bits)
}

// reserve takes what placement does not count: the quarantine's permit and the
// headroom of another region.
func (b *Balancer) reserve(s *state, call forward.Call, d placement.Decision, now time.Time) error {
	fingerprint := quarantine.Fingerprint(call.Fingerprint)
	if err := b.quarantine.Begin(fingerprint, d.Server, now); err != nil {
		return err
	}
	if d.Region == s.region {
		return nil
	}
	err := s.holder.Admit(spill(d.Region, call), now)
	if err != nil {
		b.quarantine.End(fingerprint, d.Server, false, now)
	}
	return err
}

func refusalOf(err error) *problem.Document {
	var (
		quarantined *quarantine.QuarantinedError
		probation   *quarantine.ProbationError
		none        *placement.NoServerError
	)
	switch {
	case errors.As(err, &quarantined):
		return problem.New(problem.TypeQuarantined, http.StatusServiceUnavailable, problem.RanNo, "%v", quarantined).WithRetryAfter(quarantined.RetryAfter)
	case errors.As(err, &probation):
		return problem.New(problem.TypeQuarantined, http.StatusServiceUnavailable, problem.RanNo, "%v", probation).WithRetryAfter(retryAfter)
	case errors.As(err, &none) && !none.Overloaded:
		return problem.New(problem.TypeNoServer, http.StatusServiceUnavailable, problem.RanNo, "%v", none).WithRetryAfter(retryAfter)
	default:
		return problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.RanNo, "%v", err).WithRetryAfter(retryAfter)
	}
}

// maxLoggedCandidates bounds a log line. The number left out is in the line.
const maxLoggedCandidates = 8

func (b *Balancer) logPlacement(call forward.Call, d placement.Decision) {
	b.metrics.placements.WithLabelValues(call.Route.Service, d.Tier.String()).Inc()
	rejected, omitted := describe(d.Rejections)
	b.log.Info("placement", "request_id", call.RequestID, "customer", call.Customer, "route", call.Route.Name,
		"attempt", call.Attempt, "server", d.Server, "tier", d.Tier.String(), "reason", d.Reason.String(),
		"shifted", d.Shifted, "static", d.LoadEstimated, "rejected", rejected, "rejected_omitted", omitted)
}

func (b *Balancer) logRefusal(call forward.Call, d placement.Decision, refusal *problem.Document) {
	rejected, omitted := describe(d.Rejections)
	b.metrics.refusals.WithLabelValues(call.Route.Service, string(refusal.Type)).Inc()
	b.log.Info("placement refused", "request_id", call.RequestID, "customer", call.Customer, "route", call.Route.Name,
		"attempt", call.Attempt, "reason", refusal.Detail, "rejected", rejected, "rejected_omitted", omitted)
}

func describe(rejections []placement.Rejection) (texts []string, omitted int) {
	for i, r := range rejections {
		if i == maxLoggedCandidates {
			return texts, len(rejections) - i
		}
		texts = append(texts, r.String())
	}
	return texts, 0
}

// Explain returns the decision for a request of the route without placing it.
func (b *Balancer) Explain(route config.Route, now time.Time) (placement.Decision, error) {
	s := b.current()
	if s == nil {
		return placement.Decision{}, &NoConfigError{}
	}
	call := forward.Call{Route: &route, BodyBytes: 0}
	req := placement.Request{Service: route.Service, Selector: route.Selector}
	for _, shift := range s.index.Shifts(route.Name) {
		req.Selector = selector.All(req.Selector, shift.From)
	}
	in := b.inputs(s, call, now)
	b.mu.Lock()
	decision := s.book.Place(req, in, b.rng, now)
	b.mu.Unlock()
	if decision.Server != "" {
		s.book.RequestDone(decision.Server)
	}
	return decision, nil
}

// NoConfigError reports that no configuration is in force.
type NoConfigError struct{}

func (e *NoConfigError) Error() string { return "no configuration is in force" }
