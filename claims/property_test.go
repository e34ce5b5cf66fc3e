package claims

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// attempt is one request that a caller sends. All times are in milliseconds.
type attempt struct {
	At, Instance, Body int
	CancelAfter        int // 0: never
	Pause              int // of the claimant before the first byte
	Run                int // of the backend server
	Unsent             bool
	DieBefore          bool // the instance dies before the first byte
	DieAfter           bool // the instance dies before the outcome is stored
	Lost               bool // the response never arrives
	Large              bool // the outcome goes to the object store
}

// scenario is a set of attempts with one idempotency key.
type scenario struct {
	Attempts []attempt
	Faults   [][]callFault // of each instance's first calls
}

const scenarioInstances = 3

func drawScenario(t *rapid.T) scenario {
	ms := func(label string, values ...int) *rapid.Generator[int] { return rapid.SampledFrom(values) }
	rarely := rapid.Custom(func(t *rapid.T) bool { return rapid.IntRange(0, 7).Draw(t, "1 in 8") == 7 })
	attempts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) attempt {
		return attempt{
			At:          rapid.IntRange(0, 3000).Draw(t, "at"),
			Instance:    rapid.IntRange(0, scenarioInstances-1).Draw(t, "instance"),
			Body:        ms("body", 0, 0, 0, 1).Draw(t, "body"),
			CancelAfter: ms("cancel", 0, 0, 0, 2, 4, 150, 1500).Draw(t, "cancel"),
			Pause:       ms("pause", 0, 0, 0, 100, 4900, 5000, 20000).Draw(t, "pause"),
			Run:         ms("run", 0, 10, 500, 3000).Draw(t, "run"),
			Unsent:      rarely.Draw(t, "unsent"),
			DieBefore:   rarely.Draw(t, "die before"),
			DieAfter:    rarely.Draw(t, "die after"),
			Lost:        rarely.Draw(t, "lost"),
			Large:       rarely.Draw(t, "large"),
		}
	}), 2, 8).Draw(t, "attempts")
	fault := rapid.Custom(func(t *rapid.T) callFault {
		kind := rapid.IntRange(0, 7).Draw(t, "fault")
		f := callFault{Delay: time.Duration(ms("", 0, 1, 30, 700, 1500).Draw(t, "delay")) * time.Millisecond}
		f.Down = kind == 5
		f.Lose = kind == 6
		if kind == 7 {
			f.Late = time.Duration(ms("", 1, 40, 900, 3000, 30000).Draw(t, "late")) * time.Millisecond
		}
		return f
	})
	faults := rapid.SliceOfN(rapid.SliceOfN(fault, 0, 12), scenarioInstances, scenarioInstances).Draw(t, "faults")
	return scenario{Attempts: attempts, Faults: faults}
}

// world runs a scenario and records what the backend server and callers saw.
type world struct {
	db        *memory.Store
	mu        sync.Mutex
	instances []*instance
	boots     uint64
	executed  []int // attempts that ran
	disturbed bool  // an instance died or a response was lost
	violation []string
}

func (w *world) instance(n int) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instances[n] == nil || w.instances[n].link.dead.Load() {
		w.boots++
		w.instances[n] = newInstance(w.db, fmt.Sprint("entry-", n), w.boots)
	}
	return w.instances[n]
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violation = append(w.violation, fmt.Sprintf(format, args...))
}

func (w *world) execute(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executed = append(w.executed, n)
}

func (w *world) die(i *instance) {
	w.mu.Lock()
	w.disturbed = true
	w.mu.Unlock()
	i.kill()
}

func (w *world) ran(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.executed {
		if e == n {
			return true
		}
	}
	return false
}

func sleepMS(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }

// responseTo returns the backend server's response to an attempt.
func responseTo(n int, a attempt) Response {
	body := fmt.Sprintf("response %d", n)
	if a.Large {
		body += strings.Repeat(".", MaxInlineResponseBytes)
	}
	return Response{Status: 201, Body: []byte(body)}
}

// send runs one attempt. It returns whether the caller is told "not run".
func (w *world) send(n int, a attempt) (notRun bool) {
	i := w.instance(a.Instance)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.CancelAfter > 0 {
		defer time.AfterFunc(time.Duration(a.CancelAfter)*time.Millisecond+7*time.Microsecond, cancel).Stop()
	}
	claim, prior, err := i.Begin(ctx, order(fmt.Sprint(a.Body)))
	switch {
	case i.link.dead.Load():
		return false // nobody answers the caller
	case err != nil:
		var unavailable *ClaimNotWrittenError
		return errors.As(err, &unavailable)
	case prior != nil:
		w.checkPrior(n, a, prior)
		return false
	}
	sleepMS(a.Pause)
	if a.DieBefore {
		w.die(i)
		return false
	}
	if i.link.dead.Load() {
		return false
	}
	if a.Unsent || !claim.MayStart(time.Now()) || claim.MarkSent(time.Now()) != nil {
		_ = claim.Release(ctx)
		return true
	}
	w.execute(n)
	sleepMS(a.Run)
	w.finish(ctx, n, a, i, claim)
	return false
}

func (w *world) finish(ctx context.Context, n int, a attempt, i *instance, claim *Claim) {
	switch {
	case i.link.dead.Load():
	case a.DieAfter:
		w.die(i)
	case a.Lost:
		w.mu.Lock()
		w.disturbed = true
		w.mu.Unlock()
		_ = claim.Abandon(ctx)
	default:
		_ = claim.Complete(ctx, responseTo(n, a))
	}
}

// checkPrior fails when a stored response is not that of the execution.
func (w *world) checkPrior(n int, a attempt, p *PriorClaim) {
	if p.Decision != DecisionStoredResponse {
		return
	}
	var number int
	_, err := fmt.Sscanf(string(p.Response.Body), "response %d", &number)
	if err != nil || !w.ran(number) {
		w.fail("attempt %d got a response that does not exist: %.20q", n, p.Response.Body)
	}
}

// run plays the scenario, heals the platform and sends the request once more.
func (s scenario) run(w *world) {
	w.instances = make([]*instance, scenarioInstances)
	for n, faults := range s.Faults {
		w.instance(n).link.set(callFault{}, faults...)
	}
	notRun := make([]bool, len(s.Attempts))
	var wg sync.WaitGroup
	for n, a := range s.Attempts {
		wg.Go(func() {
			sleepMS(a.At)
			time.Sleep(time.Duration(n) * 37 * time.Microsecond) // no ties
			notRun[n] = w.send(n, a)
		})
	}
	wg.Wait()
	time.Sleep(2 * DefaultRetryTimeout)
	for n, told := range notRun {
		if told && w.ran(n) {
			w.fail("attempt %d was told \"not run\" and ran", n)
		}
	}
	for n := range w.instances {
		w.instance(n).link.set(callFault{})
	}
	w.checkLast(s)
	for n := range w.instances {
		w.instance(n).kill()
	}
}

// checkLast resends when everything is healthy again. Without deaths and lost
// responses, the answer must be exact.
func (w *world) checkLast(s scenario) {
	body := 0
	before := len(w.executed)
	if before > 0 {
		body = s.Attempts[w.executed[0]].Body
	}
	claim, prior, err := w.instance(0).Begin(context.Background(), order(fmt.Sprint(body)))
	if claim != nil {
		before++
	}
	if before > 1 {
		w.fail("%d executions: attempts %v, and a last claim: %v", before, w.executed, claim != nil)
	}
	if w.disturbed {
		return
	}
	stored := prior != nil && prior.Decision == DecisionStoredResponse
	if claim == nil && !stored {
		w.fail("after recovery the caller gets prior %v, error %v with executions %v", prior, err, w.executed)
	}
}

// Guards against a second execution of an order and against false "not run"
// replies, over instances that die, pause and lose replies, delayed writes,
// cancelled callers and resends.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		w := &world{db: memory.New()}
		synctest.Test(t, func(*testing.T) { s.run(w) })
		must.Eq(rt, "", strings.Join(w.violation, "\n"))
	})
}
