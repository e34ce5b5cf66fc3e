package bench

import "time"

// tokenBucket is the reference bucket of a customer: the token bucket of an ideal
// limiter that sees all requests of the customer. Requests that may have run and
// wrongly rejected requests use a token each, so a request that finds a token here
// is within the customer's rate and burst.
//
// Times are offsets from the start of the run.
type tokenBucket struct {
	ratePerSecond float64
	burst         float64
	tokens        float64
	refilledAt    time.Duration
}

func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{ratePerSecond: rate, burst: burst, tokens: burst}
}

// take removes a token and reports whether one was available. Without one, the
// balance becomes negative. Successive calls need non-decreasing times.
func (b *tokenBucket) take(at time.Duration) bool {
	b.refill(at)
	b.tokens--
	return b.tokens >= 0
}

// refund adds back the token of a request that did not run, up to the burst.
func (b *tokenBucket) refund(at time.Duration) {
	b.refill(at)
	b.tokens = min(b.tokens+1, b.burst)
}

func (b *tokenBucket) refill(at time.Duration) {
	if at <= b.refilledAt {
		return
	}
	b.tokens = min(b.tokens+b.ratePerSecond*(at-b.refilledAt).Seconds(), b.burst)
	b.refilledAt = at
}
