package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
	"github.com/shoenig/test/must"
)

// Write rates of the platform for which the supported request rate is computed.
const (
	maxRowWritesPerSecond    = 300
	maxTransactionsPerSecond = 300
)

// requestCost is the average number of row writes and platform calls per request.
type requestCost struct{ rowWrites, transactions, reads float64 }

func costPerRequest(c memory.Counts, requests int) requestCost {
	n := float64(requests)
	return requestCost{rowWrites: float64(c.RowWrites) / n, transactions: float64(c.Transactions) / n, reads: float64(c.RowReads) / n}
}

// requestsPerSecond returns the request rate at which the platform's write rates are
// reached.
func (c requestCost) requestsPerSecond() float64 {
	return min(maxRowWritesPerSecond/c.rowWrites, maxTransactionsPerSecond/c.transactions)
}

// inParallel calls step concurrently for n requests and waits for all calls.
func inParallel(n int, step func(int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { step(i) })
	}
	wg.Wait()
}

// A request must cost two row writes, plus one for its removal after the retention time.
// Guards against more row writes, and against batches that are sent before they are full
// although enough requests wait.
func TestCostPerRequestWithFullBatches(t *testing.T) {
	const requests = 320
	for _, batch := range []int{1, 8, 32} {
		synctest.Test(t, func(t *testing.T) {
			db := memory.New()
			i := newInstance(db, "a", 1, func(c *Config) { c.MaxBatchRows = batch })
			defer i.kill()
			p := instancePair{T: t, db: db, a: i}
			claims := make([]*Claim, requests)
			inParallel(requests, func(n int) { claims[n] = p.mustClaimAndSend(i, orderRequestWithKey(fmt.Sprint(n), "x")) })
			inParallel(requests, func(n int) { must.NoError(t, claims[n].Complete(context.Background(), response)) })
			cost := costPerRequest(db.Counts(), requests)
			t.Logf("batch %d: %.4f row writes, %.4f transactions, %.0f reads per request: %.1f requests/s",
				batch, cost.rowWrites, cost.transactions, cost.reads, cost.requestsPerSecond())
			must.Eq(t, requestCost{rowWrites: 2, transactions: 2 / float64(batch)}, cost)
			must.Eq(t, 150, cost.requestsPerSecond())
			time.Sleep(Retention + RetentionMargin)
			cost.rowWrites += sweepRowWritesPerRequest(t, i, requests)
			t.Logf("batch %d with retention: %.4f row writes per request: %.1f requests/s", batch, cost.rowWrites, cost.requestsPerSecond())
			must.Eq(t, 3, cost.rowWrites)
		})
	}
}

// sweepRowWritesPerRequest sweeps all rows and returns the row writes per request.
func sweepRowWritesPerRequest(t *testing.T, i *instance, requests int) float64 {
	before := i.link.Counts()
	for cursor, more := "", true; more; more = cursor != "" {
		result, err := i.Sweep(context.Background(), time.Now(), cursor)
		must.NoError(t, err)
		cursor = result.NextCursor
	}
	return float64(i.link.Counts().RowWrites-before.RowWrites) / float64(requests)
}

// Guards against more than two row writes or two transactions per request when requests
// arrive at random times. Logs the average batch size at the maximum rate of the fleet,
// 150 requests/s, with 7 instances.
func TestCostPerRequestUnderSteadyLoad(t *testing.T) {
	const instances, perSecond, requests = 7, 150, 3000
	for _, batchDelay := range []time.Duration{DefaultBatchDelay, 20 * time.Millisecond, 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			db := memory.New()
			fleet := make([]*instance, instances)
			for n := range fleet {
				fleet[n] = newInstance(db, fmt.Sprint("entry-", n), uint64(n+1), func(c *Config) { c.BatchDelay = batchDelay })
				defer fleet[n].kill()
			}
			random := rand.New(rand.NewPCG(1, 1))
			var wg sync.WaitGroup
			for n := range requests {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
				i := fleet[random.IntN(instances)]
				wg.Go(func() {
					c := instancePair{T: t, db: db}.mustClaimAndSend(i, orderRequestWithKey(fmt.Sprint(n), "x"))
					time.Sleep(50 * time.Millisecond)
					must.NoError(t, c.Complete(context.Background(), response))
				})
			}
			wg.Wait()
			cost := costPerRequest(db.Counts(), requests)
			t.Logf("batch delay %v: %.2f rows per transaction, %.2f transactions/s", batchDelay, cost.rowWrites/cost.transactions, perSecond*cost.transactions)
			must.Eq(t, 2, cost.rowWrites)
			must.LessEq(t, 2, cost.transactions)
		})
	}
}
