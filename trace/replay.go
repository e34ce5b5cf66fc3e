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
	clientDelay  = 3 * time.Millisecond // caller to entry instance and back
	nearDelay    = 500 * time.Microsecond
	remoteDelay  = 10 * time.Millisecond // one way, between regions
	deadline     = 2 * time.Second
	pollInterval = 20 * time.Millisecond // while a request waits for room
	tickInterval = time.Second
	// listLag is the age of the platform's list of entry instances.
	listLag = 10 * time.Second
	// contents is the number of different requests per customer.
	contents = 400
)

// replay is the state of one replay.
type replay struct {
	trace    *Trace
	policy   Policy
	now      time.Duration
	events   []event // ordered by time, then by creation
	backends []*backend
	entries  []*entryInstance
	regions  []string
	limits   map[string]*rate.Limiter
	m        *Result
}

type event struct {
	at  time.Duration
	run func()
}

type entryInstance struct {
	placement.Instance
	steer steerer
}

// request is one request of a caller. At most one copy is at a server.
type request struct {
	*ArrivalStream
	number      int
	arrived     time.Duration
	at          *entryInstance
	within      bool // the customer's rate
	fingerprint quarantine.Fingerprint
	deadline    retry.Deadline
	server      *backend // the last one
	sent        time.Duration
	tried       []string
}

// overRateError refuses a request above its customer's rate. It stands in for the
// rate limit of the entry instances, the same for all policies.
type overRateError struct{ Customer string }

func (e *overRateError) Error() string { return fmt.Sprintf("customer %s: over rate", e.Customer) }

// Compare replays a trace with several policies.
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

// Replay replays a trace with a policy. It returns an *InvalidError.
func Replay(t *Trace, p Policy) (Result, error) {
	if err := t.validate(); err != nil {
		return Result{}, err
	}
	r := &replay{trace: t, policy: p, limits: map[string]*rate.Limiter{}, m: newMeasures(p.Name, t)}
	if err := r.build(); err != nil {
		return Result{}, err
	}
	for len(r.events) > 0 {
		e := r.events[0]
		r.events = r.events[1:]
		r.now = e.at
		e.run()
	}
	r.m.finish()
	return *r.m, nil
}

func (r *replay) build() error {
	for _, g := range r.trace.Servers {
		for i := range g.Count {
			name := fmt.Sprintf("%s-%d", g.Zone, i+1)
			r.backends = append(r.backends, &backend{ServerGroup: g, name: name, r: r, rng: r.random(name), drainAt: -1})
		}
		if !slices.Contains(r.regions, g.Region) {
			r.regions = append(r.regions, g.Region)
		}
	}
	for _, c := range r.trace.Customers {
		r.limits[c.Name] = rate.NewLimiter(rate.Limit(c.RatePerSecond), max(1, int(c.Burst)))
	}
	for _, in := range r.trace.Instances {
		e := &entryInstance{Instance: in}
		r.entries = append(r.entries, e)
		if e.steer = newSteerer(r, e); e.steer == nil {
			return &InvalidError{Field: fmt.Sprintf("policy baseline %q", r.policy.Baseline)}
		}
	}
	for i := range r.trace.Arrivals {
		r.stream(&r.trace.Arrivals[i], r.random(fmt.Sprint("arrivals ", i)))
	}
	for _, be := range r.trace.Behaviors {
		r.after(be.From.Std(), func() { r.change(be, true) })
		if be.Until > 0 {
			r.after(be.Until.Std(), func() { r.change(be, false) })
		}
	}
	r.after(0, r.tick)
	return nil
}

func (r *replay) random(name string) *rand.Rand {
	return rand.New(rand.NewPCG(r.trace.Seed, xxhash.Sum64String(name)))
}

// time returns the virtual time. Its origin has no meaning.
func (r *replay) time() time.Time { return time.Unix(0, 0).Add(r.now) }

func (r *replay) after(wait time.Duration, run func()) {
	at := r.now + wait
	i := sort.Search(len(r.events), func(i int) bool { return r.events[i].at > at })
	r.events = slices.Insert(r.events, i, event{at: at, run: run})
}

func (r *replay) change(be Behavior, begins bool) {
	for _, b := range r.backends {
		if be.covers(b.name, b.Zone, b.Region) {
			b.change(be.Kind, begins)
		}
	}
}

// behavior returns the first active behavior of the kind, or nil.
func (r *replay) behavior(k BehaviorKind, name, zone, region string) *Behavior {
	for i, be := range r.trace.Behaviors {
		if be.Kind == k && be.holds(r.now) && be.covers(name, zone, region) {
			return &r.trace.Behaviors[i]
		}
	}
	return nil
}

func (r *replay) affected(k BehaviorKind, e *entryInstance) *Behavior {
	return r.behavior(k, e.Name, e.Zone, e.Region)
}

// listed returns the entry instances on the platform's list.
func (r *replay) listed() []*entryInstance {
	return slices.DeleteFunc(slices.Clone(r.entries), func(e *entryInstance) bool {
		dead := r.affected(BehaviorFail, e)
		return dead != nil && r.now-dead.From.Std() >= listLag
	})
}

// stream schedules the arrivals of a Poisson process.
func (r *replay) stream(a *ArrivalStream, rng *rand.Rand) {
	number := 0
	gap := func() time.Duration { return seconds(rng.ExpFloat64() / a.PerSecond) }
	var next func()
	next = func() {
		if r.now >= r.trace.Duration.Std() || !a.holds(r.now) {
			return
		}
		number++
		r.arrive(&request{ArrivalStream: a, number: number, arrived: r.now})
		r.after(gap(), next)
	}
	r.after(a.From.Std()+gap(), next)
}

func (r *replay) arrive(q *request) {
	content := fmt.Sprint(q.number % contents)
	if q.Crash {
		content = "crash"
	}
	q.fingerprint = quarantine.FingerprintOf(q.Customer, "GET", content, nil)
	q.deadline = retry.NewDeadline(r.time(), deadline, 0)
	r.m.Requests++
	q.within = r.limits[q.Customer].AllowN(r.time(), 1)
	if !q.within {
		r.refuse(q, &overRateError{q.Customer})
		return
	}
	r.m.within[q.Customer]++
	if q.at = r.nearest(q); q.at == nil {
		r.fail(q)
		return
	}
	q.at.steer.request(q)
	r.try(q)
}

// nearest returns the live entry instance that a caller's lookup names first, or nil.
func (r *replay) nearest(q *request) *entryInstance {
	home := slices.IndexFunc(r.trace.Servers, func(g ServerGroup) bool { return g.Zone == q.Zone })
	var tiers [3][]*entryInstance
	for _, e := range r.entries {
		tier := 2
		if e.Zone == q.Zone {
			tier = 0
		} else if home >= 0 && e.Region == r.trace.Servers[home].Region {
			tier = 1
		}
		if r.affected(BehaviorFail, e) == nil {
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
func (r *replay) try(q *request) {
	server, err := q.at.steer.place(q)
	var full *placement.NoServerError
	waits := errors.As(err, &full) && full.Overloaded && r.now-q.arrived < r.policy.Config.QueueWait.Std()
	switch {
	case err == nil:
		q.server, q.sent = server, r.now
		q.tried = append(q.tried, server.name)
		r.m.sent(server.Region, 1)
		r.after(q.delay(), func() { server.accept(q) })
	case waits:
		r.after(pollInterval, func() { r.try(q) })
	case len(q.tried) > 0:
		r.fail(q)
	default:
		r.refuse(q, err)
	}
}

func (q *request) delay() time.Duration {
	if q.server.Region != q.at.Region {
		return remoteDelay
	}
	return nearDelay
}

// respond brings the end of a request at its server to the entry instance.
func (r *replay) respond(q *request, k serverstate.EventKind) {
	closing := q.server.drainAt >= 0
	r.after(q.delay(), func() { r.ended(q, k, closing) })
}

func (r *replay) ended(q *request, k serverstate.EventKind, closing bool) {
	r.m.sent(q.server.Region, -1)
	if r.affected(BehaviorFail, q.at) != nil {
		r.fail(q)
		return
	}
	wait, again := q.at.steer.ended(q, k, closing)
	switch {
	case k == serverstate.KindSuccess:
		r.m.Completed++
		r.m.latencies = append(r.m.latencies, r.now-q.arrived+clientDelay)
	case again:
		r.after(wait, func() { r.try(q) })
	default:
		r.fail(q)
	}
}

func (r *replay) refuse(q *request, err error) {
	r.m.Rejections[fmt.Sprintf("%T", err)]++
	if q.within {
		r.m.RejectedWithinRate++
		r.m.bad[q.Customer]++
	}
}

func (r *replay) fail(q *request) {
	r.m.Failed++
	r.m.bad[q.Customer]++
}

// tick lets the entry instances probe, exchange digests and apply time.
func (r *replay) tick() {
	for _, e := range r.entries {
		if r.affected(BehaviorFail, e) == nil {
			e.steer.tick()
		}
	}
	if r.now < r.trace.Duration.Std() {
		r.after(tickInterval, r.tick)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func since(now, then time.Duration) config.Duration { return config.Duration(now - then) }
