package fairqueue

import (
	"fmt"
	"time"
)

// Reason is the reason for a rejection.
type Reason string

// Reasons for a rejection.
const (
	ReasonCustomerQueueFull           Reason = "customer_queue_full"    // Bounds.MaxWaitingPerCustomer reached
	ReasonQueueFull                   Reason = "queue_full"             // Bounds.MaxWaiting reached
	ReasonExpectedWaitTooLong         Reason = "expected_wait_too_long" // above Bounds.MaxWait
	ReasonExpectedWaitExceedsDeadline Reason = "expected_wait_exceeds_deadline"
	ReasonDisplaced                   Reason = "displaced"       // removed from the full queue for a customer with fewer waiters per weight
	ReasonWaitedTooLong               Reason = "waited_too_long" // waited for Bounds.MaxWait
)

// RefusedError reports a request that was rejected. It was not run.
type RefusedError struct {
	Customer     string
	Reason       Reason
	ExpectedWait time.Duration // 0 if unknown
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("customer %q: request refused: %s (expected wait %s)", e.Customer, e.Reason, e.ExpectedWait)
}

// CanceledError reports a request whose context ended before it was admitted. It
// was not run.
type CanceledError struct {
	Customer string
	Err      error // the context's error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("customer %q: wait for admission canceled: %v", e.Customer, e.Err)
}

// Unwrap returns the context's error.
func (e *CanceledError) Unwrap() error { return e.Err }
