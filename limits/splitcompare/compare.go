// Package splitcompare compares ways to divide a limit between entry instances.
//
// Recorded demand runs through the real ledger code of package limits in virtual
// time and without sockets. The measure is the share of requests that a split
// refuses although a single exact bucket admits them.
package splitcompare

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/jacinthrack/jacinthrack/limits"
)

// Strategy is a way to divide a limit.
type Strategy string

// Splits. Static gives each holder an equal floor and no lease.
const (
	FloorAndLease Strategy = "floor and lease"
	LeasesOnly    Strategy = "leases only"
	StaticFloors        Strategy = "static"
)

// Strategies returns all splits, the one in use first.
func Strategies() []Strategy { return []Strategy{FloorAndLease, LeasesOnly, StaticFloors} }

// Policy returns the policy that makes the ledger code use the split.
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

// Result is the outcome of one trace with one split, after the warm-up.
type Result struct {
	Trace   string
	Strategy   Strategy
	Offered int
	// ReferenceAdmitted is what one exact bucket admits.
	ReferenceAdmitted int
	Admitted      int
	// WronglyRejected were admitted by the exact bucket and refused by the split.
	// Above the rate, the split admits others in their place; see Shortfall.
	WronglyRejected int
	// OverAdmitted were admitted by the split above burst + rate·t.
	OverAdmitted int
	// CutOffOffered and CutOffAdmitted count the requests at instances that had
	// been cut off for longer than a lease lasts.
	CutOffOffered  int
	CutOffAdmitted int
	// WritesPerSecond are the table writes of all instances, with conflicts.
	WritesPerSecond float64
}

// WronglyRejectedFraction returns the wrongly refused part of what the exact bucket admits.
func (r Result) WronglyRejectedFraction() float64 {
	if r.ReferenceAdmitted == 0 {
		return 0
	}
	return float64(r.WronglyRejected) / float64(r.ReferenceAdmitted)
}

// Shortfall returns the part of what the exact bucket admits that the split does
// not make up for with other requests.
func (r Result) Shortfall() float64 {
	if r.ReferenceAdmitted == 0 {
		return 0
	}
	return float64(max(0, r.ReferenceAdmitted-r.Admitted)) / float64(r.ReferenceAdmitted)
}

// Results holds the results by trace and split, in the order of the run.
type Results []Result

// Get returns the result of a trace with a split.
func (t Results) Get(trace string, s Strategy) (Result, bool) {
	for _, r := range t {
		if r.Trace == trace && r.Strategy == s {
			return r, true
		}
	}
	return Result{}, false
}

// String returns the table as aligned text.
func (t Results) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "trace\tsplit\toffered\texact\tadmitted\twrongly refused\tshare\tshortfall\tover\tcut off\twrites/s")
	for _, r := range t {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f%%\t%.2f%%\t%d\t%d of %d\t%.2f\n",
			r.Trace, r.Strategy, r.Offered, r.ReferenceAdmitted, r.Admitted, r.WronglyRejected,
			100*r.WronglyRejectedFraction(), 100*r.Shortfall(), r.OverAdmitted, r.CutOffAdmitted, r.CutOffOffered, r.WritesPerSecond)
	}
	_ = w.Flush() // a strings.Builder does not fail
	return b.String()
}

// Compare runs all recorded traces with all splits. It returns *TraceError.
func Compare() (Results, error) {
	traces, err := Traces()
	if err != nil {
		return nil, err
	}
	var table Results
	for _, t := range traces {
		for _, s := range Strategies() {
			r, err := RunTrace(t, s, s.Policy())
			if err != nil {
				return nil, &TraceError{File: t.Name, Err: err}
			}
			table = append(table, r)
		}
	}
	return table, nil
}
