package bench

import "time"

// tokenBucket is the exact token bucket of a customer, as if one place saw all its
// requests. Requests that may have run and those refused wrongly use tokens, so a
// request that finds a token here was within the customer's rate and burst.
type tokenBucket struct {
	ratePerSecond   float64 // tokens per second
	burst  float64
	tokens float64
	refilledAt     time.Duration
}

func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{ratePerSecond: rate, burst: burst, tokens: burst}
}

// take uses a token at a time that does not decrease. It reports false if there
// was none; the number of tokens falls below zero then.
func (b *tokenBucket) take(at time.Duration) bool {
	b.refill(at)
	b.tokens--
	return b.tokens >= 0
}

// refund returns the token of a request that did not run.
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
