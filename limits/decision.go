package limits

import "time"

// Reason says why a request was rejected.
type Reason string

// Rejection reasons.
const (
	ReasonNone    Reason = ""
	ReasonRate    Reason = "rate"     // the bucket has too few tokens now
	ReasonNoShare Reason = "no_share" // this instance's share is too small to ever admit the cost
	ReasonUnknown Reason = "unknown"  // no limit of this name is configured
)

// Decision is the result of checking one request against a limit.
type Decision struct {
	Allowed bool
	// RetryAfter is the time after which the request may be admitted. It is set
	// only if the request was rejected.
	RetryAfter time.Duration
	Reason     Reason
}

// takeOrReject takes cost tokens, in requests, from the bucket or rejects the request.
// shareChange is the retry time for a cost that the share can never admit: by then the
// share may have grown.
func takeOrReject(b *Bucket, cost float64, now time.Time, shareChange time.Duration) Decision {
	if b.Take(cost, now) {
		return Decision{Allowed: true}
	}
	wait, possible := b.Wait(cost)
	if !possible {
		return Decision{RetryAfter: shareChange, Reason: ReasonNoShare}
	}
	return Decision{RetryAfter: wait, Reason: ReasonRate}
}
