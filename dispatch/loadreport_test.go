package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A load report counts the request that it answers, unless the server has shown that its
// reports omit it. Counting that request as load of another instance would leave a slot of
// each server unused while requests wait and are rejected.
func TestLoadReportExcludesTheAnsweredRequest(t *testing.T) {
	report := func(inFlight, waiting int) *LoadReport {
		return &LoadReport{InFlight: inFlight, Waiting: waiting, Slots: 3}
	}
	for name, c := range map[string]struct {
		results   []AttemptResult // of requests that are in flight one after the other
		otherLoad float64
	}{
		"only the answered request runs": {[]AttemptResult{{Outcome: OutcomeSucceeded, Load: report(1, 0)}}, 0},
		"two more run, one waits":        {[]AttemptResult{{Outcome: OutcomeSucceeded, Load: report(3, 1)}}, 3},
		"a failed request ran, too":      {[]AttemptResult{{Outcome: OutcomeFailed, Load: report(2, 0)}}, 1},
		"a rejected request did not run": {[]AttemptResult{{Outcome: OutcomeRejected, Load: report(2, 0)}}, 2},
		"reports omit the request": {[]AttemptResult{
			{Outcome: OutcomeSucceeded, Load: report(0, 0)}, {Outcome: OutcomeSucceeded, Load: report(2, 0)},
		}, 2},
		"another server's report": {[]AttemptResult{{Outcome: OutcomeMisdirected, Load: report(3, 3)}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher, _ := newTestDispatcher(t, 3, "a")
			for _, result := range c.results {
				r := newRequest(1, start)
				d, _ := dispatcher.Submit(r, start)
				must.Eq(t, VerdictStart, d.Verdict)
				result.Duration = 100 * time.Millisecond
				dispatcher.Finish(r, d.Server, result, start)
			}
			must.Eq(t, c.otherLoad, dispatcher.servers["s0"].estimatedLoad(start))
		})
	}
}
