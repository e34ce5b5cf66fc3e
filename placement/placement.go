// Package placement chooses the backend server for a request.
//
// Choose is a pure function of a view: labels first, then locality, then capacity,
// with power of two choices at the end. Book keeps the exact local counts and the
// aged reports of other entry instances that make up the view.
package placement

import (
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/selector"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// DefaultMaxUtilization is the share of a server's slots that is used when the
// policy gives none. It leaves room for the error of counts that are a second old.
const DefaultMaxUtilization = 0.9

// halfLife is the time in which the weight of another instance's report halves.
const halfLife = time.Second

// Request is what placement needs to know of a request.
type Request struct {
	Service  string
	Selector selector.Selector
	// Shift is set when the request holds a token of the shift. Its To selector
	// replaces the route's.
	Shift *config.Shift
	// Exclude names servers that already failed this request.
	Exclude []string
}

// PeerUsage is another entry instance's use of a server.
type PeerUsage struct {
	// InFlight counts requests in progress at the time of the report.
	InFlight int
	// StaticShare is the instance's static share of the server's limit.
	StaticShare int
	// Age of the report.
	Age time.Duration
}

// expected is the use to expect from the instance: what it reported, and with falling
// freshness its static share instead.
func (u PeerUsage) expected(fresh float64) float64 {
	return fresh*float64(u.InFlight) + (1-fresh)*float64(u.StaticShare)
}

// Candidate is a server with what this instance knows of it.
type Candidate struct {
	Server string
	Zone   string
	Region string
	Labels selector.Labels
	// Slots and Connections are the server's capacity.
	Slots       int
	MaxConnections int
	// Weight, 0 to 1, and State come from serverstate.
	Weight float64
	StateReason  serverstate.Reason
	// Latency is the recent average, zero when unknown.
	Latency time.Duration
	// InFlight counts this instance's requests in progress.
	InFlight int
	// OpenConnections and Idle count this instance's connections: all of them, and those
	// that a request can use at once.
	OpenConnections int
	IdleConnections int
	// ConnectionShare is the number of connections that this instance may open.
	// Zero means all.
	ConnectionShare int
	// SharerCount is the number of entry instances that divide the server's slots, zero
	// when it is not divided. Share is this instance's static share.
	SharerCount int
	StaticShare   int
	// PeerUsage is the reported use of the server by other entry instances.
	PeerUsage []PeerUsage
	// UnreportedShare is the sum of the static shares of the entry instances that
	// reported nothing.
	UnreportedShare int
}

// View is what an entry instance knows when it chooses.
type View struct {
	Zone       string
	Region     string
	Candidates []Candidate
	// SpilloverErrors holds the answer of headroom for each other region: nil when a request
	// may be sent there. A region without entry gets none.
	SpilloverErrors map[string]error
	// ReservedRequests is the number of requests that this instance has granted to other
	// regions for the service. That much room stays free in the own region.
	ReservedRequests int
	Policy   config.Policy
}

// Tier is the distance of a server.
type Tier uint8

// Tiers, nearest first.
const (
	TierZone Tier = iota
	TierRegion
	TierRemote
	tiers
)

var tierNames = [...]string{"same zone", "same region", "other region"}

// String returns the name used in logs.
func (t Tier) String() string {
	if int(t) < len(tierNames) {
		return tierNames[t]
	}
	return "unknown"
}

// Reason is the type of a choice or a rejection.
type Reason uint8

// Reasons of a choice.
const (
	// ChosenOnlyCandidate: the only server left in its tier.
	ChosenOnlyCandidate Reason = iota + 1
	// ChosenLessLoaded: the better of two random ones.
	ChosenLessLoaded
)

// Reasons of a rejection.
const (
	// RejectedSelector: the labels do not match.
	RejectedSelector Reason = iota + 16
	// RejectedState: the server's state allows no new work.
	RejectedState
	// RejectedAlreadyTried: the server already failed this request.
	RejectedAlreadyTried
	// RejectedSlotsInUse: the slots are in use as far as known.
	RejectedSlotsInUse
	// RejectedStaticShareInUse: measurements are missing, and this instance's static
	// share of the slots is in use.
	RejectedStaticShareInUse
	// RejectedSlowStart: the warming server has its share.
	RejectedSlowStart
	// RejectedNoConnection: no connection is idle and none may be opened.
	RejectedNoConnection
	// RejectedSpillover: headroom refused the region.
	RejectedSpillover
	// RejectedRegionShareInUse: this instance uses its share of the region and its part of
	// the margin.
	RejectedRegionShareInUse
	// RejectedReserved: the room left in the region is granted to other regions.
	RejectedReserved
	// RejectedFarther: a nearer tier has room.
	RejectedFarther
	// RejectedNotSampled: not one of the two random ones.
	RejectedNotSampled
	// RejectedMoreLoaded: the worse of the two random ones.
	RejectedMoreLoaded
)

var whyNames = map[Reason]string{
	ChosenOnlyCandidate:          "only server with room",
	ChosenLessLoaded:    "less loaded of two",
	RejectedSelector:    "labels do not match",
	RejectedState:       "state",
	RejectedAlreadyTried:       "already failed this request",
	RejectedSlotsInUse:       "slots in use",
	RejectedStaticShareInUse: "static share in use, measurements are missing",
	RejectedSlowStart:   "slow start share in use",
	RejectedNoConnection: "connections in use",
	RejectedSpillover:       "region has no headroom",
	RejectedRegionShareInUse:       "share of the region in use",
	RejectedReserved:    "room is reserved for other regions",
	RejectedFarther:     "nearer server has room",
	RejectedNotSampled:  "not sampled",
	RejectedMoreLoaded:  "more loaded of two",
}

// String returns the name used in logs.
func (w Reason) String() string {
	if name, ok := whyNames[w]; ok {
		return name
	}
	return "unknown"
}

// Rejection is a candidate that was not chosen.
type Rejection struct {
	Server string
	Reason    Reason
	// StateReason is the state's reason, for RejectedState.
	StateReason serverstate.Reason
	// SpilloverError is the refusal, for RejectedSpillover. It is nil when the region has no
	// entry in the view.
	SpilloverError error
}

// String returns the text for logs.
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
	Reason    Reason
	// Shifted is set when the shift's selector chose the server. When it is not,
	// the token of the request goes back.
	Shifted bool
	// LoadEstimated is set when the chosen server's load was mostly guessed from static
	// shares.
	LoadEstimated bool
	// Rejections holds every other candidate, in the order of the view.
	Rejections []Rejection
}

// NoServerError reports that no server can take a request. It was not run.
type NoServerError struct {
	Service string
	// Overloaded is set when a server would have taken the request with more room.
	Overloaded bool
	// CapacityReserved is set when room was left but is reserved for other regions.
	CapacityReserved bool
	Rejections []Rejection
}

func (e *NoServerError) Error() string {
	if e.Overloaded {
		return fmt.Sprintf("service %s: no room at %d servers", e.Service, len(e.Rejections))
	}
	return fmt.Sprintf("service %s: none of %d servers is usable", e.Service, len(e.Rejections))
}

// NotRun reports that no byte of the request reached a backend server.
func (e *NoServerError) NotRun() bool { return true }

// Err returns a *NoServerError when no server was chosen, or nil.
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
