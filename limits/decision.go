package limits

import "time"

// RejectionReason says why a request was rejected.
type RejectionReason string

// Rejection reasons.
const (
	ReasonNone          RejectionReason = ""
	ReasonRateExceeded  RejectionReason = "rate"     // the bucket has too few tokens now
	ReasonShareTooSmall RejectionReason = "no_share" // this instance's share is too small to ever admit the cost
	ReasonUnknownLimit  RejectionReason = "unknown"  // no limit of this name is configured
)

// Decision is the result of checking one request against a limit.
type Decision struct {
	Allowed bool
	// RetryAfter is the time after which the request may be admitted. It is set
	// only if the request was rejected.
	RetryAfter time.Duration
	Reason     RejectionReason
}

// takeOrReject takes cost tokens, in requests, from the bucket or rejects the request.
// retryAfterShareChange is the RetryAfter of a cost that the share can never admit: by then
// the share may have grown.
func takeOrReject(b *Bucket, cost float64, now time.Time, retryAfterShareChange time.Duration) Decision {
	if b.Take(cost, now) {
		return Decision{Allowed: true}
	}
	wait, possible := b.TimeUntilAvailable(cost)
	if !possible {
		return Decision{RetryAfter: retryAfterShareChange, Reason: ReasonShareTooSmall}
	}
	return Decision{RetryAfter: wait, Reason: ReasonRateExceeded}
}
