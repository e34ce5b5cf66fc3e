package bench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/caller"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// Run runs a plan and returns its result. It returns when
//   - all requests have ended, at most the plan's duration and timeout after the start,
//   - the drain has been watched for its time and the events have returned, and
//   - the overhead comparison is done.
//
// If ctx is canceled, Run returns early with the result so far. An invalid plan is
// reported as *PlanError or *caller.OptionsError.
func Run(ctx context.Context, p Plan) (*Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	r, err := newRun(p.withDefaults())
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.startedAt = time.Now()
	stopSampling := r.startObservers(ctx)
	truncated := r.sendArrivals(ctx)
	elapsed := time.Since(r.startedAt)
	stopSampling()
	result := r.recorder.result(elapsed)
	result.Generator.Truncated = truncated
	result.Headroom = r.headroom.result()
	result.Drain = r.drainResult
	result.Events = r.eventResults
	result.Overhead = r.measureOverhead(ctx)
	result.Executions = r.readExecutions(ctx)
	return result, nil
}

// runner executes one plan.
type runner struct {
	plan          Plan
	startedAt     time.Time
	recorder      *recorder
	headroom      *headroomSummary
	callers       []*caller.Client // by index of the customer
	transport     http.RoundTripper
	requestBodies [][]byte // by index in the mix
	drainResult   *DrainResult

	mu           sync.Mutex
	eventResults []EventResult
}

// maxIdleConnsPerHost bounds idle connections to each host of look-ups and load
// endpoints.
const maxIdleConnsPerHost = 64

func newRun(p Plan) (*runner, error) {
	r := &runner{plan: p, recorder: newRecorder(p), headroom: newHeadroomSummary(p.BackendServers), transport: p.Transport}
	if r.transport == nil {
		r.transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute}
	}
	for _, c := range p.Customers {
		client, err := caller.New(r.callerOptions(c))
		if err != nil {
			return nil, err
		}
		r.callers = append(r.callers, client)
	}
	for _, k := range p.Mix {
		r.requestBodies = append(r.requestBodies, newRequestBody(k.BodyBytes))
	}
	return r, nil
}

// maxRetryWait bounds the wait before another attempt of a request. It covers the
// caller's pause before it tries an instance again. The Retry-After of a rejection is
// longer, so rejections are counted and not tried again.
const maxRetryWait = 500 * time.Millisecond

func (r *runner) callerOptions(c Customer) caller.Options {
	return caller.Options{
		Seeds:       r.plan.EntryInstances,
		Client:      c.Client,
		Zone:        c.Zone,
		Key:         c.Key,
		MaxAttempts: r.plan.MaxAttempts,
		MaxWait:     maxRetryWait,
		Transport:   r.plan.Transport,
	}
}

func (r *runner) close() {
	for _, c := range r.callers {
		c.Close()
	}
	if t, ok := r.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// startObservers starts the headroom sampling, the drain and the events, which run
// concurrently with the load. The returned function waits for the drain and the
// events and then stops the sampling.
func (r *runner) startObservers(ctx context.Context) (stop func()) {
	samplingCtx, cancel := context.WithCancel(ctx)
	var scheduled, sampler sync.WaitGroup
	sampler.Go(func() { r.sampleHeadroom(samplingCtx) })
	if r.plan.Drain != nil {
		scheduled.Go(func() { r.drainResult = r.runDrain(ctx, *r.plan.Drain) })
	}
	for _, e := range r.plan.Events {
		scheduled.Go(func() { r.runEvent(ctx, e) })
	}
	return func() {
		scheduled.Wait()
		cancel()
		sampler.Wait()
	}
}

// runEvent runs an event at its time and records its result.
func (r *runner) runEvent(ctx context.Context, e Event) {
	err := sleepUntil(ctx, r.startedAt.Add(e.At))
	if err == nil {
		err = e.Action(ctx)
	}
	result := EventResult{Name: e.Name}
	if err != nil {
		result.Error = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventResults = append(r.eventResults, result)
}

// sendArrivals sends every request when it is due and waits until all have ended. It
// reports whether it stopped before the last arrival of the schedule.
func (r *runner) sendArrivals(ctx context.Context) (truncated bool) {
	var requests sync.WaitGroup
	defer requests.Wait()
	inFlight := make(chan struct{}, r.plan.MaxOutstanding)
	arrivals := newSchedule(r.plan)
	for {
		a, ok := arrivals.nextArrival()
		if !ok {
			return arrivals.arrivalCount >= r.plan.MaxRequests
		}
		if sleepUntil(ctx, r.startedAt.Add(a.dueAt)) != nil {
			return true
		}
		select {
		case inFlight <- struct{}{}:
		default:
			r.recorder.recordDropped()
			continue
		}
		requests.Go(func() {
			r.send(ctx, a)
			<-inFlight
		})
	}
}

func sleepUntil(ctx context.Context, t time.Time) error {
	return sleep.For(ctx, time.Until(t))
}
