package fairqueue

import (
	"context"
	"sync"
	"time"
)

// Limiter admits concurrent requests through a Queue.
type Limiter struct {
	mu      sync.Mutex
	queue   *Queue
	waiting map[ID]chan error // buffered; nil means granted
}

// NewLimiter returns a limiter without requests.
func NewLimiter(b Bounds) *Limiter {
	return &Limiter{queue: NewQueue(b), waiting: make(map[ID]chan error)}
}

// Acquire waits until the request may run. The caller must call release once the
// request has ended; further calls have no effect. weight and cost are relative;
// values that are not positive mean 1. It returns *RefusedError or
// *CanceledError, and then release is nil and the request holds no permit.
func (l *Limiter) Acquire(ctx context.Context, customer string, weight, cost float64) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, &CanceledError{Customer: customer, Err: err}
	}
	r := Request{Customer: customer, Weight: weight, Cost: cost}
	r.Deadline, _ = ctx.Deadline()
	id, result, err := l.arrive(r)
	if err != nil {
		return nil, err
	}
	if result != nil {
		if err := l.wait(ctx, customer, id, result); err != nil {
			return nil, err
		}
	}
	return sync.OnceFunc(func() { l.done(id) }), nil
}

// Counts returns the number of requests in progress and waiting.
func (l *Limiter) Counts() (inProgress, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.InFlight(), l.queue.Waiting()
}

// SetBounds replaces the bounds. Requests that wait or run stay.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant(l.queue.SetBounds(b, time.Now()))
}

// arrive returns a nil channel when the request may run at once.
func (l *Limiter) arrive(r Request) (ID, chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, err := l.queue.Submit(r, time.Now())
	if err != nil {
		return 0, nil, err
	}
	if t.DisplacedID != 0 {
		l.answer(t.DisplacedID, &RefusedError{Reason: ReasonDisplaced})
	}
	if t.Admitted {
		return t.ID, nil, nil
	}
	result := make(chan error, 1)
	l.waiting[t.ID] = result
	return t.ID, result, nil
}

func (l *Limiter) answer(id ID, err error) {
	l.waiting[id] <- err
	delete(l.waiting, id)
}

func (l *Limiter) grant(ids []ID) {
	for _, id := range ids {
		l.answer(id, nil)
	}
}

func (l *Limiter) wait(ctx context.Context, customer string, id ID, result chan error) error {
	timer := time.NewTimer(l.maxWait())
	defer timer.Stop()
	select {
	case err := <-result:
		return named(err, customer)
	case <-ctx.Done():
		return l.leave(id, &CanceledError{Customer: customer, Err: ctx.Err()})
	case <-timer.C:
		return l.leave(id, &RefusedError{Customer: customer, Reason: ReasonWaitedTooLong})
	}
}

func named(err error, customer string) error {
	if refused, ok := err.(*RefusedError); ok {
		refused.Customer = customer
	}
	return err
}

func (l *Limiter) maxWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.bounds.MaxWait
}

// leave takes the request out, whether it still waits or was granted meanwhile.
func (l *Limiter) leave(id ID, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Cancel(id) {
		delete(l.waiting, id)
		return cause
	}
	l.grant(l.queue.Abandon(id, time.Now()))
	return cause
}

func (l *Limiter) done(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant(l.queue.Complete(id, time.Now()))
}
