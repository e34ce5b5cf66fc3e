// Package splitcompare compares strategies for dividing a limit among entry instances.
//
// It simulates recorded demand with the real ledger code of package limits, in virtual time
// and without sockets. The measure is the fraction of requests that a strategy rejects
// although a reference, a single token bucket with the whole limit, admits them.
package splitcompare

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/jacinthrack/jacinthrack/limits"
)

// Strategy is a strategy for dividing a limit among instances.
type Strategy string

// Strategies.
const (
	FloorAndLease Strategy = "floor and lease" // the default policy of package limits
	LeasesOnly    Strategy = "leases only"     // no floors
	StaticFloors  Strategy = "static"          // an equal floor for each holder and no leases
)

// Strategies returns all strategies, the one used in production first.
func Strategies() []Strategy { return []Strategy{FloorAndLease, LeasesOnly, StaticFloors} }

// Policy returns the policy that makes the ledger code use the strategy.
func (s Strategy) Policy() limits.Policy {
	p := limits.DefaultPolicy()
	switch s {
	case LeasesOnly:
		p.FloorFraction = 0
		p.MinFloorFraction = 0
	case StaticFloors:
		p.FloorFraction = 1
		p.MinFloorFraction = 1
	}
	return p
}

// Result is the outcome of one trace with one strategy. Its counts are of requests and,
// except for OverAdmitted, exclude the warm-up.
type Result struct {
	Trace    string // name of the trace
	Strategy Strategy
	Offered  int // all requests
	// ReferenceAdmitted counts the requests that the reference bucket admits.
	ReferenceAdmitted int
	Admitted          int // by the strategy
	// WronglyRejected counts the requests that the reference bucket admits and the
	// strategy rejects. When demand exceeds the rate, the strategy admits others in
	// their place; see Shortfall.
	WronglyRejected int
	// OverAdmitted counts the requests that the strategy admits above burst + rate·t.
	OverAdmitted int
	// CutOffOffered and CutOffAdmitted count the requests at instances that have been
	// cut off from the table for longer than a lease lasts.
	CutOffOffered  int
	CutOffAdmitted int
	// WritesPerSecond is the rate of table writes of all instances, including conflicts.
	WritesPerSecond float64
}

// WronglyRejectedFraction returns the wrongly rejected requests as a fraction of those that the
// reference bucket admits.
func (r Result) WronglyRejectedFraction() float64 {
	if r.ReferenceAdmitted == 0 {
		return 0
	}
	return float64(r.WronglyRejected) / float64(r.ReferenceAdmitted)
}

// Shortfall returns by how much the strategy admits fewer requests than the reference
// bucket, as a fraction of those that the reference bucket admits. Unlike the wrongly
// rejected fraction, it does not count rejections for which other requests were admitted.
func (r Result) Shortfall() float64 {
	if r.ReferenceAdmitted == 0 {
		return 0
	}
	return float64(max(0, r.ReferenceAdmitted-r.Admitted)) / float64(r.ReferenceAdmitted)
}

// Results holds one result for each trace and strategy, in the order of the simulations.
type Results []Result

// Get returns the result of a trace with a strategy and whether there is one.
func (r Results) Get(trace string, s Strategy) (Result, bool) {
	for _, result := range r {
		if result.Trace == trace && result.Strategy == s {
			return result, true
		}
	}
	return Result{}, false
}

// String returns the results as a table of aligned text.
func (r Results) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "trace\tstrategy\toffered\treference\tadmitted\twrongly rejected\tfraction\tshortfall\tover-admitted\tcut off\twrites/s")
	for _, result := range r {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f%%\t%.2f%%\t%d\t%d of %d\t%.2f\n",
			result.Trace, result.Strategy, result.Offered, result.ReferenceAdmitted, result.Admitted, result.WronglyRejected,
			100*result.WronglyRejectedFraction(), 100*result.Shortfall(), result.OverAdmitted, result.CutOffAdmitted, result.CutOffOffered, result.WritesPerSecond)
	}
	_ = w.Flush() // writes to a strings.Builder never fail
	return b.String()
}

// Compare simulates all recorded traces with all strategies. Its error is a *TraceError.
func Compare() (Results, error) {
	traces, err := Traces()
	if err != nil {
		return nil, err
	}
	var results Results
	for _, t := range traces {
		for _, s := range Strategies() {
			r, err := RunTrace(t, s, s.Policy())
			if err != nil {
				return nil, &TraceError{File: t.Name, Err: err}
			}
			results = append(results, r)
		}
	}
	return results, nil
}
