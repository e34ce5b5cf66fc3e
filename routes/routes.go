// Package routes defines the routing configuration of a gateway: which service gets the
// requests for a host and path prefix, the customers with their API keys and quotas, and
// the backend servers of the services. The package has no state, and a Config does not
// change once it is in use.
package routes

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Idempotency says whether the requests of a route may be retried after they may have run.
type Idempotency uint8

// Idempotency of the requests of a route.
const (
	NotIdempotent Idempotency = iota // requests must run at most once; the zero value, since it is the safe one
	Idempotent                       // requests may run more than once
)

// Config is one version of the routing configuration.
type Config struct {
	Version       int64 // higher versions are newer
	RequestLimits RequestLimits
	Services      map[string]*Service
	// routesByHost maps a host name in lower case to its routes, longest prefix first.
	routesByHost map[string][]*Route
	// customersByAPIKey maps an API key to its owner.
	customersByAPIKey map[string]*Customer
	customersByName   map[string]*Customer
}

// RequestLimits bound the size and duration of what a caller sends.
type RequestLimits struct {
	MaxHeaderBytes int           // largest size of the headers of a request
	MaxBodyBytes   int64         // largest size of the body of a request
	HeaderTimeout  time.Duration // longest time from the first byte of a request to the end of its headers
	IdleTimeout    time.Duration // longest time between requests on a connection
}

// Route describes how the requests for one path prefix are handled.
type Route struct {
	Name             string
	Prefix           string
	Idempotency      Idempotency
	LatencyObjective time.Duration // latency within which a response has its full value
	Timeout          time.Duration // longest time from arrival to the final response; 0 for no limit
	MaxAttempts      int           // servers that one request may be sent to; 0 for no limit
	Priority         int           // 0 is the most urgent
	Public           bool          // requests need no API key
	ObjectAffinity   bool          // requests for one object should go to the same server, which has it in its cache
	AllowedRegions   []string      // regions where requests may run; empty for any
	Targets          []Target
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the other targets of the route
}

// Customer is a customer with its API keys and quota.
type Customer struct {
	Name           string
	APIKeys        []string
	Priority       int      // 0 is the most urgent
	HasPriority    bool     // Priority overrides the priority of the route
	Rate           float64  // requests per second over all instances; 0 for no limit
	Burst          float64  // requests over all instances
	AllowedRegions []string // regions where requests may run; empty for any
}

// Service is a pool of backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // to each server, over all instances
	Warmup         time.Duration // time for which a server is cold after its start
	WarmupRate     float64       // requests per second, over all instances, that a cold server can take; 0 for no limit
}

// Server is a backend server as the platform lists it.
type Server struct {
	ID      string
	Address string
	Service string
	Zone    string
	Slots   int  // largest number of requests at a time
	Ready   bool // false if the server is draining
	// WarmupLeft is the remaining warm-up time when the record was last seen.
	WarmupLeft time.Duration
	// Incarnation identifies the process that runs under the server's ID. It changes when
	// the server restarts.
	Incarnation int64
	// RecordSequence increases with the records that this process writes about itself.
	RecordSequence int64
	LastSeen       time.Time // when the record was last seen
}

// NewConfig returns a configuration with its indexes. hosts maps host names in lower case to
// their routes. The arguments must not be changed afterwards.
func NewConfig(version int64, limits RequestLimits, services []*Service, customers []*Customer, hosts map[string][]*Route) *Config {
	c := &Config{
		Version:           version,
		RequestLimits:     limits,
		Services:          make(map[string]*Service, len(services)),
		routesByHost:      hosts,
		customersByAPIKey: make(map[string]*Customer),
		customersByName:   make(map[string]*Customer, len(customers)),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, customer := range customers {
		c.customersByName[customer.Name] = customer
		for _, key := range customer.APIKeys {
			c.customersByAPIKey[key] = customer
		}
	}
	for _, hostRoutes := range hosts {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return c
}

// Match returns the route with the longest prefix for a host and path, or nil. A port in the
// host is ignored.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// CustomerByAPIKey returns the customer that an API key belongs to, or nil.
func (c *Config) CustomerByAPIKey(key string) *Customer { return c.customersByAPIKey[key] }

// Customer returns a customer by name, or nil.
func (c *Config) Customer(name string) *Customer { return c.customersByName[name] }

// Customers returns all customers by name. The map must not be changed.
func (c *Config) Customers() map[string]*Customer { return c.customersByName }

// RequestPriority returns the priority of a customer's request on a route; 0 is the most urgent.
func RequestPriority(r *Route, customer *Customer) int {
	if customer != nil && customer.HasPriority {
		return customer.Priority
	}
	return r.Priority
}

// AllowedRegions returns the regions where a customer's request on a route may run: those
// that both the route and the customer allow. restricted is false if it may run in any region.
func AllowedRegions(r *Route, customer *Customer) (regions []string, restricted bool) {
	if customer == nil || len(customer.AllowedRegions) == 0 {
		return r.AllowedRegions, len(r.AllowedRegions) > 0
	}
	if len(r.AllowedRegions) == 0 {
		return customer.AllowedRegions, true
	}
	both := []string{}
	for _, region := range r.AllowedRegions {
		for _, other := range customer.AllowedRegions {
			if region == other {
				both = append(both, region)
			}
		}
	}
	return both, true
}

// PickService returns the service of a target that is chosen at random by weight. Targets
// without a positive weight are not chosen.
func (r *Route) PickService(rng *rand.Rand) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	draw := rng.Float64() * total
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
