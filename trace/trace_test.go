package trace

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/shoenig/test/must"
)

// decisionPolicies returns the policies that use the decision packages.
func decisionPolicies() []Policy { return []Policy{LatencyWeighted(), RefusalWeighted()} }

// loadTrace reads a recorded trace from testdata.
func loadTrace(t *testing.T, name string) *Trace {
	t.Helper()
	tr, err := ReadFile(filepath.Join("testdata", name+".json"))
	must.NoError(t, err)
	return tr
}

// cachedReplays maps a trace name and policy name, separated by "/", to a function that
// returns the replay's result. Replays are deterministic, so tests can share the results.
var cachedReplays sync.Map

// replayOnce returns the result of a replay, which it runs only on its first call for the
// trace and policy.
func replayOnce(t *testing.T, tr *Trace, p Policy) Result {
	t.Helper()
	replay := sync.OnceValues(func() (Result, error) { return Replay(tr, p) })
	cached, _ := cachedReplays.LoadOrStore(tr.Name+"/"+p.Name, replay)
	m, err := cached.(func() (Result, error))()
	must.NoError(t, err)
	return m
}

// replayDecisionPolicies replays a trace with each of decisionPolicies and checks the result
// in a subtest.
func replayDecisionPolicies(t *testing.T, name string, check func(t *testing.T, tr *Trace, m Result)) {
	tr := loadTrace(t, name)
	for _, p := range decisionPolicies() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			check(t, tr, replayOnce(t, tr, p))
		})
	}
}

// Guards, for each recorded trace, against requests that are not counted as completed,
// failed or rejected, against rejections with an unexpected error type, and against a region
// that gets more requests at a time than it has slots.
func TestInvariantsOfEveryTrace(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	must.NoError(t, err)
	must.GreaterEq(t, 7, len(files))
	rejectionTypes := []string{
		"*placement.NoServerError", "*headroom.RefusedError", "*quarantine.QuarantinedError",
		"*quarantine.ProbationError", "*trace.overRateError",
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		t.Run(name, func(t *testing.T) {
			replayDecisionPolicies(t, name, func(t *testing.T, tr *Trace, m Result) {
				sum := m.Completed + m.Failed
				for errorType, n := range m.Rejections {
					must.SliceContains(t, rejectionTypes, errorType)
					sum += n
				}
				must.Eq(t, m.Requests, sum)
				for region, load := range m.PeakLoad {
					must.LessEq(t, 1.0, load, must.Sprintf("region %s", region))
				}
			})
		})
	}
}

// Guards against rejections and failures under steady load without faults.
func TestSteadyLoad(t *testing.T) {
	replayDecisionPolicies(t, "steady", func(t *testing.T, _ *Trace, m Result) {
		must.Less(t, m.Requests/100, m.RejectedWithinRate+m.Failed)
	})
}

// Guards against new requests at a draining server more than 3 s after the start of its
// drain. Within 3 s every instance has seen a response or a digest that reveals the drain.
func TestUnannouncedDrain(t *testing.T) {
	replayDecisionPolicies(t, "unannounced-drain", func(t *testing.T, _ *Trace, m Result) {
		must.Positive(t, m.LastRequestAfterDrain)
		must.Less(t, 3*time.Second, m.LastRequestAfterDrain.Std())
		must.Less(t, 3*time.Second+requestTimeout, m.DrainTime.Std())
	})
}

// Guards against failed requests long after a region has failed: requests that exceed the
// free capacity of the other regions must be rejected early, not fail.
func TestRegionsFailing(t *testing.T) {
	for _, name := range []string{"region-failure", "two-regions-failing"} {
		t.Run(name, func(t *testing.T) {
			replayDecisionPolicies(t, name, func(t *testing.T, tr *Trace, m Result) {
				must.Greater(t, m.Failed, m.Completed)
				must.Less(t, m.Requests/20, m.Failed)
			})
		})
	}
	replayDecisionPolicies(t, "two-regions-failing", func(t *testing.T, tr *Trace, m Result) {
		must.Positive(t, m.Rejections["*placement.NoServerError"])
		must.LessEq(t, 1.0, m.PeakLoad["addis"])
	})
}

// Guards against rejections and failures when one of the seven entry instances is lost
// under the load for which the system is designed.
func TestOneInstanceLost(t *testing.T) {
	replayDecisionPolicies(t, "one-instance-lost", func(t *testing.T, _ *Trace, m Result) {
		must.Less(t, m.Requests/50, m.RejectedWithinRate+m.Failed)
	})
}

// Guards against requests that are not sent to other regions although their own region has
// no live server.
func TestSpilloverOfRegionWithoutServers(t *testing.T) {
	t.Parallel()
	tr := loadTrace(t, "region-servers-fail")
	for _, p := range decisionPolicies() {
		with := replayOnce(t, tr, p)
		p.NoSpillover = true
		without, err := Replay(tr, p)
		must.NoError(t, err)
		t.Logf("%s: %d completed with spillover, %d without", p.Name, with.Completed, without.Completed)
		must.Greater(t, without.Completed, with.Completed)
	}
}

// Guards against instances that use outdated reports of free capacity for ever, and against
// instances that reject everything without reports. In the trace, reports are late and then
// stop, and a region then gets three times its traffic.
func TestMeasurementsStop(t *testing.T) {
	replayDecisionPolicies(t, "measurements-stop", func(t *testing.T, _ *Trace, m Result) {
		must.Greater(t, m.Requests*3/4, m.Completed)
		for _, load := range m.PeakLoad {
			must.LessEq(t, 1.0, load)
		}
	})
}

// Guards against a request that crashes server after server. The bound follows from two
// sends per second, in bursts of up to four, and the two seconds between digests from one
// region to another.
func TestCrashRequest(t *testing.T) {
	replayDecisionPolicies(t, "crash-request", func(t *testing.T, tr *Trace, m Result) {
		scenario := quarantine.CrashScenario{
			Instances: len(tr.Instances), Callers: 1,
			ResendInterval: 250 * time.Millisecond, PropagationDelay: 2 * time.Second,
		}
		must.Positive(t, m.Crashes)
		must.LessEq(t, scenario.MaxCrashes(), m.Crashes)
		must.Positive(t, m.Rejections["*quarantine.QuarantinedError"])
	})
}

// Guards against rejected or failed requests of other customers when one customer sends five
// times its rate.
func TestCustomerAtFiveTimesItsRate(t *testing.T) {
	replayDecisionPolicies(t, "customer-five-times", func(t *testing.T, _ *Trace, m Result) {
		must.Greater(t, m.Requests/10, m.Rejections["*trace.overRateError"])
		must.Less(t, 0.02, m.WorstCustomerShare)
	})
}

// Guards against retries that multiply the load during an outage: with retry budgets the
// servers get at most 10% more attempts than requests, or one retry per second for each of
// the eight customers at each of the seven instances, whichever is more.
func TestRetryLoadInOutage(t *testing.T) {
	t.Parallel()
	tr := loadTrace(t, "service-outage")
	// The first seconds of the outage, from 5 s to 15 s, are left out: in the first one,
	// retries may use the budget of ten seconds.
	duringOutage, afterOutage := slices.Collect(secondsBetween(7, 15)), slices.Collect(secondsBetween(16, 25))
	sum := func(m Result, seconds []int) (n int) {
		for _, s := range seconds {
			n += m.Attempts[s]
		}
		return n
	}
	for _, p := range decisionPolicies() {
		withBudget := replayOnce(t, tr, p)
		p.NoRetryBudget = true
		withoutBudget, err := Replay(tr, p)
		must.NoError(t, err)
		perSecond := withBudget.Requests / 25
		bound := len(duringOutage) * (perSecond + max(perSecond/10, 8*7))
		must.LessEq(t, bound*11/10, sum(withBudget, duringOutage)) // the number of arrivals varies by second
		must.Greater(t, bound*11/10, sum(withoutBudget, duringOutage))
		must.LessEq(t, bound*11/10, sum(withBudget, afterOutage))
		t.Logf("%s: requests per second %d; attempts in the outage %d with budgets, %d without; after it %d and %d",
			p.Name, perSecond, sum(withBudget, duringOutage)/len(duringOutage), sum(withoutBudget, duringOutage)/len(duringOutage),
			sum(withBudget, afterOutage)/len(afterOutage), sum(withoutBudget, afterOutage)/len(afterOutage))
	}
}

// secondsBetween returns an iterator over the integers from the first argument up to, and
// without, the second.
func secondsBetween(from, to int) func(yield func(int) bool) {
	return func(yield func(int) bool) {
		for i := from; i < to && yield(i); i++ {
		}
	}
}

// Guards against replays that differ from run to run, and against a comparison that cannot be
// decoded from its JSON encoding or lacks a policy.
func TestCompare(t *testing.T) {
	t.Parallel()
	tr := loadTrace(t, "unannounced-drain")
	policies := append(Policies(), Policy{Name: "unknown", Baseline: "unknown"})
	first, second := Compare(tr, policies), Compare(tr, policies)
	a, err := json.Marshal(first)
	must.NoError(t, err)
	b, err := json.Marshal(second)
	must.NoError(t, err)
	must.Eq(t, string(a), string(b))
	must.SliceLen(t, 5, first.Results)
	must.SliceLen(t, 1, first.Errors)
	var decoded Comparison
	must.NoError(t, json.Unmarshal(a, &decoded))
	must.Eq(t, first.Results[4].LatencyP99, decoded.Results[4].LatencyP99)
	var text bytes.Buffer
	must.NoError(t, first.WriteText(&text))
	for _, p := range policies {
		must.StrContains(t, text.String(), p.Name)
	}
}

// Guards against an invalid or misspelled trace that is replayed in some other meaning.
func TestInvalidTraces(t *testing.T) {
	valid, err := os.ReadFile("testdata/steady.json")
	must.NoError(t, err)
	changes := map[string][2]string{
		"unknown field":    {`"seed"`, `"sead"`},
		"duration":         {`"20s"`, `"0s"`},
		"slots":            {`"slots": 4`, `"slots": 0`},
		"unknown customer": {`"customer": "bole"`, `"customer": "bolo"`},
		"rate":             {`"per_second": 12.5`, `"per_second": 0`},
		"behavior":         {`"behaviors": []`, `"behaviors": [{"kind": "explode"}]`},
		"not JSON":         {`{`, ``},
	}
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(string(valid), changes[name][0], changes[name][1], 1)
			must.NotEq(t, string(valid), changed)
			file := filepath.Join(t.TempDir(), "trace.json")
			must.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
			_, err := ReadFile(file)
			var invalid *InvalidError
			must.True(t, errors.As(err, &invalid))
		})
	}
	_, err = ReadFile("testdata/missing.json")
	must.ErrorIs(t, err, os.ErrNotExist)
}
