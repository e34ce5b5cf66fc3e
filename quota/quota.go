// Package quota enforces the fleet-wide request rates of customers at one instance.
//
// Some or all instances have a share of a customer's rate and burst, each in a token bucket
// of its own. The shares of the instances that may be alive add up to at most 1. An
// instance without a token borrows one from another instance. Since a loan moves tokens
// from one bucket to another, the fleet-wide limit holds even if instances disagree about
// which of them are alive.
//
// The package uses no locks or clock: callers serialize their calls and pass the time.
package quota

import (
	"math"
	"time"
)

// Limit is the fleet-wide quota of a customer.
type Limit struct {
	Rate  float64 // tokens (requests) per second; 0 for no limit
	Burst float64 // tokens
	// Slack is the number of tokens that the buckets may hold in addition to the burst.
	Slack float64
}

// minRetryAfter is the shortest time after which a caller without a token may retry.
const minRetryAfter = 50 * time.Millisecond

// Buckets holds this instance's token bucket of each customer that has a limit.
type Buckets struct {
	byCustomer           map[string]*bucket
	initialBurstFraction float64 // fraction of its burst that a new bucket holds
}

// bucket is the token bucket of a customer.
type bucket struct {
	rate, burst float64 // this instance's share; burst includes the slack
	fleetRate   float64 // fleet-wide rate, tokens per second
	tokens      float64
	demandRate  float64 // requests per second at this instance, including those that got no token
	refilledAt  time.Time
}

// NewBuckets returns an empty set of buckets. initialBurstFraction is the fraction of its
// burst that a new bucket holds: an instance that restarts does not know how many tokens it
// used before. If it is 1, a new bucket holds its share of the slack as well.
func NewBuckets(initialBurstFraction float64) *Buckets {
	return &Buckets{byCustomer: make(map[string]*bucket), initialBurstFraction: initialBurstFraction}
}

// SetLimit sets a customer's limit and this instance's share of it, from 0 to 1. When the burst
// of the share shrinks, tokens above it are dropped at once; when it grows, no tokens are
// added. A limit without a rate removes the bucket.
func (buckets *Buckets) SetLimit(customer string, l Limit, share float64, now time.Time) {
	if l.Rate <= 0 {
		delete(buckets.byCustomer, customer)
		return
	}
	b := buckets.byCustomer[customer]
	if b == nil {
		b = &bucket{refilledAt: now, tokens: l.Burst * share * buckets.initialBurstFraction, burst: l.Burst * share}
		if buckets.initialBurstFraction >= 1 {
			b.tokens = (l.Burst + l.Slack) * share
		}
		buckets.byCustomer[customer] = b
	}
	b.refill(now)
	b.rate, b.burst, b.fleetRate = l.Rate*share, (l.Burst+l.Slack)*share, l.Rate
	b.tokens = min(b.tokens, max(b.burst, 0))
}

// Clear removes all buckets. The next limit set for a customer creates a new one.
func (buckets *Buckets) Clear() { clear(buckets.byCustomer) }

// Retain removes the buckets of the customers for which keep returns false.
func (buckets *Buckets) Retain(keep func(customer string) bool) {
	for name := range buckets.byCustomer {
		if !keep(name) {
			delete(buckets.byCustomer, name)
		}
	}
}

// refill adds the tokens that have accrued until now, and decays the demand rate.
func (b *bucket) refill(now time.Time) {
	b.demandRate *= math.Exp(-now.Sub(b.refilledAt).Seconds() / demandDecay.Seconds())
	if b.tokens < b.burst {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// TakeToken takes a token for a request. A customer without a limit always gets one. If the
// bucket has no token, retryAfter is the time until it has one or, if this instance has no
// share, an estimate of the time until some instance has one.
func (buckets *Buckets) TakeToken(customer string, now time.Time) (ok bool, retryAfter time.Duration) {
	b := buckets.byCustomer[customer]
	if b == nil {
		return true, 0
	}
	b.refill(now)
	b.demandRate += 1 / demandDecay.Seconds()
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	rate := b.rate
	if rate == 0 {
		rate = b.fleetRate
	}
	wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return false, max(wait, minRetryAfter)
}

// Lend takes up to the requested number of tokens from a customer's bucket, to be lent to
// another instance. The lender keeps the tokens that its own demand needs for a second, but
// at most half of its tokens, so that it need not borrow for its own next request.
// remaining is the number of tokens in the bucket after the loan.
//
// A lender whose bucket can hold at least one token lends whole tokens: fractions would stay
// unused at instances that cannot complete them to a whole token. It rounds the
// available tokens to a whole number, and its bucket may fall to minus half a token until
// it is refilled. Apart from that, loans move tokens and never create any.
func (buckets *Buckets) Lend(customer string, requested float64, now time.Time) (lent, remaining float64) {
	b := buckets.byCustomer[customer]
	if b == nil || requested <= 0 {
		return 0, 0
	}
	b.refill(now)
	reserve := min(b.demandRate*lenderReserveTime.Seconds(), b.tokens*maxLenderReserve)
	lent = max(0, min(requested, b.tokens-reserve))
	if b.burst >= 1 {
		lent = max(0, min(math.Ceil(requested), math.Round(b.tokens-reserve)))
	}
	b.tokens -= lent
	return lent, b.tokens
}

// Parameters of lending.
const (
	// demandDecay is the time constant of the average of the demand at an instance. The
	// callers of a small customer send each instance a request every few seconds.
	demandDecay = 2 * time.Second
	// lenderReserveTime is the time for which a lender keeps tokens for its own demand. It
	// can be short: borrowers call the instances with the most tokens first, so that
	// lenders with few tokens are called last.
	lenderReserveTime = time.Second
	// maxLenderReserve is the largest fraction of its tokens that a lender keeps.
	maxLenderReserve = 0.5
)

// Shortfall returns the number of tokens, at least 0, that the bucket lacks for the next
// request.
func (buckets *Buckets) Shortfall(customer string, now time.Time) float64 {
	b := buckets.byCustomer[customer]
	if b == nil {
		return 0
	}
	b.refill(now)
	return max(0, 1-b.tokens)
}

// AddBorrowed adds tokens borrowed from another instance. They may exceed the burst, since
// waiting requests need them.
func (buckets *Buckets) AddBorrowed(customer string, tokens float64, now time.Time) {
	if b := buckets.byCustomer[customer]; b != nil {
		b.refill(now)
		b.tokens += tokens
	}
}

// Refund gives back the token of a request that did not run.
func (buckets *Buckets) Refund(customer string) {
	if b := buckets.byCustomer[customer]; b != nil {
		b.tokens = min(max(b.burst, 1), b.tokens+1)
	}
}
