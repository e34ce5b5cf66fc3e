// Package config defines the configuration document that operators publish.
//
// It contains the document's types, a strict parser, validation, the comparison
// of two documents, an index for the request path, and the split of a document
// into content-addressed sections. The package does no I/O.
package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/jacinthrack/jacinthrack/selector"
)

// Duration is a time.Duration whose JSON form is a string such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &ValueError{Value: string(text), Allowed: `a duration such as "250ms"`}
	}
	*d = Duration(parsed)
	return nil
}

// ValueError reports a value that its type does not allow.
type ValueError struct {
	Value   string // the value found
	Allowed string // description of the allowed values
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("value %q is not allowed, want %s", e.Value, e.Allowed)
}

// Document is the complete configuration. Each published version of it is a generation.
type Document struct {
	Regions        []Region        `json:"regions"`
	Zones          []Zone          `json:"zones"`
	Links          []Link          `json:"links,omitempty"`
	Services       []Service       `json:"services"`
	BackendServers []BackendServer `json:"backend_servers"`
	Customers      []Customer      `json:"customers"`
	Routes         []Route         `json:"routes"`
	Shifts         []Shift         `json:"shifts,omitempty"`
	Sites          []Site          `json:"sites,omitempty"`
	ClientBlocks   []ClientBlock   `json:"client_blocks,omitempty"`
	Policy         Policy          `json:"policy"`
}

// Region is a group of availability zones with low latency between them.
type Region struct {
	Name string `json:"name"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Link describes the network between two regions. Its capacity is available in
// each direction.
type Link struct {
	From          string   `json:"from"`
	To            string   `json:"to"`
	BitsPerSecond int64    `json:"bits_per_second"`
	Latency       Duration `json:"latency,omitempty"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name   string          `json:"name"`
	Labels selector.Labels `json:"labels,omitempty"`
	// HealthPath is the URL path of health probes, which are GET requests. Empty
	// disables probes.
	HealthPath string `json:"health_path,omitempty"`
	// SlowStart is the time during which the share of requests sent to a newly
	// added server rises to its full value.
	SlowStart Duration `json:"slow_start,omitempty"`
}

// BackendServer is one server of a service, run by the owner of the upstream service.
type BackendServer struct {
	Name        string          `json:"name"`
	Service     string          `json:"service"`
	Zone        string          `json:"zone"`
	Address     string          `json:"address"`     // IP:port
	Slots       int             `json:"slots"`       // maximum number of requests at a time
	Connections int             `json:"connections"` // maximum number of open connections
	Labels      selector.Labels `json:"labels,omitempty"`
}

// Customer is a tenant with API keys and a rate limit of its own.
type Customer struct {
	Name          string          `json:"name"`
	Labels        selector.Labels `json:"labels,omitempty"`
	RatePerSecond float64         `json:"rate_per_second"`
	Burst         float64         `json:"burst"`            // requests
	Weight        float64         `json:"weight,omitempty"` // fair-queueing weight; zero means 1
}

// Access defines which callers may use a route.
type Access string

// Access values.
const (
	AccessKeyed Access = "keyed" // callers with a valid API key
	AccessOpen  Access = "open"  // all callers
)

// Route assigns a class of requests to the backend servers of a service that match
// its selector.
type Route struct {
	Name       string            `json:"name"`
	Service    string            `json:"service"`
	Selector   selector.Selector `json:"selector"`
	Labels     selector.Labels   `json:"labels,omitempty"`
	Methods    []string          `json:"methods"`
	Idempotent bool              `json:"idempotent"`
	Access     Access            `json:"access"`
	Deadline   Duration          `json:"deadline"`
	// KeyStaleness is the maximum age of the key data that this route's requests
	// are checked against. Zero means DefaultKeyStaleness. With a larger value a
	// withdrawn key keeps working for up to that time in an availability zone
	// that is cut off from the rest.
	KeyStaleness Duration `json:"key_staleness,omitempty"`
	// MaxBodyBytes is the maximum size of a request body. Zero means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// Values used for optional fields that are zero.
const (
	DefaultKeyStaleness = 5 * time.Second
	DefaultMaxBodyBytes = 64 << 20 // 64 MiB
	DefaultLookupMaxAge = 5 * time.Second
)

// Shift moves a fraction of a route's traffic from the backend servers that match
// one selector to those that match another.
type Shift struct {
	Name     string            `json:"name"`
	Route    string            `json:"route"`
	From     selector.Selector `json:"from"`
	To       selector.Selector `json:"to"`
	Fraction float64           `json:"fraction"` // 0 to 1
	// CapPerSecond is the maximum number of shifted requests per second, summed
	// over all entry instances.
	CapPerSecond float64 `json:"cap_per_second"`
}

// Site is a named destination in an availability zone. Look-up answers direct the
// clients of a client block to its site.
type Site struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// ClientBlock assigns the client addresses with a common prefix to a site.
type ClientBlock struct {
	Prefix netip.Prefix `json:"prefix"`
	Site   string       `json:"site"`
}

// Policy contains the weights and bounds of routing and admission decisions.
type Policy struct {
	// LookupMaxAge is how long clients may use a look-up answer. Zero means
	// DefaultLookupMaxAge.
	LookupMaxAge Duration `json:"lookup_max_age,omitempty"`
	// QueueWait is the maximum time that a request may wait for a free slot.
	QueueWait Duration `json:"queue_wait,omitempty"`
	// MaxUtilization is the fraction of a server's slots that may be used, 0 to 1.
	MaxUtilization float64 `json:"max_utilization,omitempty"`
	// The weights express the relative importance of the measured objectives;
	// each weight belongs to one objective.
	LatencyWeight       float64 `json:"latency_weight,omitempty"`
	HeadroomWeight      float64 `json:"headroom_weight,omitempty"`
	DrainTimeWeight     float64 `json:"drain_time_weight,omitempty"`
	RefusalWeight       float64 `json:"refusal_weight,omitempty"`
	WorstCustomerWeight float64 `json:"worst_customer_weight,omitempty"`
}
