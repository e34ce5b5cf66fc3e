package serverstate

import "time"

// EventKind is the type of an observation.
type EventKind uint8

// Observations, from the most to the least reliable source.
const (
	// KindSuccess is a complete response below status 500 other than 429.
	KindSuccess EventKind = iota + 1
	// KindConnectionReset is a connection that broke with a request in progress.
	KindConnectionReset
	// KindConnectionRefused is a refused connection, of a request or of a probe.
	KindConnectionRefused
	// KindShedResponse is a response with status 429 or 503.
	KindShedResponse
	// KindServerError is another response with status 500 or higher.
	KindServerError
	// KindProbe is the result of a health probe that got a connection.
	KindProbe
	// KindLoadReport is a figure of the server's load endpoint.
	KindLoadReport
	// KindPeerReport is the state that another entry instance reports from its own
	// evidence, see Tracker.StateForPeers.
	KindPeerReport
	// KindPlatformListing is what the platform's list says.
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

// PlatformListing is what the platform's list says about a server.
type PlatformListing uint8

// Listings.
const (
	ListingUnknown PlatformListing = iota
	ListingLive
	ListingLeaving
	ListingAbsent
)

// Event is one observation of a server. One response is one event.
type Event struct {
	Server string
	Kind   EventKind
	At     time.Time
	// ConnectionClose is set when the response carried "Connection: close". It applies to
	// KindSuccess, KindShedResponse, KindServerError and KindProbe.
	ConnectionClose bool
	// Latency is the time to the response's header, for KindSuccess.
	Latency time.Duration
	// Healthy is the result, for KindProbe.
	Healthy bool
	// Utilization is the reported share of the server's capacity in use, for
	// KindLoadReport.
	Utilization float64
	// PeerState is the reported state, for KindPeerReport.
	PeerState State
	// PlatformListing applies to KindPlatformListing.
	Listing PlatformListing
}
