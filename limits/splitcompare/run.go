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
	// customer is the name of the limit in a run.
	customer = "customer"
	// stepEvery is the time between two steps of a manager, as in production.
	stepEvery = time.Second
)

// run is one trace with one split in progress.
type run struct {
	trace    Trace
	policy   limits.Policy
	now      time.Duration
	epoch    time.Time
	store    *memory.Store
	managers []*limits.Manager
	nextStep []time.Duration
	jitter   *rand.Rand
	exact    limits.Bucket // admits on its own
	guard    limits.Bucket // charged with what the split admits
	warmed   int           // writes when the warm-up ended
	result   Result
}

// RunTrace drives one trace through the ledger code with the policy. It returns
// *limits.LimitValueError for a trace with an invalid limit.
func RunTrace(t Trace, s Strategy, p limits.Policy) (Result, error) {
	r := newRun(t, s, p)
	limit := limits.Limit{Name: customer, RatePerSecond: t.RatePerSecond, Burst: t.Burst}
	for _, m := range r.managers {
		if err := m.SetLimits(1, []limits.Limit{limit}); err != nil {
			return Result{}, err
		}
	}
	for _, a := range t.arrivals() {
		r.stepUntil(a.at)
		r.now = a.at
		r.serve(a)
	}
	r.stepUntil(t.Duration.Std())
	seconds := (t.Duration.Std() - t.WarmUp.Std()).Seconds()
	r.result.WritesPerSecond = float64(r.store.Counts().Transactions-r.warmed) / seconds
	return r.result, nil
}

func newRun(t Trace, s Strategy, p limits.Policy) *run {
	r := &run{
		trace: t, policy: p, epoch: time.Unix(0, 0), store: memory.New(),
		jitter: rand.New(rand.NewPCG(t.Seed, 1)),
		result: Result{Trace: t.Name, Strategy: s},
	}
	whole := limits.NewShare(t.RatePerSecond, t.Burst)
	r.exact = limits.NewBucket(whole, true, r.epoch)
	r.guard = limits.NewBucket(whole, true, r.epoch)
	for i := range t.Instances {
		r.managers = append(r.managers, r.newManager(i))
		r.nextStep = append(r.nextStep, stepEvery*time.Duration(i)/time.Duration(t.Instances))
	}
	return r
}

func (r *run) newManager(i int) *limits.Manager {
	name := fmt.Sprintf("entry-%d", i)
	return limits.NewManager(limits.Options{
		Table: &gate{run: r, instance: i}, ID: name + "/1", Instance: name,
		Policy: r.policy, Clock: r.clock, MaxParallelWrites: 1,
	})
}

func (r *run) clock() time.Time { return r.epoch.Add(r.now) }

// stepUntil runs the steps that are due before the time at, in order.
func (r *run) stepUntil(at time.Duration) {
	for {
		i := r.earliest()
		if r.nextStep[i] > at {
			return
		}
		r.now = r.nextStep[i]
		r.noteWarmUp()
		// A failed step is part of a trace with a cut-off.
		_ = r.managers[i].Sync(context.Background())
		r.nextStep[i] += time.Duration(float64(stepEvery) * (0.8 + 0.4*r.jitter.Float64()))
	}
}

func (r *run) earliest() int {
	best := 0
	for i, at := range r.nextStep {
		if at < r.nextStep[best] {
			best = i
		}
	}
	return best
}

func (r *run) noteWarmUp() {
	if r.now < r.trace.WarmUp.Std() {
		r.warmed = r.store.Counts().Transactions
	}
}

// serve decides one request with the exact bucket and with the split.
func (r *run) serve(a arrival) {
	now := r.clock()
	exact := r.exact.Take(1, now)
	admitted := r.managers[a.instance].Allow(customer, 1, now).Allowed
	r.followRequest(a.instance)
	// The allowance covers the rounding of the two buckets.
	over := admitted && !r.guard.Take(1-1e-9, now)
	if over {
		r.result.OverAdmitted++
	}
	if a.at >= r.trace.WarmUp.Std() {
		r.count(a, exact, admitted)
	}
}

// followRequest moves a requested step forward, as limits.Manager.Run does.
func (r *run) followRequest(i int) {
	select {
	case <-r.managers[i].SyncRequested():
		r.nextStep[i] = min(r.nextStep[i], r.now+limits.SyncRequestDelay)
	default:
	}
}

func (r *run) count(a arrival, exact, admitted bool) {
	res := &r.result
	res.Offered++
	res.ReferenceAdmitted += one(exact)
	res.Admitted += one(admitted)
	res.WronglyRejected += one(exact && !admitted)
	if r.longCutOff(a) {
		res.CutOffOffered++
		res.CutOffAdmitted += one(admitted)
	}
}

// longCutOff reports whether the instance was cut off for longer than a lease.
func (r *run) longCutOff(a arrival) bool {
	c := r.trace.CutOff
	return c.covers(a.instance, a.at) && a.at >= c.From.Std()+r.policy.LeaseTerm
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// gate is one instance's way to the table. It fails while the instance is cut off.
type gate struct {
	run      *run
	instance int
}

// CutOffError is the cause of failed calls of an instance that is cut off.
type CutOffError struct{ Instance int }

func (e *CutOffError) Error() string { return fmt.Sprintf("instance %d is cut off", e.Instance) }

func (g *gate) check(op string) error {
	if !g.run.trace.CutOff.covers(g.instance, g.run.now) {
		return nil
	}
	return &tablestore.UnavailableError{Op: op, Err: &CutOffError{Instance: g.instance}}
}

// Read implements tablestore.Table.
func (g *gate) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if err := g.check("read"); err != nil {
		return tablestore.Row{}, err
	}
	return g.run.store.Read(ctx, key)
}

// Scan implements tablestore.Table.
func (g *gate) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	if err := g.check("scan"); err != nil {
		return nil, err
	}
	return g.run.store.Scan(ctx, prefix, limit, after)
}

// Transact implements tablestore.Table.
func (g *gate) Transact(ctx context.Context, changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	if err := g.check("transact"); err != nil {
		return tablestore.TransactResult{}, err
	}
	return g.run.store.Transact(ctx, changeID, writes)
}
