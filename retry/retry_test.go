package retry

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func denialOf(err error) Denial {
	var denied *DeniedError
	if errors.As(err, &denied) {
		return denied.Denial
	}
	return 0
}

// A request that may not run twice must not be retried, nor one whose retry cannot
// succeed.
func TestCheckRetryable(t *testing.T) {
	retryable := Attempt{Number: 1, Idempotent: true, BodyReplayable: true, Failure: FailureConnectionReset}
	cases := []struct {
		name   string
		change func(a *Attempt)
		want   Denial
	}{
		{"idempotent", func(*Attempt) {}, 0},
		{"not idempotent", func(a *Attempt) { a.Idempotent = false }, DenialMayHaveRun},
		{"not idempotent, shed by the server", func(a *Attempt) { a.Idempotent = false; a.Failure = FailureShed }, DenialMayHaveRun},
		{"not idempotent, not sent", func(a *Attempt) { a.Idempotent = false; a.NotSent = true }, 0},
		{"response started", func(a *Attempt) { a.ResponseStarted = true }, DenialResponseStarted},
		{"body not replayable", func(a *Attempt) { a.BodyReplayable = false }, DenialBodyNotReplayable},
		{"body not replayable, not sent", func(a *Attempt) { a.BodyReplayable = false; a.NotSent = true }, 0},
		{"caller disconnected", func(a *Attempt) { a.Failure = FailureCallerDisconnected; a.NotSent = true }, DenialFailureNotRetryable},
		{"server error", func(a *Attempt) { a.Failure = FailureServerError }, DenialFailureNotRetryable},
		{"timeout", func(a *Attempt) { a.Failure = FailureTimeout }, DenialFailureNotRetryable},
		{"bad gateway", func(a *Attempt) { a.Failure = FailureBadGateway }, 0},
		{"suspected of crashing servers", func(a *Attempt) { a.Suspect = true }, DenialSuspect},
		{"last attempt", func(a *Attempt) { a.Number = MaxAttempts }, DenialMaxAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := retryable
			c.change(&a)
			must.Eq(t, c.want, denialOf(a.CheckRetryable()))
		})
	}
}

// Retries must not multiply the load: in each window of ten seconds they stay within
// 10% of the requests or one per second, whichever is more. The budget must allow
// every retry within this limit.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudgets(0, 0)
		var requests, retries []time.Duration
		inWindow := func(times []time.Duration, now time.Duration) int {
			n := 0
			for _, at := range times {
				if at.Truncate(time.Second) > now.Truncate(time.Second)-windowSeconds*time.Second {
					n++
				}
			}
			return n
		}
		now := time.Duration(0)
		b.RecordRequest("c", "s", epoch)
		requests = append(requests, 0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 80).Draw(rt, "requests") {
				b.RecordRequest("c", "s", epoch.Add(now))
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 30).Draw(rt, "failures") {
				maxRetries := max(windowSeconds, float64(inWindow(requests, now))/10)
				within := float64(inWindow(retries, now)+1) <= maxRetries
				if allowed := b.TakeRetry("c", "s", epoch.Add(now)); allowed != within {
					rt.Fatalf("retry allowed: %v, want %v at %s", allowed, within, now)
				} else if allowed {
					retries = append(retries, now)
				}
			}
		}
	})
}

// A customer must not exhaust the budget of another customer or service, and idle
// budgets must be deleted.
func TestBudgetsAreIndependent(t *testing.T) {
	b := NewBudgets(0, 0)
	for b.TakeRetry("c", "s", epoch) {
	}
	must.True(t, b.TakeRetry("other", "s", epoch))
	must.True(t, b.TakeRetry("c", "other", epoch))
	b.RemoveIdle(epoch.Add(idleTimeout))
	must.MapEmpty(t, b.budgets)
}

// A retry whose response would arrive after the deadline must be denied, and only a
// request that was not sent is retried without a wait.
func TestNextRetry(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	hop := Hop{RoundTrip: 20 * time.Millisecond, MinProcessing: 10 * time.Millisecond}
	a := Attempt{Number: 1, Idempotent: true, BodyReplayable: true, Failure: FailureConnectionReset}
	wait, err := NewBudgets(0, 0).NextRetry(a, hop, epoch, rng)
	must.NoError(t, err)
	must.Between(t, baseBackoff/2, wait, baseBackoff)

	a.Deadline = NewDeadline(epoch, 40*time.Millisecond, 0)
	_, err = NewBudgets(0, 0).NextRetry(a, hop, epoch, rng)
	must.Eq(t, DenialDeadlineTooClose, denialOf(err))

	a.NotSent = true
	wait, err = NewBudgets(0, 0).NextRetry(a, hop, epoch, rng)
	must.NoError(t, err)
	must.Eq(t, 0, wait)

	b := NewBudgets(0, 0)
	for b.TakeRetry("", "", epoch) {
	}
	_, err = b.NextRetry(a, hop, epoch, rng)
	must.Eq(t, DenialBudgetExhausted, denialOf(err))
}

// Waits must be random, so that retries do not synchronize, and within their bounds.
func TestBackoff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for attempt := range 70 {
		wait := Backoff(attempt, rng)
		must.Between(t, baseBackoff/2, wait, maxBackoff)
		seen[wait] = true
	}
	must.Greater(t, 60, len(seen))
}

// The timeout sent to the next process must be less than the time that remains here,
// and the request must not be sent if no time remains to return the response.
func TestHopTimeoutShrinks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 300).Draw(rt, name)) * time.Millisecond
		}
		hop := Hop{RoundTrip: ms("round trip"), MinProcessing: ms("work")}
		remaining, elapsed := ms("remaining")+time.Millisecond, ms("elapsed")
		d := NewDeadline(epoch, remaining, 0)
		sent, err := d.HopTimeout(epoch.Add(elapsed), hop)
		var late *DeadlineError
		if errors.As(err, &late) {
			must.Eq(rt, remaining-elapsed, late.Remaining)
			must.Less(rt, late.Needed, late.Remaining)
			return
		}
		must.NoError(rt, err)
		if sent <= 0 || sent+elapsed+hop.RoundTrip > remaining || sent < hop.MinProcessing {
			rt.Fatalf("sent %s of %s after %s, hop %+v", sent, remaining, elapsed, hop)
		}
	})
}

// A caller must not extend the timeout of the route, and without timeouts there must
// be no deadline.
func TestNewDeadline(t *testing.T) {
	left, ok := NewDeadline(epoch, time.Hour, time.Second).Remaining(epoch)
	must.True(t, ok)
	must.Eq(t, time.Second, left)
	left, _ = NewDeadline(epoch, 0, time.Second).Remaining(epoch)
	must.Eq(t, time.Second, left)
	_, ok = NewDeadline(epoch, 0, 0).Remaining(epoch)
	must.False(t, ok)
	sent, err := NewDeadline(epoch, 0, 0).HopTimeout(epoch, Hop{})
	must.NoError(t, err)
	must.Eq(t, 0, sent)
}

// A hedge must not be sent for a request that may not run twice, that is not slow, or
// whose budget is exhausted.
func TestHedge(t *testing.T) {
	slow := Hedge{
		Idempotent: true, BodyReplayable: true, Copies: 1,
		LatencyP95: 100 * time.Millisecond, Elapsed: 100 * time.Millisecond,
	}
	cases := []struct {
		name   string
		change func(h *Hedge)
		want   Denial
	}{
		{"slow", func(*Hedge) {}, 0},
		{"not idempotent", func(h *Hedge) { h.Idempotent = false }, DenialMayHaveRun},
		{"suspected of crashing servers", func(h *Hedge) { h.Suspect = true }, DenialSuspect},
		{"body not replayable", func(h *Hedge) { h.BodyReplayable = false }, DenialBodyNotReplayable},
		{"two copies", func(h *Hedge) { h.Copies = 2 }, DenialMaxAttempts},
		{"not slow yet", func(h *Hedge) { h.Elapsed-- }, DenialHedgeTooEarly},
		{"latency unknown", func(h *Hedge) { h.LatencyP95 = 0 }, DenialHedgeTooEarly},
		{"deadline too close", func(h *Hedge) { h.Deadline = NewDeadline(epoch, 50*time.Millisecond, 0) }, DenialDeadlineTooClose},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := slow
			c.change(&h)
			must.Eq(t, c.want, denialOf(NewBudgets(0, 0).TakeHedge(h, Hop{}, epoch)))
		})
	}
	b := NewBudgets(0, 0)
	for range windowSeconds {
		must.NoError(t, b.TakeHedge(slow, Hop{}, epoch))
	}
	must.Eq(t, DenialBudgetExhausted, denialOf(b.TakeHedge(slow, Hop{}, epoch)))
}
