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

// Reason says why a request failed.
type Reason string

// Values of Reason.
const (
	// ReasonRefused: an entry instance rejected the request for a reason that no
	// other attempt can overcome, or its response was too large. Unwrap returns the
	// *problem.Document or the *AnswerTooLargeError.
	ReasonRefused Reason = "refused"
	// ReasonExhausted: Options.MaxAttempts attempts failed.
	ReasonExhausted Reason = "attempts exhausted"
	// ReasonDeadline: the context of the request ended, or another attempt would
	// need a longer wait than allowed, see WaitTooLongError.
	ReasonDeadline Reason = "deadline"
	// ReasonLookup: the look-up of entry instances failed, see LookupError.
	ReasonLookup Reason = "look-up failed"
	// ReasonBody: the HTTP request could not be built, see BodyError.
	ReasonBody Reason = "request body"
)

// RequestError reports a request that failed without a response.
type RequestError struct {
	Reason Reason
	// Ran is problem.RanNo only if no attempt can have reached a backend server.
	Ran problem.Ran
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
	Instance string      // name of the entry instance
	Ran      problem.Ran // whether the request may have run at a backend server
	Err      error
}

// TransportError reports that no complete response was received from an entry
// instance.
type TransportError struct {
	Instance string // name of the instance, or its address in a look-up
	// Sent is false if no connection was established, so that nothing was sent. For a
	// look-up it is true only once a response header has arrived.
	Sent bool
	Err  error
}

func (e *TransportError) Error() string {
	return fmt.Sprintf("entry instance %s: %v", e.Instance, e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// AnswerTooLargeError reports a response larger than Options.MaxAnswerBytes.
type AnswerTooLargeError struct {
	Instance string
	Max      int64
}

func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("response from entry instance %s is larger than %d bytes", e.Instance, e.Max)
}

// LookupError reports that no entry instance returned a usable look-up answer.
type LookupError struct{ Causes []error }

func (e *LookupError) Error() string {
	return fmt.Sprintf("look up entry instances: no usable answer: %v", errors.Join(e.Causes...))
}

// Unwrap returns the causes, one for each address to which a look-up was sent.
func (e *LookupError) Unwrap() []error { return e.Causes }

// LookupAnswerError reports an unusable response to a look-up.
type LookupAnswerError struct {
	Address string // IP:port of the entry instance
	Reason  string
}

func (e *LookupAnswerError) Error() string {
	return fmt.Sprintf("look up entry instances at %s: unusable answer: %s", e.Address, e.Reason)
}

// WaitTooLongError reports that the next attempt would need a longer wait than the
// deadline or Options.MaxWait allows.
type WaitTooLongError struct {
	Wait    time.Duration
	Allowed time.Duration
	Err     error // error of the last attempt
}

func (e *WaitTooLongError) Error() string {
	return fmt.Sprintf("next attempt needs a wait of %v, but at most %v is allowed: %v", e.Wait, e.Allowed, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *WaitTooLongError) Unwrap() error { return e.Err }
