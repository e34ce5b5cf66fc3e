package caller

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// Do sends a request and returns its complete answer, whatever its status. It
// fails over between entry instances within the bounds of the options. It returns
// *RequestError.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	e := &exchange{client: c, request: r, key: r.idempotencyKey(), plan: newPlan()}
	return e.run(ctx)
}

// exchange is the state of one request over its attempts.
type exchange struct {
	client   *Client
	request  *Request
	key      string
	plan     *plan
	attempts []Attempt
}

func (e *exchange) run(ctx context.Context) (*Response, error) {
	for len(e.attempts) < e.client.options.MaxAttempts {
		instance, err := e.next(ctx)
		if err != nil {
			return nil, err
		}
		resp, o, err := e.try(ctx, instance)
		if err != nil {
			return nil, err
		}
		if o == nil {
			resp.IdempotencyKey = e.key
			resp.Attempts = e.attempts
			return resp, nil
		}
		if err := e.record(ctx, instance, *o); err != nil {
			return nil, err
		}
	}
	return nil, e.fail(ReasonAttemptsExhausted, e.last())
}

// next waits for the next instance that may be used and returns it.
func (e *exchange) next(ctx context.Context) (lookup.Instance, error) {
	instance, wait, err := e.pick(ctx)
	if err != nil || wait == 0 {
		return instance, err
	}
	if allowed := e.client.maxWait(ctx); wait >= allowed {
		return instance, e.fail(ReasonDeadline, &WaitTooLongError{Wait: wait, MaxWait: allowed, Err: e.last()})
	}
	if err := sleep.For(ctx, wait); err != nil {
		return instance, e.fail(ReasonDeadline, err)
	}
	// The list may have expired during the wait.
	instance, _, err = e.pick(ctx)
	return instance, err
}

func (e *exchange) pick(ctx context.Context) (lookup.Instance, time.Duration, error) {
	instances, err := e.client.Instances(ctx)
	if err != nil {
		reason := ReasonLookupFailed
		if ctx.Err() != nil {
			reason = ReasonDeadline
		}
		return lookup.Instance{}, 0, e.fail(reason, err)
	}
	instance, wait := e.plan.pick(instances, e.client.avoided, time.Now())
	return instance, wait, nil
}

func (e *exchange) try(ctx context.Context, to lookup.Instance) (*Response, *outcome, error) {
	out, err := e.client.build(ctx, e.request, e.key, to)
	if err != nil {
		return nil, nil, e.fail(ReasonRequestBody, err)
	}
	resp, o := e.client.attempt(ctx, out, to)
	return resp, o, nil
}

// record notes a failed attempt. It returns an error if no other attempt may
// follow.
func (e *exchange) record(ctx context.Context, instance lookup.Instance, o outcome) error {
	e.attempts = append(e.attempts, Attempt{Instance: instance.Name, Ran: o.ran, Err: o.err})
	if ctx.Err() != nil {
		return e.fail(ReasonDeadline, o.err)
	}
	var tooLarge *ResponseTooLargeError
	if errors.As(o.err, &tooLarge) {
		return e.fail(ReasonRejected, o.err)
	}
	d := decide(o, e.request.idempotent())
	if d.verdict == giveUp {
		return e.fail(ReasonRejected, o.err)
	}
	if d.avoid {
		e.client.avoid(instance.Name)
	}
	e.plan.failed(instance.Name, o, d, time.Now())
	return nil
}

func (e *exchange) last() error {
	if len(e.attempts) == 0 {
		return nil
	}
	return e.attempts[len(e.attempts)-1].Err
}

func (e *exchange) fail(reason FailureReason, err error) *RequestError {
	ran := problem.RanNo
	for _, a := range e.attempts {
		if a.Ran != problem.RanNo {
			ran = problem.RanUnknown
		}
	}
	return &RequestError{Reason: reason, Ran: ran, IdempotencyKey: e.key, Attempts: e.attempts, Err: err}
}

// maxWait returns the longest wait that leaves time for another attempt. ctx has a
// deadline.
func (c *Client) maxWait(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if c.options.MaxWait > 0 {
		return min(left, c.options.MaxWait)
	}
	return left
}
