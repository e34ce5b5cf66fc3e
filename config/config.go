// Package config defines the configuration document that operators publish.
//
// The types, the strict parser, validation and the split into sections live
// here. The package does no I/O.
package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/jacinthrack/jacinthrack/selector"
)

// Duration is a time.Duration written in JSON as a string such as "250ms".
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
	Value   string
	Allowed string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("value %q is not allowed, want %s", e.Value, e.Allowed)
}

// Document is one generation of the configuration.
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

// Region is a group of availability zones that are close to each other.
type Region struct {
	Name string `json:"name"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Link is the capacity between two regions, in each direction.
type Link struct {
	From          string   `json:"from"`
	To            string   `json:"to"`
	BitsPerSecond int64    `json:"bits_per_second"`
	Latency       Duration `json:"latency,omitempty"`
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name   string          `json:"name"`
	Labels selector.Labels `json:"labels,omitempty"`
	// HealthPath is probed with GET. Empty disables probes.
	HealthPath string `json:"health_path,omitempty"`
	// SlowStart is the time in which a joining server's share rises to its
	// full value.
	SlowStart Duration `json:"slow_start,omitempty"`
}

// BackendServer is one server of an upstream owner.
type BackendServer struct {
	Name        string          `json:"name"`
	Service     string          `json:"service"`
	Zone        string          `json:"zone"`
	Address     string          `json:"address"` // IP:port
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	Labels      selector.Labels `json:"labels,omitempty"`
}

// Customer is a tenant that owns keys, a rate and a burst.
type Customer struct {
	Name          string          `json:"name"`
	Labels        selector.Labels `json:"labels,omitempty"`
	RatePerSecond float64         `json:"rate_per_second"`
	Burst         float64         `json:"burst"` // requests
	Weight        float64         `json:"weight,omitempty"`
}

// Access says who may use a route.
type Access string

// Access values.
const (
	AccessKeyed Access = "keyed"
	AccessOpen  Access = "open"
)

// Route maps requests to backend servers.
type Route struct {
	Name       string            `json:"name"`
	Service    string            `json:"service"`
	Selector   selector.Selector `json:"selector"`
	Labels     selector.Labels   `json:"labels,omitempty"`
	Methods    []string          `json:"methods"`
	Idempotent bool              `json:"idempotent"`
	Access     Access            `json:"access"`
	Deadline   Duration          `json:"deadline"`
	// KeyStaleness bounds the age of key knowledge for this route. Zero means
	// DefaultKeyStaleness. A wider bound lets a withdrawn key work for that
	// long in an availability zone that is cut off.
	KeyStaleness Duration `json:"key_staleness,omitempty"`
	// MaxBodyBytes bounds a request body. Zero means DefaultMaxBodyBytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// Defaults.
const (
	DefaultKeyStaleness = 5 * time.Second
	DefaultMaxBodyBytes = 64 << 20
	DefaultLookupMaxAge = 5 * time.Second
)

// Shift moves part of a route's traffic between backend servers.
type Shift struct {
	Name     string            `json:"name"`
	Route    string            `json:"route"`
	From     selector.Selector `json:"from"`
	To       selector.Selector `json:"to"`
	Fraction float64           `json:"fraction"`
	// CapPerSecond bounds the shifted requests per second over all entry instances.
	CapPerSecond float64 `json:"cap_per_second"`
}

// Site is a place that client blocks are steered to.
type Site struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// ClientBlock assigns a block of client addresses to a site.
type ClientBlock struct {
	Prefix netip.Prefix `json:"prefix"`
	Site   string       `json:"site"`
}

// Policy holds the weights and bounds of the decisions.
type Policy struct {
	LookupMaxAge Duration `json:"lookup_max_age,omitempty"`
	// QueueWait is the longest time that a request may wait for room.
	QueueWait Duration `json:"queue_wait,omitempty"`
	// MaxUtilization is the share of a server's slots that may be used, 0 to 1.
	MaxUtilization float64 `json:"max_utilization,omitempty"`
	// The weights say what the users value more. They are relative to each
	// other, and each belongs to one measured objective.
	LatencyWeight       float64 `json:"latency_weight,omitempty"`
	HeadroomWeight      float64 `json:"headroom_weight,omitempty"`
	DrainTimeWeight     float64 `json:"drain_time_weight,omitempty"`
	RefusalWeight       float64 `json:"refusal_weight,omitempty"`
	WorstCustomerWeight float64 `json:"worst_customer_weight,omitempty"`
}
