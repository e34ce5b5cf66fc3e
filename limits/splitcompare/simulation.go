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
	// limitName is the name of the limit in a simulation.
	limitName = "customer"
	// syncInterval is the mean time between two syncs of a manager, as in production.
	syncInterval = time.Second
)

// simulation is the state of a simulation of one trace with one strategy.
type simulation struct {
	trace          Trace
	policy         limits.Policy
	elapsed        time.Duration // virtual time since startTime
	startTime      time.Time
	store          *memory.Store
	managers       []*limits.Manager // by instance
	nextSync       []time.Duration   // by instance; since startTime
	jitter         *rand.Rand
	reference      limits.Bucket // bucket with the whole limit; sees all requests
	admissionBound limits.Bucket // bucket with the whole limit; charged with what the strategy admits
	warmUpWrites   int           // table writes up to the last sync in the warm-up
	result         Result
}

// RunTrace simulates one trace with the policy p; s only labels the result. If the limit of the
// trace is invalid, it returns a *limits.LimitValueError.
func RunTrace(t Trace, s Strategy, p limits.Policy) (Result, error) {
	sim := newSimulation(t, s, p)
	limit := limits.Limit{Name: limitName, RatePerSecond: t.RatePerSecond, Burst: t.Burst}
	for _, m := range sim.managers {
		if err := m.SetLimits(1, []limits.Limit{limit}); err != nil {
			return Result{}, err
		}
	}
	for _, a := range t.arrivals() {
		sim.syncUntil(a.at)
		sim.elapsed = a.at
		sim.admitArrival(a)
	}
	sim.syncUntil(t.Duration.Std())
	seconds := (t.Duration.Std() - t.WarmUp.Std()).Seconds()
	sim.result.WritesPerSecond = float64(sim.store.Counts().Transactions-sim.warmUpWrites) / seconds
	return sim.result, nil
}

func newSimulation(t Trace, s Strategy, p limits.Policy) *simulation {
	sim := &simulation{
		trace: t, policy: p, startTime: time.Unix(0, 0), store: memory.New(),
		jitter: rand.New(rand.NewPCG(t.Seed, 1)),
		result: Result{Trace: t.Name, Strategy: s},
	}
	wholeLimit := limits.NewShare(t.RatePerSecond, t.Burst)
	sim.reference = limits.NewBucket(wholeLimit, true, sim.startTime)
	sim.admissionBound = limits.NewBucket(wholeLimit, true, sim.startTime)
	for i := range t.Instances {
		sim.managers = append(sim.managers, sim.newManager(i))
		sim.nextSync = append(sim.nextSync, syncInterval*time.Duration(i)/time.Duration(t.Instances))
	}
	return sim
}

// newManager returns the manager of the i-th instance.
func (s *simulation) newManager(i int) *limits.Manager {
	name := fmt.Sprintf("entry-%d", i)
	return limits.NewManager(limits.Options{
		Table: &partitionedTable{simulation: s, instance: i}, ID: name + "/1", Instance: name,
		Policy: s.policy, Clock: s.clock, MaxParallelWrites: 1,
	})
}

// clock returns the current virtual time.
func (s *simulation) clock() time.Time { return s.startTime.Add(s.elapsed) }

// syncUntil runs the syncs of all managers that are due up to the time at, in order.
func (s *simulation) syncUntil(at time.Duration) {
	for {
		i := s.earliestSync()
		if s.nextSync[i] > at {
			return
		}
		s.elapsed = s.nextSync[i]
		s.recordWarmUpWrites()
		// Syncs fail while an instance is cut off from the table.
		_ = s.managers[i].Sync(context.Background())
		s.nextSync[i] += time.Duration(float64(syncInterval) * (0.8 + 0.4*s.jitter.Float64()))
	}
}

// earliestSync returns the instance whose next sync is the earliest.
func (s *simulation) earliestSync() int {
	earliest := 0
	for i, at := range s.nextSync {
		if at < s.nextSync[earliest] {
			earliest = i
		}
	}
	return earliest
}

// recordWarmUpWrites records the number of table writes so far while the warm-up is not over.
func (s *simulation) recordWarmUpWrites() {
	if s.elapsed < s.trace.WarmUp.Std() {
		s.warmUpWrites = s.store.Counts().Transactions
	}
}

// admitArrival offers one request to the reference bucket and to the instance's manager, and
// counts the results.
func (s *simulation) admitArrival(a arrival) {
	now := s.clock()
	byReference := s.reference.Take(1, now)
	admitted := s.managers[a.instance].Allow(limitName, 1, now).Allowed
	s.scheduleRequestedSync(a.instance)
	// Taking slightly less than 1 allows for rounding in this bucket and the instances'.
	overAdmitted := admitted && !s.admissionBound.Take(1-1e-9, now)
	if overAdmitted {
		s.result.OverAdmitted++
	}
	if a.at >= s.trace.WarmUp.Std() {
		s.countArrival(a, byReference, admitted)
	}
}

// scheduleRequestedSync moves the instance's next sync forward if its manager requested one,
// as limits.Manager.Run does.
func (s *simulation) scheduleRequestedSync(i int) {
	select {
	case <-s.managers[i].SyncRequested():
		s.nextSync[i] = min(s.nextSync[i], s.elapsed+limits.SyncRequestDelay)
	default:
	}
}

// countArrival adds one request to the result.
func (s *simulation) countArrival(a arrival, byReference, admitted bool) {
	res := &s.result
	res.Offered++
	res.ReferenceAdmitted += boolToInt(byReference)
	res.Admitted += boolToInt(admitted)
	res.WronglyRejected += boolToInt(byReference && !admitted)
	if s.cutOffBeyondLease(a) {
		res.CutOffOffered++
		res.CutOffAdmitted += boolToInt(admitted)
	}
}

// cutOffBeyondLease reports whether the request's instance has been cut off from the table
// for longer than a lease lasts.
func (s *simulation) cutOffBeyondLease(a arrival) bool {
	c := s.trace.CutOff
	return c.covers(a.instance, a.at) && a.at >= c.From.Std()+s.policy.LeaseTerm
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// partitionedTable is the table as one instance reaches it. Calls fail while the trace cuts
// the instance off.
type partitionedTable struct {
	simulation *simulation
	instance   int
}

// CutOffError is the cause of the failed calls of an instance that is cut off from the table.
type CutOffError struct{ Instance int }

func (e *CutOffError) Error() string {
	return fmt.Sprintf("instance %d is cut off from the table", e.Instance)
}

// checkReachable returns an error for the operation op while the instance is cut off.
func (t *partitionedTable) checkReachable(op string) error {
	if !t.simulation.trace.CutOff.covers(t.instance, t.simulation.elapsed) {
		return nil
	}
	return &tablestore.UnavailableError{Op: op, Err: &CutOffError{Instance: t.instance}}
}

// Read implements tablestore.Table.
func (t *partitionedTable) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if err := t.checkReachable("read"); err != nil {
		return tablestore.Row{}, err
	}
	return t.simulation.store.Read(ctx, key)
}

// Scan implements tablestore.Table.
func (t *partitionedTable) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	if err := t.checkReachable("scan"); err != nil {
		return nil, err
	}
	return t.simulation.store.Scan(ctx, prefix, limit, after)
}

// Transact implements tablestore.Table.
func (t *partitionedTable) Transact(ctx context.Context, changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	if err := t.checkReachable("transact"); err != nil {
		return tablestore.TransactResult{}, err
	}
	return t.simulation.store.Transact(ctx, changeID, writes)
}
