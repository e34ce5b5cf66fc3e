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

// requestCost is the cost of one request, in tokens of a fleet-wide limit and in units
// of work of a fair queue.
const requestCost = 1

// admissionServiceName is the service's name in the kernel's service registry.
const admissionServiceName = "admission"

// queueResizeInterval is the time between two adjustments of the queues to the free
// capacity of the backend servers.
const queueResizeInterval = 50 * time.Millisecond

// admissionService has a fair queue for each configured service. It implements
// forward.Admission.
type admissionService struct {
	kernel.Base
	config   *configService
	balancer *balancer.Balancer

	mu             sync.Mutex
	queueByService map[string]*fairqueue.Limiter

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Name implements kernel.Service.
func (a *admissionService) Name() string { return admissionServiceName }

// Requires implements kernel.Service.
func (a *admissionService) Requires() []string {
	return []string{configServiceName, balancer.ServiceName}
}

// Provision implements kernel.Service. It subscribes to configurations. The balancer
// gets each one before the queues are resized, since their size is computed by the
// balancer.
func (a *admissionService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	a.config = findService[*configService](f, configServiceName)
	a.balancer = findService[*balancer.Balancer](f, balancer.ServiceName)
	if f.err != nil {
		return f.err
	}
	a.queueByService = make(map[string]*fairqueue.Limiter)
	a.config.Subscribe(func(s *configstore.Snapshot) {
		a.balancer.SetConfig(s.Index, time.Now())
		a.resizeQueues(s)
	})
	return nil
}

// Start implements kernel.Service.
func (a *admissionService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.done.Go(func() { a.resizePeriodically(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (a *admissionService) Stop(context.Context) error {
	a.cancel()
	a.done.Wait()
	return nil
}

func (a *admissionService) resizePeriodically(ctx context.Context) {
	ticker := time.NewTicker(queueResizeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if snapshot := a.config.Current(); snapshot != nil {
				a.resizeQueues(snapshot)
			}
		case <-ctx.Done():
			return
		}
	}
}

// resizeQueues sets the bounds of each service's queue from the number of requests of
// the service that the balancer allows in flight at this instance.
func (a *admissionService) resizeQueues(s *configstore.Snapshot) {
	now := time.Now()
	for _, service := range s.Document().Services {
		bounds := fairqueue.DefaultBounds(max(1, a.balancer.MaxInFlight(service.Name, now)))
		if wait := s.Document().Policy.QueueWait.Std(); wait > 0 {
			bounds.MaxWait = wait
		}
		a.queueFor(service.Name, bounds).SetBounds(bounds)
	}
}

// queueFor returns the queue of a service. If there is none yet, it creates one with
// the bounds.
func (a *admissionService) queueFor(service string, bounds fairqueue.Bounds) *fairqueue.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue, ok := a.queueByService[service]
	if !ok {
		queue = fairqueue.NewLimiter(bounds)
		a.queueByService[service] = queue
	}
	return queue
}

// Acquire implements forward.Admission.
func (a *admissionService) Acquire(ctx context.Context, service, customer string, weight float64) (func(), *problem.Document) {
	release, err := a.queueFor(service, fairqueue.DefaultBounds(1)).Acquire(ctx, customer, weight, requestCost)
	if err == nil {
		return release, nil
	}
	var rejection *fairqueue.RefusedError
	if errors.As(err, &rejection) {
		return nil, problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.DidNotRun, "%v", rejection).WithRetryAfter(max(rejection.ExpectedWait, time.Second))
	}
	return nil, problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.DidNotRun, "the deadline passed while the request waited")
}

// customerLimitName returns the name of a customer's fleet-wide limit. Traffic shifts
// have limits of their own, with other names.
func customerLimitName(customer string) string { return "customer/" + customer }
