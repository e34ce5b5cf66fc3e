package trace

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/placement"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/retry"
	"github.com/jacinthrack/jacinthrack/serverstate"
	"golang.org/x/time/rate"
)

// Constants of the simulated network and clients.
const (
	clientRoundTrip  = 3 * time.Millisecond   // caller to entry instance and back
	regionalDelay    = 500 * time.Microsecond // one way, within a region
	interRegionDelay = 10 * time.Millisecond  // one way, between regions
	requestTimeout   = 2 * time.Second        // of every caller
	pollInterval     = 20 * time.Millisecond  // between two placements of a request that waits for a free slot
	tickInterval     = time.Second            // between the periodic tasks of an entry instance
	// listingDelay is the time after which a failed entry instance disappears from the
	// platform's listing.
	listingDelay = 10 * time.Second
	// contentsPerCustomer is the number of different request contents, and so of
	// fingerprints, per customer.
	contentsPerCustomer = 400
)

// replay is the state of one replay.
type replay struct {
	trace        *Trace
	policy       Policy
	elapsed      time.Duration // virtual time since the start of the trace
	events       []event       // not yet run, ordered by time and then by creation
	backends     []*backend
	instances    []*entryInstance
	regions      []string
	rateLimiters map[string]*rate.Limiter // by customer
	result       *Result
}

// event is a function to be run at a time since the start of the trace.
type event struct {
	at  time.Duration
	run func()
}

type entryInstance struct {
	placement.Instance
	balancer balancer
}

// request is a request of a caller. At most one attempt is in progress at a time. Times are
// measured from the start of the trace.
type request struct {
	*ArrivalStream
	number       int // in the arrival stream, from 1
	arrivedAt    time.Duration
	instance     *entryInstance
	withinRate   bool // within the customer's rate
	fingerprint  quarantine.Fingerprint
	deadline     retry.Deadline
	lastServer   *backend      // of the last attempt
	sentAt       time.Duration // start of the last attempt
	triedServers []string
}

// overRateError is the error for a request that exceeds its customer's rate. The replay
// applies the rate itself, in place of the rate limits of the entry instances, so that it
// is the same for all policies.
type overRateError struct{ Customer string }

func (e *overRateError) Error() string { return fmt.Sprintf("customer %s: over rate", e.Customer) }

// Compare replays a trace with each of several policies. A policy that fails adds to
// Errors instead of Results.
func Compare(t *Trace, policies []Policy) Comparison {
	table := Comparison{Trace: t.Name}
	for _, p := range policies {
		m, err := Replay(t, p)
		if err != nil {
			table.Errors = append(table.Errors, fmt.Sprintf("%s: %v", p.Name, err))
			continue
		}
		table.Results = append(table.Results, m)
	}
	return table
}

// Replay replays a trace with a policy. It returns an *InvalidError if either is not valid.
func Replay(t *Trace, p Policy) (Result, error) {
	if err := t.validate(); err != nil {
		return Result{}, err
	}
	r := &replay{trace: t, policy: p, rateLimiters: map[string]*rate.Limiter{}, result: newResult(p.Name, t)}
	if err := r.build(); err != nil {
		return Result{}, err
	}
	for len(r.events) > 0 {
		e := r.events[0]
		r.events = r.events[1:]
		r.elapsed = e.at
		e.run()
	}
	r.result.finish()
	return *r.result, nil
}

// build creates the servers and entry instances and schedules the first events.
func (r *replay) build() error {
	for _, g := range r.trace.Servers {
		for i := range g.Count {
			name := fmt.Sprintf("%s-%d", g.Zone, i+1)
			r.backends = append(r.backends, &backend{ServerGroup: g, name: name, replay: r, rng: r.newRand(name), drainStart: -1})
		}
		if !slices.Contains(r.regions, g.Region) {
			r.regions = append(r.regions, g.Region)
		}
	}
	for _, c := range r.trace.Customers {
		r.rateLimiters[c.Name] = rate.NewLimiter(rate.Limit(c.RatePerSecond), max(1, int(c.Burst)))
	}
	for _, in := range r.trace.Instances {
		e := &entryInstance{Instance: in}
		r.instances = append(r.instances, e)
		if e.balancer = newBalancer(r, e); e.balancer == nil {
			return &InvalidError{Field: fmt.Sprintf("policy baseline %q", r.policy.Baseline)}
		}
	}
	for i := range r.trace.Arrivals {
		r.scheduleArrivals(&r.trace.Arrivals[i], r.newRand(fmt.Sprint("arrivals ", i)))
	}
	for _, be := range r.trace.Behaviors {
		r.schedule(be.From.Std(), func() { r.applyBehavior(be, true) })
		if be.Until > 0 {
			r.schedule(be.Until.Std(), func() { r.applyBehavior(be, false) })
		}
	}
	r.schedule(0, r.tick)
	return nil
}

// newRand returns a random source that depends only on the trace's seed and the name.
func (r *replay) newRand(name string) *rand.Rand {
	return rand.New(rand.NewPCG(r.trace.Seed, xxhash.Sum64String(name)))
}

// virtualTime returns the virtual time for packages that need a time.Time. The trace starts
// at the Unix epoch, an arbitrary choice.
func (r *replay) virtualTime() time.Time { return time.Unix(0, 0).Add(r.elapsed) }

// schedule lets run be called after a delay in virtual time.
func (r *replay) schedule(delay time.Duration, run func()) {
	at := r.elapsed + delay
	i := sort.Search(len(r.events), func(i int) bool { return r.events[i].at > at })
	r.events = slices.Insert(r.events, i, event{at: at, run: run})
}

// applyBehavior applies the start or end of a behavior to the servers that it selects.
func (r *replay) applyBehavior(be Behavior, begins bool) {
	for _, b := range r.backends {
		if be.selects(b.name, b.Zone, b.Region) {
			b.applyBehavior(be.Kind, begins)
		}
	}
}

// activeBehavior returns the first active behavior of the kind that selects the server or
// entry instance, or nil.
func (r *replay) activeBehavior(k BehaviorKind, name, zone, region string) *Behavior {
	for i, be := range r.trace.Behaviors {
		if be.Kind == k && be.contains(r.elapsed) && be.selects(name, zone, region) {
			return &r.trace.Behaviors[i]
		}
	}
	return nil
}

// instanceBehavior returns the first active behavior of the kind that selects the entry
// instance, or nil.
func (r *replay) instanceBehavior(k BehaviorKind, e *entryInstance) *Behavior {
	return r.activeBehavior(k, e.Name, e.Zone, e.Region)
}

// listedInstances returns the entry instances in the platform's listing.
func (r *replay) listedInstances() []*entryInstance {
	return slices.DeleteFunc(slices.Clone(r.instances), func(e *entryInstance) bool {
		failure := r.instanceBehavior(BehaviorFail, e)
		return failure != nil && r.elapsed-failure.From.Std() >= listingDelay
	})
}

// scheduleArrivals schedules the arrivals of a stream as a Poisson process.
func (r *replay) scheduleArrivals(a *ArrivalStream, rng *rand.Rand) {
	number := 0
	gap := func() time.Duration { return durationOfSeconds(rng.ExpFloat64() / a.PerSecond) }
	var next func()
	next = func() {
		if r.elapsed >= r.trace.Duration.Std() || !a.contains(r.elapsed) {
			return
		}
		number++
		r.arrive(&request{ArrivalStream: a, number: number, arrivedAt: r.elapsed})
		r.schedule(gap(), next)
	}
	r.schedule(a.From.Std()+gap(), next)
}

// arrive starts a request: it is rejected if it exceeds the rate, and otherwise sent to the
// nearest entry instance.
func (r *replay) arrive(q *request) {
	content := fmt.Sprint(q.number % contentsPerCustomer)
	if q.Crash {
		content = "crash"
	}
	q.fingerprint = quarantine.FingerprintOf(q.Customer, "GET", content, nil)
	q.deadline = retry.NewDeadline(r.virtualTime(), requestTimeout, 0)
	r.result.Requests++
	q.withinRate = r.rateLimiters[q.Customer].AllowN(r.virtualTime(), 1)
	if !q.withinRate {
		r.reject(q, &overRateError{q.Customer})
		return
	}
	r.result.withinRate[q.Customer]++
	if q.instance = r.nearestInstance(q); q.instance == nil {
		r.fail(q)
		return
	}
	q.instance.balancer.recordRequest(q)
	r.attempt(q)
}

// nearestInstance returns the live entry instance that the look-up service would name first:
// one of the request's zone, else of its region, else any. It returns nil if none is live.
func (r *replay) nearestInstance(q *request) *entryInstance {
	group := slices.IndexFunc(r.trace.Servers, func(g ServerGroup) bool { return g.Zone == q.Zone })
	var tiers [3][]*entryInstance
	for _, e := range r.instances {
		tier := 2
		if e.Zone == q.Zone {
			tier = 0
		} else if group >= 0 && e.Region == r.trace.Servers[group].Region {
			tier = 1
		}
		if r.instanceBehavior(BehaviorFail, e) == nil {
			tiers[tier] = append(tiers[tier], e)
		}
	}
	for _, candidates := range tiers {
		if len(candidates) > 0 {
			return candidates[q.number%len(candidates)]
		}
	}
	return nil
}

// attempt sends the request to a server. If there is none, the request waits for a free
// slot, for up to the policy's QueueWait after its arrival, or is rejected, or fails if it
// was sent before.
func (r *replay) attempt(q *request) {
	server, err := q.instance.balancer.place(q)
	var noServer *placement.NoServerError
	canWait := errors.As(err, &noServer) && noServer.Overloaded && r.elapsed-q.arrivedAt < r.policy.Config.QueueWait.Std()
	switch {
	case err == nil:
		q.lastServer, q.sentAt = server, r.elapsed
		q.triedServers = append(q.triedServers, server.name)
		r.result.addOutstanding(server.Region, 1)
		r.schedule(q.networkDelay(), func() { server.accept(q) })
	case canWait:
		r.schedule(pollInterval, func() { r.attempt(q) })
	case len(q.triedServers) > 0:
		r.fail(q)
	default:
		r.reject(q, err)
	}
}

// networkDelay returns the one-way delay between the entry instance and the server of the
// last attempt.
func (q *request) networkDelay() time.Duration {
	if q.lastServer.Region != q.instance.Region {
		return interRegionDelay
	}
	return regionalDelay
}

// respond reports the outcome of an attempt to the entry instance, after the network delay.
func (r *replay) respond(q *request, k serverstate.EventKind) {
	connectionClose := q.lastServer.drainStart >= 0
	r.schedule(q.networkDelay(), func() { r.responseArrived(q, k, connectionClose) })
}

// responseArrived ends an attempt at the entry instance and retries the request, or ends it.
// connectionClose is set if the response carries "Connection: close".
func (r *replay) responseArrived(q *request, k serverstate.EventKind, connectionClose bool) {
	r.result.addOutstanding(q.lastServer.Region, -1)
	if r.instanceBehavior(BehaviorFail, q.instance) != nil {
		r.fail(q)
		return
	}
	wait, shouldRetry := q.instance.balancer.attemptEnded(q, k, connectionClose)
	switch {
	case k == serverstate.KindSuccess:
		r.result.Completed++
		r.result.latencies = append(r.result.latencies, r.elapsed-q.arrivedAt+clientRoundTrip)
	case shouldRetry:
		r.schedule(wait, func() { r.attempt(q) })
	default:
		r.fail(q)
	}
}

func (r *replay) reject(q *request, err error) {
	r.result.Rejections[fmt.Sprintf("%T", err)]++
	if q.withinRate {
		r.result.RejectedWithinRate++
		r.result.notServed[q.Customer]++
	}
}

func (r *replay) fail(q *request) {
	r.result.Failed++
	r.result.notServed[q.Customer]++
}

// tick runs the periodic tasks of the live entry instances, and schedules the next tick.
func (r *replay) tick() {
	for _, e := range r.instances {
		if r.instanceBehavior(BehaviorFail, e) == nil {
			e.balancer.tick()
		}
	}
	if r.elapsed < r.trace.Duration.Std() {
		r.schedule(tickInterval, r.tick)
	}
}

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func durationSince(now, then time.Duration) config.Duration { return config.Duration(now - then) }
