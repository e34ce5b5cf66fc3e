package fairqueue

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func reason(err error) Reason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// Guards against a customer that slows the others by sending several times what
// the instance can serve.
func TestHeavyCustomerDoesNotSlowOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service = 20 * time.Millisecond
		l := NewLimiter(Bounds{MaxInFlight: 4, MaxWaitingPerCustomer: 100, MaxWaiting: 200, MaxWait: time.Second})
		var wait sync.WaitGroup
		request := func(customer string, bound time.Duration) {
			sent := time.Now()
			release, err := l.Acquire(t.Context(), customer, 1, 1)
			if waited := time.Since(sent); bound > 0 && (err != nil || waited > bound) {
				t.Errorf("%s waited %s, error %v", customer, waited, err)
			}
			if err != nil {
				return
			}
			time.Sleep(service)
			release()
		}
		for i := range 1000 { // five times the capacity for one second
			wait.Go(func() { request("heavy", 0) })
			time.Sleep(time.Millisecond)
			if i%25 == 0 {
				wait.Go(func() { request("light", service) })
			}
		}
		wait.Wait()
		inProgress, waiting := l.Counts()
		must.Eq(t, 0, inProgress+waiting)
	})
}

// Guards against permits that leak when waiters are canceled, time out or are
// granted at the moment at which they give up.
func TestCancellationLeaksNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const permits = 3
		l := NewLimiter(Bounds{MaxInFlight: permits, MaxWaitingPerCustomer: 20, MaxWaiting: 40, MaxWait: 30 * time.Millisecond})
		r := rand.New(rand.NewPCG(1, 1))
		var wait sync.WaitGroup
		for i := range 2000 {
			// Whole multiples of 10 ms make grants and cancellations coincide.
			timeout := time.Duration(1+r.IntN(4)) * 10 * time.Millisecond
			customer := string(rune('a' + i%4))
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				release, err := l.Acquire(ctx, customer, 1, 1)
				if err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				release()
				release()
			})
			if i%8 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		wait.Wait()
		inProgress, waiting := l.Counts()
		must.Eq(t, 0, inProgress)
		must.Eq(t, 0, waiting)
		for range permits {
			_, err := l.Acquire(t.Context(), "a", 1, 1)
			must.NoError(t, err)
		}
	})
}

// Guards against untyped errors, waits beyond the bound, and requests that are
// left without an answer.
func TestAcquireErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(Bounds{MaxInFlight: 1, MaxWaitingPerCustomer: 2, MaxWaiting: 2, MaxWait: time.Second})
		release, err := l.Acquire(t.Context(), "a", 1, 1)
		must.NoError(t, err)

		ended, cancel := context.WithCancel(t.Context())
		cancel()
		var canceled *CanceledError
		_, err = l.Acquire(ended, "a", 1, 1)
		must.True(t, errors.As(err, &canceled) && errors.Is(err, context.Canceled))

		sent := time.Now()
		_, err = l.Acquire(t.Context(), "a", 1, 1)
		must.Eq(t, ReasonWaitedTooLong, reason(err))
		must.Eq(t, time.Second, time.Since(sent))

		displaced := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := l.Acquire(t.Context(), "a", 1, 1)
				displaced <- err
			}()
		}
		synctest.Wait()
		go func() {
			release, err := l.Acquire(t.Context(), "b", 1, 1)
			if err == nil {
				release()
			}
		}()
		must.Eq(t, ReasonDisplaced, reason(<-displaced))
		release()
		must.NoError(t, <-displaced)
		inProgress, waiting := l.Counts()
		must.Eq(t, 1, inProgress)
		must.Eq(t, 0, waiting)
	})
}

// Guards against waiters that stay when a raised bound makes room for them.
func TestRaisedBoundGrantsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bounds := Bounds{MaxInFlight: 1, MaxWaitingPerCustomer: 2, MaxWaiting: 2, MaxWait: time.Second}
		l := NewLimiter(bounds)
		for range 2 {
			go func() { _, _ = l.Acquire(t.Context(), "a", 1, 1) }()
		}
		synctest.Wait()
		bounds.MaxInFlight = 2
		l.SetBounds(bounds)
		inProgress, waiting := l.Counts()
		must.Eq(t, 2, inProgress)
		must.Eq(t, 0, waiting)
	})
}
