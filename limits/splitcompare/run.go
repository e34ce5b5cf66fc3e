package splitcompare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

const (
	// limitName is the name of the limit in a run.
	limitName = "customer"
	// syncInterval is the time between two steps of a manager, as in production.
	syncInterval = time.Second
)

// simulation is one trace with one split in progress.
type simulation struct {
	trace         Trace
	policy        limits.Policy
	elapsed       time.Duration
	startTime     time.Time
	store         *memory.Store
	managers      []*limits.Manager
	nextSync      []time.Duration
	jitter        *rand.Rand
	reference     limits.Bucket // admits on its own
	overAdmission limits.Bucket // charged with what the split admits
	warmUpWrites  int           // writes when the warm-up ended
	result        Result
}

// Run drives one trace through the ledger code with the policy. It returns
// *limits.LimitValueError for a trace with an invalid limit.
func Run(t Trace, s Split, p limits.Policy) (Result, error) {
	r := newSimulation(t, s, p)
	limit := limits.Limit{Name: limitName, RatePerSecond: t.RatePerSecond, Burst: t.Burst}
	for _, m := range r.managers {
		if err := m.SetLimits(1, []limits.Limit{limit}); err != nil {
			return Result{}, err
		}
	}
	for _, a := range t.arrivals() {
		r.syncUntil(a.at)
		r.elapsed = a.at
		r.admitArrival(a)
	}
	r.syncUntil(t.Duration.Std())
	seconds := (t.Duration.Std() - t.WarmUp.Std()).Seconds()
	r.result.WritesPerSecond = float64(r.store.Counts().Transactions-r.warmUpWrites) / seconds
	return r.result, nil
}

func newSimulation(t Trace, s Split, p limits.Policy) *simulation {
	r := &simulation{
		trace: t, policy: p, startTime: time.Unix(0, 0), store: memory.New(),
		jitter: rand.New(rand.NewPCG(t.Seed, 1)),
		result: Result{Trace: t.Name, Split: s},
	}
	whole := limits.ShareOf(t.RatePerSecond, t.Burst)
	r.reference = limits.NewBucket(whole, true, r.startTime)
	r.overAdmission = limits.NewBucket(whole, true, r.startTime)
	for i := range t.Instances {
		r.managers = append(r.managers, r.newManager(i))
		r.nextSync = append(r.nextSync, syncInterval*time.Duration(i)/time.Duration(t.Instances))
	}
	return r
}

func (r *simulation) newManager(i int) *limits.Manager {
	name := fmt.Sprintf("entry-%d", i)
	return limits.NewManager(limits.Options{
		Table: &partitionedTable{simulation: r, instance: i}, ID: name + "/1", Instance: name,
		Policy: r.policy, Clock: r.clock, Parallel: 1,
	})
}

func (r *simulation) clock() time.Time { return r.startTime.Add(r.elapsed) }

// syncUntil runs the steps that are due before the time at, in order.
func (r *simulation) syncUntil(at time.Duration) {
	for {
		i := r.earliestSync()
		if r.nextSync[i] > at {
			return
		}
		r.elapsed = r.nextSync[i]
		r.recordWarmUpWrites()
		// A failed step is part of a trace with a cut-off.
		_ = r.managers[i].Step(context.Background())
		r.nextSync[i] += time.Duration(float64(syncInterval) * (0.8 + 0.4*r.jitter.Float64()))
	}
}

func (r *simulation) earliestSync() int {
	best := 0
	for i, at := range r.nextSync {
		if at < r.nextSync[best] {
			best = i
		}
	}
	return best
}

func (r *simulation) recordWarmUpWrites() {
	if r.elapsed < r.trace.WarmUp.Std() {
		r.warmUpWrites = r.store.Counts().Transactions
	}
}

// admitArrival decides one request with the exact bucket and with the split.
func (r *simulation) admitArrival(a arrival) {
	now := r.clock()
	exact := r.reference.Take(1, now)
	admitted := r.managers[a.instance].Allow(limitName, 1, now).Allowed
	r.scheduleRequestedSync(a.instance)
	// The allowance covers the rounding of the two buckets.
	over := admitted && !r.overAdmission.Take(1-1e-9, now)
	if over {
		r.result.OverAdmitted++
	}
	if a.at >= r.trace.WarmUp.Std() {
		r.countArrival(a, exact, admitted)
	}
}

// scheduleRequestedSync moves a requested step forward, as limits.Manager.Run does.
func (r *simulation) scheduleRequestedSync(i int) {
	select {
	case <-r.managers[i].StepRequested():
		r.nextSync[i] = min(r.nextSync[i], r.elapsed+limits.RequestDelay)
	default:
	}
}

func (r *simulation) countArrival(a arrival, exact, admitted bool) {
	res := &r.result
	res.Offered++
	res.ExactAdmitted += boolToInt(exact)
	res.Admitted += boolToInt(admitted)
	res.WronglyRefused += boolToInt(exact && !admitted)
	if r.cutOffBeyondLease(a) {
		res.CutOffOffered++
		res.CutOffAdmitted += boolToInt(admitted)
	}
}

// cutOffBeyondLease reports whether the instance was cut off for longer than a lease.
func (r *simulation) cutOffBeyondLease(a arrival) bool {
	c := r.trace.CutOff
	return c.covers(a.instance, a.at) && a.at >= c.From.Std()+r.policy.LeaseTerm
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// partitionedTable is one instance's way to the table. It fails while the instance is cut off.
type partitionedTable struct {
	simulation *simulation
	instance   int
}

// CutOffError is the cause of failed calls of an instance that is cut off.
type CutOffError struct{ Instance int }

func (e *CutOffError) Error() string { return fmt.Sprintf("instance %d is cut off", e.Instance) }

func (g *partitionedTable) checkReachable(op string) error {
	if !g.simulation.trace.CutOff.covers(g.instance, g.simulation.elapsed) {
		return nil
	}
	return &tablestore.UnavailableError{Op: op, Err: &CutOffError{Instance: g.instance}}
}

// Read implements tablestore.Table.
func (g *partitionedTable) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if err := g.checkReachable("read"); err != nil {
		return tablestore.Row{}, err
	}
	return g.simulation.store.Read(ctx, key)
}

// Scan implements tablestore.Table.
func (g *partitionedTable) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	if err := g.checkReachable("scan"); err != nil {
		return nil, err
	}
	return g.simulation.store.Scan(ctx, prefix, limit, after)
}

// Transact implements tablestore.Table.
func (g *partitionedTable) Transact(ctx context.Context, changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	if err := g.checkReachable("transact"); err != nil {
		return tablestore.TransactResult{}, err
	}
	return g.simulation.store.Transact(ctx, changeID, writes)
}
