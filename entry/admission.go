package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/fairqueue"
	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/problem"
)

// requestCost is the cost of a request in tokens and in units of work.
const requestCost = 1

// admission lets the data path use a fairqueue.Limiter.
type admission struct{ limiter *fairqueue.Limiter }

// Acquire implements forward.Admission.
func (a *admission) Acquire(ctx context.Context, customer string, weight float64) (func(), *problem.Document) {
	release, err := a.limiter.Acquire(ctx, customer, weight, requestCost)
	if err == nil {
		return release, nil
	}
	var refused *fairqueue.RefusedError
	if errors.As(err, &refused) {
		return nil, problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.RanNo, "%v", refused).WithRetryAfter(max(refused.ExpectedWait, time.Second))
	}
	return nil, problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.RanNo, "the deadline passed while the request waited")
}

// rateLimiter lets the data path use a limits.Manager.
type rateLimiter struct{ manager *limits.Manager }

// Allow implements forward.RateLimiter.
func (l *rateLimiter) Allow(customer string) (bool, time.Duration) {
	decision := l.manager.Allow(customerLimit(customer), requestCost, time.Now())
	return decision.Allowed, decision.RetryAfter
}

// customerLimit names the fleet-wide limit of a customer. Shifts have limits of
// their own.
func customerLimit(customer string) string { return "customer/" + customer }
