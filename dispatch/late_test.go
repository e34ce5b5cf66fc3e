package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A late request is rejected at once while requests wait that can still end within their
// objective, since they go first. Without such requests it may wait: a route whose work
// takes longer than its objective has only late requests.
func TestLateRequestWaitsOnlyIfNoOtherCanEndInTime(t *testing.T) {
	for name, c := range map[string]struct {
		waitingObjective time.Duration // latency objective of the request that waits
		verdict          Verdict
	}{
		"another can end in time": {waitingObjective: time.Second, verdict: VerdictReject},
		"the other is late, too":  {waitingObjective: 100 * time.Millisecond, verdict: VerdictWait},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher, _ := newTestDispatcher(t, 4, "a")
			dispatcher.routeServiceTimes["read"] = 200 * time.Millisecond
			submit := func(objective time.Duration) Decision {
				r := newRequest(0, start)
				r.ObjectiveAt = start.Add(objective)
				d, _ := dispatcher.Submit(r, start)
				return d
			}
			for dispatcher.WaiterCount("books") == 0 {
				submit(c.waitingObjective)
			}
			must.Eq(t, c.verdict, submit(100*time.Millisecond).Verdict)
		})
	}
}
