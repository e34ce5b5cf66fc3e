package caller

import (
	"errors"
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/problem"
)

// OptionsError reports options that cannot be used.
type OptionsError struct {
	Field  string
	Reason string
}

func (e *OptionsError) Error() string { return fmt.Sprintf("caller option %s: %s", e.Field, e.Reason) }

// FailureReason says why a request failed.
type FailureReason string

// Reasons.
const (
	// ReasonRejected: an entry instance gave a final problem document, which
	// Unwrap returns.
	ReasonRejected FailureReason = "refused"
	// ReasonAttemptsExhausted: all attempts failed.
	ReasonAttemptsExhausted FailureReason = "attempts exhausted"
	// ReasonDeadline: the time of the request ended, or another attempt would
	// need a longer wait than is allowed, see *WaitTooLongError.
	ReasonDeadline FailureReason = "deadline"
	// ReasonLookupFailed: no entry instance is known, see *LookupError.
	ReasonLookupFailed FailureReason = "look-up failed"
	// ReasonRequestBody: the request body could not be read.
	ReasonRequestBody FailureReason = "request body"
)

// RequestError reports a request without an answer.
type RequestError struct {
	Reason FailureReason
	// Ran is RanNo only if no attempt can have reached a backend server.
	Ran problem.Ran
	// IdempotencyKey is the key that was sent, for a later resend. Empty for
	// idempotent requests without one.
	IdempotencyKey string
	Attempts       []Attempt
	Err            error
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("request failed after %d attempts (%s, ran %s): %v", len(e.Attempts), e.Reason, e.Ran, e.Err)
}

// Unwrap returns the cause of the last attempt.
func (e *RequestError) Unwrap() error { return e.Err }

// Problem returns the problem document in err, if there is one.
func Problem(err error) (*problem.Document, bool) {
	var p *problem.Document
	ok := errors.As(err, &p)
	return p, ok
}

// Attempt describes one attempt of a request.
type Attempt struct {
	Instance string
	Ran      problem.Ran
	Err      error
}

// TransportError reports an exchange with an entry instance that broke off.
type TransportError struct {
	Instance string
	// MaybeSent is false if the connection was never made.
	MaybeSent bool
	Err  error
}

func (e *TransportError) Error() string {
	return fmt.Sprintf("entry instance %s: %v", e.Instance, e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// ResponseTooLargeError reports an answer beyond Options.MaxAnswerBytes.
type ResponseTooLargeError struct {
	Instance string
	MaxBytes      int64 // bytes
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer from entry instance %s exceeds %d bytes", e.Instance, e.MaxBytes)
}

// LookupError reports that no entry instance answered a look-up.
type LookupError struct{ Causes []error }

func (e *LookupError) Error() string {
	return fmt.Sprintf("no entry instance answered the look-up: %v", errors.Join(e.Causes...))
}

// Unwrap returns the causes, one for each instance asked.
func (e *LookupError) Unwrap() []error { return e.Causes }

// InvalidLookupAnswerError reports a look-up answer that cannot be used.
type InvalidLookupAnswerError struct {
	Address string
	Reason  string
}

func (e *InvalidLookupAnswerError) Error() string {
	return fmt.Sprintf("look-up at %s: %s", e.Address, e.Reason)
}

// WaitTooLongError reports that an entry instance asked to wait for longer than
// the deadline or Options.MaxWait allows.
type WaitTooLongError struct {
	Wait    time.Duration
	MaxWait time.Duration
	Err     error // cause of the wait
}

func (e *WaitTooLongError) Error() string {
	return fmt.Sprintf("waiting for %v exceeds the %v allowed: %v", e.Wait, e.MaxWait, e.Err)
}

// Unwrap returns the cause of the wait.
func (e *WaitTooLongError) Unwrap() error { return e.Err }
