package bench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/caller"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// Run runs a plan and returns its result. It ends when all requests have ended,
// at most the plan's duration and timeout after its start, when the drain was
// watched and the events have returned, and after the overhead comparison. A canceled ctx ends it early with the result so far. It returns
// *PlanError or *caller.OptionsError.
func Run(ctx context.Context, p Plan) (*Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	r, err := newRun(p.withDefaults())
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.start = time.Now()
	stopSampling := r.observe(ctx)
	truncated := r.dispatch(ctx)
	ended := time.Since(r.start)
	stopSampling()
	result := r.recorder.result(ended)
	result.Generator.Truncated = truncated
	result.Headroom = r.headroom.result()
	result.Drain = r.drain
	result.Events = r.events
	result.Overhead = r.compareOverhead(ctx)
	result.Executions = r.executions(ctx)
	return result, nil
}

// run is the state of one run.
type run struct {
	plan     Plan
	start    time.Time
	recorder *recorder
	headroom *headroomSampler
	callers  []*caller.Client // by customer
	http     http.RoundTripper
	bodies   [][]byte // by kind
	drain    *DrainResult

	mu     sync.Mutex
	events []EventResult
}

// maxIdlePerHost bounds idle connections for look-ups and load endpoints.
const maxIdlePerHost = 64

func newRun(p Plan) (*run, error) {
	r := &run{plan: p, recorder: newRecorder(p), headroom: newHeadroomSampler(p.BackendServers), http: p.Transport}
	if r.http == nil {
		r.http = &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: time.Minute}
	}
	for _, c := range p.Customers {
		client, err := caller.New(r.callerOptions(c))
		if err != nil {
			return nil, err
		}
		r.callers = append(r.callers, client)
	}
	for _, k := range p.Mix {
		r.bodies = append(r.bodies, bodyOf(k.BodyBytes))
	}
	return r, nil
}

// refusalWait is the longest wait before another attempt. It covers the pause
// before an instance is tried again; the Retry-After of a refusal is longer, and
// the refusal is counted instead.
const refusalWait = 500 * time.Millisecond

func (r *run) callerOptions(c Customer) caller.Options {
	return caller.Options{
		Seeds:       r.plan.EntryInstances,
		Client:      c.Client,
		Zone:        c.Zone,
		Key:         c.Key,
		MaxAttempts: r.plan.MaxAttempts,
		MaxWait:     refusalWait,
		Transport:   r.plan.Transport,
	}
}

func (r *run) close() {
	for _, c := range r.callers {
		c.Close()
	}
	if t, ok := r.http.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// observe starts what runs beside the load. The returned function waits for the
// drain and the events, and stops the sampling.
func (r *run) observe(ctx context.Context) (stop func()) {
	sampling, cancel := context.WithCancel(ctx)
	var timed, sampled sync.WaitGroup
	sampled.Go(func() { r.sample(sampling) })
	if r.plan.Drain != nil {
		timed.Go(func() { r.drain = r.watchDrain(ctx, *r.plan.Drain) })
	}
	for _, e := range r.plan.Events {
		timed.Go(func() { r.runEvent(ctx, e) })
	}
	return func() {
		timed.Wait()
		cancel()
		sampled.Wait()
	}
}

func (r *run) runEvent(ctx context.Context, e Event) {
	err := sleepUntil(ctx, r.start.Add(e.At))
	if err == nil {
		err = e.Action(ctx)
	}
	result := EventResult{Name: e.Name}
	if err != nil {
		result.Error = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, result)
}

// dispatch sends every arrival when it is due and waits for the answers. It
// reports whether arrivals are left.
func (r *run) dispatch(ctx context.Context) (truncated bool) {
	var requests sync.WaitGroup
	defer requests.Wait()
	places := make(chan struct{}, r.plan.MaxOutstanding)
	arrivals := newSchedule(r.plan)
	for {
		a, ok := arrivals.nextArrival()
		if !ok {
			return arrivals.number >= r.plan.MaxRequests
		}
		if sleepUntil(ctx, r.start.Add(a.at)) != nil {
			return true
		}
		select {
		case places <- struct{}{}:
		default:
			r.recorder.drop()
			continue
		}
		requests.Go(func() {
			r.send(ctx, a)
			<-places
		})
	}
}

func sleepUntil(ctx context.Context, t time.Time) error {
	return sleep.For(ctx, time.Until(t))
}
