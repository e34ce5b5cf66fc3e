package limits

import (
	"math"
	"time"
)

// Bucket is a token bucket driven by an explicit monotonic time. The zero value
// is an empty bucket without a share. It is not safe for concurrent use.
type Bucket struct {
	share  Share
	tokens float64 // requests
	last   time.Time
	loans  []loan
}

// NewBucket returns a bucket with the share s. A full bucket starts with all its
// tokens, any other with none.
func NewBucket(s Share, full bool, now time.Time) Bucket {
	b := Bucket{share: s, last: now}
	if full {
		b.Fill()
	}
	return b
}

// Share returns the rate and burst of the bucket.
func (b *Bucket) Share() Share { return b.share }

// Tokens returns the tokens as of the last Advance, in requests.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Fill sets the tokens to the burst.
func (b *Bucket) Fill() { b.tokens = b.room(b.last) }

// Advance adds the tokens earned until now. A time before the last one changes
// nothing.
func (b *Bucket) Advance(now time.Time) {
	for {
		// Room that a loan took comes back in steps.
		at, more := b.nextRelease(now)
		b.earn(at)
		if !more {
			break
		}
	}
	if len(b.loans) > 0 {
		b.forgetLoans(b.last)
	}
}

// earn adds the tokens earned until now, while the loans stay the same.
func (b *Bucket) earn(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	room := b.room(b.last)
	b.last = now
	b.tokens = min(room, b.tokens+b.share.Rate.Requests()*elapsed.Seconds())
}

// SetShare changes the share at the time now. Tokens above the new burst are
// dropped. A larger burst adds no tokens.
func (b *Bucket) SetShare(s Share, now time.Time) {
	b.Advance(now)
	b.share = s
	b.tokens = min(b.tokens, b.room(b.last))
}

// Take takes cost tokens if the bucket has them. cost is in requests.
func (b *Bucket) Take(cost float64, now time.Time) bool {
	b.Advance(now)
	if !(cost >= 0) || cost > b.tokens {
		return false
	}
	b.tokens -= cost
	return true
}

// TimeUntilAvailable returns the time until cost tokens are there, if nothing else takes any.
// The second result is false when the share can never hold as many.
func (b *Bucket) TimeUntilAvailable(cost float64) (time.Duration, bool) {
	if !(cost >= 0) || cost > b.share.Burst.Requests() || b.share.Rate <= 0 {
		return 0, false
	}
	missing := max(0, cost-b.tokens)
	seconds := missing / b.share.Rate.Requests()
	if seconds > maxWait.Seconds() {
		return maxWait, true
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

// maxWait bounds the result of Wait, so that a tiny rate does not overflow it.
const maxWait = time.Hour
