package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/balancer"
	"github.com/jacinthrack/jacinthrack/configstore"
	"github.com/jacinthrack/jacinthrack/fairqueue"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/problem"
)

// requestCost is the cost of a request in tokens and in units of work.
const requestCost = 1

// admissionName is the name in the kernel registry.
const admissionName = "admission"

// roomInterval is the time between two adjustments of the queues to the room at
// the backend servers.
const roomInterval = 50 * time.Millisecond

// admission holds a fair queue for each service. It implements
// forward.Admission.
type admission struct {
	kernel.Base
	config   *configuration
	balancer *balancer.Balancer

	mu     sync.Mutex
	queues map[string]*fairqueue.Limiter

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Name implements kernel.Service.
func (a *admission) Name() string { return admissionName }

// Requires implements kernel.Service.
func (a *admission) Requires() []string { return []string{configurationName, balancer.ServiceName} }

// Provision implements kernel.Service. The balancer gets each configuration
// first, since the queues are sized by its room.
func (a *admission) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	a.config = find[*configuration](f, configurationName)
	a.balancer = find[*balancer.Balancer](f, balancer.ServiceName)
	if f.err != nil {
		return f.err
	}
	a.queues = make(map[string]*fairqueue.Limiter)
	a.config.Subscribe(func(s *configstore.Snapshot) {
		a.balancer.SetConfig(s.Index, time.Now())
		a.adjust(s)
	})
	return nil
}

// Start implements kernel.Service.
func (a *admission) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.done.Go(func() { a.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (a *admission) Stop(context.Context) error {
	a.cancel()
	a.done.Wait()
	return nil
}

func (a *admission) run(ctx context.Context) {
	ticker := time.NewTicker(roomInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if snapshot := a.config.Current(); snapshot != nil {
				a.adjust(snapshot)
			}
		case <-ctx.Done():
			return
		}
	}
}

// adjust sizes the queues by the room at the backend servers.
func (a *admission) adjust(s *configstore.Snapshot) {
	now := time.Now()
	for _, service := range s.Document().Services {
		bounds := fairqueue.DefaultBounds(max(1, a.balancer.MaxInFlight(service.Name, now)))
		if wait := s.Document().Policy.QueueWait.Std(); wait > 0 {
			bounds.MaxWait = wait
		}
		a.queue(service.Name, bounds).SetBounds(bounds)
	}
}

// queue returns the queue of a service, made with bounds if there is none yet.
func (a *admission) queue(service string, bounds fairqueue.Bounds) *fairqueue.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	q, ok := a.queues[service]
	if !ok {
		q = fairqueue.NewLimiter(bounds)
		a.queues[service] = q
	}
	return q
}

// Acquire implements forward.Admission.
func (a *admission) Acquire(ctx context.Context, service, customer string, weight float64) (func(), *problem.Document) {
	release, err := a.queue(service, fairqueue.DefaultBounds(1)).Acquire(ctx, customer, weight, requestCost)
	if err == nil {
		return release, nil
	}
	var refused *fairqueue.RefusedError
	if errors.As(err, &refused) {
		return nil, problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.RanNo, "%v", refused).WithRetryAfter(max(refused.ExpectedWait, time.Second))
	}
	return nil, problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.RanNo, "the deadline passed while the request waited")
}

// customerLimit names the fleet-wide limit of a customer. Shifts have limits of
// their own.
func customerLimit(customer string) string { return "customer/" + customer }
