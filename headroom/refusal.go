// Package headroom controls spillover: requests that an entry instance sends to backend
// servers of another region because its own region lacks capacity.
//
// Each entry instance runs a Publisher, which grants reservations of its region's free
// capacity to the entry instances of other regions, and a reservation holder, which
// admits requests within the reservations granted to its instance and within the byte
// budgets of the links between the regions. A new reservation never raises the sum of a
// publisher's unexpired ones above its free capacity, so that traffic from several failed
// regions cannot overload the remaining ones. The package reads no clock; callers pass
// the time.
package headroom

import (
	"fmt"
	"time"
)

// Cause is the reason why spillover was refused.
type Cause uint8

// Causes.
const (
	// CauseNoReservation means that no instance of the region granted a reservation.
	CauseNoReservation Cause = iota + 1
	// CauseExpired means that all reservations have expired.
	CauseExpired
	// CauseInUse means that all reservations are in use.
	CauseInUse
	// CauseLinkBudget means that the byte budget of the link is used up.
	CauseLinkBudget
	// CauseNoLink means that no link between the regions is configured.
	CauseNoLink
)

var causeTexts = [...]string{
	"none", "no reservation", "reservation expired", "reservation in use",
	"link budget used", "no link",
}

// String returns the text used in error messages.
func (c Cause) String() string {
	if int(c) < len(causeTexts) {
		return causeTexts[c]
	}
	return "unknown"
}

// RefusedError reports that a request may not be sent to another region. The request was
// not run.
type RefusedError struct {
	Cause   Cause
	Region  string // region of the servers
	Service string
	// InFlight is the number of the instance's in-flight requests in the region. It is
	// zero for the causes that concern the link.
	InFlight int
	// Allowed is the number of in-flight requests that the reservations allow. It is
	// zero for the causes that concern the link.
	Allowed int
	// RetryAfter is the time after which the link has capacity for the request, or zero
	// when unknown.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("region %s, service %s: %s (%d of %d in use)", e.Region, e.Service, e.Cause, e.InFlight, e.Allowed)
}

// NotRun reports that no byte of the request reached a backend server. It is always true
// because a request is admitted before it is sent.
func (e *RefusedError) NotRun() bool { return true }
