// Package trace replays recorded traces in virtual time through the decision
// packages and compares the result with simple baselines.
//
// A trace is a JSON file with servers, entry instances, arrivals of requests, and the
// behaviors of servers over time, such as drains and failures. Servers have slots and a
// random service time; networks have constant delays. The same trace and policy always
// give the same result.
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
	Servers   []ServerGroup        `json:"servers"`
	Links     []config.Link        `json:"links,omitempty"`
	Customers []config.Customer    `json:"customers"`
	Arrivals  []ArrivalStream      `json:"arrivals"`
	Behaviors []Behavior           `json:"behaviors,omitempty"`
}

// ServerGroup is a group of Count equal servers in one zone. Their names are the zone's name with
// -1, -2 and so on appended.
type ServerGroup struct {
	Zone        string          `json:"zone"`
	Region      string          `json:"region"`
	Count       int             `json:"count"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	ServiceTime config.Duration `json:"service_time"`
}

// Window is a period of the trace, in time since its start. A zero Until means the end of
// the trace.
type Window struct {
	From  config.Duration `json:"from,omitempty"`
	Until config.Duration `json:"until,omitempty"`
}

// contains reports whether a time since the start of the trace is in the window.
func (w Window) contains(at time.Duration) bool {
	return at >= w.From.Std() && (w.Until == 0 || at < w.Until.Std())
}

// ArrivalStream is a stream of requests of one customer from callers in one zone.
type ArrivalStream struct {
	Window
	Zone       string  `json:"zone"`
	Customer   string  `json:"customer"`
	PerSecond  float64 `json:"per_second"`
	Idempotent bool    `json:"idempotent,omitempty"`
	// Crash is set if each request of the stream crashes the server that runs it. All such
	// requests of a customer have the same content.
	Crash bool `json:"crash,omitempty"`
}

// BehaviorKind is the kind of a behavior.
type BehaviorKind string

// Kinds of behaviors. Value is the field of Behavior.
const (
	// BehaviorDrain: responses carry "Connection: close", and after Value seconds the server
	// refuses connections. At Until it serves again, with cold caches.
	BehaviorDrain BehaviorKind = "drain"
	// BehaviorRestart: connections of in-flight requests are reset, and new connections are
	// refused until Until. Then the server serves again, with cold caches.
	BehaviorRestart BehaviorKind = "restart"
	// BehaviorFail: as BehaviorRestart for the selected servers; the selected entry instances are
	// down until Until.
	BehaviorFail BehaviorKind = "fail"
	// BehaviorShed: the server rejects requests with 503; Value is the share of such requests.
	BehaviorShed BehaviorKind = "shed"
	// BehaviorReportDelay: digests of the selected entry instances arrive Value seconds late.
	BehaviorReportDelay BehaviorKind = "lag"
	// BehaviorReportLoss: the selected entry instances neither probe servers nor send digests, which
	// carry their reports and reservations.
	BehaviorReportLoss BehaviorKind = "blind"
)

var behaviorKinds = []BehaviorKind{BehaviorDrain, BehaviorRestart, BehaviorFail, BehaviorShed, BehaviorReportDelay, BehaviorReportLoss}

// Behavior is an event or a condition, during Window, of the servers and entry instances
// that Name, Zone and Region select. An empty field selects all.
type Behavior struct {
	Window
	Kind   BehaviorKind `json:"kind"`
	Name   string       `json:"name,omitempty"`
	Zone   string       `json:"zone,omitempty"`
	Region string       `json:"region,omitempty"`
	Value  float64      `json:"value,omitempty"`
}

// selects reports whether the behavior applies to a server or entry instance.
func (b Behavior) selects(name, zone, region string) bool {
	return (b.Name == "" || b.Name == name) &&
		(b.Zone == "" || b.Zone == zone) && (b.Region == "" || b.Region == region)
}

// InvalidError reports a trace or policy that cannot be replayed.
type InvalidError struct {
	Field string
	Err   error // nil if the value is missing or not allowed
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("trace: %s is not valid: %v", e.Field, e.Err)
}

// Unwrap returns the underlying error.
func (e *InvalidError) Unwrap() error { return e.Err }

// ReadFile reads a trace from a JSON file and validates it. It rejects unknown fields.
// Errors are of type *InvalidError.
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
