package caller

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// Do sends a request and returns the complete response, whatever its status code.
// It fails over between entry instances within the bounds set by Options. Every
// error that it returns is a *RequestError.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	s := &requestState{client: c, request: r, idempotencyKey: r.idempotencyKey(), selector: newInstanceSelector()}
	return s.run(ctx)
}

// requestState is the state of one request across its attempts.
type requestState struct {
	client         *Client
	request        *Request
	idempotencyKey string
	selector       *instanceSelector
	failedAttempts []Attempt
}

func (s *requestState) run(ctx context.Context) (*Response, error) {
	for len(s.failedAttempts) < s.client.options.MaxAttempts {
		instance, err := s.nextInstance(ctx)
		if err != nil {
			return nil, err
		}
		resp, failure, err := s.runAttempt(ctx, instance)
		if err != nil {
			return nil, err
		}
		if failure == nil {
			resp.IdempotencyKey = s.idempotencyKey
			resp.Attempts = s.failedAttempts
			return resp, nil
		}
		if err := s.recordFailure(ctx, instance, *failure); err != nil {
			return nil, err
		}
	}
	return nil, s.newError(ReasonAttemptsExhausted, s.lastError())
}

// nextInstance picks the entry instance of the next attempt and waits until it may be
// used.
func (s *requestState) nextInstance(ctx context.Context) (lookup.Instance, error) {
	instance, wait, err := s.pickInstance(ctx)
	if err != nil || wait == 0 {
		return instance, err
	}
	if maxWait := s.client.maxWait(ctx); wait >= maxWait {
		return instance, s.newError(ReasonDeadline, &WaitTooLongError{Wait: wait, MaxWait: maxWait, Err: s.lastError()})
	}
	if err := sleep.For(ctx, wait); err != nil {
		return instance, s.newError(ReasonDeadline, err)
	}
	// The cached look-up answer may have expired during the wait.
	instance, _, err = s.pickInstance(ctx)
	return instance, err
}

func (s *requestState) pickInstance(ctx context.Context) (lookup.Instance, time.Duration, error) {
	instances, err := s.client.Instances(ctx)
	if err != nil {
		reason := ReasonLookupFailed
		if ctx.Err() != nil {
			reason = ReasonDeadline
		}
		return lookup.Instance{}, 0, s.newError(reason, err)
	}
	instance, wait := s.selector.pick(instances, s.client.isAvoided, time.Now())
	return instance, wait, nil
}

func (s *requestState) runAttempt(ctx context.Context, to lookup.Instance) (*Response, *attemptFailure, error) {
	out, err := s.client.buildHTTPRequest(ctx, s.request, s.idempotencyKey, to)
	if err != nil {
		return nil, nil, s.newError(ReasonRequestBody, err)
	}
	resp, failure := s.client.roundTrip(ctx, out, to)
	return resp, failure, nil
}

// recordFailure records a failed attempt. It returns an error if the request must
// not be attempted again.
func (s *requestState) recordFailure(ctx context.Context, instance lookup.Instance, f attemptFailure) error {
	s.failedAttempts = append(s.failedAttempts, Attempt{Instance: instance.Name, Ran: f.ran, Err: f.err})
	if ctx.Err() != nil {
		return s.newError(ReasonDeadline, f.err)
	}
	var tooLarge *ResponseTooLargeError
	if errors.As(f.err, &tooLarge) {
		return s.newError(ReasonRejected, f.err)
	}
	d := decideRetry(f, s.request.idempotent())
	if d.verdict == verdictGiveUp {
		return s.newError(ReasonRejected, f.err)
	}
	if d.avoidInstance {
		s.client.avoidInstance(instance.Name)
	}
	s.selector.recordFailure(instance.Name, f, d, time.Now())
	return nil
}

func (s *requestState) lastError() error {
	if len(s.failedAttempts) == 0 {
		return nil
	}
	return s.failedAttempts[len(s.failedAttempts)-1].Err
}

func (s *requestState) newError(reason FailureReason, err error) *RequestError {
	ran := problem.DidNotRun
	for _, a := range s.failedAttempts {
		if a.Ran != problem.DidNotRun {
			ran = problem.MayHaveRun
		}
	}
	return &RequestError{Reason: reason, Ran: ran, IdempotencyKey: s.idempotencyKey, Attempts: s.failedAttempts, Err: err}
}

// maxWait returns the longest permitted wait before another attempt: the time until
// the deadline of ctx, which must have one, or Options.MaxWait if that is shorter.
// A wait must end before it, so that time is left for the attempt.
func (c *Client) maxWait(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if c.options.MaxWait > 0 {
		return min(remaining, c.options.MaxWait)
	}
	return remaining
}
