package retry

import (
	"fmt"
	"time"
)

// Deadline is the end of a request's time on the local monotonic clock. The zero
// value means that there is none. Between processes only the remaining time
// travels, so that no clocks are compared.
type Deadline struct{ at time.Time }

// DeadlineError reports that too little time is left for a step. The step was not
// started.
type DeadlineError struct {
	Remaining time.Duration // negative when the deadline has passed
	Needed    time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("deadline: %s left, %s needed", e.Remaining, e.Needed)
}

// NewDeadline returns the deadline that lies remaining after now. The caller's remaining
// time is cut to limit, the route's own deadline, if that is positive.
func NewDeadline(now time.Time, remaining, limit time.Duration) Deadline {
	if limit > 0 && (remaining <= 0 || remaining > limit) {
		remaining = limit
	}
	if remaining <= 0 {
		return Deadline{}
	}
	return Deadline{at: now.Add(remaining)}
}

// Time returns the deadline for a context, and whether there is one.
func (d Deadline) Time() (time.Time, bool) { return d.at, !d.at.IsZero() }

// Remaining returns the time left at now, and whether there is a deadline.
func (d Deadline) Remaining(now time.Time) (time.Duration, bool) {
	if d.at.IsZero() {
		return 0, false
	}
	return d.at.Sub(now), true
}

// Hop is the next step of a request's path.
type Hop struct {
	// RoundTrip is the network time to the next process and back.
	RoundTrip time.Duration
	// MinProcessing is the least time in which the next process can do something useful.
	MinProcessing time.Duration
}

// minMargin is kept for passing on the response even on a local path.
const minMargin = 2 * time.Millisecond

// margin is what this process keeps for the return path and its own work. Half
// the round trip has passed when the request arrives, so the whole is kept.
func (h Hop) margin() time.Duration { return max(minMargin, h.RoundTrip) }

// HopTimeout returns the remaining time to send along the hop, which is always less
// than the time left here, or a *DeadlineError when too little is left. Without a
// deadline it returns 0 and nil.
func (d Deadline) HopTimeout(now time.Time, h Hop) (time.Duration, error) {
	remaining, ok := d.Remaining(now)
	if !ok {
		return 0, nil
	}
	needed := h.margin() + max(h.MinProcessing, time.Millisecond)
	if remaining < needed {
		return 0, &DeadlineError{Remaining: remaining, Needed: needed}
	}
	return remaining - h.margin(), nil
}
