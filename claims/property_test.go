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

// requestAttempt is one request of a caller and what happens to it.
type requestAttempt struct {
	StartMS, Instance, BodyNumber int  // attempts with equal BodyNumber have equal bodies
	CancelAfterMS                 int  // 0: the caller does not cancel
	PauseMS                       int  // time between the claim and the first byte
	RunMS                         int  // time that the backend server takes
	ReleaseUnsent                 bool // the claim is released without sending
	KillBeforeSend                bool // the instance is killed before the first byte is sent
	KillBeforeResponseStored      bool // the instance is killed before the response is stored
	ResponseLost                  bool // no response arrives from the backend server
	LargeResponse                 bool // the response exceeds MaxInlineResponseBytes
}

// scenario is a set of request attempts with the same idempotency key.
type scenario struct {
	Attempts []requestAttempt
	Faults   [][]callFault // of the first platform calls, by instance
}

const scenarioInstances = 3

func drawScenario(t *rapid.T) scenario {
	ms := func(label string, values ...int) *rapid.Generator[int] { return rapid.SampledFrom(values) }
	rarely := rapid.Custom(func(t *rapid.T) bool { return rapid.IntRange(0, 7).Draw(t, "1 in 8") == 7 })
	attempts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) requestAttempt {
		return requestAttempt{
			StartMS:                  rapid.IntRange(0, 3000).Draw(t, "at"),
			Instance:                 rapid.IntRange(0, scenarioInstances-1).Draw(t, "instance"),
			BodyNumber:               ms("body", 0, 0, 0, 1).Draw(t, "body"),
			CancelAfterMS:            ms("cancel", 0, 0, 0, 2, 4, 150, 1500).Draw(t, "cancel"),
			PauseMS:                  ms("pause", 0, 0, 0, 100, 4900, 5000, 20000).Draw(t, "pause"),
			RunMS:                    ms("run", 0, 10, 500, 3000).Draw(t, "run"),
			ReleaseUnsent:            rarely.Draw(t, "unsent"),
			KillBeforeSend:           rarely.Draw(t, "kill before send"),
			KillBeforeResponseStored: rarely.Draw(t, "kill before response stored"),
			ResponseLost:             rarely.Draw(t, "response lost"),
			LargeResponse:            rarely.Draw(t, "large response"),
		}
	}), 2, 8).Draw(t, "attempts")
	fault := rapid.Custom(func(t *rapid.T) callFault {
		kind := rapid.IntRange(0, 7).Draw(t, "fault")
		f := callFault{Delay: time.Duration(ms("", 0, 1, 30, 700, 1500).Draw(t, "delay")) * time.Millisecond}
		f.Unavailable = kind == 5
		f.LoseReply = kind == 6
		if kind == 7 {
			f.ApplyLate = time.Duration(ms("", 1, 40, 900, 3000, 30000).Draw(t, "late")) * time.Millisecond
		}
		return f
	})
	faults := rapid.SliceOfN(rapid.SliceOfN(fault, 0, 12), scenarioInstances, scenarioInstances).Draw(t, "faults")
	return scenario{Attempts: attempts, Faults: faults}
}

// scenarioRun is the state of a running scenario: the instances, the attempts that ran
// at the backend server and the violations found.
type scenarioRun struct {
	db                *memory.Store
	mu                sync.Mutex
	instances         []*instance
	bootCount         uint64
	ranAttempts       []int // indexes of the attempts that ran, in order
	responseUncertain bool  // an instance was killed or a response was lost
	violations        []string
}

// instance returns the running process of instance n. It starts a new process if there
// is none or it was killed.
func (r *scenarioRun) instance(n int) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instances[n] == nil || r.instances[n].link.killed.Load() {
		r.bootCount++
		r.instances[n] = newInstance(r.db, fmt.Sprint("entry-", n), r.bootCount)
	}
	return r.instances[n]
}

// fail records a violation.
func (r *scenarioRun) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordRan records that attempt n ran at the backend server.
func (r *scenarioRun) recordRan(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranAttempts = append(r.ranAttempts, n)
}

func (r *scenarioRun) kill(i *instance) {
	r.mu.Lock()
	r.responseUncertain = true
	r.mu.Unlock()
	i.kill()
}

// ran reports whether attempt n ran at the backend server.
func (r *scenarioRun) ran(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempt := range r.ranAttempts {
		if attempt == n {
			return true
		}
	}
	return false
}

func sleepMS(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }

// responseTo returns the backend server's response to an attempt.
func responseTo(n int, a requestAttempt) Response {
	body := fmt.Sprintf("response %d", n)
	if a.LargeResponse {
		body += strings.Repeat(".", MaxInlineResponseBytes)
	}
	return Response{Status: 201, Body: []byte(body)}
}

// send makes attempt n. It returns whether the caller is told that the request did not
// run.
func (r *scenarioRun) send(n int, a requestAttempt) (notRun bool) {
	i := r.instance(a.Instance)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.CancelAfterMS > 0 {
		defer time.AfterFunc(time.Duration(a.CancelAfterMS)*time.Millisecond+7*time.Microsecond, cancel).Stop()
	}
	claim, prior, err := i.Begin(ctx, orderRequest(fmt.Sprint(a.BodyNumber)))
	switch {
	case i.link.killed.Load():
		return false // the caller gets no response
	case err != nil:
		var unavailable *ClaimNotWrittenError
		return errors.As(err, &unavailable)
	case prior != nil:
		r.checkPriorClaim(n, a, prior)
		return false
	}
	sleepMS(a.PauseMS)
	if a.KillBeforeSend {
		r.kill(i)
		return false
	}
	if i.link.killed.Load() {
		return false
	}
	if a.ReleaseUnsent || !claim.MayStart(time.Now()) || claim.MarkSent(time.Now()) != nil {
		_ = claim.Release(ctx)
		return true
	}
	r.recordRan(n)
	sleepMS(a.RunMS)
	r.finish(ctx, n, a, i, claim)
	return false
}

// finish ends the claim of attempt n after the backend server has run the request.
func (r *scenarioRun) finish(ctx context.Context, n int, a requestAttempt, i *instance, claim *Claim) {
	switch {
	case i.link.killed.Load():
	case a.KillBeforeResponseStored:
		r.kill(i)
	case a.ResponseLost:
		r.mu.Lock()
		r.responseUncertain = true
		r.mu.Unlock()
		_ = claim.Abandon(ctx)
	default:
		_ = claim.Complete(ctx, responseTo(n, a))
	}
}

// checkPriorClaim records a violation if the stored response of a prior claim does not
// belong to an attempt that ran.
func (r *scenarioRun) checkPriorClaim(n int, a requestAttempt, p *PriorClaim) {
	if p.Decision != DecisionStoredResponse {
		return
	}
	var number int
	_, err := fmt.Sscanf(string(p.Response.Body), "response %d", &number)
	if err != nil || !r.ran(number) {
		r.fail("attempt %d got a stored response of no attempt that ran: %.20q", n, p.Response.Body)
	}
}

// run makes the attempts of the scenario, ends all platform faults and sends the request
// once more.
func (s scenario) run(r *scenarioRun) {
	r.instances = make([]*instance, scenarioInstances)
	for n, faults := range s.Faults {
		r.instance(n).link.setFaults(callFault{}, faults...)
	}
	notRun := make([]bool, len(s.Attempts))
	var wg sync.WaitGroup
	for n, a := range s.Attempts {
		wg.Go(func() {
			sleepMS(a.StartMS)
			time.Sleep(time.Duration(n) * 37 * time.Microsecond) // so that no two attempts start at the same virtual time
			notRun[n] = r.send(n, a)
		})
	}
	wg.Wait()
	time.Sleep(2 * DefaultRetryTimeout)
	for n, toldNotRun := range notRun {
		if toldNotRun && r.ran(n) {
			r.fail("attempt %d ran, but its caller was told that it did not", n)
		}
	}
	for n := range r.instances {
		r.instance(n).link.setFaults(callFault{})
	}
	r.checkFinalRequest(s)
	for n := range r.instances {
		r.instance(n).kill()
	}
}

// checkFinalRequest sends the request again after all faults have ended, and checks that
// it ran at most once in total. If no instance was killed and no response was lost, the
// caller must get a claim or the stored response.
func (r *scenarioRun) checkFinalRequest(s scenario) {
	body := 0
	runs := len(r.ranAttempts)
	if runs > 0 {
		body = s.Attempts[r.ranAttempts[0]].BodyNumber
	}
	claim, prior, err := r.instance(0).Begin(context.Background(), orderRequest(fmt.Sprint(body)))
	if claim != nil {
		runs++
	}
	if runs > 1 {
		r.fail("request ran or may run %d times: attempts %v, final claim %v", runs, r.ranAttempts, claim != nil)
	}
	if r.responseUncertain {
		return
	}
	stored := prior != nil && prior.Decision == DecisionStoredResponse
	if claim == nil && !stored {
		r.fail("after recovery the caller got prior claim %v and error %v, but attempts %v ran", prior, err, r.ranAttempts)
	}
}

// Guards against a request that runs twice and against callers that are wrongly told
// that their request did not run. Instances are killed and pause, replies are lost,
// writes are applied late, and callers cancel and repeat requests.
func TestAtMostOnceWithRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		r := &scenarioRun{db: memory.New()}
		synctest.Test(t, func(*testing.T) { s.run(r) })
		must.Eq(rt, "", strings.Join(r.violations, "\n"))
	})
}
