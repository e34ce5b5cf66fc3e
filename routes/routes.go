// Package routes is the routing configuration of a gateway: hosts and path
// prefixes that lead to services, customers with their keys and quotas, and the
// backend servers of each service. The package is pure; a Config is immutable
// once it is published.
package routes

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// Repeat rules.
const (
	NotIdempotent  Idempotency = iota // at most once; the zero value is the safe one
	Idempotent               // idempotent
)

// Config is one version of the routing configuration.
type Config struct {
	Version  int64
	RequestLimits   RequestLimits
	Services map[string]*Service
	// hosts maps a host name to its routes, longest prefix first.
	hosts map[string][]*Route
	// keys maps an API key to its owner.
	keys      map[string]*Customer
	customers map[string]*Customer
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	MaxHeaderBytes   int
	MaxBodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its headers
	IdleTimeout   time.Duration // between requests on a connection
}

// Route is a rule for requests to one path prefix.
type Route struct {
	Name        string
	Prefix      string
	Idempotency      Idempotency
	LatencyObjective   time.Duration // latency within which a response has its full value
	Timeout     time.Duration // longest time from arrival to the final response; 0 for none
	MaxAttempts int           // servers that one request may be sent to
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no key
	ObjectAffinity    bool          // requests for one object profit from the same server
	AllowedRegions     []string      // where the request may run; empty for anywhere
	Targets     []Target
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Customer is a tenant with its keys and quota.
type Customer struct {
	Name     string
	APIKeys     []string
	Priority int
	// HasPriority is set when Priority takes precedence over that of the route.
	HasPriority bool
	Rate        float64 // requests per second over all instances; 0 for no limit
	Burst       float64
	AllowedRegions     []string
}

// Service is a pool of backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // per server, over all instances
	Warmup         time.Duration // a server is cold for this time after its start
	WarmupRate     float64       // requests per second that a cold server bears
}

// Server is a backend server as the platform lists it.
type Server struct {
	ID      string
	Address string
	Service string
	Zone    string
	Slots   int
	Ready   bool // false when the server is about to leave
	// WarmupLeft is the time that the server stays cold, as of Seen.
	WarmupLeft time.Duration
	// Incarnation identifies the incarnation of the server.
	Incarnation int64
	LastSeen    time.Time
}

// NewConfig indexes a configuration. The arguments must not be changed afterwards.
func NewConfig(version int64, limits RequestLimits, services []*Service, customers []*Customer, hosts map[string][]*Route) *Config {
	c := &Config{
		Version:   version,
		RequestLimits:    limits,
		Services:  make(map[string]*Service, len(services)),
		hosts:     hosts,
		keys:      make(map[string]*Customer),
		customers: make(map[string]*Customer, len(customers)),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, customer := range customers {
		c.customers[customer.Name] = customer
		for _, key := range customer.APIKeys {
			c.keys[key] = customer
		}
	}
	for _, list := range hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns the route for a host and path, or nil.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// CustomerByAPIKey returns the customer that holds an API key, or nil.
func (c *Config) CustomerByAPIKey(key string) *Customer { return c.keys[key] }

// Customer returns a customer by name, or nil.
func (c *Config) Customer(name string) *Customer { return c.customers[name] }

// Customers returns all customers by name. The map must not be changed.
func (c *Config) Customers() map[string]*Customer { return c.customers }

// RequestPriority returns the rank of a request, 0 being the most urgent.
func RequestPriority(r *Route, customer *Customer) int {
	if customer != nil && customer.HasPriority {
		return customer.Priority
	}
	return r.Priority
}

// AllowedRegions returns the regions in which a request may run. ok is false when it may
// run anywhere. Both the route's and the customer's regions bind.
func AllowedRegions(r *Route, customer *Customer) (regions []string, ok bool) {
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

// PickService draws a service by weight. Targets without a positive weight are not drawn.
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
