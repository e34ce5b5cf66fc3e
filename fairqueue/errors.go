package fairqueue

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason string

// Reasons.
const (
	ReasonCustomerQueueFull Reason = "customer_queue_full"
	ReasonQueueFull         Reason = "queue_full"
	ReasonExpectedWaitTooLong         Reason = "expected_wait_too_long" // longer than Bounds.MaxWait
	ReasonExpectedWaitExceedsDeadline     Reason = "expected_wait_exceeds_deadline"
	ReasonDisplaced    Reason = "displaced" // removed for a customer that uses less than its part
	ReasonWaitedTooLong      Reason = "waited_too_long"
)

// RefusedError reports a request that was not admitted. It did not run.
type RefusedError struct {
	Customer     string
	Reason       Reason
	ExpectedWait time.Duration // 0 when not known
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("customer %q: request refused: %s (expected wait %s)", e.Customer, e.Reason, e.ExpectedWait)
}

// CanceledError reports a request whose context ended while it waited. It did
// not run.
type CanceledError struct {
	Customer string
	Err      error // the context's error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("customer %q: request left the queue: %v", e.Customer, e.Err)
}

// Unwrap returns the context's error.
func (e *CanceledError) Unwrap() error { return e.Err }
