package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Instances that restart again and again must not use the slack of a retry budget more than once.
func TestRestartsDoNotReopenTheRetryBudget(t *testing.T) {
	policy := RetryBudgetPolicy{Ratio: 0.2, Window: 10 * time.Second, Slack: 60}
	const (
		members  = 6
		lifetime = 2 * time.Second
		interval = 100 * time.Millisecond // between requests of an instance, all of which need retries
		length   = 40 * time.Second
	)
	for _, restarting := range []time.Duration{0, 8 * time.Second, 25 * time.Second} {
		var requests, retries []time.Duration
		for member := range members {
			rng := rand.New(rand.NewPCG(uint64(member), uint64(restarting)))
			dispatcher, _ := newTestDispatcher(t, 4, "a")
			dispatcher.SetMembers(members)
			bornAt := time.Duration(0)
			for at := time.Duration(rng.Int64N(int64(interval))); at < length; at += interval {
				if at >= restarting && at-bornAt >= lifetime {
					dispatcher, _ = newTestDispatcher(t, 4, "a")
					dispatcher.SetMembers(members)
					bornAt = at
				}
				now := start.Add(at)
				dispatcher.CountRequest("books", now)
				requests = append(requests, at)
				for dispatcher.TakeRetry("books", policy, now) {
					retries = append(retries, at)
				}
			}
		}
		within := func(times []time.Duration, from time.Duration) (n int) {
			for _, at := range times {
				if at >= from && at < from+policy.Window {
					n++
				}
			}
			return n
		}
		must.Positive(t, len(retries))
		for from := time.Duration(0); from <= length-policy.Window; from += interval {
			allowed := policy.Ratio*float64(within(requests, from)) + policy.Slack
			must.LessEq(t, allowed, float64(within(retries, from)), must.Sprintf("retries from %s, restarts from %s", from, restarting))
		}
	}
}

// An instance that keeps running must be able to use its part of the slack, so that services with
// few requests are retried.
func TestRetrySlackIsAvailableAfterTheFirstWindow(t *testing.T) {
	policy := RetryBudgetPolicy{Ratio: 0.2, Window: 10 * time.Second, Slack: 60}
	dispatcher, _ := newTestDispatcher(t, 4, "a")
	dispatcher.SetMembers(6)
	dispatcher.CountRequest("books", start)
	must.False(t, dispatcher.TakeRetry("books", policy, start.Add(policy.Window)))
	retries := 0
	for dispatcher.TakeRetry("books", policy, start.Add(policy.Window+time.Second)) {
		retries++
	}
	must.Eq(t, 7, retries) // 0.7 of a sixth of 60

	first, _ := newTestDispatcher(t, 4, "a")
	first.SetBootstrap()
	first.CountRequest("books", start)
	must.True(t, first.TakeRetry("books", policy, start))
}
