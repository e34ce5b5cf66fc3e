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
	byCustomer   map[string]*bucket
	initialBurst float64 // fraction of its burst that a new bucket holds
}

// bucket is the token bucket of a customer.
type bucket struct {
	rate, burst float64 // this instance's share; burst includes the slack
	fleetRate   float64 // fleet-wide rate, tokens per second
	tokens      float64
	demandRate  float64 // requests per second at this instance, including those that got no token
	refilledAt  time.Time
}

// NewBuckets returns an empty set of buckets. initialBurst is the fraction of its burst that a new
// bucket holds: an instance that restarts does not know how many tokens it used before. If
// it is 1, a new bucket holds its share of the slack as well.
func NewBuckets(initialBurst float64) *Buckets {
	return &Buckets{byCustomer: make(map[string]*bucket), initialBurst: initialBurst}
}

// SetLimit sets a customer's limit and this instance's share of it, from 0 to 1. When the burst
// of the share shrinks, tokens above it are dropped at once; when it grows, no tokens are
// added. A limit without a rate removes the bucket.
func (b *Buckets) SetLimit(customer string, l Limit, share float64, now time.Time) {
	if l.Rate <= 0 {
		delete(b.byCustomer, customer)
		return
	}
	k := b.byCustomer[customer]
	if k == nil {
		k = &bucket{refilledAt: now, tokens: l.Burst * share * b.initialBurst, burst: l.Burst * share}
		if b.initialBurst >= 1 {
			k.tokens = (l.Burst + l.Slack) * share
		}
		b.byCustomer[customer] = k
	}
	k.refill(now)
	k.rate, k.burst, k.fleetRate = l.Rate*share, (l.Burst+l.Slack)*share, l.Rate
	k.tokens = min(k.tokens, max(k.burst, 0))
}

// Clear removes all buckets. The next limit set for a customer creates a new one.
func (b *Buckets) Clear() { clear(b.byCustomer) }

// Retain removes the buckets of the customers for which keep returns false.
func (b *Buckets) Retain(keep func(customer string) bool) {
	for name := range b.byCustomer {
		if !keep(name) {
			delete(b.byCustomer, name)
		}
	}
}

// refill adds the tokens that have accrued until now, and decays the demand rate.
func (k *bucket) refill(now time.Time) {
	k.demandRate *= math.Exp(-now.Sub(k.refilledAt).Seconds() / demandDecay.Seconds())
	if k.tokens < k.burst {
		k.tokens = min(k.burst, k.tokens+k.rate*now.Sub(k.refilledAt).Seconds())
	}
	k.refilledAt = now
}

// TakeToken takes a token for a request. A customer without a limit always gets one. If the
// bucket has no token, retryAfter is the time until it has one or, if this instance has no
// share, an estimate of the time until some instance has one.
func (b *Buckets) TakeToken(customer string, now time.Time) (ok bool, retryAfter time.Duration) {
	k := b.byCustomer[customer]
	if k == nil {
		return true, 0
	}
	k.refill(now)
	k.demandRate += 1 / demandDecay.Seconds()
	if k.tokens >= 1 {
		k.tokens--
		return true, 0
	}
	rate := k.rate
	if rate == 0 {
		rate = k.fleetRate
	}
	wait := time.Duration((1 - k.tokens) / rate * float64(time.Second))
	return false, max(wait, minRetryAfter)
}

// Lend takes up to the requested number of tokens from a customer's bucket, to be lent to
// another instance. The lender keeps the tokens that its own demand needs for a second, but
// at most half of its tokens, so that it need not borrow for its own next request.
// remaining is the number of tokens in the bucket after the loan.
//
// A lender whose bucket can hold at least one token lends whole tokens, since fractions
// would stay unused at many instances that each lack the rest of a token. It rounds the
// available tokens to a whole number, and its bucket may fall to minus half a token until
// it is refilled. Apart from that, loans move tokens and never create any.
func (b *Buckets) Lend(customer string, requested float64, now time.Time) (lent, remaining float64) {
	k := b.byCustomer[customer]
	if k == nil || requested <= 0 {
		return 0, 0
	}
	k.refill(now)
	reserve := min(k.demandRate*lenderReserveTime.Seconds(), k.tokens*maxLenderReserve)
	lent = max(0, min(requested, k.tokens-reserve))
	if k.burst >= 1 {
		lent = max(0, min(math.Ceil(requested), math.Round(k.tokens-reserve)))
	}
	k.tokens -= lent
	return lent, k.tokens
}

// Parameters of lending.
const (
	// demandDecay is the time constant of the average of the demand at an instance. The
	// callers of a small customer send each instance a request every few seconds.
	demandDecay = 2 * time.Second
	// lenderReserveTime is the time for which a lender keeps tokens for its own demand. A
	// short time suffices, since borrowers first ask the instances with the most tokens.
	lenderReserveTime = time.Second
	// maxLenderReserve is the largest fraction of its tokens that a lender keeps.
	maxLenderReserve = 0.5
)

// Shortfall returns the number of tokens, at least 0, that the bucket lacks for the next
// request.
func (b *Buckets) Shortfall(customer string, now time.Time) float64 {
	k := b.byCustomer[customer]
	if k == nil {
		return 0
	}
	k.refill(now)
	return max(0, 1-k.tokens)
}

// AddBorrowed adds tokens borrowed from another instance. They may exceed the burst, since
// waiting requests need them.
func (b *Buckets) AddBorrowed(customer string, tokens float64, now time.Time) {
	if k := b.byCustomer[customer]; k != nil {
		k.refill(now)
		k.tokens += tokens
	}
}

// Refund gives back the token of a request that did not run.
func (b *Buckets) Refund(customer string) {
	if k := b.byCustomer[customer]; k != nil {
		k.tokens = min(max(k.burst, 1), k.tokens+1)
	}
}
