package fairqueue

import (
	"context"
	"sync"
	"time"
)

// Limiter blocks concurrent requests until its Queue admits them. Its methods are
// safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	queue      *Queue
	resultByID map[ID]chan error // by waiting request; buffered for one result, a nil error means admitted
}

// NewLimiter returns a limiter with the given bounds.
func NewLimiter(b Bounds) *Limiter {
	return &Limiter{queue: NewQueue(b), resultByID: make(map[ID]chan error)}
}

// Acquire waits until the request may run. The caller must call release when the
// request has ended; further calls of release have no effect. weight is relative
// to other customers and cost to other requests; values that are not positive mean
// 1. On a *RefusedError or *CanceledError release is nil and the request is not
// counted as in flight.
func (l *Limiter) Acquire(ctx context.Context, customer string, weight, cost float64) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, &CanceledError{Customer: customer, Err: err}
	}
	r := Request{Customer: customer, Weight: weight, Cost: cost}
	r.Deadline, _ = ctx.Deadline()
	id, result, err := l.submit(r)
	if err != nil {
		return nil, err
	}
	if result != nil {
		if err := l.awaitResult(ctx, customer, id, result); err != nil {
			return nil, err
		}
	}
	return sync.OnceFunc(func() { l.release(id) }), nil
}

// Counts returns the numbers of requests in flight and waiting.
func (l *Limiter) Counts() (inFlight, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.InFlight(), l.queue.Waiting()
}

// SetBounds replaces the bounds. Requests that are already waiting or in flight are
// kept, even above the new bounds.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyStarted(l.queue.SetBounds(b, time.Now()))
}

// submit passes a request to the queue. The returned channel delivers the result
// of the wait; it is nil if the request may run at once.
func (l *Limiter) submit(r Request) (ID, chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	submitted, err := l.queue.Submit(r, time.Now())
	if err != nil {
		return 0, nil, err
	}
	if submitted.DisplacedID != 0 {
		l.sendResult(submitted.DisplacedID, &RefusedError{Reason: ReasonDisplaced})
	}
	if submitted.Admitted {
		return submitted.ID, nil, nil
	}
	result := make(chan error, 1)
	l.resultByID[submitted.ID] = result
	return submitted.ID, result, nil
}

func (l *Limiter) sendResult(id ID, err error) {
	l.resultByID[id] <- err
	delete(l.resultByID, id)
}

// notifyStarted tells the waiting callers of these requests that they may run.
func (l *Limiter) notifyStarted(ids []ID) {
	for _, id := range ids {
		l.sendResult(id, nil)
	}
}

func (l *Limiter) awaitResult(ctx context.Context, customer string, id ID, result chan error) error {
	timer := time.NewTimer(l.maxWait())
	defer timer.Stop()
	select {
	case err := <-result:
		return withCustomer(err, customer)
	case <-ctx.Done():
		return l.removeRequest(id, &CanceledError{Customer: customer, Err: ctx.Err()})
	case <-timer.C:
		return l.removeRequest(id, &RefusedError{Customer: customer, Reason: ReasonWaitedTooLong})
	}
}

func withCustomer(err error, customer string) error {
	if rejected, ok := err.(*RefusedError); ok {
		rejected.Customer = customer
	}
	return err
}

func (l *Limiter) maxWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.bounds.MaxWait
}

// removeRequest removes a request that has stopped waiting, also if it was admitted
// in the meantime, and returns cause.
func (l *Limiter) removeRequest(id ID, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Cancel(id) {
		delete(l.resultByID, id)
		return cause
	}
	l.notifyStarted(l.queue.Abandon(id, time.Now()))
	return cause
}

func (l *Limiter) release(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyStarted(l.queue.Complete(id, time.Now()))
}
