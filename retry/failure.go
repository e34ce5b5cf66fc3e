// Package retry decides whether a failed request is sent again, when a second copy
// of a slow request is sent, and how much time each step of a request has.
//
// The package has no clock and no random source; both are arguments.
package retry

import (
	"fmt"
	"time"
)

// Failure is the way in which an attempt failed.
type Failure uint8

// Failures.
const (
	// FailureConnectionRefused: the connection was refused.
	FailureConnectionRefused Failure = iota + 1
	// FailureConnectTimeout: no connection within the time allowed.
	FailureConnectTimeout
	// FailureConnectionReset: the connection broke.
	FailureConnectionReset
	// FailureResponseTruncated: the response ended early.
	FailureResponseTruncated
	// FailureShed: status 429 or 503.
	FailureShed
	// FailureBadGateway: status 502 or 504.
	FailureBadGateway
	// FailureServerError: another status of 500 or more. The same request would
	// most likely fail again, so it is not retried.
	FailureServerError
	// FailureTimeout: no response within the deadline.
	FailureTimeout
	// FailureCallerDisconnected: the caller disconnected.
	FailureCallerDisconnected
)

var failureNames = [...]string{
	"none", "connection refused", "no connection", "connection reset", "truncated response",
	"shed by the server", "bad gateway", "server error", "timeout", "caller disconnected",
}

// String returns the name used in logs.
func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return "unknown"
}

// Denial says why a request is not sent again.
type Denial uint8

// Denials.
const (
	// DenialMayHaveRun: not idempotent, and bytes of it may have reached a server.
	DenialMayHaveRun Denial = iota + 1
	// DenialFailureNotRetryable: the kind of failure is not retried.
	DenialFailureNotRetryable
	// DenialResponseStarted: the caller has part of the response.
	DenialResponseStarted
	// DenialBodyNotReplayable: the request body cannot be sent again.
	DenialBodyNotReplayable
	// DenialMaxAttempts: all attempts are used.
	DenialMaxAttempts
	// DenialBudgetExhausted: the retry budget of the customer and service is used.
	DenialBudgetExhausted
	// DenialDeadlineTooClose: too little time is left.
	DenialDeadlineTooClose
	// DenialSuspect: the request was in progress when a server died.
	DenialSuspect
	// DenialHedgeTooEarly: a hedge would be too early.
	DenialHedgeTooEarly
)

var denialNames = [...]string{
	"none", "may have run", "failure is not retried", "response has started",
	"request body cannot be sent again", "no attempts left", "retry budget used",
	"too little time left", "in progress at a server's death",
	"not slow yet",
}

// String returns the name used in logs.
func (d Denial) String() string {
	if int(d) < len(denialNames) {
		return denialNames[d]
	}
	return "unknown"
}

// DeniedError reports a request that is not sent again.
type DeniedError struct {
	Denial  Denial
	Failure Failure // zero for a hedge
}

func (e *DeniedError) Error() string {
	if e.Failure == 0 {
		return fmt.Sprintf("no second attempt: %s", e.Denial)
	}
	return fmt.Sprintf("no retry after %s: %s", e.Failure, e.Denial)
}

// Attempt describes a failed attempt and its request.
type Attempt struct {
	Customer string
	Service  string
	// Number counts the attempts made, from 1.
	Number     int
	Idempotent bool
	// NotSent is set when no byte of the request can have reached a server.
	NotSent bool
	// BodyReplayable is set when the whole request body can be sent again.
	BodyReplayable bool
	// ResponseStarted is set when the caller has got part of the response.
	ResponseStarted bool
	// Suspect is set when the request was in progress at a server's death.
	Suspect bool
	Failure Failure
	// Deadline is the end of the request's time, as seen here.
	Deadline Deadline
}

// CheckRetryable returns nil if the rules other than budget and time allow a retry, or a
// *DeniedError. A 429 or 503 does not prove that the server did nothing.
func (a Attempt) CheckRetryable() error {
	switch {
	case a.Failure == FailureCallerDisconnected, a.Failure == FailureServerError, a.Failure == FailureTimeout:
		return a.denied(DenialFailureNotRetryable)
	case a.ResponseStarted:
		return a.denied(DenialResponseStarted)
	case !a.Idempotent && !a.NotSent:
		return a.denied(DenialMayHaveRun)
	case a.Suspect && !a.NotSent:
		return a.denied(DenialSuspect)
	case !a.BodyReplayable && !a.NotSent:
		return a.denied(DenialBodyNotReplayable)
	case a.Number >= MaxAttempts:
		return a.denied(DenialMaxAttempts)
	}
	return nil
}

func (a Attempt) denied(d Denial) error {
	return &DeniedError{Denial: d, Failure: a.Failure}
}

// Bounds of retries.
const (
	// MaxAttempts is the number of attempts of one request at one entry instance.
	MaxAttempts = 3
	// baseBackoff and maxBackoff bound the wait before a retry.
	baseBackoff = 25 * time.Millisecond
	maxBackoff  = time.Second
)
