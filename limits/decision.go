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
