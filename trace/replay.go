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

// Constants of the replay.
const (
	clientRoundTrip  = 3 * time.Millisecond // caller to entry instance and back
	regionalDelay    = 500 * time.Microsecond
	interRegionDelay = 10 * time.Millisecond // one way, between regions
	requestTimeout   = 2 * time.Second
	pollInterval     = 20 * time.Millisecond // while a request waits for room
	tickInterval     = time.Second
	// listLag is the age of the platform's list of entry instances.
	listingDelay = 10 * time.Second
	// contents is the number of different requests per customer.
	contentsPerCustomer = 400
)

// replay is the state of one replay.
type replay struct {
	trace        *Trace
	policy       Policy
	elapsed      time.Duration
	events       []event // ordered by time, then by creation
	backends     []*backend
	instances    []*entryInstance
	regions      []string
	rateLimiters map[string]*rate.Limiter
	result       *Measures
}

type event struct {
	at  time.Duration
	run func()
}

type entryInstance struct {
	placement.Instance
	balancer balancer
}

// request is one request of a caller. At most one copy is at a server.
type request struct {
	*Arrival
	number       int
	arrivedAt    time.Duration
	instance     *entryInstance
	withinRate   bool // the customer's rate
	fingerprint  quarantine.Fingerprint
	deadline     retry.Deadline
	lastServer   *backend // the last one
	sentAt       time.Duration
	triedServers []string
}

// overRateError refuses a request above its customer's rate. It stands in for the
// rate limit of the entry instances, the same for all policies.
type overRateError struct{ Customer string }

func (e *overRateError) Error() string { return fmt.Sprintf("customer %s: over rate", e.Customer) }

// Compare replays a trace with several policies.
func Compare(t *Trace, policies []Policy) Table {
	table := Table{Trace: t.Name}
	for _, p := range policies {
		m, err := Replay(t, p)
		if err != nil {
			table.Errors = append(table.Errors, fmt.Sprintf("%s: %v", p.Name, err))
			continue
		}
		table.Rows = append(table.Rows, m)
	}
	return table
}

// Replay replays a trace with a policy. It returns an *InvalidError.
func Replay(t *Trace, p Policy) (Measures, error) {
	if err := t.validate(); err != nil {
		return Measures{}, err
	}
	r := &replay{trace: t, policy: p, rateLimiters: map[string]*rate.Limiter{}, result: newResult(p.Name, t)}
	if err := r.build(); err != nil {
		return Measures{}, err
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

func (r *replay) build() error {
	for _, g := range r.trace.Servers {
		for i := range g.Count {
			name := fmt.Sprintf("%s-%d", g.Zone, i+1)
			r.backends = append(r.backends, &backend{Group: g, name: name, replay: r, rng: r.newRand(name), drainStart: -1})
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

func (r *replay) newRand(name string) *rand.Rand {
	return rand.New(rand.NewPCG(r.trace.Seed, xxhash.Sum64String(name)))
}

// time returns the virtual time. Its origin has no meaning.
func (r *replay) virtualTime() time.Time { return time.Unix(0, 0).Add(r.elapsed) }

func (r *replay) schedule(wait time.Duration, run func()) {
	at := r.elapsed + wait
	i := sort.Search(len(r.events), func(i int) bool { return r.events[i].at > at })
	r.events = slices.Insert(r.events, i, event{at: at, run: run})
}

func (r *replay) applyBehavior(be Behavior, begins bool) {
	for _, b := range r.backends {
		if be.selects(b.name, b.Zone, b.Region) {
			b.applyBehavior(be.Kind, begins)
		}
	}
}

// behavior returns the first active behavior of the kind, or nil.
func (r *replay) activeBehavior(k Kind, name, zone, region string) *Behavior {
	for i, be := range r.trace.Behaviors {
		if be.Kind == k && be.contains(r.elapsed) && be.selects(name, zone, region) {
			return &r.trace.Behaviors[i]
		}
	}
	return nil
}

func (r *replay) instanceBehavior(k Kind, e *entryInstance) *Behavior {
	return r.activeBehavior(k, e.Name, e.Zone, e.Region)
}

// listed returns the entry instances on the platform's list.
func (r *replay) listedInstances() []*entryInstance {
	return slices.DeleteFunc(slices.Clone(r.instances), func(e *entryInstance) bool {
		dead := r.instanceBehavior(KindFail, e)
		return dead != nil && r.elapsed-dead.From.Std() >= listingDelay
	})
}

// stream schedules the arrivals of a Poisson process.
func (r *replay) scheduleArrivals(a *Arrival, rng *rand.Rand) {
	number := 0
	gap := func() time.Duration { return durationOfSeconds(rng.ExpFloat64() / a.PerSecond) }
	var next func()
	next = func() {
		if r.elapsed >= r.trace.Duration.Std() || !a.contains(r.elapsed) {
			return
		}
		number++
		r.arrive(&request{Arrival: a, number: number, arrivedAt: r.elapsed})
		r.schedule(gap(), next)
	}
	r.schedule(a.From.Std()+gap(), next)
}

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

// nearest returns the live entry instance that a caller's lookup names first, or nil.
func (r *replay) nearestInstance(q *request) *entryInstance {
	home := slices.IndexFunc(r.trace.Servers, func(g Group) bool { return g.Zone == q.Zone })
	var tiers [3][]*entryInstance
	for _, e := range r.instances {
		tier := 2
		if e.Zone == q.Zone {
			tier = 0
		} else if home >= 0 && e.Region == r.trace.Servers[home].Region {
			tier = 1
		}
		if r.instanceBehavior(KindFail, e) == nil {
			tiers[tier] = append(tiers[tier], e)
		}
	}
	for _, near := range tiers {
		if len(near) > 0 {
			return near[q.number%len(near)]
		}
	}
	return nil
}

// try sends the request to a server, or lets it wait for room, or refuses it.
func (r *replay) attempt(q *request) {
	server, err := q.instance.balancer.place(q)
	var full *placement.NoServerError
	waits := errors.As(err, &full) && full.Overloaded && r.elapsed-q.arrivedAt < r.policy.Config.QueueWait.Std()
	switch {
	case err == nil:
		q.lastServer, q.sentAt = server, r.elapsed
		q.triedServers = append(q.triedServers, server.name)
		r.result.addOutstanding(server.Region, 1)
		r.schedule(q.networkDelay(), func() { server.accept(q) })
	case waits:
		r.schedule(pollInterval, func() { r.attempt(q) })
	case len(q.triedServers) > 0:
		r.fail(q)
	default:
		r.reject(q, err)
	}
}

func (q *request) networkDelay() time.Duration {
	if q.lastServer.Region != q.instance.Region {
		return interRegionDelay
	}
	return regionalDelay
}

// respond brings the end of a request at its server to the entry instance.
func (r *replay) respond(q *request, k serverstate.EventKind) {
	closing := q.lastServer.drainStart >= 0
	r.schedule(q.networkDelay(), func() { r.responseArrived(q, k, closing) })
}

func (r *replay) responseArrived(q *request, k serverstate.EventKind, closing bool) {
	r.result.addOutstanding(q.lastServer.Region, -1)
	if r.instanceBehavior(KindFail, q.instance) != nil {
		r.fail(q)
		return
	}
	wait, again := q.instance.balancer.attemptEnded(q, k, closing)
	switch {
	case k == serverstate.KindSuccess:
		r.result.Completed++
		r.result.latencies = append(r.result.latencies, r.elapsed-q.arrivedAt+clientRoundTrip)
	case again:
		r.schedule(wait, func() { r.attempt(q) })
	default:
		r.fail(q)
	}
}

func (r *replay) reject(q *request, err error) {
	r.result.Refusals[fmt.Sprintf("%T", err)]++
	if q.withinRate {
		r.result.RefusedWithinRate++
		r.result.notServed[q.Customer]++
	}
}

func (r *replay) fail(q *request) {
	r.result.Failed++
	r.result.notServed[q.Customer]++
}

// tick lets the entry instances probe, exchange digests and apply time.
func (r *replay) tick() {
	for _, e := range r.instances {
		if r.instanceBehavior(KindFail, e) == nil {
			e.balancer.tick()
		}
	}
	if r.elapsed < r.trace.Duration.Std() {
		r.schedule(tickInterval, r.tick)
	}
}

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func durationSince(now, then time.Duration) config.Duration { return config.Duration(now - then) }
