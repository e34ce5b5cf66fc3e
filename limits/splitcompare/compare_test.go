package splitcompare

import (
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/limits"
)

// compareOnce runs the comparison once for all tests. No test may change its results.
var compareOnce = sync.OnceValues(Compare)

// compare returns the results of all traces with all strategies.
func compare(t testing.TB) Results {
	t.Helper()
	results, err := compareOnce()
	must.NoError(t, err)
	return results
}

// mustGet returns the result of a trace with a strategy, which must exist.
func mustGet(t *testing.T, results Results, trace string, s Strategy) Result {
	t.Helper()
	r, ok := results.Get(trace, s)
	must.True(t, ok, must.Sprintf("no result for trace %s with strategy %s", trace, s))
	return r
}

// Checks for all recorded demand that no strategy admits more than burst + rate·t, and that
// the instances, 7 in each recorded trace, write less often than once per MinWriteInterval each.
func TestNoStrategyOverAdmits(t *testing.T) {
	for _, r := range compare(t) {
		must.Zero(t, r.OverAdmitted, must.Sprintf("%s with %s", r.Trace, r.Strategy))
		must.Positive(t, r.Admitted, must.Sprintf("%s with %s", r.Trace, r.Strategy))
		must.Less(t, 7/limits.DefaultPolicy().MinWriteInterval.Seconds(), r.WritesPerSecond)
	}
}

// Checks that shares follow demand: when demand is skewed, fewer requests within the rate are
// rejected than with equal static floors.
func TestFloorAndLeaseRejectsFewerUnderSkew(t *testing.T) {
	results := compare(t)
	floorAndLease, staticFloors := mustGet(t, results, "skewed", FloorAndLease), mustGet(t, results, "skewed", StaticFloors)
	must.Less(t, staticFloors.WronglyRejected, floorAndLease.WronglyRejected)
	must.Less(t, staticFloors.Shortfall(), floorAndLease.Shortfall())
}

// Checks that a customer that sends several times its rate to one instance is admitted there
// with at most 5% less than by a single bucket.
func TestFloorAndLeaseAdmitsTheRateUnderOverload(t *testing.T) {
	must.Less(t, 0.05, mustGet(t, compare(t), "overload", FloorAndLease).Shortfall())
}

// Checks that instances go on admitting requests when they are cut off from the table: they
// must admit their floor, or all requests if those are fewer.
func TestFloorAndLeaseAdmitsFloorWhenCutOff(t *testing.T) {
	results := compare(t)
	floorAndLease := mustGet(t, results, "cut-off", FloorAndLease)
	traces, err := Traces()
	must.NoError(t, err)
	trace := traces[3]
	must.Eq(t, "cut-off", trace.Name)
	policy := FloorAndLease.Policy()
	floor := trace.RatePerSecond * policy.FloorFraction / float64(trace.Instances)
	seconds := (trace.CutOff.To.Std() - trace.CutOff.From.Std() - policy.LeaseTerm).Seconds()
	minAdmitted := min(float64(floorAndLease.CutOffOffered), floor*seconds*float64(len(trace.CutOff.Instances)))
	// A tenth less is allowed because random arrivals cluster.
	must.Greater(t, 0.9*minAdmitted, float64(floorAndLease.CutOffAdmitted))
	must.Zero(t, mustGet(t, results, "cut-off", LeasesOnly).CutOffAdmitted)
}

// BenchmarkTable prints the results of the comparison as a table:
//
//	go test ./limits/splitcompare -run '^$' -bench Table -benchtime 1x
func BenchmarkTable(b *testing.B) {
	var results Results
	for b.Loop() {
		var err error
		results, err = Compare()
		must.NoError(b, err)
	}
	fmt.Printf("\n%s", results)
}
