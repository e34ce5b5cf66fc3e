// Package bench generates load on a fleet of entry instances and reports latency,
// headroom, drain time, the worst-served customer and the number of requests that
// were rejected although they were within their customer's rate.
//
// Arrivals are open-loop: they follow the plan's rates whether or not earlier
// requests have ended, and latency counts from the time a request was due. A slow
// fleet therefore cannot hide its latency by slowing the generator down.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Plan describes one benchmark run. It can be read from JSON.
type Plan struct {
	Name string `json:"name"`
	// EntryInstances lists the caller addresses of some entry instances. Look-ups go
	// to each in turn; requests go to the instances that the look-up answers name.
	EntryInstances []netip.AddrPort `json:"entry"`
	// Duration is the period in which requests are due. Requests due in the first
	// part of it, Warmup, are sent but not counted.
	Duration config.Duration `json:"duration"`
	Warmup   config.Duration `json:"warmup,omitempty"`
	// Timeout bounds a request from the time it is due. Zero means
	// DefaultTimeout.
	Timeout config.Duration `json:"timeout,omitempty"`
	// MaxAttempts bounds the attempts of a request, see caller.Options.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// MaxRequests ends the run after this number of requests and look-ups. Zero
	// means DefaultMaxRequests.
	MaxRequests int `json:"max_requests,omitempty"`
	// MaxOutstanding bounds the requests and look-ups in flight. A request that is
	// due beyond it is not sent and reported as dropped. Zero means
	// DefaultMaxOutstanding.
	MaxOutstanding int `json:"max_outstanding,omitempty"`
	// Seed determines the phases of the arrivals and the order of the kinds.
	Seed      uint64     `json:"seed,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
	// Mix lists the kinds of requests that customers send.
	Mix     []RequestKind `json:"mix,omitempty"`
	Lookups LookupLoad    `json:"lookups"`
	// CheckResponses compares the nonce that the backend stand-in returns in each
	// response with the nonce of the request.
	CheckResponses bool `json:"check_answers,omitempty"`
	// BackendServers are the backend servers whose load endpoints are read every
	// SampleInterval to measure headroom. Zero SampleInterval means DefaultSampleInterval.
	BackendServers []config.BackendServer `json:"backends,omitempty"`
	SampleInterval config.Duration        `json:"sample_every,omitempty"`
	// ControlAddress is the IP:port of the backend stand-in's control API. Drain
	// needs it. If it is set, the result includes the execution counts.
	ControlAddress string        `json:"control,omitempty"`
	Drain          *DrainPlan    `json:"drain,omitempty"`
	Overhead       *OverheadPlan `json:"overhead,omitempty"`
	// Events run concurrently with the load, for example to stop an entry instance.
	Events []Event `json:"-"`
	// Transport replaces the network in tests.
	Transport http.RoundTripper `json:"-"`
}

// Customer sends requests with its own key.
type Customer struct {
	Name string `json:"name"`
	Key  string `json:"key,omitempty"`
	// RatePerSecond and Burst are the customer's limit in requests.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// LoadFactor is the offered rate as a multiple of RatePerSecond, outside surges.
	LoadFactor float64 `json:"load"`
	Surge      *Surge  `json:"surge,omitempty"`
	// Client is the client address in the customer's look-ups. Zone is the
	// customer's availability zone, empty if unknown.
	Client netip.Addr `json:"client"`
	Zone   string     `json:"zone,omitempty"`
}

// Surge replaces a customer's load factor for the time Duration at the start of each
// Period.
type Surge struct {
	Period     config.Duration `json:"every"`
	Duration   config.Duration `json:"for"`
	LoadFactor float64         `json:"load"`
}

// RequestKind describes one kind of request in the mix.
type RequestKind struct {
	Name       string `json:"name"`
	Route      string `json:"route"`
	Method     string `json:"method"`
	Path       string `json:"path,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Weight is the frequency of the kind relative to the other kinds.
	Weight    float64 `json:"weight"`
	BodyBytes int     `json:"body_bytes,omitempty"`
	// UploadTime is the time over which the body is sent in equal chunks. Zero sends
	// it at once.
	UploadTime config.Duration `json:"upload_time,omitempty"`
}

// LookupLoad is the load on the look-up endpoint.
type LookupLoad struct {
	RatePerSecond float64 `json:"per_second,omitempty"`
}

// DrainPlan describes the drain of one backend server during the run, which measures how
// long the server still receives new requests.
type DrainPlan struct {
	Server string `json:"server"`
	// At is the time of the drain since the start of the run.
	At config.Duration `json:"at"`
	// Announce and Notice are the fields of the stand-in's drain request. During the
	// Notice time the server goes on accepting requests, so that requests that are
	// still sent to it can be counted.
	Announce bool            `json:"announce"`
	Notice   config.Duration `json:"notice,omitempty"`
	// WatchDuration is the time for which the server is observed after the drain begins.
	WatchDuration config.Duration `json:"watch"`
}

// OverheadPlan describes the comparison of direct requests to a backend server with the
// same requests forwarded by an entry instance. The requests are sent in pairs, one
// request at a time, after the load has ended.
type OverheadPlan struct {
	Pairs int    `json:"samples"`
	Route string `json:"route"`
	Path  string `json:"path,omitempty"`
	// DirectAddress is the IP:port of a backend server of the route.
	DirectAddress string `json:"direct"`
	// DirectPath is the path that the backend server receives when the route forwards
	// a request for Path.
	DirectPath string `json:"direct_path"`
	// Customer names the customer that sends the requests.
	Customer string `json:"customer"`
	// Pause is the time before each pair. It keeps the customer within its rate.
	Pause config.Duration `json:"pause,omitempty"`
}

// Event is an action that runs at a time At since the start of the run.
type Event struct {
	Name   string
	At     time.Duration
	Action func(context.Context) error
}

// Defaults of a plan.
const (
	DefaultTimeout        = 10 * time.Second
	DefaultMaxRequests    = 1_000_000
	DefaultMaxOutstanding = 1024
	DefaultMaxAttempts    = 3
	DefaultSampleInterval = 500 * time.Millisecond
)

// MaxRunDuration bounds Plan.Duration and DrainPlan.WatchDuration.
const MaxRunDuration = time.Hour

func (p Plan) withDefaults() Plan {
	if p.Timeout == 0 {
		p.Timeout = config.Duration(DefaultTimeout)
	}
	if p.MaxRequests == 0 {
		p.MaxRequests = DefaultMaxRequests
	}
	if p.MaxOutstanding == 0 {
		p.MaxOutstanding = DefaultMaxOutstanding
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = DefaultMaxAttempts
	}
	if p.SampleInterval == 0 {
		p.SampleInterval = config.Duration(DefaultSampleInterval)
	}
	return p
}

// ReadPlan reads a plan from JSON and validates it. Unknown fields are errors. It
// returns *PlanError for a plan that cannot be run.
func ReadPlan(r io.Reader) (Plan, error) {
	var p Plan
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return p, &PlanError{Problems: []string{err.Error()}}
	}
	return p, p.Validate()
}

// PlanError lists everything that is wrong with a plan.
type PlanError struct{ Problems []string }

func (e *PlanError) Error() string { return "plan: " + strings.Join(e.Problems, "; ") }

// Validate returns *PlanError if the plan cannot be run.
func (p Plan) Validate() error {
	c := &planChecker{}
	c.require(len(p.EntryInstances) > 0, "entry is empty")
	c.require(p.Duration > 0 && p.Duration.Std() <= MaxRunDuration, "duration is %v, want more than 0 and at most %v", p.Duration.Std(), MaxRunDuration)
	c.require(p.Warmup >= 0 && p.Warmup < p.Duration, "warmup is %v, want less than the duration", p.Warmup.Std())
	c.require(p.MaxRequests >= 0, "max_requests is negative")
	c.require(p.MaxOutstanding >= 0, "max_outstanding is negative")
	c.require(p.MaxAttempts >= 0, "max_attempts is negative")
	c.require(p.Timeout >= 0, "timeout is negative")
	c.require(p.SampleInterval >= 0, "sample_every is negative")
	c.require(p.Lookups.RatePerSecond >= 0, "lookups.per_second is negative")
	c.require(len(p.Customers) == 0 || len(p.Mix) > 0, "mix is empty")
	p.checkCustomers(c)
	for i, k := range p.Mix {
		c.require(k.Weight > 0, "mix[%d].weight is %v, want more than 0", i, k.Weight)
		c.require(k.Route != "", "mix[%d].route is empty", i)
		c.require(k.BodyBytes >= 0, "mix[%d].body_bytes is negative", i)
	}
	for i, e := range p.Events {
		c.require(e.At >= 0 && e.At < p.Duration.Std(), "events[%d] is at %v, want less than the duration", i, e.At)
	}
	p.checkDrainAndOverhead(c)
	return c.err()
}

func (p Plan) checkCustomers(c *planChecker) {
	names := make(map[string]bool)
	for i, customer := range p.Customers {
		c.require(!names[customer.Name], "customers[%d].name %q is used twice", i, customer.Name)
		names[customer.Name] = true
		c.require(customer.RatePerSecond > 0, "customers[%d].rate_per_second is %v, want more than 0", i, customer.RatePerSecond)
		c.require(customer.Burst >= 1, "customers[%d].burst is %v, want at least 1", i, customer.Burst)
		c.require(customer.LoadFactor >= 0, "customers[%d].load is negative", i)
		c.require(customer.Client.IsValid(), "customers[%d].client is not an address", i)
		s := customer.Surge
		c.require(s == nil || s.LoadFactor >= 0 && s.Duration > 0 && s.Period > s.Duration, "customers[%d].surge needs load >= 0 and 0 < for < every", i)
	}
}

func (p Plan) checkDrainAndOverhead(c *planChecker) {
	if d := p.Drain; d != nil {
		c.require(p.ControlAddress != "", "drain needs control")
		c.require(d.At >= 0 && d.At < p.Duration, "drain.at is %v, want less than the duration", d.At.Std())
		c.require(d.WatchDuration > 0 && d.WatchDuration.Std() <= MaxRunDuration, "drain.watch is %v, want more than 0 and at most %v", d.WatchDuration.Std(), MaxRunDuration)
	}
	if o := p.Overhead; o != nil {
		c.require(o.Pairs > 0, "overhead.samples is %d, want more than 0", o.Pairs)
		c.require(p.customerIndex(o.Customer) >= 0, "overhead.customer %q is not a customer", o.Customer)
	}
}

// customerIndex returns the index of the customer with the given name, or -1 if there
// is none.
func (p Plan) customerIndex(name string) int {
	for i, c := range p.Customers {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// planChecker collects the problems of a plan.
type planChecker struct{ problems []string }

// require adds a problem unless ok.
func (c *planChecker) require(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (c *planChecker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &PlanError{Problems: c.problems}
}
