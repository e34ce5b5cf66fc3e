package retry

import (
	"fmt"
	"time"
)

// Deadline is the time from which the caller no longer waits, on the local monotonic
// clock. The zero value means no deadline. Processes send each other only the
// remaining time, so that their clocks need not agree.
type Deadline struct{ at time.Time }

// DeadlineError reports that too little time remains to send a request to the next
// process. The request was not sent.
type DeadlineError struct {
	Remaining time.Duration // negative when the deadline has passed
	Needed    time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("sending the request to the next process: %s left until the deadline, %s needed", e.Remaining, e.Needed)
}

// NewDeadline returns the deadline remaining after now. If limit, the route's own timeout,
// is positive, it replaces a remaining time that is longer or not positive. If
// neither is positive the result is the zero Deadline.
func NewDeadline(now time.Time, remaining, limit time.Duration) Deadline {
	if limit > 0 && (remaining <= 0 || remaining > limit) {
		remaining = limit
	}
	if remaining <= 0 {
		return Deadline{}
	}
	return Deadline{at: now.Add(remaining)}
}

// Time returns the deadline as a time for a context, and whether there is one.
func (d Deadline) Time() (time.Time, bool) { return d.at, !d.at.IsZero() }

// Remaining returns the time from now to the deadline, negative if it has passed,
// and whether there is a deadline.
func (d Deadline) Remaining(now time.Time) (time.Duration, bool) {
	if d.at.IsZero() {
		return 0, false
	}
	return d.at.Sub(now), true
}

// Hop describes the path to the next process and the time that it needs.
type Hop struct {
	// RoundTrip is the network round-trip time to the next process.
	RoundTrip time.Duration
	// MinProcessing is the least processing time with which the next process can produce a
	// response.
	MinProcessing time.Duration
}

// minReturnMargin is reserved for returning the response even if the round-trip time
// is near zero.
const minReturnMargin = 2 * time.Millisecond

// returnMargin is the time that this process reserves for the network and its own
// work. The next process counts its timeout from the arrival of the request, when
// half the round-trip time has already passed, so the whole round trip is reserved.
func (h Hop) returnMargin() time.Duration { return max(minReturnMargin, h.RoundTrip) }

// HopTimeout returns the timeout to send with the request to the next process. It is
// always less than the time that remains here. If too little remains it returns a
// *DeadlineError. Without a deadline it returns 0 and nil.
func (d Deadline) HopTimeout(now time.Time, h Hop) (time.Duration, error) {
	remaining, ok := d.Remaining(now)
	if !ok {
		return 0, nil
	}
	needed := h.returnMargin() + max(h.MinProcessing, time.Millisecond)
	if remaining < needed {
		return 0, &DeadlineError{Remaining: remaining, Needed: needed}
	}
	return remaining - h.returnMargin(), nil
}
