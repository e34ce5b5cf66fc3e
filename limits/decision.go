package limits

import "time"

// RejectionReason says why a request was refused.
type RejectionReason string

// Reasons.
const (
	ReasonNone    RejectionReason = ""
	ReasonRateExceeded    RejectionReason = "rate"     // the tokens are used up
	ReasonShareTooSmall RejectionReason = "no_share" // this instance holds no share that can admit the cost
	ReasonUnknownLimit RejectionReason = "unknown"  // no limit has the name
)

// Decision is the answer to one request.
type Decision struct {
	Allowed bool
	// RetryAfter is the time after which the request may succeed. It is set
	// when the request was refused.
	RetryAfter time.Duration
	Reason     RejectionReason
}

// allow takes cost from the bucket. change is the time after which a share that
// can never admit the cost may have grown.
func allow(b *Bucket, cost float64, now time.Time, change time.Duration) Decision {
	if b.Take(cost, now) {
		return Decision{Allowed: true}
	}
	wait, possible := b.TimeUntilAvailable(cost)
	if !possible {
		return Decision{RetryAfter: change, Reason: ReasonShareTooSmall}
	}
	return Decision{RetryAfter: wait, Reason: ReasonRateExceeded}
}
