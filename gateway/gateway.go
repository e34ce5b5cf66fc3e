// Package gateway is the data path of an entry instance. It forwards requests to
// services, which are selected by host and path prefix.
//
// It connects the decisions of the packages dispatch, quota and quarantine with the
// network I/O of ingress and upstream. It discovers nothing itself: its caller sets the
// configuration and its age, the backend servers, the evacuated zones and the number of
// instances.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/ingress"
	"github.com/jacinthrack/jacinthrack/internal/boottime"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/quota"
	"github.com/jacinthrack/jacinthrack/routes"
	"github.com/jacinthrack/jacinthrack/upstream"
)

// Dialect reads and writes the HTTP headers that callers, entry instances and backend
// servers use to exchange metadata.
type Dialect interface {
	// RequestID returns the request ID that the caller sent.
	RequestID(http.Header) string
	// RequestIDHeader returns the name of the request ID header.
	RequestIDHeader() string
	// APIKey returns the API key that the caller sent.
	APIKey(http.Header) string
	// AffinityKey returns the affinity key that the caller sent, which names the object that
	// the request is about, or "" if there is none.
	AffinityKey(http.Header) string
	// Timeout returns the timeout that the caller sent, or false without a valid one.
	Timeout(http.Header) (time.Duration, bool)
	// RewriteRequest changes the caller's headers into those that are sent to a backend server.
	// remaining is the time until the request's deadline.
	RewriteRequest(h http.Header, customer, server string, remaining time.Duration)
	// ParseResponse extracts what a backend server reports in the status and headers of a
	// response.
	ParseResponse(status int, h http.Header) ResponseInfo
}

// ResponseInfo is what a backend server reports about itself and the request in a response.
type ResponseInfo struct {
	NotRun      bool                 // the server did not run the request
	Misdirected bool                 // a server other than the intended one answered
	Load        *dispatch.LoadReport // nil if not reported
	WarmupLeft  time.Duration        // time until the server has warmed up, 0 if not reported
	Leaving     bool                 // the server announces that it leaves
	Pause       time.Duration        // time for which the server wants no requests of this instance, 0 for none
	BadPause    bool                 // the server asked for a pause that is malformed or too long
	Rate        *dispatch.RateReport // rate that the server takes; nil if it is malformed
}

// Policy holds the limits that a deployment sets for the data path.
type Policy struct {
	// RetryBudget limits the retries of each service.
	RetryBudget dispatch.RetryBudgetPolicy
	// MaxKeyAge is the configuration age above which API keys are not accepted; 0 means no
	// maximum.
	MaxKeyAge time.Duration
	// MaxDenialAge is the configuration age above which a request with an unknown route or
	// key is rejected temporarily instead of finally, since a newer configuration may
	// contain the route or key; 0 means no maximum.
	MaxDenialAge time.Duration
	// MaxRegionShift is the maximum fraction of the requests whose region may change from one
	// window of two seconds to the next; 0 means no maximum.
	MaxRegionShift float64
	// QuotaSlack is the number of requests by which a customer may exceed its quota in
	// the window over which quotas are enforced.
	QuotaSlack float64
}

// burstSlackFraction is the fraction of Policy.QuotaSlack that is added to the fleet-wide
// burst of each customer. Without it, one instance's share of a small customer's burst is
// little more than one request, and each further request would wait for tokens of other
// instances. The rest of the slack covers restarts and instances that disagree temporarily
// about which members are alive.
const burstSlackFraction = 0.4

// Options configures a Gateway.
type Options struct {
	Locality dispatch.Locality
	Dialect  Dialect
	Policy   Policy
	Log      *slog.Logger
	Registry prometheus.Registerer
	Seed     uint64
	// DialServer opens direct connections to backend servers. Nil means upstream.Dial.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
	// ResponseBufferBytes bounds the memory of responses that are buffered on their way from
	// servers to callers; 0 means upstream.DefaultBufferBytes.
	ResponseBufferBytes int64
	// Bootstrap is set when the whole system starts for the first time.
	Bootstrap bool
	// InitialBurstFraction is the fraction of its burst that a customer may use right after the
	// start, from 0 to 1. With 1 it may use its slack, too.
	InitialBurstFraction float64
}

// Gateway forwards the requests of callers to backend servers. Its methods are safe for
// concurrent use unless they say otherwise.
type Gateway struct {
	locality          dispatch.Locality
	dialect           Dialect
	log               *slog.Logger
	upstream          *upstream.Client
	links             *serverLinks
	metrics           *metrics
	suspects          *quarantine.Tracker
	borrower          *quotaBorrower
	requestLogLimiter *rate.Limiter // limits log lines about requests
	startedAt         time.Time

	config            atomic.Pointer[routes.Config]
	rejecting         atomic.Bool // reject new requests, shortly before the process ends
	stopPlan          atomic.Pointer[stopPlan]
	stopPlanned       chan struct{} // closed when stopPlan is set
	configConfirmedAt atomic.Int64  // boottime.Instant at which the configuration was the newest one; 0 for never

	announcementMu sync.Mutex // guards the fields below, and changes of configConfirmedAt
	// announcedVersion is the highest version of a configuration that another instance is known
	// to have, and announcedAt when this became known.
	announcedVersion int64
	announcedAt      boottime.Instant

	mu             sync.Mutex // guards the fields below, except stop
	policy         Policy
	dispatcher     *dispatch.Dispatcher
	quotas         *quota.Buckets
	memberCount    int
	membersKnown   bool // memberCount was set by SetMemberCount
	rng            *rand.Rand
	waiterChannels map[*dispatch.Waiter]chan waitResult // on which waiting requests receive their servers
	pausedServers  []string                             // ids of the servers whose pauses have begun and whose end is not logged
	stop           chan struct{}
}

// New returns a gateway without a configuration.
func New(o Options) *Gateway {
	g := &Gateway{
		locality:          o.Locality,
		dialect:           o.Dialect,
		policy:            o.Policy,
		log:               o.Log,
		metrics:           newMetrics(o.Registry),
		suspects:          quarantine.NewTracker(),
		quotas:            quota.NewBuckets(o.InitialBurstFraction),
		memberCount:       assumedMemberCount,
		rng:               rand.New(rand.NewPCG(o.Seed, 1)),
		waiterChannels:    make(map[*dispatch.Waiter]chan waitResult),
		stopPlanned:       make(chan struct{}),
		stop:              make(chan struct{}),
		requestLogLimiter: rate.NewLimiter(maxRequestLogsPerSecond, maxRequestLogsPerSecond),
		startedAt:         time.Now(),
	}
	g.dispatcher = dispatch.NewDispatcher(o.Locality, rand.New(rand.NewPCG(o.Seed, 2)))
	g.dispatcher.SetMembers(assumedMemberCount)
	if o.Bootstrap {
		g.dispatcher.SetBootstrap()
	}
	g.dispatcher.SetMaxRegionShift(o.Policy.MaxRegionShift)
	g.borrower = &quotaBorrower{gateway: g, byCustomer: make(map[string]*customerBorrowing)}
	bufferBytes := o.ResponseBufferBytes
	if bufferBytes == 0 {
		bufferBytes = upstream.DefaultBufferBytes
	}
	g.links = &serverLinks{gateway: g, dial: o.DialServer}
	if g.links.dial == nil {
		g.links.dial = upstream.Dial
	}
	g.upstream = upstream.New(o.Dialect.RequestIDHeader(), g.links.open, bufferBytes)
	g.registerStateMetrics(o.Registry)
	return g
}

// maxRequestLogsPerSecond is the maximum number of log lines about requests per second, of
// about 350 bytes each. An instance of the example deployments serves fewer requests.
const maxRequestLogsPerSecond = 300

// assumedMemberCount is the number of live instances assumed until the first SetMemberCount. It
// is high, since a share of a quota that is too large would be used up at once.
const assumedMemberCount = 64

// waiterScanInterval is the time between periodic searches for free capacity for waiting
// requests. A search also takes place whenever an attempt ends.
const waiterScanInterval = 20 * time.Millisecond

// retryLogInterval is the time between log lines about the retries of a service. It is short, so that
// the lines of a process that is killed soon after its start are not lost.
const retryLogInterval = 250 * time.Millisecond

// Run starts waiting requests when capacity becomes free, and logs decisions on retries, until
// Stop is called.
func (g *Gateway) Run() {
	ticker := time.NewTicker(waiterScanInterval)
	defer ticker.Stop()
	retryLogTicker := time.NewTicker(retryLogInterval)
	defer retryLogTicker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-retryLogTicker.C:
			g.logRetryDecisions()
			g.logEndedPauses()
		case <-ticker.C:
			g.mu.Lock()
			if len(g.waiterChannels) > 0 {
				g.startAllWaiters()
			}
			g.mu.Unlock()
		}
	}
}

// Stop ends Run. It must be called only once.
func (g *Gateway) Stop() { close(g.stop) }

// Config returns the configuration in force, nil before the first one.
func (g *Gateway) Config() *routes.Config { return g.config.Load() }

// ConfigVersion returns the version of the configuration in force, 0 before the first one.
func (g *Gateway) ConfigVersion() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// SetLenders sets how quota holders are found and how tokens are borrowed from them. It must
// be called before the first request.
func (g *Gateway) SetLenders(l Lenders) { g.borrower.lenders = l }

// SetRelays sets how connections to servers are opened through other instances. It must be called
// before the first request.
func (g *Gateway) SetRelays(r Relays) { g.links.relays = r }

// SetPolicy replaces the policy.
func (g *Gateway) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = p
	g.dispatcher.SetMaxRegionShift(p.MaxRegionShift)
	g.updateQuotaShares(time.Now())
}

// SetConfig puts a configuration in force unless one of the same or a newer version already
// is. It reports whether it did.
func (g *Gateway) SetConfig(c *routes.Config) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.config.Load(); current != nil && current.Version >= c.Version {
		return false
	}
	g.config.Store(c)
	g.dispatcher.SetServices(c.Services)
	g.updateQuotaShares(time.Now())
	g.log.Info("applied configuration", "version", c.Version, "customers", len(c.Customers()), "services", len(c.Services))
	return true
}

// updateQuotaShares sets this instance's share of each customer's quota and removes the
// buckets of customers that the configuration no longer contains. The lock must be held.
func (g *Gateway) updateQuotaShares(now time.Time) {
	c := g.config.Load()
	if c == nil {
		return
	}
	for name, customer := range c.Customers() {
		limit, share := g.quotaLimit(customer), 1/float64(g.memberCount)
		if g.borrower.lenders != nil && g.membersKnown {
			share = g.borrower.lenders.LocalShare(name, limit.Rate, limit.Burst+limit.Slack)
		}
		g.quotas.SetLimit(name, limit, share, now)
	}
	g.quotas.Retain(func(name string) bool { return c.Customer(name) != nil })
}

// quotaLimit returns the fleet-wide quota of a customer. The lock must be held.
func (g *Gateway) quotaLimit(c *routes.Customer) quota.Limit {
	return quota.Limit{Rate: c.Rate, Burst: c.Burst, Slack: burstSlackFraction * g.policy.QuotaSlack}
}

// SetMemberCount sets the number of instances that may be alive and updates this instance's
// shares of the quotas, which depend on the members that Lenders sees.
func (g *Gateway) SetMemberCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n = max(n, 1); n != g.memberCount {
		g.log.Info("number of instances that may be alive changed", "old", g.memberCount, "new", n)
	}
	if !g.membersKnown {
		// The shares so far were computed for assumedMemberCount instances.
		g.quotas.Clear()
	}
	g.memberCount, g.membersKnown = n, true
	g.dispatcher.SetMembers(n)
	g.updateQuotaShares(time.Now())
}

// MemberCount returns the number of instances that may be alive.
func (g *Gateway) MemberCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memberCount
}

// SetServers replaces the list of backend servers and the set of evacuated zones. It closes
// idle connections to servers that are no longer listed at the same address.
func (g *Gateway) SetServers(servers []routes.Server, evacuated map[string]bool) {
	now := time.Now()
	g.mu.Lock()
	wasLeaving := g.dispatcher.LeavingServers()
	g.dispatcher.SetServers(servers, evacuated, now)
	g.logNoLongerLeaving(wasLeaving)
	g.startAllWaiters()
	g.mu.Unlock()
	addressByID := make(map[string]string, len(servers))
	for _, s := range servers {
		addressByID[s.ID] = s.Address
	}
	g.upstream.ClosePoolsExcept(func(server, address string) bool { return addressByID[server] == address })
}

// AnnounceConfig records that another instance has a configuration of a version.
func (g *Gateway) AnnounceConfig(version int64) {
	g.announcementMu.Lock()
	defer g.announcementMu.Unlock()
	if version > g.announcedVersion {
		g.announcedVersion, g.announcedAt = version, boottime.Now()
	}
}

// ConfirmConfig records that the configuration in force was the newest one at an instant. Older
// instants than the latest confirmation are ignored. If another instance has a newer configuration,
// nothing is confirmed; if that was known before the instant, the source of the configurations has
// lost the newer one, and earlier confirmations do not hold either.
func (g *Gateway) ConfirmConfig(at boottime.Instant) {
	g.announcementMu.Lock()
	defer g.announcementMu.Unlock()
	latest := boottime.Instant(g.configConfirmedAt.Load())
	if version := g.ConfigVersion(); version < g.announcedVersion {
		if at > g.announcedAt && latest != 0 {
			g.log.Warn("another instance has a newer configuration than the store, the one in force is no longer confirmed", "in_force", version, "announced", g.announcedVersion)
			g.configConfirmedAt.Store(0)
		}
		return
	}
	if at > latest {
		g.configConfirmedAt.Store(int64(at))
	}
}

// ConfigAge returns the configuration age: the time since the configuration in force was last
// confirmed to be the newest one. Before the first confirmation it is longer than any
// maximum.
func (g *Gateway) ConfigAge() time.Duration {
	at := boottime.Instant(g.configConfirmedAt.Load())
	if at == 0 {
		return 1 << 62 // ns, 146 years
	}
	return boottime.Now().Sub(at)
}

// Suspects returns up to limit suspect requests, for the exchange with other instances.
func (g *Gateway) Suspects(limit int) []quarantine.SuspectReport {
	return g.suspects.Export(limit, time.Now())
}

// MergeSuspects merges the suspect requests of another instance. delay is an upper bound of
// the time since that instance sent them.
func (g *Gateway) MergeSuspects(reports []quarantine.SuspectReport, delay time.Duration) {
	g.suspects.Import(reports, delay, time.Now())
}

// RateDemands returns this instance's demand for up to count servers that limit their rate, those
// with the most demand first.
func (g *Gateway) RateDemands(count int) []dispatch.RateDemand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.RateDemands(count, time.Now())
}

// MergeRateDemands replaces the demand of another instance. delay is an upper bound of the time
// since that instance reported it.
func (g *Gateway) MergeRateDemands(instance string, demands []dispatch.RateDemand, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.MergeRateDemands(instance, demands, delay, time.Now())
}

// Limits returns the limits on the requests and connections of callers.
func (g *Gateway) Limits() ingress.Limits {
	c := g.config.Load()
	if c == nil {
		return initialLimits
	}
	return ingress.Limits{
		MaxHeaderBytes: c.RequestLimits.MaxHeaderBytes,
		MaxBodyBytes:   c.RequestLimits.MaxBodyBytes,
		HeaderTimeout:  c.RequestLimits.HeaderTimeout,
		IdleTimeout:    c.RequestLimits.IdleTimeout,
	}
}

// initialLimits apply until the first configuration is in force.
var initialLimits = ingress.Limits{
	MaxHeaderBytes: 64 << 10,
	MaxBodyBytes:   64 << 20,
	HeaderTimeout:  5 * time.Second,
	IdleTimeout:    30 * time.Second,
}

// startAllWaiters starts the waiting requests of all services for which there is free
// capacity. The lock must be held.
func (g *Gateway) startAllWaiters() {
	now := time.Now()
	for _, name := range g.dispatcher.ServicesWithWaiters() {
		g.startWaiters(name, now)
	}
}

// startWaiters starts the waiting requests of a service for which there is free capacity.
// The lock must be held.
func (g *Gateway) startWaiters(service string, now time.Time) {
	for _, assignment := range g.dispatcher.StartWaiters(service, now) {
		if assignment.Server == nil {
			g.waiterChannels[assignment.Waiter] <- waitResult{rejection: &assignment.Rejection}
		} else {
			g.waiterChannels[assignment.Waiter] <- waitResult{server: newReservedServer(assignment.Server)}
		}
		delete(g.waiterChannels, assignment.Waiter)
	}
}

// waitResult is what becomes of a request that waits for a server.
type waitResult struct {
	server    reservedServer
	rejection *dispatch.Decision // nil if a server was assigned
}

// reservedServer is a backend server at which a slot is reserved for a request. Its string
// fields are copies that can be read without the lock, since the fields of server may
// change under it.
type reservedServer struct {
	server      *dispatch.Server
	id, address string
	service     string
	incarnation int64
}

// newReservedServer copies the fields of a server. The lock must be held.
func newReservedServer(s *dispatch.Server) reservedServer {
	return reservedServer{server: s, id: s.ID, address: s.Address, service: s.Service, incarnation: s.Incarnation}
}
