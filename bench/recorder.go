package bench

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthrack/jacinthrack/config"
)

// outcome classifies a finished request.
type outcome int

const (
	outcomeOK outcome = iota
	outcomeRateRejected
	outcomeRejected
	outcomeFailed
	outcomeBadStatus
	outcomeMismatched
)

// requestResult describes a finished request.
type requestResult struct {
	arrival arrival
	outcome outcome
	latency time.Duration // from the time the request was due to its end
	// failureKind is the problem type or the kind of error. It is empty for
	// outcomeOK.
	failureKind string
	// mayHaveRun is false if the request is known not to have run.
	mayHaveRun bool
	// entitled reports that the customer's reference bucket had a token, so that
	// the request was within the customer's rate and burst.
	entitled bool
}

func (r requestResult) wronglyRejected() bool {
	return r.outcome == outcomeRateRejected && r.entitled
}

// requestGroup collects the counts and latencies of a group of requests.
type requestGroup struct {
	stats     RequestStats
	histogram *hdrhistogram.Histogram
}

func newRequestGroup(name string) *requestGroup {
	return &requestGroup{stats: RequestStats{Name: name}, histogram: newHistogram()}
}

func (g *requestGroup) add(result requestResult) {
	stats := &g.stats
	stats.Sent++
	switch result.outcome {
	case outcomeOK:
		stats.OK++
		recordLatency(g.histogram, result.latency)
	case outcomeRateRejected:
		stats.RateRejected++
		if result.wronglyRejected() {
			stats.WronglyRejected++
		}
	case outcomeRejected:
		stats.Rejected++
	case outcomeFailed:
		stats.Failed++
	case outcomeBadStatus:
		stats.BadStatus++
	case outcomeMismatched:
		stats.MismatchedResponses++
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the range of the histogram.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

func (g *requestGroup) result() RequestStats {
	stats := g.stats
	stats.Latency = summarize(g.histogram)
	return stats
}

// recorder collects the results of requests. It is safe for concurrent use. Times
// are offsets from the start of the run.
type recorder struct {
	plan Plan

	mu               sync.Mutex
	total            *requestGroup
	lookups          *requestGroup
	byKind           []*requestGroup
	byCustomer       []*requestGroup
	referenceBuckets []*tokenBucket
	admitted         []int
	failureCounts    map[string]int
	sendLag          *hdrhistogram.Histogram
	dropped          int
}

func newRecorder(p Plan) *recorder {
	r := &recorder{
		plan:          p,
		total:         newRequestGroup("all requests"),
		lookups:       newRequestGroup("look-ups"),
		failureCounts: make(map[string]int),
		sendLag:       newHistogram(),
		admitted:      make([]int, len(p.Customers)),
	}
	for _, k := range p.Mix {
		r.byKind = append(r.byKind, newRequestGroup(k.Name))
	}
	for _, c := range p.Customers {
		r.byCustomer = append(r.byCustomer, newRequestGroup(c.Name))
		r.referenceBuckets = append(r.referenceBuckets, newTokenBucket(c.RatePerSecond, c.Burst))
	}
	return r
}

// recordSent records that a request is sent and reports whether it is within the
// rate and burst of its customer.
func (r *recorder) recordSent(a arrival, at time.Duration) (entitled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isMeasured(a) {
		recordLatency(r.sendLag, at-a.dueAt)
	}
	if a.customerIndex == lookupCustomer {
		return true
	}
	return r.referenceBuckets[a.customerIndex].take(at)
}

// isMeasured reports whether a request was due after the warm-up.
func (r *recorder) isMeasured(a arrival) bool { return a.dueAt >= r.plan.Warmup.Std() }

// recordDropped counts a request that was due but not sent.
func (r *recorder) recordDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

// recordFinished records the result of a request.
func (r *recorder) recordFinished(result requestResult, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.arrival.customerIndex != lookupCustomer {
		r.settleToken(result, at)
	}
	if !r.isMeasured(result.arrival) {
		return
	}
	if result.failureKind != "" {
		r.failureCounts[result.failureKind]++
	}
	if result.arrival.customerIndex == lookupCustomer {
		r.lookups.add(result)
		return
	}
	r.total.add(result)
	r.byKind[result.arrival.kindIndex].add(result)
	r.byCustomer[result.arrival.customerIndex].add(result)
}

// settleToken refunds the token of a request that did not run, unless the request
// was wrongly rejected. An ideal limiter would have run a wrongly rejected request
// and used its token; with a refund, every request during a shortage would count as
// wrongly rejected, not only those within rate and burst.
func (r *recorder) settleToken(result requestResult, at time.Duration) {
	if result.mayHaveRun {
		r.admitted[result.arrival.customerIndex]++
		return
	}
	if result.wronglyRejected() {
		return
	}
	r.referenceBuckets[result.arrival.customerIndex].refund(at)
}

// result returns the result of a run that ended at the given time. All requests must
// have ended.
func (r *recorder) result(at time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &Result{
		Name:             r.plan.Name,
		Seed:             r.plan.Seed,
		MeasuredDuration: r.plan.Duration - r.plan.Warmup,
		Total:            r.total.result(),
		Lookups:          r.lookups.result(),
		Problems:         r.failureCounts,
		Generator:        GeneratorStats{Lag: summarize(r.sendLag), Dropped: r.dropped},
	}
	for _, g := range r.byKind {
		result.Kinds = append(result.Kinds, g.result())
	}
	for i, g := range r.byCustomer {
		c := r.plan.Customers[i]
		stats := g.result()
		result.Customers = append(result.Customers, CustomerStats{
			RequestStats: stats,
			Served:       stats.ServedShare(),
			Admitted:     r.admitted[i],
			MaxAdmitted:  c.Burst + c.RatePerSecond*at.Seconds(),
		})
	}
	result.WorstServed = worstServed(result.Customers)
	return result
}

// worstServed returns the name of the customer with the smallest served share. Ties
// go to the customer with the highest 99th percentile of latency. It returns "" if no
// customer sent requests.
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
		return compareServedShares(a.Served, b.Served, a.Latency.P99, b.Latency.P99)
	})
	return worst.Name
}

// compareServedShares orders by served share, smallest first, and then by 99th
// percentile of latency, highest first.
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
