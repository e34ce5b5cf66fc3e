package caller

import (
	"errors"
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/problem"
)

// OptionsError reports an invalid field of Options.
type OptionsError struct {
	Field  string
	Reason string
}

func (e *OptionsError) Error() string { return fmt.Sprintf("caller option %s: %s", e.Field, e.Reason) }

// FailureReason says why a request failed.
type FailureReason string

// Values of FailureReason.
const (
	// ReasonRejected: an entry instance rejected the request for a reason that no
	// other attempt can overcome, or its response was too large. Unwrap returns the
	// *problem.Document or the *ResponseTooLargeError.
	ReasonRejected FailureReason = "refused"
	// ReasonAttemptsExhausted: Options.MaxAttempts attempts failed.
	ReasonAttemptsExhausted FailureReason = "attempts exhausted"
	// ReasonDeadline: the context of the request ended, or another attempt would
	// need a longer wait than allowed, see WaitTooLongError.
	ReasonDeadline FailureReason = "deadline"
	// ReasonLookupFailed: the look-up of entry instances failed, see LookupError.
	ReasonLookupFailed FailureReason = "look-up failed"
	// ReasonRequestBody: the HTTP request could not be built, see RequestBuildError.
	ReasonRequestBody FailureReason = "request body"
)

// RequestError reports a request that failed without a response.
type RequestError struct {
	Reason FailureReason
	// Ran is problem.DidNotRun only if no attempt can have reached a backend server.
	Ran problem.RunStatus
	// IdempotencyKey is the idempotency key that was sent. Sending the request again
	// with it cannot run it twice. Empty for idempotent requests without one.
	IdempotencyKey string
	Attempts       []Attempt // all failed
	Err            error
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("request failed after %d attempts (%s, ran %s): %v", len(e.Attempts), e.Reason, e.Ran, e.Err)
}

// Unwrap returns the cause, usually the error of the last attempt.
func (e *RequestError) Unwrap() error { return e.Err }

// Problem returns the problem document in the error chain of err, if there is one.
func Problem(err error) (*problem.Document, bool) {
	var p *problem.Document
	ok := errors.As(err, &p)
	return p, ok
}

// Attempt describes one failed attempt of a request.
type Attempt struct {
	Instance string            // name of the entry instance
	Ran      problem.RunStatus // whether the request may have run at a backend server
	Err      error
}

// TransportError reports that no complete response was received from an entry
// instance.
type TransportError struct {
	Instance string // name of the instance, or its address in a look-up
	// MaybeSent is false if no connection was established, so that nothing was sent. For a
	// look-up it is true only once a response header has arrived.
	MaybeSent bool
	Err       error
}

func (e *TransportError) Error() string {
	return fmt.Sprintf("entry instance %s: %v", e.Instance, e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// ResponseTooLargeError reports a response larger than Options.MaxAnswerBytes.
type ResponseTooLargeError struct {
	Instance string
	MaxBytes int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response from entry instance %s is larger than %d bytes", e.Instance, e.MaxBytes)
}

// LookupError reports that no entry instance returned a usable look-up answer.
type LookupError struct{ Causes []error }

func (e *LookupError) Error() string {
	return fmt.Sprintf("look up entry instances: no usable answer: %v", errors.Join(e.Causes...))
}

// Unwrap returns the causes, one for each address to which a look-up was sent.
func (e *LookupError) Unwrap() []error { return e.Causes }

// InvalidLookupAnswerError reports an unusable response to a look-up.
type InvalidLookupAnswerError struct {
	Address string // IP:port of the entry instance
	Reason  string
}

func (e *InvalidLookupAnswerError) Error() string {
	return fmt.Sprintf("look up entry instances at %s: unusable answer: %s", e.Address, e.Reason)
}

// WaitTooLongError reports that the next attempt would need a longer wait than the
// deadline or Options.MaxWait allows.
type WaitTooLongError struct {
	Wait    time.Duration
	MaxWait time.Duration
	Err     error // error of the last attempt
}

func (e *WaitTooLongError) Error() string {
	return fmt.Sprintf("next attempt needs a wait of %v, but at most %v is allowed: %v", e.Wait, e.MaxWait, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *WaitTooLongError) Unwrap() error { return e.Err }
