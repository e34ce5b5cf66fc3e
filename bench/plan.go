// Package bench generates load for a fleet of entry instances and reports what
// its users measure: latency, headroom, drain time, the worst-served customer and
// requests refused although they were within a customer's rate.
//
// Arrivals are open-loop: they follow the plan's rates whether or not earlier
// requests were answered, and latency counts from the time a request was due. A
// slow fleet therefore cannot hide its latency by slowing the generator down.
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

// Plan describes one run. It can be read from JSON.
type Plan struct {
	Name string `json:"name"`
	// EntryInstances are the addresses of some entry instances. Look-ups go to each in
	// turn; requests go where look-ups send them.
	EntryInstances []netip.AddrPort `json:"entry"`
	// Duration is the time in which requests are due. Those due in the Warmup
	// at its start are sent but not counted.
	Duration config.Duration `json:"duration"`
	Warmup   config.Duration `json:"warmup,omitempty"`
	// Timeout bounds a request from the time it is due. Zero means
	// DefaultTimeout.
	Timeout config.Duration `json:"timeout,omitempty"`
	// MaxAttempts bounds the attempts of a request, see caller.Options.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// MaxRequests ends the run early. Zero means DefaultMaxRequests.
	MaxRequests int `json:"max_requests,omitempty"`
	// MaxOutstanding bounds requests in progress. Requests beyond it are not
	// sent and are reported as dropped. Zero means DefaultMaxOutstanding.
	MaxOutstanding int        `json:"max_outstanding,omitempty"`
	Seed           uint64     `json:"seed,omitempty"`
	Customers      []Customer `json:"customers,omitempty"`
	// Mix holds the kinds of requests that customers send.
	Mix     []RequestKind  `json:"mix,omitempty"`
	Lookups LookupLoad `json:"lookups"`
	// CheckResponses compares the nonce in answers, which the backend stand-in
	// returns, with that of the request.
	CheckResponses bool `json:"check_answers,omitempty"`
	// BackendServers are sampled for headroom by their load endpoints.
	BackendServers    []config.BackendServer `json:"backends,omitempty"`
	SampleInterval config.Duration        `json:"sample_every,omitempty"`
	// ControlAddress is the IP:port of the backend stand-in's control API. It is
	// needed for Drain and adds the execution counts to the result.
	ControlAddress  string    `json:"control,omitempty"`
	Drain    *DrainPlan    `json:"drain,omitempty"`
	Overhead *OverheadPlan `json:"overhead,omitempty"`
	// Events run beside the load, for example to stop an entry instance.
	Events []Event `json:"-"`
	// Transport replaces the network, for tests.
	Transport http.RoundTripper `json:"-"`
}

// Customer sends requests with its own key.
type Customer struct {
	Name string `json:"name"`
	Key  string `json:"key,omitempty"`
	// RatePerSecond and Burst are what the customer is entitled to.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// LoadFactor is the offered rate as a multiple of RatePerSecond.
	LoadFactor  float64 `json:"load"`
	Surge *Surge  `json:"surge,omitempty"`
	// Client is the address that is looked up for the customer, and Zone its
	// availability zone, if it knows it.
	Client netip.Addr `json:"client"`
	Zone   string     `json:"zone,omitempty"`
}

// Surge replaces a customer's load for the first part of each period.
type Surge struct {
	Period config.Duration `json:"every"`
	Duration   config.Duration `json:"for"`
	LoadFactor  float64         `json:"load"`
}

// RequestKind is a kind of request.
type RequestKind struct {
	Name       string `json:"name"`
	Route      string `json:"route"`
	Method     string `json:"method"`
	Path       string `json:"path,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Weight is the share of the kind, relative to the other kinds.
	Weight    float64 `json:"weight"`
	BodyBytes int     `json:"body_bytes,omitempty"`
	// UploadTime spreads the body evenly over this time.
	UploadTime config.Duration `json:"upload_time,omitempty"`
}

// LookupLoad is the load on the look-up endpoint.
type LookupLoad struct {
	RatePerSecond float64 `json:"per_second,omitempty"`
}

// DrainPlan drains one backend server and watches how long it gets new work.
type DrainPlan struct {
	Server string `json:"server"`
	// At counts from the start of the run.
	At config.Duration `json:"at"`
	// Announce and Notice are those of the stand-in's drain request. With a
	// notice the server goes on accepting work, so that work sent to it can be
	// seen.
	Announce bool            `json:"announce"`
	Notice   config.Duration `json:"notice,omitempty"`
	// WatchDuration is the time for which the server is observed.
	WatchDuration config.Duration `json:"watch"`
}

// OverheadPlan compares requests to a backend server with the same requests through
// an entry instance, alternately and one at a time, after the load has ended.
type OverheadPlan struct {
	Pairs int    `json:"samples"`
	Route   string `json:"route"`
	Path    string `json:"path,omitempty"`
	// DirectAddress is the IP:port of a backend server of the route.
	DirectAddress string `json:"direct"`
	// DirectPath is the path that the backend server gets from the route.
	DirectPath string `json:"direct_path"`
	// Customer names the customer that sends the requests.
	Customer string `json:"customer"`
	// Pause before each pair keeps the customer within its rate.
	Pause config.Duration `json:"pause,omitempty"`
}

// Event is an action at a time after the start of the run.
type Event struct {
	Name string
	At   time.Duration
	Action   func(context.Context) error
}

// Defaults of a plan.
const (
	DefaultTimeout        = 10 * time.Second
	DefaultMaxRequests    = 1_000_000
	DefaultMaxOutstanding = 1024
	DefaultMaxAttempts    = 3
	DefaultSampleEvery    = 500 * time.Millisecond
)

// MaxRunDuration bounds a run.
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
		p.SampleInterval = config.Duration(DefaultSampleEvery)
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

// PlanError reports everything that is wrong with a plan.
type PlanError struct{ Problems []string }

func (e *PlanError) Error() string { return "plan: " + strings.Join(e.Problems, "; ") }

// Validate returns *PlanError if the plan cannot be run.
func (p Plan) Validate() error {
	c := &checker{}
	c.want(len(p.EntryInstances) > 0, "entry is empty")
	c.want(p.Duration > 0 && p.Duration.Std() <= MaxRunDuration, "duration is %v, want more than 0 and at most %v", p.Duration.Std(), MaxRunDuration)
	c.want(p.Warmup >= 0 && p.Warmup < p.Duration, "warmup is %v, want less than the duration", p.Warmup.Std())
	c.want(p.MaxRequests >= 0, "max_requests is negative")
	c.want(p.MaxOutstanding >= 0, "max_outstanding is negative")
	c.want(p.MaxAttempts >= 0, "max_attempts is negative")
	c.want(p.Timeout >= 0, "timeout is negative")
	c.want(p.SampleInterval >= 0, "sample_every is negative")
	c.want(p.Lookups.RatePerSecond >= 0, "lookups.per_second is negative")
	c.want(len(p.Customers) == 0 || len(p.Mix) > 0, "mix is empty")
	p.checkCustomers(c)
	for i, k := range p.Mix {
		c.want(k.Weight > 0, "mix[%d].weight is %v, want more than 0", i, k.Weight)
		c.want(k.Route != "", "mix[%d].route is empty", i)
		c.want(k.BodyBytes >= 0, "mix[%d].body_bytes is negative", i)
	}
	for i, e := range p.Events {
		c.want(e.At >= 0 && e.At < p.Duration.Std(), "events[%d] is at %v, want less than the duration", i, e.At)
	}
	p.checkParts(c)
	return c.err()
}

func (p Plan) checkCustomers(c *checker) {
	names := make(map[string]bool)
	for i, customer := range p.Customers {
		c.want(!names[customer.Name], "customers[%d].name %q is used twice", i, customer.Name)
		names[customer.Name] = true
		c.want(customer.RatePerSecond > 0, "customers[%d].rate_per_second is %v, want more than 0", i, customer.RatePerSecond)
		c.want(customer.Burst >= 1, "customers[%d].burst is %v, want at least 1", i, customer.Burst)
		c.want(customer.LoadFactor >= 0, "customers[%d].load is negative", i)
		c.want(customer.Client.IsValid(), "customers[%d].client is not an address", i)
		s := customer.Surge
		c.want(s == nil || s.LoadFactor >= 0 && s.Duration > 0 && s.Period > s.Duration, "customers[%d].surge needs load >= 0 and 0 < for < every", i)
	}
}

func (p Plan) checkParts(c *checker) {
	if d := p.Drain; d != nil {
		c.want(p.ControlAddress != "", "drain needs control")
		c.want(d.At >= 0 && d.At < p.Duration, "drain.at is %v, want less than the duration", d.At.Std())
		c.want(d.WatchDuration > 0 && d.WatchDuration.Std() <= MaxRunDuration, "drain.watch is %v, want more than 0 and at most %v", d.WatchDuration.Std(), MaxRunDuration)
	}
	if o := p.Overhead; o != nil {
		c.want(o.Pairs > 0, "overhead.samples is %d, want more than 0", o.Pairs)
		c.want(p.customer(o.Customer) >= 0, "overhead.customer %q is not a customer", o.Customer)
	}
}

// customer returns the position of a customer, -1 if there is none.
func (p Plan) customer(name string) int {
	for i, c := range p.Customers {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// checker collects problems.
type checker struct{ problems []string }

func (c *checker) want(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &PlanError{Problems: c.problems}
}
