package fairqueue

import (
	"math"
	"time"
)

// rejectionFor returns a *RefusedError if the request must not be enqueued, or nil.
// wait is its expected wait.
func (q *Queue) rejectionFor(r Request, f *flow, wait time.Duration, now time.Time) error {
	switch {
	case f.waiters.Len() >= q.bounds.MaxWaitingPerCustomer:
		return q.rejection(f, ReasonCustomerQueueFull, wait)
	case wait > q.bounds.MaxWait:
		return q.rejection(f, ReasonExpectedWaitTooLong, wait)
	case !r.Deadline.IsZero() && !now.Add(wait).Before(r.Deadline):
		return q.rejection(f, ReasonExpectedWaitExceedsDeadline, wait)
	}
	return nil
}

func (q *Queue) rejection(f *flow, reason Reason, wait time.Duration) *RefusedError {
	return &RefusedError{Customer: f.customer, Reason: reason, ExpectedWait: wait}
}

// displaceWaiter removes a waiter if the queue is full. It chooses the newest waiter
// of the customer with the most waiters per weight, so that one customer cannot
// fill the queue for the others. It returns a *RefusedError if that customer's
// backlog is not above the one that f would have with one more waiter.
func (q *Queue) displaceWaiter(f *flow, wait time.Duration) (ID, error) {
	if len(q.waitersByID) < q.bounds.MaxWaiting {
		return 0, nil
	}
	longest := q.longestBacklog()
	if longest == nil || longest.backlogPerWeight(0) <= f.backlogPerWeight(1) {
		return 0, q.rejection(f, ReasonQueueFull, wait)
	}
	w := longest.waiters.Back().Value.(*waiter)
	q.removeWaiter(w)
	return w.id, nil
}

// backlogPerWeight returns the number of waiters, plus extra, divided by the weight.
func (f *flow) backlogPerWeight(extra int) float64 { return float64(f.waiters.Len()+extra) / f.weight }

func (q *Queue) longestBacklog() *flow {
	var best *flow
	for _, f := range q.flows {
		if f.waiters.Len() == 0 {
			continue
		}
		if best == nil || f.backlogPerWeight(0) > best.backlogPerWeight(0) || (f.backlogPerWeight(0) == best.backlogPerWeight(0) && f.customer < best.customer) {
			best = f
		}
	}
	return best
}

// expectedWait estimates how long a new request of f would wait: the number of
// requests served before it, divided by the rate at which requests complete.
func (q *Queue) expectedWait(f *flow) time.Duration {
	ahead := q.requestsAhead(f)
	if len(q.startedAt) < q.bounds.MaxInFlight {
		return 0
	}
	turns := float64(ahead+1) / float64(max(1, q.bounds.MaxInFlight))
	return time.Duration(turns * float64(q.serviceTime.average))
}

// requestsAhead estimates the number of waiters that are served before a new
// request of f: all waiters of f and, of each other customer, those whose virtual
// start time is not later. It takes a customer's waiters to have equal cost, which
// avoids a scan of all waiters.
func (q *Queue) requestsAhead(f *flow) int {
	virtualStart := f.virtualStart + f.waitingCost/f.weight
	count := f.waiters.Len()
	for _, o := range q.flows {
		n := o.waiters.Len()
		if o == f || n == 0 || o.virtualStart > virtualStart {
			continue
		}
		// virtualStep is the mean virtual time that one waiter of o takes.
		virtualStep := o.waitingCost / float64(n) / o.weight
		count += min(n, 1+int(math.Min((virtualStart-o.virtualStart)/virtualStep, float64(n))))
	}
	return count
}

// serviceTime is an exponentially weighted moving average of the time for which
// requests are in flight.
type serviceTime struct{ average time.Duration }

// serviceTimeSmoothing is the weight of a new sample in the average, from 0 to 1.
const serviceTimeSmoothing = 0.1

func (s *serviceTime) observe(d time.Duration) {
	if s.average == 0 {
		s.average = d
		return
	}
	s.average += time.Duration(serviceTimeSmoothing * float64(d-s.average))
}
