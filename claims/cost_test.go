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

// Budgets of the platform per second that the figures are stated for.
const (
	budgetRowWrites    = 300
	budgetTransactions = 300
)

// costs are the platform calls of one order.
type costs struct{ rows, transactions, reads float64 }

func perOrder(c memory.Counts, orders int) costs {
	n := float64(orders)
	return costs{rows: float64(c.RowWrites) / n, transactions: float64(c.Transactions) / n, reads: float64(c.RowReads) / n}
}

// ordersPerSecond returns how many orders fit into the budgets.
func (c costs) ordersPerSecond() float64 {
	return min(budgetRowWrites/c.rows, budgetTransactions/c.transactions)
}

// inParallel runs one step of n orders and waits for all.
func inParallel(n int, step func(int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { step(i) })
	}
	wg.Wait()
}

// Guards against an order that costs more than two row writes, and against
// batches that are not filled although enough orders wait.
func TestCostOfFullBatches(t *testing.T) {
	const orders = 320
	for _, batch := range []int{1, 8, 32} {
		synctest.Test(t, func(t *testing.T) {
			db := memory.New()
			i := newInstance(db, "a", 1, func(c *Config) { c.MaxBatchRows = batch })
			defer i.kill()
			p := pair{T: t, db: db, a: i}
			claims := make([]*Claim, orders)
			inParallel(orders, func(n int) { claims[n] = p.run(i, orderWithKey(fmt.Sprint(n), "x")) })
			inParallel(orders, func(n int) { must.NoError(t, claims[n].Complete(context.Background(), response)) })
			cost := perOrder(db.Counts(), orders)
			t.Logf("batch %d: %.4f row writes, %.4f transactions, %.0f reads per order: %.1f orders/s",
				batch, cost.rows, cost.transactions, cost.reads, cost.ordersPerSecond())
			must.Eq(t, costs{rows: 2, transactions: 2 / float64(batch)}, cost)
			must.Eq(t, 150, cost.ordersPerSecond())
			time.Sleep(Retention + RetentionMargin)
			cost.rows += sweepCost(t, i, orders)
			t.Logf("batch %d with retention: %.4f row writes per order: %.1f orders/s", batch, cost.rows, cost.ordersPerSecond())
			must.Eq(t, 3, cost.rows)
		})
	}
}

// sweepCost removes all rows and returns the row writes for each order.
func sweepCost(t *testing.T, i *instance, orders int) float64 {
	before := i.link.Counts()
	for after, more := "", true; more; more = after != "" {
		result, err := i.Sweep(context.Background(), time.Now(), after)
		must.NoError(t, err)
		after = result.NextCursor
	}
	return float64(i.link.Counts().RowWrites-before.RowWrites) / float64(orders)
}

// Guards against orders of a steady stream that cost more than two transactions.
// It shows how far batches fill at the fleet's highest rate with 7 instances.
func TestCostOfSteadyStream(t *testing.T) {
	const instances, perSecond, orders = 7, 150, 3000
	for _, linger := range []time.Duration{DefaultBatchDelay, 20 * time.Millisecond, 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			db := memory.New()
			fleet := make([]*instance, instances)
			for n := range fleet {
				fleet[n] = newInstance(db, fmt.Sprint("entry-", n), uint64(n+1), func(c *Config) { c.BatchDelay = linger })
				defer fleet[n].kill()
			}
			random := rand.New(rand.NewPCG(1, 1))
			var wg sync.WaitGroup
			for n := range orders {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
				i := fleet[random.IntN(instances)]
				wg.Go(func() {
					c := pair{T: t, db: db}.run(i, orderWithKey(fmt.Sprint(n), "x"))
					time.Sleep(50 * time.Millisecond)
					must.NoError(t, c.Complete(context.Background(), response))
				})
			}
			wg.Wait()
			cost := perOrder(db.Counts(), orders)
			t.Logf("linger %v: %.2f rows in a transaction, %.2f transactions/s", linger, cost.rows/cost.transactions, perSecond*cost.transactions)
			must.Eq(t, 2, cost.rows)
			must.LessEq(t, 2, cost.transactions)
		})
	}
}
