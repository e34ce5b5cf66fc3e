// Package quota holds customers to their fleet-wide rates at one instance.
//
// Some or all instances hold a part of a customer's rate and burst. The parts of the
// instances that may be alive add up to no more than the whole. An instance that has no
// token borrows from another one: tokens move between buckets, so that the whole holds
// whatever instances know of each other. The package is pure; time is an argument.
package quota

import (
	"math"
	"time"
)

// Limit is a fleet-wide quota.
type Limit struct {
	Rate  float64 // requests per second; 0 for no limit
	Burst float64 // requests
	// Slack is what the buckets may hold beside the burst.
	Slack float64
}

// minRetryAfter keeps a caller that is over its quota from returning at once.
const minRetryAfter = 50 * time.Millisecond

// Buckets holds a token bucket for each customer.
type Buckets struct {
	buckets map[string]*bucket
	initial float64
}

type bucket struct {
	rate, burst float64 // this instance's part, with the slack
	whole       float64 // rate of the fleet
	tokens      float64
	demand      float64 // requests per second at this instance, admitted or not
	at          time.Time
}

// NewBuckets returns no buckets. initial is the part of its burst that a new bucket holds:
// an instance that starts again does not know what it spent before. With 1 a bucket
// holds its slack, too.
func NewBuckets(initial float64) *Buckets {
	return &Buckets{buckets: make(map[string]*bucket), initial: initial}
}

// SetLimit gives a customer this instance's part of its limit. A part that shrinks drops
// the tokens above its new burst at once; one that grows starts without more tokens.
func (b *Buckets) SetLimit(customer string, l Limit, share float64, now time.Time) {
	if l.Rate <= 0 {
		delete(b.buckets, customer)
		return
	}
	k := b.buckets[customer]
	if k == nil {
		k = &bucket{at: now, tokens: l.Burst * share * b.initial, burst: l.Burst * share}
		if b.initial >= 1 {
			k.tokens = (l.Burst + l.Slack) * share
		}
		b.buckets[customer] = k
	}
	k.refill(now)
	k.rate, k.burst, k.whole = l.Rate*share, (l.Burst+l.Slack)*share, l.Rate
	k.tokens = min(k.tokens, max(k.burst, 0))
}

// Clear forgets all customers, so that Set starts them anew.
func (b *Buckets) Clear() { clear(b.buckets) }

// Retain forgets the customers that known does not name.
func (b *Buckets) Retain(known func(customer string) bool) {
	for name := range b.buckets {
		if !known(name) {
			delete(b.buckets, name)
		}
	}
}

// refill moves the bucket to now.
func (k *bucket) refill(now time.Time) {
	k.demand *= math.Exp(-now.Sub(k.at).Seconds() / demandMemory.Seconds())
	if k.tokens < k.burst {
		k.tokens = min(k.burst, k.tokens+k.rate*now.Sub(k.at).Seconds())
	}
	k.at = now
}

// TakeToken takes a token. Without one it returns the time until there is one, somewhere in
// the fleet if this instance holds no part.
func (b *Buckets) TakeToken(customer string, now time.Time) (ok bool, retryAfter time.Duration) {
	k := b.buckets[customer]
	if k == nil {
		return true, 0
	}
	k.refill(now)
	k.demand += 1 / demandMemory.Seconds()
	if k.tokens >= 1 {
		k.tokens--
		return true, 0
	}
	rate := k.rate
	if rate == 0 {
		rate = k.whole
	}
	wait := time.Duration((1 - k.tokens) / rate * float64(time.Second))
	return false, max(wait, minRetryAfter)
}

// Lend gives the wanted amount of a customer's tokens away, or what there is of it. The
// lender keeps what its own demand needs for a second, at most half of what it has, so
// that it does not have to borrow for its next request. left is what remains.
//
// An instance whose part is a token or more lends whole ones, since parts of a token
// would lie unused at many instances that are each short of the rest. It rounds what it
// has to whole tokens and may owe half of one until it is refilled. Else tokens move and
// are never made.
func (b *Buckets) Lend(customer string, wanted float64, now time.Time) (lent, left float64) {
	k := b.buckets[customer]
	if k == nil || wanted <= 0 {
		return 0, 0
	}
	k.refill(now)
	keep := min(k.demand*keepFor.Seconds(), k.tokens*keepMost)
	lent = max(0, min(wanted, k.tokens-keep))
	if k.burst >= 1 {
		lent = max(0, min(math.Ceil(wanted), math.Round(k.tokens-keep)))
	}
	k.tokens -= lent
	return lent, k.tokens
}

// Bounds of lending.
const (
	// demandMemory is the time over which the demand at an instance is averaged. The
	// callers of a small customer send a request every few seconds to each instance.
	demandMemory = 2 * time.Second
	// keepFor is the time for which a lender keeps tokens for its own demand. Lenders
	// are asked when they have something left, so a short one suffices.
	keepFor = time.Second
	// keepMost is the part of its tokens that a lender keeps at most.
	keepMost = 0.5
)

// Shortfall returns the part of a token that is missing for the next request.
func (b *Buckets) Shortfall(customer string, now time.Time) float64 {
	k := b.buckets[customer]
	if k == nil {
		return 0
	}
	k.refill(now)
	return max(0, 1-k.tokens)
}

// AddBorrowed adds borrowed tokens. They may exceed the bucket, since they were asked for
// by requests that wait for them.
func (b *Buckets) AddBorrowed(customer string, tokens float64, now time.Time) {
	if k := b.buckets[customer]; k != nil {
		k.refill(now)
		k.tokens += tokens
	}
}

// Refund gives a token back for a request that did not run.
func (b *Buckets) Refund(customer string) {
	if k := b.buckets[customer]; k != nil {
		k.tokens = min(max(k.burst, 1), k.tokens+1)
	}
}
