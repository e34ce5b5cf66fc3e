// Package headroom divides the spare capacity of a region, and the links to it,
// among the entry instances outside the region.
//
// A Publisher runs in each entry instance of the region and gives grants to entry
// instances elsewhere. A Holder uses the grants that an entry instance got. The sum
// of the unexpired grants of a publisher never exceeds the spare capacity that it
// was given, so that callers of several failed regions cannot overload the rest.
// The package has no clock.
package headroom

import (
	"fmt"
	"time"
)

// Cause is the type of a refusal.
type Cause uint8

// Causes.
const (
	// CauseNoReservation: no instance of the region granted anything.
	CauseNoReservation Cause = iota + 1
	// CauseExpired: the grants are too old.
	CauseExpired
	// CauseInUse: the grants are in use.
	CauseInUse
	// CauseLinkBudget: the byte budget of the link is used.
	CauseLinkBudget
	// CauseNoLink: there is no link between the regions.
	CauseNoLink
)

var causeNames = [...]string{
	"none", "no reservation", "reservation expired", "reservation in use",
	"link budget used", "no link",
}

// String returns the name used in logs.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unknown"
}

// RefusedError refuses a request that does not fit. The request was not run.
type RefusedError struct {
	Cause   Cause
	Region  string // region of the servers
	Service string
	// InFlight and Allowed count requests in progress, for CauseInUse and CauseExpired.
	InFlight   int
	Allowed int
	// RetryAfter is the time after which a retry can help, zero when unknown.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("region %s, service %s: %s (%d of %d in use)", e.Region, e.Service, e.Cause, e.InFlight, e.Allowed)
}

// NotRun reports that no byte of the request reached a backend server. It is
// always true: admission comes before sending.
func (e *RefusedError) NotRun() bool { return true }
