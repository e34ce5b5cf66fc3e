package splitcompare

import (
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/limits"
)

// compareOnce shares one run between the tests. No test changes the table.
var compareOnce = sync.OnceValues(Compare)

func compare(t testing.TB) Results {
	t.Helper()
	table, err := compareOnce()
	must.NoError(t, err)
	return table
}

func get(t *testing.T, table Results, trace string, s Strategy) Result {
	t.Helper()
	r, ok := table.Get(trace, s)
	must.True(t, ok, must.Sprintf("no result for %s with %s", trace, s))
	return r
}

// Guards against a split that admits more than burst + rate·t, and against writes
// that the table cannot carry, for any recorded demand.
func TestNoSplitOverAdmits(t *testing.T) {
	for _, r := range compare(t) {
		must.Zero(t, r.OverAdmitted, must.Sprintf("%s with %s", r.Trace, r.Strategy))
		must.Positive(t, r.Admitted, must.Sprintf("%s with %s", r.Trace, r.Strategy))
		must.Less(t, 7/limits.DefaultPolicy().MinWriteInterval.Seconds(), r.WritesPerSecond)
	}
}

// Guards against a ledger that does not follow demand: under skew it must refuse
// fewer requests within the rate than equal parts do.
func TestChosenSplitRefusesFewerUnderSkew(t *testing.T) {
	table := compare(t)
	chosen, static := get(t, table, "skewed", FloorAndLease), get(t, table, "skewed", StaticFloors)
	must.Less(t, static.WronglyRejected, chosen.WronglyRejected)
	must.Less(t, static.Shortfall(), chosen.Shortfall())
}

// Guards against shares that nobody uses while a customer that sends several
// times its rate at one instance is refused there.
func TestChosenSplitDeliversTheRateUnderOverload(t *testing.T) {
	must.Less(t, 0.05, get(t, compare(t), "overload", FloorAndLease).Shortfall())
}

// Guards against instances that stop serving when they are cut off: they must
// admit their floor, or what is offered if that is less.
func TestChosenSplitServesItsFloorWhenCutOff(t *testing.T) {
	table := compare(t)
	chosen := get(t, table, "cut-off", FloorAndLease)
	traces, err := Traces()
	must.NoError(t, err)
	trace := traces[3]
	must.Eq(t, "cut-off", trace.Name)
	policy := FloorAndLease.Policy()
	floor := trace.RatePerSecond * policy.FloorFraction / float64(trace.Instances)
	seconds := (trace.CutOff.To.Std() - trace.CutOff.From.Std() - policy.LeaseTerm).Seconds()
	want := min(float64(chosen.CutOffOffered), floor*seconds*float64(len(trace.CutOff.Instances)))
	// A tenth allows for arrivals that come in clusters.
	must.Greater(t, 0.9*want, float64(chosen.CutOffAdmitted))
	must.Zero(t, get(t, table, "cut-off", LeasesOnly).CutOffAdmitted)
}

// BenchmarkTable prints the comparison:
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
