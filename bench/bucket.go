package bench

import "time"

// bucket is the exact token bucket of a customer, as if one place saw all its
// requests. Requests that may have run and those refused wrongly use tokens, so a
// request that finds a token here was within the customer's rate and burst.
type bucket struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	at     time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst}
}

// take uses a token at a time that does not decrease. It reports false if there
// was none; the number of tokens falls below zero then.
func (b *bucket) take(at time.Duration) bool {
	b.refill(at)
	b.tokens--
	return b.tokens >= 0
}

// giveBack returns the token of a request that did not run.
func (b *bucket) giveBack(at time.Duration) {
	b.refill(at)
	b.tokens = min(b.tokens+1, b.burst)
}

func (b *bucket) refill(at time.Duration) {
	if at <= b.at {
		return
	}
	b.tokens = min(b.tokens+b.rate*(at-b.at).Seconds(), b.burst)
	b.at = at
}
