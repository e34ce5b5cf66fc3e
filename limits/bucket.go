package limits

import (
	"math"
	"time"
)

// Bucket is a token bucket. Callers pass in the current time, which must be
// monotonic. The zero value is an empty bucket with a zero share. It is not safe for
// concurrent use.
type Bucket struct {
	share      Share
	tokens     float64   // requests
	advancedAt time.Time // time up to which tokens have been added
	loans      []loan    // tokens lent from this bucket, see loan.go
}

// NewBucket returns a bucket with the share s. It starts with as many tokens as the
// burst if full is set, and otherwise with none.
func NewBucket(s Share, full bool, now time.Time) Bucket {
	b := Bucket{share: s, advancedAt: now}
	if full {
		b.Fill()
	}
	return b
}

// Share returns the rate and burst of the bucket.
func (b *Bucket) Share() Share { return b.share }

// Tokens returns the number of tokens as of the last Advance, in requests.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Fill sets the tokens to the burst less the tokens lent.
func (b *Bucket) Fill() { b.tokens = b.tokenCapacity(b.advancedAt) }

// Advance adds the tokens that the rate yields until now. A time before that of an
// earlier call changes nothing.
func (b *Bucket) Advance(now time.Time) {
	for {
		// The capacity grows each time a loan ends, so refill up to each of these
		// times separately.
		at, loanEnded := b.nextLoanEnd(now)
		b.refill(at)
		if !loanEnded {
			break
		}
	}
	if len(b.loans) > 0 {
		b.dropEndedLoans(b.advancedAt)
	}
}

// refill adds the tokens that the rate yields until now. No loan may end between the
// last Advance and now.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.advancedAt)
	if elapsed <= 0 {
		return
	}
	capacity := b.tokenCapacity(b.advancedAt)
	b.advancedAt = now
	b.tokens = min(capacity, b.tokens+b.share.Rate.Requests()*elapsed.Seconds())
}

// SetShare changes the share at the time now. It drops tokens above the new burst and
// adds none for a larger burst.
func (b *Bucket) SetShare(s Share, now time.Time) {
	b.Advance(now)
	b.share = s
	b.tokens = min(b.tokens, b.tokenCapacity(b.advancedAt))
}

// Take removes cost tokens, in requests, and returns true. If the bucket has fewer, or
// cost is negative or NaN, it removes none and returns false.
func (b *Bucket) Take(cost float64, now time.Time) bool {
	b.Advance(now)
	if !(cost >= 0) || cost > b.tokens {
		return false
	}
	b.tokens -= cost
	return true
}

// TimeUntilAvailable returns the time until the bucket has cost tokens, in requests, provided
// that nothing takes any before, and at most maxTokenWait. It returns false if cost is negative
// or NaN, or if the share can never have that many.
func (b *Bucket) TimeUntilAvailable(cost float64) (time.Duration, bool) {
	if !(cost >= 0) || cost > b.share.Burst.Requests() || b.share.Rate <= 0 {
		return 0, false
	}
	missing := max(0, cost-b.tokens)
	seconds := missing / b.share.Rate.Requests()
	if seconds > maxTokenWait.Seconds() {
		return maxTokenWait, true
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

// maxTokenWait bounds the result of TimeUntilAvailable, because a very low rate would
// overflow the duration.
const maxTokenWait = time.Hour
