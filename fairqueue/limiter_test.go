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

func rejectionReason(err error) Reason {
	var rejected *RefusedError
	if errors.As(err, &rejected) {
		return rejected.Reason
	}
	return ""
}

// A customer that sends several times the capacity of the instance must not delay
// the requests of others.
func TestHeavyCustomerDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const serviceTime = 20 * time.Millisecond
		l := NewLimiter(Bounds{MaxInFlight: 4, MaxWaitingPerCustomer: 100, MaxWaiting: 200, MaxWait: time.Second})
		var wait sync.WaitGroup
		request := func(customer string, maxWait time.Duration) {
			sent := time.Now()
			release, err := l.Acquire(t.Context(), customer, 1, 1)
			if waited := time.Since(sent); maxWait > 0 && (err != nil || waited > maxWait) {
				t.Errorf("customer %s waited %s, error %v", customer, waited, err)
			}
			if err != nil {
				return
			}
			time.Sleep(serviceTime)
			release()
		}
		for i := range 1000 { // five times the capacity, for one second
			wait.Go(func() { request("heavy", 0) })
			time.Sleep(time.Millisecond)
			if i%25 == 0 {
				wait.Go(func() { request("light", serviceTime) })
			}
		}
		wait.Wait()
		inFlight, waiting := l.Counts()
		must.Eq(t, 0, inFlight+waiting)
	})
}

// Requests must not stay counted as in flight or waiting when waiters are canceled,
// time out, or are admitted at the same moment as they are canceled.
func TestCancellationReleasesCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxInFlight = 3
		l := NewLimiter(Bounds{MaxInFlight: maxInFlight, MaxWaitingPerCustomer: 20, MaxWaiting: 40, MaxWait: 30 * time.Millisecond})
		r := rand.New(rand.NewPCG(1, 1))
		var wait sync.WaitGroup
		for i := range 2000 {
			// Multiples of 10 ms make admissions and cancellations coincide.
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
		inFlight, waiting := l.Counts()
		must.Eq(t, 0, inFlight)
		must.Eq(t, 0, waiting)
		for range maxInFlight {
			_, err := l.Acquire(t.Context(), "a", 1, 1)
			must.NoError(t, err)
		}
	})
}

// Acquire must return typed errors, wait no longer than MaxWait, and return for
// every request, including displaced ones.
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
		must.Eq(t, ReasonWaitedTooLong, rejectionReason(err))
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
		must.Eq(t, ReasonDisplaced, rejectionReason(<-displaced))
		release()
		must.NoError(t, <-displaced)
		inFlight, waiting := l.Counts()
		must.Eq(t, 1, inFlight)
		must.Eq(t, 0, waiting)
	})
}

// Waiters must start when the maximum number of requests in flight is raised.
func TestRaisedBoundStartsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bounds := Bounds{MaxInFlight: 1, MaxWaitingPerCustomer: 2, MaxWaiting: 2, MaxWait: time.Second}
		l := NewLimiter(bounds)
		for range 2 {
			go func() { _, _ = l.Acquire(t.Context(), "a", 1, 1) }()
		}
		synctest.Wait()
		bounds.MaxInFlight = 2
		l.SetBounds(bounds)
		inFlight, waiting := l.Counts()
		must.Eq(t, 2, inFlight)
		must.Eq(t, 0, waiting)
	})
}
