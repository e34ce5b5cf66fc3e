package fairqueue

import (
	"math"
	"time"
)

// refuse returns the reason why a request must not wait, if there is one.
func (q *Queue) refuse(r Request, f *flow, wait time.Duration, now time.Time) error {
	switch {
	case f.waiters.Len() >= q.bounds.MaxWaitingPerCustomer:
		return q.refusal(f, ReasonCustomerQueueFull, wait)
	case wait > q.bounds.MaxWait:
		return q.refusal(f, ReasonExpectedWaitTooLong, wait)
	case !r.Deadline.IsZero() && !now.Add(wait).Before(r.Deadline):
		return q.refusal(f, ReasonExpectedWaitExceedsDeadline, wait)
	}
	return nil
}

func (q *Queue) refusal(f *flow, reason Reason, wait time.Duration) *RefusedError {
	return &RefusedError{Customer: f.customer, Reason: reason, ExpectedWait: wait}
}

// makeRoom removes a waiter when the total is reached. It takes the newest
// waiter of the customer that has the most waiters for its weight, so that one
// customer cannot fill the queue for the others.
func (q *Queue) makeRoom(f *flow, wait time.Duration) (ID, error) {
	if len(q.byID) < q.bounds.MaxWaiting {
		return 0, nil
	}
	longest := q.longest()
	if longest == nil || longest.load(0) <= f.load(1) {
		return 0, q.refusal(f, ReasonQueueFull, wait)
	}
	w := longest.waiters.Back().Value.(*waiter)
	q.remove(w)
	return w.id, nil
}

// load returns the waiters for the weight, with extra waiters added.
func (f *flow) load(extra int) float64 { return float64(f.waiters.Len()+extra) / f.weight }

func (q *Queue) longest() *flow {
	var best *flow
	for _, f := range q.flows {
		if f.waiters.Len() == 0 {
			continue
		}
		if best == nil || f.load(0) > best.load(0) || (f.load(0) == best.load(0) && f.customer < best.customer) {
			best = f
		}
	}
	return best
}

// expectedWait estimates how long a new request of f waits: the requests that
// are served before it, divided by the rate at which requests finish.
func (q *Queue) expectedWait(f *flow) time.Duration {
	ahead := q.ahead(f)
	if len(q.running) < q.bounds.MaxInFlight {
		return 0
	}
	turns := float64(ahead+1) / float64(max(1, q.bounds.MaxInFlight))
	return time.Duration(turns * float64(q.service.average))
}

// ahead counts the waiters that are served before a new request of f. Others are
// counted by their average cost, which avoids a walk over all waiters.
func (q *Queue) ahead(f *flow) int {
	start := f.start + f.cost/f.weight
	count := f.waiters.Len()
	for _, o := range q.flows {
		n := o.waiters.Len()
		if o == f || n == 0 || o.start > start {
			continue
		}
		step := o.cost / float64(n) / o.weight
		count += min(n, 1+int(math.Min((start-o.start)/step, float64(n))))
	}
	return count
}

// serviceTime averages the time for which requests run.
type serviceTime struct{ average time.Duration }

// serviceWeight is the weight of a new value in the average.
const serviceWeight = 0.1

func (s *serviceTime) add(d time.Duration) {
	if s.average == 0 {
		s.average = d
		return
	}
	s.average += time.Duration(serviceWeight * float64(d-s.average))
}
