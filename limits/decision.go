package limits

import "time"

// Reason says why a request was refused.
type Reason string

// Reasons.
const (
	ReasonNone    Reason = ""
	ReasonRate    Reason = "rate"     // the tokens are used up
	ReasonNoShare Reason = "no_share" // this instance holds no share that can admit the cost
	ReasonUnknown Reason = "unknown"  // no limit has the name
)

// Decision is the answer to one request.
type Decision struct {
	Allowed bool
	// RetryAfter is the time after which the request may succeed. It is set
	// when the request was refused.
	RetryAfter time.Duration
	Reason     Reason
}

// takeOrReject takes cost from the bucket. change is the time after which a share that
// can never admit the cost may have grown.
func takeOrReject(b *Bucket, cost float64, now time.Time, change time.Duration) Decision {
	if b.Take(cost, now) {
		return Decision{Allowed: true}
	}
	wait, possible := b.Wait(cost)
	if !possible {
		return Decision{RetryAfter: change, Reason: ReasonNoShare}
	}
	return Decision{RetryAfter: wait, Reason: ReasonRate}
}
