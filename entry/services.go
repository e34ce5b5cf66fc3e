package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/jacinthrack/jacinthrack/balancer"
	"github.com/jacinthrack/jacinthrack/claims"
	"github.com/jacinthrack/jacinthrack/forward"
	"github.com/jacinthrack/jacinthrack/identity"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/operatorapi"
	"github.com/jacinthrack/jacinthrack/peer"
)

// Names in the kernel's service registry.
const (
	claimsServiceName       = "claims.store"
	callerHTTPServiceName   = "callers.http"
	operatorHTTPServiceName = "operators.http"
)

// HTTP patterns that are not part of the data path.
const (
	pathLookup    = "GET /v1/lookup"
	pathMetrics   = "GET /metrics"
	pathLiveness  = "GET /livez"
	pathReadiness = "GET /readyz"
)

// claimService wraps a claims.Store as a kernel service.
type claimService struct {
	kernel.Base
	self       identity.InstanceConfig
	platform   Platform
	membership *membershipService
	store      *claims.Store // set by Start
	log        *slog.Logger
}

// Name implements kernel.Service.
func (s *claimService) Name() string { return claimsServiceName }

// Requires implements kernel.Service.
func (s *claimService) Requires() []string {
	return []string{platformServiceName, membershipServiceName}
}

// Provision implements kernel.Service.
func (s *claimService) Provision(r kernel.Resolver) error {
	f := &serviceFinder{resolver: r}
	s.platform = findService[Platform](f, platformServiceName)
	s.membership = findService[*membershipService](f, membershipServiceName)
	return f.err
}

// Start implements kernel.Service.
func (s *claimService) Start(context.Context) error {
	config := claims.Config{
		Self:     claims.Claimant{Instance: s.self.Name, BootID: s.self.BootID},
		Liveness: s.membership.claimantLiveness,
		Logger:   s.log,
	}
	s.store = claims.NewStore(config, s.platform, s.platform)
	return nil
}

// Stop implements kernel.Service. It waits until the outcomes of all claims are
// stored, or until ctx ends.
func (s *claimService) Stop(ctx context.Context) error { return s.store.Close(ctx) }

// newCallerHTTP returns the HTTP service that answers look-ups and forwards the
// requests of callers.
func (i *Instance) newCallerHTTP() *httpService {
	return &httpService{
		name:        callerHTTPServiceName,
		requires:    []string{claimsServiceName, admissionServiceName, operatorHTTPServiceName},
		listener:    i.listeners.caller,
		log:         i.log,
		newHandler:  i.newCallerHandler,
		beforeDrain: i.leaveLookups,
	}
}

// newCallerHandler returns the handler for look-ups and the data path. It connects
// the data path to the services that it uses.
func (i *Instance) newCallerHandler(r kernel.Resolver) (http.Handler, error) {
	f := &serviceFinder{resolver: r}
	config := findService[*configService](f, configServiceName)
	membership := findService[*membershipService](f, membershipServiceName)
	lookups := findService[*lookupService](f, lookupServiceName)
	limiter := findService[*limitService](f, limitServiceName)
	peers := findService[*peer.Service](f, peer.ServiceName)
	dataPath := forward.New(forward.Options{
		Config:     config.currentIndex,
		Draining:   i.rejecting.Load,
		Authorizer: findService[*keyService](f, keyServiceName),
		Limiter:    newBorrowingRateLimiter(limiter, membership, peers),
		Admission:  findService[*admissionService](f, admissionServiceName),
		Balancer:   findService[*balancer.Balancer](f, balancer.ServiceName),
		Claims:     &claimerAdapter{service: findService[*claimService](f, claimsServiceName), log: i.log},
		Transport:  forward.NewTransport(),
		Metrics:    forward.NewMetrics(i.metricsRegistry),
		Log:        i.log,
	})
	mux := http.NewServeMux()
	mux.Handle(pathLookup, &lookup.Handler{Source: lookups})
	mux.Handle(forward.PathPrefix, dataPath)
	mux.HandleFunc("/", serveNotFound)
	return mux, f.err
}

// leaveLookups removes the instance from look-up answers and waits for their maximum
// age, until the answers that still name it have expired. Callers therefore use
// other instances before this one refuses connections. It then rejects requests on
// open connections for rejectionPeriod.
func (i *Instance) leaveLookups(ctx context.Context) {
	// The kernel drains the membership service only after this one, which depends on
	// it, but look-ups must omit this instance now.
	if err := i.membership.Drain(ctx); err != nil {
		i.log.Warn("announcing the drain failed", "error", err)
	}
	i.lookups.refresh()
	lookupMaxAge := time.Duration(0)
	if snapshot := i.lookups.Snapshot(); snapshot != nil {
		lookupMaxAge = snapshot.MaxAge
	}
	if sleep.For(ctx, lookupMaxAge) == nil {
		i.rejecting.Store(true)
		_ = sleep.For(ctx, rejectionPeriod)
	}
}

// rejectionPeriod is how long requests on open connections are rejected as not run
// before the connections are closed.
const rejectionPeriod = 500 * time.Millisecond

// newOperatorHTTP returns the HTTP service for the operator API, the metrics and the
// health checks.
func (i *Instance) newOperatorHTTP() *httpService {
	return &httpService{
		name: operatorHTTPServiceName,
		// The caller service depends on this one and so drains first: operators can
		// inspect a draining instance until its requests have completed.
		requires: []string{lookupServiceName, limitServiceName, keyServiceName, balancer.ServiceName, peer.ServiceName},
		listener: i.listeners.operator,
		log:      i.log,
		newHandler: func(kernel.Resolver) (http.Handler, error) {
			mux := http.NewServeMux()
			mux.Handle("/v1/", operatorapi.NewHandler(&operatorBackend{instance: i}, i.settings.OperatorToken))
			mux.Handle(pathMetrics, promhttp.HandlerFor(i.metricsRegistry, promhttp.HandlerOpts{}))
			mux.HandleFunc(pathLiveness, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
			mux.HandleFunc(pathReadiness, i.serveReadiness)
			mux.HandleFunc("/", serveNotFound)
			return mux, nil
		},
	}
}

func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !i.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
