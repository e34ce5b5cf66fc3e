package bench

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthrack/jacinthrack/config"
)

// verdict is how a request ended.
type verdict int

const (
	verdictOK verdict = iota
	verdictRateRefused
	verdictRefused
	verdictFailed
	verdictBadStatus
	verdictMismatched
)

// observation is one finished request.
type observation struct {
	arrival arrival
	verdict verdict
	latency time.Duration // since it was due
	// problem is the problem type or the kind of error, empty if verdictOK.
	problem string
	// ran is false if the request is known not to have run.
	ran bool
	// entitled says that the exact bucket had a token.
	entitled bool
}

func (o observation) wronglyRefused() bool {
	return o.verdict == verdictRateRefused && o.entitled
}

// group is a tally with its histogram.
type group struct {
	tally     RequestStats
	histogram *hdrhistogram.Histogram
}

func newGroup(name string) *group {
	return &group{tally: RequestStats{Name: name}, histogram: newHistogram()}
}

func (g *group) add(o observation) {
	t := &g.tally
	t.Sent++
	switch o.verdict {
	case verdictOK:
		t.OK++
		record(g.histogram, o.latency)
	case verdictRateRefused:
		t.RateRejected++
		if o.wronglyRefused() {
			t.WronglyRejected++
		}
	case verdictRefused:
		t.Rejected++
	case verdictFailed:
		t.Failed++
	case verdictBadStatus:
		t.BadStatus++
	case verdictMismatched:
		t.MismatchedResponses++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range of the histogram, so this cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

func (g *group) result() RequestStats {
	t := g.tally
	t.Latency = summarize(g.histogram)
	return t
}

// recorder collects observations. It is safe for concurrent use.
type recorder struct {
	plan Plan

	mu        sync.Mutex
	total     *group
	lookups   *group
	kinds     []*group
	customers []*group
	buckets   []*bucket
	admitted  []int
	problems  map[string]int
	lag       *hdrhistogram.Histogram
	dropped   int
}

func newRecorder(p Plan) *recorder {
	r := &recorder{
		plan:     p,
		total:    newGroup("all requests"),
		lookups:  newGroup("look-ups"),
		problems: make(map[string]int),
		lag:      newHistogram(),
		admitted: make([]int, len(p.Customers)),
	}
	for _, k := range p.Mix {
		r.kinds = append(r.kinds, newGroup(k.Name))
	}
	for _, c := range p.Customers {
		r.customers = append(r.customers, newGroup(c.Name))
		r.buckets = append(r.buckets, newBucket(c.RatePerSecond, c.Burst))
	}
	return r
}

// sent notes that a request is sent at a time of the run, and reports whether it
// is within its customer's rate and burst.
func (r *recorder) sent(a arrival, at time.Duration) (entitled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.measured(a) {
		record(r.lag, at-a.at)
	}
	if a.customer == lookupStream {
		return true
	}
	return r.buckets[a.customer].take(at)
}

func (r *recorder) measured(a arrival) bool { return a.at >= r.plan.Warmup.Std() }

// drop notes a request that was due but not sent.
func (r *recorder) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

// finished notes the end of a request at a time of the run.
func (r *recorder) finished(o observation, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.arrival.customer != lookupStream {
		r.account(o, at)
	}
	if !r.measured(o.arrival) {
		return
	}
	if o.problem != "" {
		r.problems[o.problem]++
	}
	if o.arrival.customer == lookupStream {
		r.lookups.add(o)
		return
	}
	r.total.add(o)
	r.kinds[o.arrival.kind].add(o)
	r.customers[o.arrival.customer].add(o)
}

// account settles the token of a request. A wrongly refused request keeps its
// token, as it would have with an exact limiter: otherwise every request during
// a shortage would count as wrongly refused, not only those that rate and burst
// had room for.
func (r *recorder) account(o observation, at time.Duration) {
	if o.ran {
		r.admitted[o.arrival.customer]++
		return
	}
	if o.wronglyRefused() {
		return
	}
	r.buckets[o.arrival.customer].giveBack(at)
}

// result returns the counts at a time of the run, when all requests have ended.
func (r *recorder) result(at time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &Result{
		Name:      r.plan.Name,
		Seed:      r.plan.Seed,
		MeasuredDuration:  r.plan.Duration - r.plan.Warmup,
		Total:     r.total.result(),
		Lookups:   r.lookups.result(),
		Problems:  r.problems,
		Generator: GeneratorStats{Lag: summarize(r.lag), Dropped: r.dropped},
	}
	for _, g := range r.kinds {
		result.Kinds = append(result.Kinds, g.result())
	}
	for i, g := range r.customers {
		c := r.plan.Customers[i]
		tally := g.result()
		result.Customers = append(result.Customers, CustomerStats{
			RequestStats:    tally,
			Served:   tally.ServedShare(),
			Admitted: r.admitted[i],
			MaxAdmitted:  c.Burst + c.RatePerSecond*at.Seconds(),
		})
	}
	result.WorstServed = worstServed(result.Customers)
	return result
}

// worstServed returns the customer with the smallest served share, and of equal
// ones that with the highest 99th percentile.
func worstServed(customers []CustomerStats) string {
	var active []CustomerStats
	for _, c := range customers {
		if c.Sent > 0 {
			active = append(active, c)
		}
	}
	if len(active) == 0 {
		return ""
	}
	worst := slices.MinFunc(active, func(a, b CustomerStats) int {
		return compareServed(a.Served, b.Served, a.Latency.P99, b.Latency.P99)
	})
	return worst.Name
}

func compareServed(shareA, shareB float64, p99A, p99B config.Duration) int {
	switch {
	case shareA < shareB:
		return -1
	case shareA > shareB:
		return 1
	default:
		return int(min(max(p99B-p99A, -1), 1))
	}
}
