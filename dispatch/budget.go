package dispatch

import "time"

// RetryBudgetPolicy bounds the arrivals at servers beyond the first of each request, over
// all instances.
type RetryBudgetPolicy struct {
	Ratio  float64 // of the requests in the window
	Window time.Duration
	Slack  float64 // arrivals in the window that are always allowed
}

// budgetMargin keeps an instance below its part of the budget, since windows slide
// and instances count at different times.
const budgetMargin = 0.7

// RetryBudget counts the requests and repeats of a service in seconds.
type RetryBudget struct {
	requests, repeats [budgetSeconds]int
	second            int64
	base              time.Time // second 0; a monotonic reading
}

// budgetSeconds bounds the window.
const budgetSeconds = 64

func (b *RetryBudget) advance(now time.Time) int {
	if b.base.IsZero() {
		b.base = now
	}
	second := int64(now.Sub(b.base) / time.Second)
	b.second = max(b.second, second-budgetSeconds)
	for b.second < second {
		b.second++
		i := b.second % budgetSeconds
		b.requests[i], b.repeats[i] = 0, 0
	}
	return int(second % budgetSeconds)
}

// CountRequest counts a request for a service.
func (t *Dispatcher) CountRequest(name string, now time.Time) {
	b := &t.service(name).budget
	b.requests[b.advance(now)]++
}

// TakeRetry takes one repeat from the budget of a service and reports whether there was
// one. Each instance has an equal part of the slack and repeats in proportion to its
// own requests.
func (t *Dispatcher) TakeRetry(name string, p RetryBudgetPolicy, now time.Time) bool {
	b := &t.service(name).budget
	i := b.advance(now)
	requests, repeats := 0, 0
	for back := range int64(p.Window/time.Second) + 1 {
		j := ((b.second-back)%budgetSeconds + budgetSeconds) % budgetSeconds
		requests += b.requests[j]
		repeats += b.repeats[j]
	}
	allowed := budgetMargin * (p.Ratio*float64(requests) + p.Slack/float64(t.members))
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[i]++
	return true
}
