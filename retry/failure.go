// Package retry decides whether a failed request is retried and whether a slow one
// is hedged with a second copy, and divides a request's deadline between the
// processes on its path.
//
// The package has no clock or random source of its own; callers pass both.
package retry

import (
	"fmt"
	"time"
)

// Failure classifies how an attempt failed.
type Failure uint8

// Failures of an attempt.
const (
	// FailureConnectionRefused: the connection was refused or could not be opened.
	FailureConnectionRefused Failure = iota + 1
	// FailureConnectTimeout: no connection within the connect timeout.
	FailureConnectTimeout
	// FailureConnectionReset: the connection broke after the request may have been sent.
	FailureConnectionReset
	// FailureResponseTruncated: the response ended before it was complete.
	FailureResponseTruncated
	// FailureShed: the server shed the request with status 429 or 503.
	FailureShed
	// FailureBadGateway: status 502 or 504.
	FailureBadGateway
	// FailureServerError: another status of 500 or more. A retry would most
	// likely fail again, so it is not made.
	FailureServerError
	// FailureTimeout: no response within the deadline.
	FailureTimeout
	// FailureCallerDisconnected: the caller disconnected.
	FailureCallerDisconnected
)

var failureNames = [...]string{
	"none", "connection refused", "connect timeout", "connection reset", "truncated response",
	"shed by the server", "bad gateway", "server error", "timeout", "caller disconnected",
}

// String returns the name used in logs.
func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return "unknown"
}

// Denial is the reason why a retry or hedge is denied.
type Denial uint8

// Reasons for a denial.
const (
	// DenialMayHaveRun: the request is not idempotent, and bytes of it may have
	// reached a server.
	DenialMayHaveRun Denial = iota + 1
	// DenialFailureNotRetryable: failures of this kind are not retried.
	DenialFailureNotRetryable
	// DenialResponseStarted: part of the response was sent to the caller.
	DenialResponseStarted
	// DenialBodyNotReplayable: the request body was not kept in full.
	DenialBodyNotReplayable
	// DenialMaxAttempts: the maximum number of attempts or copies is reached.
	DenialMaxAttempts
	// DenialBudgetExhausted: the retry budget of the customer and service is exhausted.
	DenialBudgetExhausted
	// DenialDeadlineTooClose: too little time remains until the deadline.
	DenialDeadlineTooClose
	// DenialSuspect: the request is suspected of crashing servers, since it was in
	// flight when a server crashed.
	DenialSuspect
	// DenialHedgeTooEarly: the request has not yet taken longer than most, or the usual
	// latency is unknown.
	DenialHedgeTooEarly
)

var denialNames = [...]string{
	"none", "not idempotent and may have run", "failure is not retryable", "response has started",
	"request body cannot be sent again", "maximum number of attempts reached", "retry budget exhausted",
	"too little time left until the deadline", "suspected of crashing servers",
	"not slow enough for a hedge",
}

// String returns the name used in logs.
func (d Denial) String() string {
	if int(d) < len(denialNames) {
		return denialNames[d]
	}
	return "unknown"
}

// DeniedError reports a denied retry or hedge.
type DeniedError struct {
	Denial  Denial
	Failure Failure // 0 for a hedge
}

func (e *DeniedError) Error() string {
	if e.Failure == 0 {
		return fmt.Sprintf("hedge denied: %s", e.Denial)
	}
	return fmt.Sprintf("retry after failure %q denied: %s", e.Failure, e.Denial)
}

// Attempt describes a failed attempt and its request.
type Attempt struct {
	Customer string
	Service  string
	// Number is the number of attempts made, including this one, from 1.
	Number     int
	Idempotent bool
	// NotSent is set if no byte of the request can have reached a server.
	NotSent bool
	// BodyReplayable is set if the whole request body can be sent again.
	BodyReplayable bool
	// ResponseStarted is set if part of the response was sent to the caller.
	ResponseStarted bool
	// Suspect is set if the request is suspected of crashing servers, since it was
	// in flight when a server crashed.
	Suspect bool
	Failure Failure
	// Deadline is the request's deadline on the local clock.
	Deadline Deadline
}

// CheckRetryable returns a *DeniedError if a rule other than budget and deadline forbids a
// retry. A response of 429 or 503 does not prove that the request was not run.
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

// Limits of retries.
const (
	// MaxAttempts is the maximum number of attempts of one request at one entry
	// instance, including the first.
	MaxAttempts = 3
	// baseBackoff and maxBackoff are the upper bounds of the wait before the first
	// retry and before any retry.
	baseBackoff = 25 * time.Millisecond
	maxBackoff  = time.Second
)
