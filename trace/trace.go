// Package trace replays recorded traces in virtual time through the decision
// packages and compares the result with simple baselines.
//
// A trace is a JSON file: servers, entry instances, arrivals, and what happens to
// the servers over time. Servers have slots and a random service time, networks have
// constant delays. The same trace and policy always give the same measures.
package trace

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/placement"
)

// Trace is a recorded trace. All servers belong to one service.
type Trace struct {
	Name      string               `json:"name"`
	Seed      uint64               `json:"seed"`
	Duration  config.Duration      `json:"duration"`
	Instances []placement.Instance `json:"instances"`
	Servers   []Group              `json:"servers"`
	Links     []config.Link        `json:"links,omitempty"`
	Customers []config.Customer    `json:"customers"`
	Arrivals  []Arrival            `json:"arrivals"`
	Behaviors []Behavior           `json:"behaviors,omitempty"`
}

// Group is a number of equal servers, called zone-1, zone-2 and so on.
type Group struct {
	Zone        string          `json:"zone"`
	Region      string          `json:"region"`
	Count       int             `json:"count"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	ServiceTime config.Duration `json:"service_time"`
}

// Window is a part of the trace. A zero Until means the end.
type Window struct {
	From  config.Duration `json:"from,omitempty"`
	Until config.Duration `json:"until,omitempty"`
}

func (w Window) contains(at time.Duration) bool {
	return at >= w.From.Std() && (w.Until == 0 || at < w.Until.Std())
}

// Arrival is a stream of requests of one customer.
type Arrival struct {
	Window
	Zone       string  `json:"zone"`
	Customer   string  `json:"customer"`
	PerSecond  float64 `json:"per_second"`
	Idempotent bool    `json:"idempotent,omitempty"`
	// Crash requests have the same content and crash each server that runs them.
	Crash bool `json:"crash,omitempty"`
}

// Kind is the type of a behavior.
type Kind string

// Behaviors.
const (
	// KindDrain: responses carry "Connection: close", and after Value seconds
	// connections are refused. At Until the server is back with cold caches.
	KindDrain Kind = "drain"
	// KindRestart: requests in progress break, connections are refused until Until;
	// then the caches are cold.
	KindRestart Kind = "restart"
	// KindFail: as KindRestart, and selected entry instances are dead until Until.
	KindFail Kind = "fail"
	// KindShed: Value is the share of requests answered with 503.
	KindShed Kind = "shed"
	// KindLag: reports between entry instances arrive Value seconds late.
	KindLag Kind = "lag"
	// KindBlind: reports, grants and probes stop.
	KindBlind Kind = "blind"
)

var behaviorKinds = []Kind{KindDrain, KindRestart, KindFail, KindShed, KindLag, KindBlind}

// Behavior happens to the servers and entry instances that Name, Zone and Region
// select. An empty field selects all.
type Behavior struct {
	Window
	Kind   Kind    `json:"kind"`
	Name   string  `json:"name,omitempty"`
	Zone   string  `json:"zone,omitempty"`
	Region string  `json:"region,omitempty"`
	Value  float64 `json:"value,omitempty"`
}

func (b Behavior) selects(name, zone, region string) bool {
	return (b.Name == "" || b.Name == name) &&
		(b.Zone == "" || b.Zone == zone) && (b.Region == "" || b.Region == region)
}

// InvalidError reports a trace or policy that cannot be replayed.
type InvalidError struct {
	Field string
	Err   error // nil when the value is missing or not allowed
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("trace: %s is not valid: %v", e.Field, e.Err)
}

// Unwrap returns the underlying error.
func (e *InvalidError) Unwrap() error { return e.Err }

// ReadFile reads a trace. It returns an *InvalidError; unknown fields are rejected.
func ReadFile(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &InvalidError{Field: "file", Err: err}
	}
	defer f.Close()
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	t := &Trace{}
	if err := d.Decode(t); err != nil {
		return nil, &InvalidError{Field: "JSON of " + path, Err: err}
	}
	return t, t.validate()
}

func (t *Trace) validate() error {
	valid := t.Duration > 0 && len(t.Instances) > 0 && len(t.Servers) > 0
	for _, g := range t.Servers {
		valid = valid && g.Count > 0 && g.Slots > 0 && g.ServiceTime > 0
	}
	if !valid {
		return &InvalidError{Field: "duration, instances or servers"}
	}
	for i, a := range t.Arrivals {
		known := slices.ContainsFunc(t.Customers, func(c config.Customer) bool { return c.Name == a.Customer })
		if a.PerSecond <= 0 || !known {
			return &InvalidError{Field: fmt.Sprintf("arrivals[%d]", i)}
		}
	}
	for i, b := range t.Behaviors {
		if !slices.Contains(behaviorKinds, b.Kind) {
			return &InvalidError{Field: fmt.Sprintf("behaviors[%d].kind", i)}
		}
	}
	return nil
}
