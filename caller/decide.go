package caller

import (
	"time"

	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// outcome is the result of one attempt without an answer.
type outcome struct {
	err error
	ran problem.Ran
	// problem is set if the instance gave a problem document.
	problem *problem.Document
}

// verdict says what to do after a failed attempt.
type verdict int

const (
	// giveUp: no attempt can help.
	giveUp verdict = iota
	// tryNext: another instance may answer.
	tryNext
	// waitAll: every instance would answer the same until some time has passed.
	waitAll
)

// decision is a verdict with its consequences for the instance.
type decision struct {
	verdict verdict
	// avoid: other requests should not start with this instance either.
	avoid bool
}

// decide judges a failed attempt. A non-idempotent request always carries an
// idempotency key, so sending it again cannot run it twice; it is sent again
// unless that cannot bring an answer.
func decide(o outcome, idempotent bool) decision {
	if o.problem == nil {
		return decision{verdict: tryNext, avoid: o.ran == problem.RanNo}
	}
	switch o.problem.Type {
	case problem.TypeDraining, problem.TypeNotReady:
		return decision{verdict: tryNext, avoid: true}
	case problem.TypeRateExceeded, problem.TypeClaimInProgress:
		return decision{verdict: waitAll}
	case problem.TypeOverloaded, problem.TypeNoServer, problem.TypeKeyStale,
		problem.TypeClaimUnavailable, problem.TypePlatformUnavailable:
		return ifMayRepeat(o, idempotent)
	case problem.TypeBackendFailed, problem.TypeAnswerIncomplete, problem.TypeInternal:
		return ifMayRepeat(o, idempotent)
	default:
		return decision{verdict: giveUp}
	}
}

// ifMayRepeat gives up a non-idempotent request that may have run: its claim is
// taken, and no instance will run it again.
func ifMayRepeat(o outcome, idempotent bool) decision {
	if !idempotent && o.ran != problem.RanNo {
		return decision{verdict: giveUp}
	}
	return decision{verdict: tryNext}
}

// Pauses before an instance is tried again that gave no Retry-After.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// pause returns the time to wait after the nth attempt.
func pause(o outcome, n int) time.Duration {
	if o.problem != nil && o.problem.RetryAfter > 0 {
		return o.problem.RetryAfter
	}
	return min(firstPause<<min(n, 10), maxPause)
}

// plan holds what one request learned about the instances.
type plan struct {
	tries     map[string]int
	notBefore map[string]time.Time
	// allNotBefore applies to every instance.
	allNotBefore time.Time
}

func newPlan() *plan {
	return &plan{tries: make(map[string]int), notBefore: make(map[string]time.Time)}
}

// candidate is an instance with the reasons for its place in the order.
type candidate struct {
	instance lookup.Instance
	wait     time.Duration
	tries    int
	avoided  bool
}

// before reports whether a comes before b. Instances that need no wait come
// first, then those tried less often, then those not to avoid; equal ones keep
// the order of the look-up.
func (a candidate) before(b candidate) bool {
	if (a.wait > 0) != (b.wait > 0) {
		return b.wait > 0
	}
	if a.tries != b.tries {
		return a.tries < b.tries
	}
	if a.avoided != b.avoided {
		return b.avoided
	}
	return a.wait < b.wait
}

// pick returns the next instance and the time to wait before it may be used.
// instances is not empty.
func (p *plan) pick(instances []lookup.Instance, avoided func(string) bool, now time.Time) (lookup.Instance, time.Duration) {
	var best candidate
	for i, instance := range instances {
		c := candidate{
			instance: instance,
			wait:     p.wait(instance.Name, now),
			tries:    p.tries[instance.Name],
			avoided:  avoided(instance.Name),
		}
		if i == 0 || c.before(best) {
			best = c
		}
	}
	return best.instance, best.wait
}

func (p *plan) wait(name string, now time.Time) time.Duration {
	until := p.notBefore[name]
	if p.allNotBefore.After(until) {
		until = p.allNotBefore
	}
	return max(until.Sub(now), 0)
}

// failed records a failed attempt.
func (p *plan) failed(name string, o outcome, d decision, now time.Time) {
	until := now.Add(pause(o, p.tries[name]))
	p.tries[name]++
	if d.verdict == waitAll {
		p.allNotBefore = until
		return
	}
	p.notBefore[name] = until
}
