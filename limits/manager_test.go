package limits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

const testLimit = "acme"

// managerCluster is several managers on one store, and a reference bucket with the whole limit
// that is charged with every admission.
type managerCluster struct {
	t         *testing.T
	store     *memory.Store
	managers  []*Manager
	mu        sync.Mutex
	reference Bucket
	admitted  []int // requests, by manager
}

// newManagerCluster returns n managers of one limit on a store with the given faults.
func newManagerCluster(t *testing.T, n int, limit Limit, fault memory.FaultFunc) *managerCluster {
	c := &managerCluster{t: t, store: memory.New(), admitted: make([]int, n)}
	c.reference = NewBucket(limit.Share(), true, time.Now())
	c.store.SetFault(fault)
	for i := range n {
		m := NewManager(Options{
			Table: c.store, ID: fmt.Sprintf("entry-%d/1", i), Instance: fmt.Sprintf("entry-%d", i),
			Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		must.NoError(t, m.SetLimits(1, []Limit{limit}))
		c.managers = append(c.managers, m)
	}
	return c
}

// offer sends requests to manager i with the given pause between them until ctx is done.
func (c *managerCluster) offer(ctx context.Context, i int, pause time.Duration) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		now := time.Now()
		if c.managers[i].Allow(testLimit, 1, now).Allowed {
			c.admitted[i]++
			if !c.reference.Take(1-1e-9, now) {
				c.t.Errorf("manager %d admitted a request above burst + rate·t", i)
			}
		}
		c.mu.Unlock()
	}
}

// run runs all managers for d. pauses are the times between requests at the managers; if there
// are fewer pauses than managers, they repeat.
func (c *managerCluster) run(d time.Duration, pauses ...time.Duration) {
	ctx, cancel := context.WithTimeout(c.t.Context(), d)
	defer cancel()
	var running sync.WaitGroup
	for i, m := range c.managers {
		running.Go(func() { _ = m.Run(ctx) })
		running.Go(func() { c.offer(ctx, i, pauses[i%len(pauses)]) })
	}
	running.Wait()
}

// randomFaults returns random faults: calls fail with unavailableProbability, replies are lost
// with replyLostProbability, and calls are delayed by up to maxDelay.
func randomFaults(seed uint64, unavailableProbability, replyLostProbability float64, maxDelay time.Duration) memory.FaultFunc {
	r := rand.New(rand.NewPCG(seed, 0))
	return func(memory.Op) memory.Fault {
		return memory.Fault{
			Unavailable: r.Float64() < unavailableProbability,
			LoseReply:   r.Float64() < replyLostProbability,
			Delay:       time.Duration(r.Int64N(int64(maxDelay) + 1)),
		}
	}
}

// Checks for several kinds of store faults that running managers, with their timeouts, jitter
// and read-back, together admit at most burst + rate·t and write at most once per
// MinWriteInterval each.
func TestManagersStayWithinLimitOnFaultyStore(t *testing.T) {
	cases := []struct {
		name  string
		fault memory.FaultFunc
	}{
		{"healthy", nil},
		{"slow", randomFaults(1, 0, 0, time.Second)},
		{"slower than the timeout", randomFaults(2, 0, 0, 5*time.Second)},
		{"half of the calls fail", randomFaults(3, 0.5, 0, 20*time.Millisecond)},
		{"half of the replies are lost", randomFaults(4, 0, 0.5, 20*time.Millisecond)},
		{"all of these faults", randomFaults(5, 0.2, 0.3, 3*time.Second)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newManagerCluster(t, 4, Limit{Name: testLimit, RatePerSecond: 50, Burst: 100}, c.fault)
				const period = 2 * time.Minute
				cluster.run(period, 5*time.Millisecond, 100*time.Millisecond)
				maxWrites := len(cluster.managers) * int(period/DefaultPolicy().MinWriteInterval)
				must.LessEq(t, maxWrites, cluster.store.Counts().Transactions)
			})
		})
	}
}

// Checks that a holder continues to use its floor while the store is down, although its lease
// ends.
func TestFloorAdmitsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagerCluster(t, 2, Limit{Name: testLimit, RatePerSecond: 100, Burst: 100}, nil)
		c.run(30*time.Second, 5*time.Millisecond, time.Second)
		busy := c.managers[0]
		must.Greater(t, MicroRequestsOf(50), busy.Shares(time.Now())[testLimit].Rate)
		c.store.SetFault(memory.AlwaysUnavailable)
		c.run(30*time.Second, 5*time.Millisecond, time.Second)
		must.Eq(t, NewShare(25, 25), busy.Shares(time.Now())[testLimit])
	})
}

// Checks that a burst requests an early sync while part of the limit is unallocated, and does
// not when all of it is allocated.
func TestBurstRequestsEarlySync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagerCluster(t, 2, Limit{Name: testLimit, RatePerSecond: 100, Burst: 100}, nil)
		c.run(30*time.Second, time.Hour)
		c.run(700*time.Millisecond, 2*time.Millisecond, time.Hour)
		must.Greater(t, MicroRequestsOf(50), c.managers[0].Shares(time.Now())[testLimit].Rate)
		c.run(5*time.Second, 2*time.Millisecond, time.Hour)
		time.Sleep(2 * time.Second)
		for range 1000 {
			c.managers[0].Allow(testLimit, 1, time.Now())
		}
		select {
		case <-c.managers[0].SyncRequested():
			t.Error("an early sync is requested although the whole limit is allocated")
		default:
		}
	})
}

// Checks that after Release, a manager rejects all requests and another gets its shares.
func TestReleaseFreesShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagerCluster(t, 2, Limit{Name: testLimit, RatePerSecond: 100, Burst: 100}, nil)
		c.run(30*time.Second, 5*time.Millisecond)
		must.SliceEmpty(t, c.managers[0].Release(t.Context()))
		must.False(t, c.managers[0].Allow(testLimit, 1, time.Now()).Allowed)
		c.managers = c.managers[1:]
		c.run(15*time.Second, 5*time.Millisecond)
		must.Eq(t, NewShare(100, 100), c.managers[0].Shares(time.Now())[testLimit])
	})
}

// Checks that a lowered limit is in force at all holders within 6 s while they reach the table.
func TestLoweredLimitTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagerCluster(t, 4, Limit{Name: testLimit, RatePerSecond: 100, Burst: 100}, nil)
		c.run(30*time.Second, 5*time.Millisecond, time.Second)
		lowered := Limit{Name: testLimit, RatePerSecond: 20, Burst: 20}
		for _, m := range c.managers {
			must.NoError(t, m.SetLimits(2, []Limit{lowered}))
		}
		c.run(6*time.Second, 5*time.Millisecond, time.Second)
		var sum Share
		for _, m := range c.managers {
			sum = sum.Plus(m.Shares(time.Now())[testLimit])
		}
		must.True(t, sum.Within(lowered.Share()), must.Sprintf("shares sum to %+v", sum))
	})
}

// Checks that managers without requests do not write to the table, which can take only a few
// hundred writes per second.
func TestIdleManagersDoNotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagerCluster(t, 7, Limit{Name: testLimit, RatePerSecond: 100, Burst: 100}, nil)
		c.run(time.Minute, time.Hour)
		initialWrites := c.store.Counts().Transactions
		c.run(5*time.Minute, time.Hour)
		must.Eq(t, initialWrites, c.store.Counts().Transactions)
	})
}

// Checks that a limit with an invalid value is rejected and not set.
func TestSetLimitsRejectsInvalidValues(t *testing.T) {
	m := NewManager(Options{Table: memory.New(), ID: "a/1", Instance: "a"})
	err := m.SetLimits(1, []Limit{{Name: testLimit, RatePerSecond: -1, Burst: 1}})
	must.Eq(t, error(&LimitValueError{Name: testLimit, Field: "rate per second", Value: -1}), err)
	must.Eq(t, ReasonUnknownLimit, m.Allow(testLimit, 1, time.Now()).Reason)
}
