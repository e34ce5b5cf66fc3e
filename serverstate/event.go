package serverstate

import "time"

// Kind is the type of an observation.
type Kind uint8

// Observations, from the most to the least reliable source.
const (
	// KindSuccess is a complete response below status 500 other than 429.
	KindSuccess Kind = iota + 1
	// KindReset is a connection that broke with a request in progress.
	KindReset
	// KindRefused is a refused connection, of a request or of a probe.
	KindRefused
	// KindShed is a response with status 429 or 503.
	KindShed
	// KindServerError is another response with status 500 or higher.
	KindServerError
	// KindProbe is the result of a health probe that got a connection.
	KindProbe
	// KindLoadReport is a figure of the server's load endpoint.
	KindLoadReport
	// KindPeer is the state that another entry instance reports from its own
	// evidence, see Tracker.Report.
	KindPeer
	// KindPlatform is what the platform's list says.
	KindPlatform
)

var kindNames = [...]string{
	"none", "success", "reset", "refused connection", "shed response",
	"server error", "probe", "load report", "report of another entry instance", "platform list",
}

// String returns the name used in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Listing is what the platform's list says about a server.
type Listing uint8

// Listings.
const (
	ListedUnknown Listing = iota
	ListedLive
	ListedLeaving
	ListedAbsent
)

// Event is one observation of a server. One response is one event.
type Event struct {
	Server string
	Kind   Kind
	At     time.Time
	// Closing is set when the response carried "Connection: close". It applies to
	// KindSuccess, KindShed, KindServerError and KindProbe.
	Closing bool
	// Latency is the time to the response's header, for KindSuccess.
	Latency time.Duration
	// Healthy is the result, for KindProbe.
	Healthy bool
	// Utilization is the reported share of the server's capacity in use, for
	// KindLoadReport.
	Utilization float64
	// Peer is the reported state, for KindPeer.
	Peer State
	// Listing applies to KindPlatform.
	Listing Listing
}
