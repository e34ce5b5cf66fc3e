package dispatch

import "time"

// RetryBudgetPolicy bounds the retries of a service over all instances. A retry is any
// attempt that reaches a server after the first attempt of its request.
type RetryBudgetPolicy struct {
	Ratio  float64       // retries allowed per request in the window
	Window time.Duration // seconds counted in addition to the current one; fractions are dropped
	Slack  float64       // retries allowed per window in addition to the ratio
}

// retryBudgetFraction is the fraction of its part of the budget that an instance uses.
// The rest is a margin, since windows slide and instances count at different times.
const retryBudgetFraction = 0.7

// RetryBudget counts the requests and retries of a service in a ring of one-second buckets.
type RetryBudget struct {
	requests, retries [maxRetryWindowSeconds]int
	newestSecond      int64
	epoch             time.Time // first request of this process and start of second 0; a monotonic clock reading
	// granted and denied count the retries since the last call of CollectRetryDecisions.
	granted, denied int
}

// RetryUsage is how much of its part of a service's retry budget an instance has used in the
// window.
type RetryUsage struct {
	Requests int     // new requests
	Retries  int     // retries taken
	Allowed  float64 // retries that may be taken
}

// RetryDecisions counts an instance's decisions on retries of a service.
type RetryDecisions struct {
	Service         string
	Granted, Denied int
	Usage           RetryUsage
}

// maxRetryWindowSeconds is the size of the ring in seconds. RetryBudgetPolicy.Window must be
// shorter, since the ring also holds the current second.
const maxRetryWindowSeconds = 64

// advance clears the buckets of the seconds that have begun since the last call and
// returns the index of the bucket for now.
func (b *RetryBudget) advance(now time.Time) int {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	second := int64(now.Sub(b.epoch) / time.Second)
	// After a gap longer than the ring, each bucket is cleared only once.
	b.newestSecond = max(b.newestSecond, second-maxRetryWindowSeconds)
	for b.newestSecond < second {
		b.newestSecond++
		i := b.newestSecond % maxRetryWindowSeconds
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(second % maxRetryWindowSeconds)
}

// CountRequest counts a new request for a service, from which its retry budget grows.
func (d *Dispatcher) CountRequest(service string, now time.Time) {
	b := &d.pool(service).retryBudget
	b.requests[b.advance(now)]++
}

// TakeRetry takes one retry from the retry budget of a service. It returns false, and
// takes none, if the budget is used up. Each instance may use an equal part of the
// slack, and retries in proportion to its own requests. Unless SetBootstrap was called, the part
// of the slack is not available in the first window, since a process that ran at this instance
// before may have used it.
func (d *Dispatcher) TakeRetry(service string, policy RetryBudgetPolicy, now time.Time) bool {
	b := &d.pool(service).retryBudget
	usage := d.retryUsage(b, policy, now)
	if float64(usage.Retries+1) > usage.Allowed {
		b.denied++
		return false
	}
	b.retries[b.advance(now)]++
	b.granted++
	return true
}

// retryUsage sums up the window that ends now.
func (d *Dispatcher) retryUsage(b *RetryBudget, policy RetryBudgetPolicy, now time.Time) RetryUsage {
	b.advance(now)
	var usage RetryUsage
	for back := range int64(policy.Window/time.Second) + 1 {
		// Adding the ring size keeps the index from being negative before the first full ring.
		i := ((b.newestSecond-back)%maxRetryWindowSeconds + maxRetryWindowSeconds) % maxRetryWindowSeconds
		usage.Requests += b.requests[i]
		usage.Retries += b.retries[i]
	}
	slack := 0.0
	if d.bootstrap || now.Sub(b.epoch) > policy.Window {
		slack = policy.Slack / float64(d.members)
	}
	usage.Allowed = retryBudgetFraction * (policy.Ratio*float64(usage.Requests) + slack)
	return usage
}

// CollectRetryDecisions returns the decisions since the last call of each service that had any,
// in no particular order, and resets their counts.
func (d *Dispatcher) CollectRetryDecisions(policy RetryBudgetPolicy, now time.Time) []RetryDecisions {
	var all []RetryDecisions
	for service, pool := range d.services {
		b := &pool.retryBudget
		if b.granted+b.denied == 0 {
			continue
		}
		all = append(all, RetryDecisions{Service: service, Granted: b.granted, Denied: b.denied, Usage: d.retryUsage(b, policy, now)})
		b.granted, b.denied = 0, 0
	}
	return all
}
