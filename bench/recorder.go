package bench

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthrack/jacinthrack/config"
)

// outcome is how a request ended.
type outcome int

const (
	outcomeOK outcome = iota
	outcomeRateRejected
	outcomeRejected
	outcomeFailed
	outcomeBadStatus
	outcomeMismatched
)

// requestResult is one finished request.
type requestResult struct {
	arrival arrival
	outcome outcome
	latency time.Duration // since it was due
	// failureKind is the problem type or the kind of error, empty if outcomeOK.
	failureKind string
	// mayHaveRun is false if the request is known not to have run.
	mayHaveRun bool
	// entitled says that the exact bucket had a token.
	entitled bool
}

func (o requestResult) wronglyRejected() bool {
	return o.outcome == outcomeRateRejected && o.entitled
}

// requestGroup is a tally with its histogram.
type requestGroup struct {
	stats     Tally
	histogram *hdrhistogram.Histogram
}

func newRequestGroup(name string) *requestGroup {
	return &requestGroup{stats: Tally{Name: name}, histogram: newHistogram()}
}

func (g *requestGroup) add(o requestResult) {
	t := &g.stats
	t.Sent++
	switch o.outcome {
	case outcomeOK:
		t.OK++
		recordLatency(g.histogram, o.latency)
	case outcomeRateRejected:
		t.RateRefused++
		if o.wronglyRejected() {
			t.WronglyRefused++
		}
	case outcomeRejected:
		t.Refused++
	case outcomeFailed:
		t.Failed++
	case outcomeBadStatus:
		t.BadStatus++
	case outcomeMismatched:
		t.Mismatched++
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range of the histogram, so this cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

func (g *requestGroup) result() Tally {
	t := g.stats
	t.Latency = summarize(g.histogram)
	return t
}

// recorder collects observations. It is safe for concurrent use.
type recorder struct {
	plan Plan

	mu        sync.Mutex
	total     *requestGroup
	lookups   *requestGroup
	byKind     []*requestGroup
	byCustomer []*requestGroup
	exactBuckets   []*tokenBucket
	admitted  []int
	failureCounts  map[string]int
	sendLag       *hdrhistogram.Histogram
	dropped   int
}

func newRecorder(p Plan) *recorder {
	r := &recorder{
		plan:     p,
		total:    newRequestGroup("all requests"),
		lookups:  newRequestGroup("look-ups"),
		failureCounts: make(map[string]int),
		sendLag:      newHistogram(),
		admitted: make([]int, len(p.Customers)),
	}
	for _, k := range p.Mix {
		r.byKind = append(r.byKind, newRequestGroup(k.Name))
	}
	for _, c := range p.Customers {
		r.byCustomer = append(r.byCustomer, newRequestGroup(c.Name))
		r.exactBuckets = append(r.exactBuckets, newTokenBucket(c.RatePerSecond, c.Burst))
	}
	return r
}

// recordSent notes that a request is sent at a time of the run, and reports whether it
// is within its customer's rate and burst.
func (r *recorder) recordSent(a arrival, at time.Duration) (entitled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isMeasured(a) {
		recordLatency(r.sendLag, at-a.dueAt)
	}
	if a.customerIndex == lookupCustomer {
		return true
	}
	return r.exactBuckets[a.customerIndex].take(at)
}

func (r *recorder) isMeasured(a arrival) bool { return a.dueAt >= r.plan.Warmup.Std() }

// recordDropped notes a request that was due but not sent.
func (r *recorder) recordDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

// recordFinished notes the end of a request at a time of the run.
func (r *recorder) recordFinished(o requestResult, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.arrival.customerIndex != lookupCustomer {
		r.settleToken(o, at)
	}
	if !r.isMeasured(o.arrival) {
		return
	}
	if o.failureKind != "" {
		r.failureCounts[o.failureKind]++
	}
	if o.arrival.customerIndex == lookupCustomer {
		r.lookups.add(o)
		return
	}
	r.total.add(o)
	r.byKind[o.arrival.kindIndex].add(o)
	r.byCustomer[o.arrival.customerIndex].add(o)
}

// settleToken settles the token of a request. A wrongly refused request keeps its
// token, as it would have with an exact limiter: otherwise every request during
// a shortage would count as wrongly refused, not only those that rate and burst
// had room for.
func (r *recorder) settleToken(o requestResult, at time.Duration) {
	if o.mayHaveRun {
		r.admitted[o.arrival.customerIndex]++
		return
	}
	if o.wronglyRejected() {
		return
	}
	r.exactBuckets[o.arrival.customerIndex].refund(at)
}

// result returns the counts at a time of the run, when all requests have ended.
func (r *recorder) result(at time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &Result{
		Name:      r.plan.Name,
		Seed:      r.plan.Seed,
		Measured:  r.plan.Duration - r.plan.Warmup,
		Total:     r.total.result(),
		Lookups:   r.lookups.result(),
		Problems:  r.failureCounts,
		Generator: Generator{Lag: summarize(r.sendLag), Dropped: r.dropped},
	}
	for _, g := range r.byKind {
		result.Kinds = append(result.Kinds, g.result())
	}
	for i, g := range r.byCustomer {
		c := r.plan.Customers[i]
		tally := g.result()
		result.Customers = append(result.Customers, CustomerTally{
			Tally:    tally,
			Served:   tally.ServedShare(),
			Admitted: r.admitted[i],
			Allowed:  c.Burst + c.RatePerSecond*at.Seconds(),
		})
	}
	result.WorstServed = worstServed(result.Customers)
	return result
}

// worstServed returns the customer with the smallest served share, and of equal
// ones that with the highest 99th percentile.
func worstServed(customers []CustomerTally) string {
	var active []CustomerTally
	for _, c := range customers {
		if c.Sent > 0 {
			active = append(active, c)
		}
	}
	if len(active) == 0 {
		return ""
	}
	worst := slices.MinFunc(active, func(a, b CustomerTally) int {
		return compareServedShares(a.Served, b.Served, a.Latency.P99, b.Latency.P99)
	})
	return worst.Name
}

func compareServedShares(shareA, shareB float64, p99A, p99B config.Duration) int {
	switch {
	case shareA < shareB:
		return -1
	case shareA > shareB:
		return 1
	default:
		return int(min(max(p99B-p99A, -1), 1))
	}
}
