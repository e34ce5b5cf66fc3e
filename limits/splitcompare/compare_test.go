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
	table, err := compareOnce()
	must.NoError(t, err)
	return table
}

// mustGet returns the result of a trace with a strategy, which must exist.
func mustGet(t *testing.T, table Results, trace string, s Strategy) Result {
	t.Helper()
	r, ok := table.Get(trace, s)
	must.True(t, ok, must.Sprintf("no result for trace %s with strategy %s", trace, s))
	return r
}

// Checks for all recorded demand that no strategy admits more than burst + rate·t, and that
// the instances write less often than once per MinWriteInterval each.
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
	table := compare(t)
	chosen, staticFloors := mustGet(t, table, "skewed", FloorAndLease), mustGet(t, table, "skewed", StaticFloors)
	must.Less(t, staticFloors.WronglyRejected, chosen.WronglyRejected)
	must.Less(t, staticFloors.Shortfall(), chosen.Shortfall())
}

// Checks that unused shares go where demand is: a customer that sends several times its rate
// to one instance gets almost its whole rate there.
func TestFloorAndLeaseAdmitsTheRateUnderOverload(t *testing.T) {
	must.Less(t, 0.05, mustGet(t, compare(t), "overload", FloorAndLease).Shortfall())
}

// Checks that instances go on admitting requests when they are cut off from the table: they
// must admit their floor, or all requests if those are fewer.
func TestFloorAndLeaseAdmitsFloorWhenCutOff(t *testing.T) {
	table := compare(t)
	chosen := mustGet(t, table, "cut-off", FloorAndLease)
	traces, err := Traces()
	must.NoError(t, err)
	trace := traces[3]
	must.Eq(t, "cut-off", trace.Name)
	policy := FloorAndLease.Policy()
	floor := trace.RatePerSecond * policy.FloorFraction / float64(trace.Instances)
	seconds := (trace.CutOff.To.Std() - trace.CutOff.From.Std() - policy.LeaseTerm).Seconds()
	minAdmitted := min(float64(chosen.CutOffOffered), floor*seconds*float64(len(trace.CutOff.Instances)))
	// A tenth less is allowed because random arrivals cluster.
	must.Greater(t, 0.9*minAdmitted, float64(chosen.CutOffAdmitted))
	must.Zero(t, mustGet(t, table, "cut-off", LeasesOnly).CutOffAdmitted)
}

// BenchmarkTable prints the results of the comparison as a table:
//
//	go test ./limits/splitcompare -run '^$' -bench Table -benchtime 1x
func BenchmarkTable(b *testing.B) {
	var table Results
	for b.Loop() {
		var err error
		table, err = Compare()
		must.NoError(b, err)
	}
	fmt.Printf("\n%s", table)
}
