package serverstate

import "time"

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, from the most to the least reliable source.
const (
	// KindSuccess is a complete response with a status below 500 other than 429.
	KindSuccess EventKind = iota + 1
	// KindConnectionReset is a request that failed after bytes of it may have been sent and
	// before its response was complete, such as by a broken connection or a timeout.
	KindConnectionReset
	// KindConnectionRefused is a request that failed before any byte of it was sent, such as
	// by a refused connection or a connect timeout, or a health probe whose connection was
	// refused.
	KindConnectionRefused
	// KindShedResponse is a response with status 429 or 503, by which a server sheds load.
	KindShedResponse
	// KindServerError is another response with status 500 or higher.
	KindServerError
	// KindProbe is the result of a health probe whose connection was not refused. A probe
	// without a response, such as by a timeout, is not healthy.
	KindProbe
	// KindLoadReport is a utilization read from the server's load endpoint.
	KindLoadReport
	// KindPeerReport is the state that another entry instance reports from its own
	// observations.
	KindPeerReport
	// KindPlatformListing is the state of the server in the platform's list of servers.
	KindPlatformListing
)

var kindNames = [...]string{
	"none", "success", "reset", "refused connection", "shed response",
	"server error", "probe", "load report", "report of another entry instance", "platform list",
}

// String returns the name used in logs.
func (k EventKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// PlatformListing is the state of a server in the platform's list of servers.
type PlatformListing uint8

// Listings.
const (
	ListingUnknown PlatformListing = iota // no list was read yet
	ListingLive                           // listed as running
	ListingLeaving                        // listed, its owner is taking it out of service
	ListingAbsent                         // not in the list
)

// Event is one observation of a server. Each response gives one event.
type Event struct {
	Server string
	Kind   EventKind
	At     time.Time
	// ConnectionClose reports whether the response carried "Connection: close". It is used
	// with the kinds success, shed response, server error and probe.
	ConnectionClose bool
	// Latency is the time until the response header arrived. It is used with successes.
	Latency time.Duration
	// Healthy is the result of a probe.
	Healthy bool
	// Utilization is the fraction of the server's capacity in use in a load report.
	Utilization float64
	// PeerState is the state in the report of another entry instance.
	PeerState State
	// Listing is the state in the platform's list.
	Listing PlatformListing
}
