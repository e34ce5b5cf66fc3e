// Package placement chooses the backend server for a request.
//
// Choose is a pure function of a View. It filters the candidates by labels, prefers
// near localities, skips servers without free capacity, and picks the better of two
// randomly sampled servers (power of two choices). Placer builds the View from exact
// counts of this instance's requests and from reports of other entry instances, which
// lose weight as they age.
package placement

import (
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/selector"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// DefaultMaxUtilization is the maximum fraction of a server's slots in use when the
// policy does not set one. The remaining slots absorb the error of reported counts
// that are a second old.
const DefaultMaxUtilization = 0.9

// reportHalfLife is the time after which a report of another entry instance has half
// its initial weight. Its static share counts for the rest, see expectedInFlight.
const reportHalfLife = time.Second

// Request describes the request to place.
type Request struct {
	Service  string
	Selector selector.Selector
	// Shift is the traffic shift that admitted the request, or nil. Servers must then
	// match its To selector instead of the route's selector.
	Shift *config.Shift
	// Exclude lists the names of servers at which this request already failed.
	Exclude []string
}

// PeerUsage is the use of a server by another entry instance.
type PeerUsage struct {
	// InFlight is the number of in-flight requests when the report was made.
	InFlight int
	// StaticShare is the instance's static share of the server's usable slots.
	StaticShare int
	// Age is the time since the report was made.
	Age time.Duration
}

// expectedInFlight estimates the instance's current in-flight requests: the average of
// the reported number, weighted by weight (0 to 1), and its static share.
func (u PeerUsage) expectedInFlight(weight float64) float64 {
	return weight*float64(u.InFlight) + (1-weight)*float64(u.StaticShare)
}

// Candidate is a backend server with the data that Choose needs to assess it.
type Candidate struct {
	Server string
	Zone   string
	Region string
	Labels selector.Labels
	// Slots is the maximum number of requests that the server runs at a time.
	Slots int
	// MaxConnections is the maximum number of connections that the server accepts.
	MaxConnections int
	// Weight is the server's weight for new requests from serverstate, 0 to 1. A
	// server with weight 0 gets none.
	Weight float64
	// StateReason is the reason for the weight.
	StateReason serverstate.Reason
	// Latency is the recent average latency, zero when unknown.
	Latency time.Duration
	// InFlight is the number of this instance's in-flight requests.
	InFlight int
	// OpenConnections is the number of this instance's open connections, idle ones
	// included.
	OpenConnections int
	// IdleConnections is the number of this instance's idle connections.
	IdleConnections int
	// ConnectionShare is the number of connections that this instance may open.
	// Zero means all that the server accepts.
	ConnectionShare int
	// SharerCount is the number of entry instances among which the server's usable slots
	// are divided, zero when they are not divided.
	SharerCount int
	// StaticShare is this instance's static share of the server's usable slots.
	StaticShare int
	// PeerUsage is the reported use of the server by other entry instances.
	PeerUsage []PeerUsage
	// UnreportedShare is the sum of the static shares of the entry instances without
	// a report.
	UnreportedShare int
}

// View is the input of Choose: the candidates and the state of this entry instance.
type View struct {
	Zone       string
	Region     string
	Candidates []Candidate
	// SpilloverErrors maps each region to which spillover was checked to the error that
	// forbids it, or nil if it is allowed. Regions without an entry get no spillover.
	SpilloverErrors map[string]error
	// ReservedRequests is the number of requests for which this instance has granted
	// reservations of the service to instances of other regions. Local requests leave
	// as many slots of the own region free.
	ReservedRequests int
	Policy           config.Policy
}

// Tier is the preference level of a server's locality.
type Tier uint8

// Tiers in order of preference, nearest first.
const (
	TierZone Tier = iota
	TierRegion
	TierRemote
	tierCount
)

var tierNames = [...]string{"same zone", "same region", "other region"}

// String returns the name used in logs and metrics.
func (t Tier) String() string {
	if int(t) < len(tierNames) {
		return tierNames[t]
	}
	return "unknown"
}

// Reason is the reason why a candidate was chosen or rejected.
type Reason uint8

// Reasons of a choice.
const (
	// ChosenOnlyCandidate means that no other server of the tier could take the request.
	ChosenOnlyCandidate Reason = iota + 1
	// ChosenLessLoaded means that the server scored better than the other of the two
	// sampled servers.
	ChosenLessLoaded
)

// Reasons of a rejection.
const (
	// RejectedSelector means that the labels do not match the selector.
	RejectedSelector Reason = iota + 16
	// RejectedState means that the server's state excludes it from new requests.
	RejectedState
	// RejectedAlreadyTried means that this request already failed at the server.
	RejectedAlreadyTried
	// RejectedSlotsInUse means that, by this instance's own count and the reports of other
	// instances, the usable slots of the server or of the whole region are in use.
	RejectedSlotsInUse
	// RejectedStaticShareInUse means that reports are missing or old, and that too few
	// slots are free if each instance without a recent report uses its static share.
	RejectedStaticShareInUse
	// RejectedSlowStart means that this instance already has as many in-flight requests
	// at the server as the server's weight allows, for example during slow start.
	RejectedSlowStart
	// RejectedNoConnection means that no connection is idle and this instance may not
	// open another one.
	RejectedNoConnection
	// RejectedSpillover means that spillover to the server's region is not allowed.
	RejectedSpillover
	// RejectedRegionShareInUse means that this instance uses its static share of the
	// region's slots and its part of the slots above the maximum utilization.
	RejectedRegionShareInUse
	// RejectedReserved means that the free capacity of the region is reserved for
	// instances of other regions.
	RejectedReserved
	// RejectedFarther means that a server of a nearer tier can take the request.
	RejectedFarther
	// RejectedNotSampled means that the server was not among the two sampled ones.
	RejectedNotSampled
	// RejectedMoreLoaded means that the server scored worse than the other of the two
	// sampled servers.
	RejectedMoreLoaded
)

var reasonTexts = map[Reason]string{
	ChosenOnlyCandidate:      "only server with room",
	ChosenLessLoaded:         "less loaded of two",
	RejectedSelector:         "labels do not match",
	RejectedState:            "state",
	RejectedAlreadyTried:     "already failed this request",
	RejectedSlotsInUse:       "slots in use",
	RejectedStaticShareInUse: "static share in use, measurements are missing",
	RejectedSlowStart:        "slow start share in use",
	RejectedNoConnection:     "connections in use",
	RejectedSpillover:        "region has no headroom",
	RejectedRegionShareInUse: "share of the region in use",
	RejectedReserved:         "room is reserved for other regions",
	RejectedFarther:          "nearer server has room",
	RejectedNotSampled:       "not sampled",
	RejectedMoreLoaded:       "more loaded of two",
}

// String returns the text used in logs and in explanations for operators.
func (r Reason) String() string {
	if text, ok := reasonTexts[r]; ok {
		return text
	}
	return "unknown"
}

// Rejection is a candidate that was not chosen.
type Rejection struct {
	Server string
	Reason Reason
	// StateReason is the reason of the server's state. It is set for RejectedState.
	StateReason serverstate.Reason
	// SpilloverError is the error that forbids spillover to the region, for
	// RejectedSpillover. It is nil when the View has no entry for the region.
	SpilloverError error
}

// String returns the server and the reason, for logs and explanations for operators.
func (r Rejection) String() string {
	switch {
	case r.Reason == RejectedState:
		return fmt.Sprintf("%s: %s", r.Server, r.StateReason)
	case r.Reason == RejectedSpillover && r.SpilloverError != nil:
		return fmt.Sprintf("%s: %v", r.Server, r.SpilloverError)
	default:
		return fmt.Sprintf("%s: %s", r.Server, r.Reason)
	}
}

// Decision is the result of Choose.
type Decision struct {
	// Server is empty when no server can take the request.
	Server string
	Region string
	Tier   Tier
	Reason Reason
	// Shifted reports whether the server was chosen by the selector of the traffic
	// shift. If not, the request did not use its token of the shift.
	Shifted bool
	// LoadEstimated reports whether the chosen server's load was mostly estimated from
	// static shares because reports of other instances are missing or old.
	LoadEstimated bool
	// Rejections lists all other candidates with the reason, in the order of the View.
	Rejections []Rejection
}

// NoServerError reports that no server can take a request. The request was not run.
type NoServerError struct {
	Service string
	// Overloaded reports whether a server would have taken the request with more free
	// capacity.
	Overloaded bool
	// CapacityReserved reports whether the own region had free capacity, all of it
	// reserved for instances of other regions.
	CapacityReserved bool
	Rejections       []Rejection
}

func (e *NoServerError) Error() string {
	if e.Overloaded {
		return fmt.Sprintf("service %s: no room at %d servers", e.Service, len(e.Rejections))
	}
	return fmt.Sprintf("service %s: none of %d servers is usable", e.Service, len(e.Rejections))
}

// NotRun reports that no byte of the request reached a backend server.
func (e *NoServerError) NotRun() bool { return true }

// Err returns a *NoServerError if no server was chosen, and nil otherwise.
func (d Decision) Err(service string) error {
	if d.Server != "" {
		return nil
	}
	e := &NoServerError{Service: service, Rejections: d.Rejections}
	for _, r := range d.Rejections {
		switch r.Reason {
		case RejectedSlotsInUse, RejectedStaticShareInUse, RejectedSlowStart, RejectedNoConnection,
			RejectedSpillover, RejectedRegionShareInUse:
			e.Overloaded = true
		case RejectedReserved:
			e.Overloaded = true
			e.CapacityReserved = true
		}
	}
	return e
}
