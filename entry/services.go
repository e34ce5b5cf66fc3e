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

// Names in the kernel registry.
const (
	claimsName       = "claims.store"
	callerHTTPName   = "callers.http"
	operatorHTTPName = "operators.http"
)

// Paths outside the data path.
const (
	pathLookup  = "GET /v1/lookup"
	pathMetrics = "GET /metrics"
	pathLive    = "GET /livez"
	pathReady   = "GET /readyz"
)

// claimService is the kernel service around a claims.Store.
type claimService struct {
	kernel.Base
	self     identity.InstanceConfig
	platform Platform
	members  *membership
	store    *claims.Store // from Start
	log      *slog.Logger
}

// Name implements kernel.Service.
func (s *claimService) Name() string { return claimsName }

// Requires implements kernel.Service.
func (s *claimService) Requires() []string { return []string{platformName, membershipName} }

// Provision implements kernel.Service.
func (s *claimService) Provision(r kernel.Resolver) error {
	f := &finder{resolver: r}
	s.platform = find[Platform](f, platformName)
	s.members = find[*membership](f, membershipName)
	return f.err
}

// Start implements kernel.Service.
func (s *claimService) Start(context.Context) error {
	config := claims.Config{
		Self:     claims.Claimant{Instance: s.self.Name, BootID: s.self.BootID},
		Liveness: s.members.liveness,
		Logger:   s.log,
	}
	s.store = claims.NewStore(config, s.platform, s.platform)
	return nil
}

// Stop implements kernel.Service. It waits for outcomes that are not stored yet.
func (s *claimService) Stop(ctx context.Context) error { return s.store.Close(ctx) }

// callerHTTP returns the service for look-ups and requests.
func (e *Instance) callerHTTP() *httpService {
	return &httpService{
		name:        callerHTTPName,
		requires:    []string{claimsName, admissionName, operatorHTTPName},
		listener:    e.listeners.caller,
		log:         e.log,
		handler:     e.callerHandler,
		beforeDrain: e.beforeDrain,
	}
}

// callerHandler finds the services behind the data path and joins them.
func (e *Instance) callerHandler(r kernel.Resolver) (http.Handler, error) {
	f := &finder{resolver: r}
	config := find[*configuration](f, configurationName)
	members := find[*membership](f, membershipName)
	snapshots := find[*lookups](f, lookupName)
	rates := find[*limiter](f, limitsName)
	peers := find[*peer.Service](f, peer.ServiceName)
	data := forward.New(forward.Options{
		Config:     config.index,
		Draining:   e.refusing.Load,
		Authorizer: find[*keyService](f, keysName),
		Limiter:    newBorrower(rates, members, peers),
		Admission:  find[*admission](f, admissionName),
		Balancer:   find[*balancer.Balancer](f, balancer.ServiceName),
		Claims:     &claimer{service: find[*claimService](f, claimsName), log: e.log},
		Transport:  forward.NewTransport(),
		Metrics:    forward.NewMetrics(e.registry),
		Log:        e.log,
	})
	mux := http.NewServeMux()
	mux.Handle(pathLookup, &lookup.Handler{Source: snapshots})
	mux.Handle(forward.PathPrefix, data)
	mux.HandleFunc("/", notFound)
	return mux, f.err
}

// beforeDrain takes the instance out of look-ups and waits until the answers that
// still name it have expired, so that callers have moved on before connections
// are refused.
func (e *Instance) beforeDrain(ctx context.Context) {
	// The membership drains after this service, since this one depends on it.
	if err := e.members.Drain(ctx); err != nil {
		e.log.Warn("drain was not announced", "error", err)
	}
	e.lookups.refresh()
	wait := time.Duration(0)
	if snapshot := e.lookups.Snapshot(); snapshot != nil {
		wait = snapshot.MaxAge
	}
	if sleep.For(ctx, wait) == nil {
		e.refusing.Store(true)
		_ = sleep.For(ctx, refusalPhase)
	}
}

// refusalPhase is the time in which requests on open connections are refused as
// not run, before connections are closed.
const refusalPhase = 500 * time.Millisecond

// operatorHTTP returns the service for operators, metrics and health.
func (e *Instance) operatorHTTP() *httpService {
	return &httpService{
		name: operatorHTTPName,
		// Operators can look at an instance until its requests have finished.
		requires: []string{lookupName, limitsName, keysName, balancer.ServiceName, peer.ServiceName},
		listener: e.listeners.operator,
		log:      e.log,
		handler: func(kernel.Resolver) (http.Handler, error) {
			mux := http.NewServeMux()
			mux.Handle("/v1/", operatorapi.NewHandler(&operator{entry: e}, e.settings.OperatorToken))
			mux.Handle(pathMetrics, promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
			mux.HandleFunc(pathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
			mux.HandleFunc(pathReady, e.serveReady)
			mux.HandleFunc("/", notFound)
			return mux, nil
		},
	}
}

func (e *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
