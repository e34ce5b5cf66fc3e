package caller

import (
	"time"

	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// attemptFailure describes an attempt that returned no response for the caller.
type attemptFailure struct {
	err error
	ran problem.RunStatus // whether the request may have run at a backend server
	// problem is the problem document of the entry instance; nil if it sent none.
	problem *problem.Document
}

// verdict says how a request proceeds after a failed attempt.
type verdict int

const (
	// verdictGiveUp fails the request, since no other attempt can succeed.
	verdictGiveUp verdict = iota
	// verdictTryNext sends the request to another instance, which may succeed.
	verdictTryNext
	// verdictWaitAll waits before the next attempt at any instance, since all of
	// them would reject the request until then.
	verdictWaitAll
)

// decision is a verdict on the request, and whether its instance is avoided.
type decision struct {
	verdict verdict
	// avoidInstance moves the instance to the end of the list for other requests too.
	avoidInstance bool
}

// decideRetry decides what follows a failed attempt. A non-idempotent request always
// carries an idempotency key, so sending it again cannot run it twice. It is sent
// again unless another attempt cannot return a response.
func decideRetry(f attemptFailure, idempotent bool) decision {
	if f.problem == nil {
		return decision{verdict: verdictTryNext, avoidInstance: f.ran == problem.DidNotRun}
	}
	switch f.problem.Type {
	case problem.TypeDraining, problem.TypeNotReady:
		return decision{verdict: verdictTryNext, avoidInstance: true}
	case problem.TypeRateExceeded, problem.TypeClaimInProgress:
		return decision{verdict: verdictWaitAll}
	case problem.TypeOverloaded, problem.TypeNoBackendServer, problem.TypeKeyDataStale,
		problem.TypeClaimStoreUnavailable, problem.TypePlatformUnavailable:
		return retryIfSafe(f, idempotent)
	case problem.TypeBackendFailed, problem.TypeAnswerIncomplete, problem.TypeInternal:
		return retryIfSafe(f, idempotent)
	default:
		return decision{verdict: verdictGiveUp}
	}
}

// retryIfSafe gives up a non-idempotent request that may have run: the claim on its
// idempotency key is taken, and no entry instance runs it again.
func retryIfSafe(f attemptFailure, idempotent bool) decision {
	if !idempotent && f.ran != problem.DidNotRun {
		return decision{verdict: verdictGiveUp}
	}
	return decision{verdict: verdictTryNext}
}

// Exponential backoff before another attempt when the instance sent no Retry-After
// header.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// backoff returns the wait after a failed attempt: the Retry-After of the instance,
// or an exponential backoff for an instance with n earlier failures.
func backoff(f attemptFailure, n int) time.Duration {
	if f.problem != nil && f.problem.RetryAfter > 0 {
		return f.problem.RetryAfter
	}
	return min(initialBackoff<<min(n, 10), maxBackoff)
}

// instanceSelector picks the entry instance of each attempt of one request from the
// failures of its earlier attempts.
type instanceSelector struct {
	failures  map[string]int       // failed attempts by instance name
	notBefore map[string]time.Time // earliest time of the next attempt by instance name
	// allNotBefore is the earliest time of the next attempt at any instance.
	allNotBefore time.Time
}

func newInstanceSelector() *instanceSelector {
	return &instanceSelector{failures: make(map[string]int), notBefore: make(map[string]time.Time)}
}

// candidate is an entry instance with the criteria that rank it.
type candidate struct {
	instance lookup.Instance
	wait     time.Duration // before the instance may be used
	failures int           // failed attempts of this request
	avoided  bool          // see cachedLookup.avoided
}

// preferredTo reports whether a is a better choice than b. Instances that need no
// wait are preferred, then those with fewer failures, then those that are not avoided,
// then those with the shorter wait. Equal instances keep the order of the look-up
// answer.
func (a candidate) preferredTo(b candidate) bool {
	if (a.wait > 0) != (b.wait > 0) {
		return b.wait > 0
	}
	if a.failures != b.failures {
		return a.failures < b.failures
	}
	if a.avoided != b.avoided {
		return b.avoided
	}
	return a.wait < b.wait
}

// pick returns the instance of the next attempt and the wait before it may be used.
// instances must not be empty.
func (s *instanceSelector) pick(instances []lookup.Instance, avoided func(string) bool, now time.Time) (lookup.Instance, time.Duration) {
	var best candidate
	for i, instance := range instances {
		c := candidate{
			instance: instance,
			wait:     s.waitBefore(instance.Name, now),
			failures: s.failures[instance.Name],
			avoided:  avoided(instance.Name),
		}
		if i == 0 || c.preferredTo(best) {
			best = c
		}
	}
	return best.instance, best.wait
}

func (s *instanceSelector) waitBefore(name string, now time.Time) time.Duration {
	until := s.notBefore[name]
	if s.allNotBefore.After(until) {
		until = s.allNotBefore
	}
	return max(until.Sub(now), 0)
}

// recordFailure records a failed attempt at an instance and sets the earliest time of
// the next one, at this instance or at all of them.
func (s *instanceSelector) recordFailure(name string, f attemptFailure, d decision, now time.Time) {
	until := now.Add(backoff(f, s.failures[name]))
	s.failures[name]++
	if d.verdict == verdictWaitAll {
		s.allNotBefore = until
		return
	}
	s.notBefore[name] = until
}
