// Package gateway is the data path of an entry instance in front of services that
// are selected by host and path prefix.
//
// It joins the decisions of dispatch, quota and quarantine with the sockets of
// ingress and upstream. What it believes is set from outside: the configuration, the
// servers, the evacuated zones, the number of instances, and how old all this is.
package gateway

import (
	"log/slog"
	"math/rand/v2"
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

// Dialect reads and writes the headers that callers, instances and servers exchange.
type Dialect interface {
	// RequestID returns the id that the caller gave its request.
	RequestID(http.Header) string
	// RequestIDHeader names the header of that id.
	RequestIDHeader() string
	// APIKey returns the API key of a request.
	APIKey(http.Header) string
	// AffinityKey names what the request is about, "" if nothing.
	AffinityKey(http.Header) string
	// Timeout returns how long the caller waits.
	Timeout(http.Header) (time.Duration, bool)
	// RewriteRequest turns the caller's headers into those for a server.
	RewriteRequest(h http.Header, customer, server string, left time.Duration)
	// ParseResponse reads what a server says of itself in a response.
	ParseResponse(status int, h http.Header) ResponseInfo
}

// ResponseInfo is what a server says of itself and of the request in a response.
type ResponseInfo struct {
	NotExecuted  bool                 // the request did not run
	Misdirected   bool                 // another server has the address
	Load    *dispatch.LoadReport // nil if it says nothing
	WarmUpRemaining time.Duration        // how long it stays cold
}

// Policy holds the bounds of a deployment.
type Policy struct {
	RetryBudget dispatch.RetryBudgetPolicy
	// MaxKeyAge is the age of the configuration above which keys are not accepted; 0
	// for any age.
	MaxKeyAge time.Duration
	// MaxDenialAge is the age of the configuration above which an unknown route or key
	// is not final, since a newer configuration may know it.
	MaxDenialAge time.Duration
	// MaxRegionShift is the share of the requests that may change the region in which
	// they run from one window of two seconds to the next; 0 for no bound.
	MaxRegionShift float64
	// QuotaSlack is the number of requests by which a customer may exceed its quota
	// in the window in which quotas are held.
	QuotaSlack float64
}

// quotaSlackUse is the part of the slack that is granted on top of each burst. The part
// of a small customer's burst at one instance is little more than a request, and each
// further one would wait for tokens of other instances. The rest covers restarts and
// instances that disagree for a moment about who is alive.
const quotaSlackUse = 0.4

// Options configure a Gateway.
type Options struct {
	Locality    dispatch.Locality
	Dialect  Dialect
	Policy   Policy
	Log      *slog.Logger
	Registry prometheus.Registerer
	Seed     uint64
	// InitialBurstFraction is the part of its burst that a customer may use at the start.
	InitialBurstFraction float64
}

// Gateway forwards requests.
type Gateway struct {
	place   dispatch.Locality
	dialect Dialect
	log     *slog.Logger
	client  *upstream.Client
	metrics *metrics
	suspect *quarantine.Tracker
	loans   *borrower
	lines   *rate.Limiter // of log lines about requests

	config    atomic.Pointer[routes.Config]
	refusing  atomic.Bool  // new requests, shortly before the process ends
	confirmed atomic.Int64 // boottime.Instant at which the configuration was in force

	mu      sync.Mutex
	policy  Policy
	table   *dispatch.Dispatcher
	quotas  *quota.Buckets
	members int
	listed  bool // members are known
	rng     *rand.Rand
	grants  map[*dispatch.Waiter]chan target
	stop    chan struct{}
}

// New returns a gateway without configuration.
func New(o Options) *Gateway {
	g := &Gateway{
		place:   o.Locality,
		dialect: o.Dialect,
		policy:  o.Policy,
		log:     o.Log,
		metrics: newMetrics(o.Registry),
		suspect: quarantine.NewTracker(),
		quotas:  quota.NewBuckets(o.InitialBurstFraction),
		members: unknownMembers,
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		grants:  make(map[*dispatch.Waiter]chan target),
		stop:    make(chan struct{}),
		lines:   rate.NewLimiter(linesPerSecond, linesPerSecond),
	}
	g.table = dispatch.NewDispatcher(o.Locality, rand.New(rand.NewPCG(o.Seed, 2)))
	g.table.SetMembers(unknownMembers)
	g.table.SetMaxRegionShift(o.Policy.MaxRegionShift)
	g.loans = &borrower{gateway: g, customers: make(map[string]*loans)}
	g.client = upstream.New(o.Dialect.RequestIDHeader(), g.metrics.dials.Inc)
	return g
}

// linesPerSecond bounds the log lines about requests, about 350 bytes each. An
// instance of the example deployments serves fewer requests.
const linesPerSecond = 300

// unknownMembers is the number of instances that are taken to be alive before they are
// known. It is high, since a part of a quota that is too large would be used at once.
const unknownMembers = 64

// pumpInterval is the time between looks for room for requests that wait, beside
// those when a request ends.
const pumpInterval = 20 * time.Millisecond

// Run looks for room for waiting requests until Stop.
func (g *Gateway) Run() {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			g.mu.Lock()
			if len(g.grants) > 0 {
				g.pumpAll()
			}
			g.mu.Unlock()
		}
	}
}

// Stop ends Run.
func (g *Gateway) Stop() { close(g.stop) }

// Config returns the configuration in force, or nil.
func (g *Gateway) Config() *routes.Config { return g.config.Load() }

// ConfigVersion returns the version of the configuration in force, 0 without one.
func (g *Gateway) ConfigVersion() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// SetLenders names the instances that tokens are borrowed from. It must be called
// before the first request.
func (g *Gateway) SetLenders(l Lenders) { g.loans.lenders = l }

// SetPolicy replaces the bounds.
func (g *Gateway) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = p
	g.table.SetMaxRegionShift(p.MaxRegionShift)
	g.setQuotas(time.Now())
}

// SetConfig puts a configuration in force unless a newer one is. It reports whether
// it did.
func (g *Gateway) SetConfig(c *routes.Config) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.config.Load(); current != nil && current.Version >= c.Version {
		return false
	}
	g.config.Store(c)
	g.table.SetServices(c.Services)
	g.setQuotas(time.Now())
	g.log.Info("configuration in force", "version", c.Version, "customers", len(c.Customers()), "services", len(c.Services))
	return true
}

// setQuotas sets the part of each customer's quota that this instance holds.
func (g *Gateway) setQuotas(now time.Time) {
	c := g.config.Load()
	if c == nil {
		return
	}
	for name, customer := range c.Customers() {
		limit, share := g.limit(customer), 1/float64(g.members)
		if g.loans.lenders != nil && g.listed {
			share = g.loans.lenders.LocalShare(name, limit.Rate, limit.Burst+limit.Slack)
		}
		g.quotas.SetLimit(name, limit, share, now)
	}
	g.quotas.Retain(func(name string) bool { return c.Customer(name) != nil })
}

// limit returns the quota that the fleet grants a customer. The lock must be held.
func (g *Gateway) limit(c *routes.Customer) quota.Limit {
	return quota.Limit{Rate: c.Rate, Burst: c.Burst, Slack: quotaSlackUse * g.policy.QuotaSlack}
}

// SetMemberCount sets the number of instances that may be alive, and takes this instance's
// parts of the quotas from the lenders, whose members may have changed.
func (g *Gateway) SetMemberCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n = max(n, 1); n != g.members {
		g.log.Info("number of instances changed", "before", g.members, "now", n)
	}
	if !g.listed {
		// The parts until now were those of an unknown number of instances.
		g.quotas.Clear()
	}
	g.members, g.listed = n, true
	g.table.SetMembers(n)
	g.setQuotas(time.Now())
}

// MemberCount returns the number of instances that may be alive.
func (g *Gateway) MemberCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members
}

// SetServers takes the listed servers and the evacuated zones.
func (g *Gateway) SetServers(servers []routes.Server, evacuated map[string]bool) {
	now := time.Now()
	g.mu.Lock()
	g.table.SetServers(servers, evacuated, now)
	g.pumpAll()
	g.mu.Unlock()
	known := make(map[string]string, len(servers))
	for _, s := range servers {
		known[s.ID] = s.Address
	}
	g.client.Forget(func(server, address string) bool { return known[server] == address })
}

// ConfirmConfig records that the configuration was the newest one at an instant.
func (g *Gateway) ConfirmConfig(at boottime.Instant) {
	for {
		before := g.confirmed.Load()
		if int64(at) <= before || g.confirmed.CompareAndSwap(before, int64(at)) {
			return
		}
	}
}

// ConfigAge returns the time since the configuration was known to be the newest one.
func (g *Gateway) ConfigAge() time.Duration {
	at := boottime.Instant(g.confirmed.Load())
	if at == 0 {
		return 1 << 62
	}
	return boottime.Now().Sub(at)
}

// Suspects returns the requests that crashed servers, for other instances.
func (g *Gateway) Suspects(limit int) []quarantine.SuspectReport {
	return g.suspect.Export(limit, time.Now())
}

// MergeSuspects takes what another instance knows of requests that crash servers.
func (g *Gateway) MergeSuspects(entries []quarantine.SuspectReport, delay time.Duration) {
	g.suspect.Import(entries, delay, time.Now())
}

// RejectRequests makes the gateway refuse all further requests as not run.
func (g *Gateway) RejectRequests() { g.refusing.Store(true) }

// Limits returns what callers may send.
func (g *Gateway) Limits() ingress.Limits {
	c := g.config.Load()
	if c == nil {
		return defaultLimits
	}
	return ingress.Limits{
		HeaderBytes:   c.RequestLimits.MaxHeaderBytes,
		BodyBytes:     c.RequestLimits.MaxBodyBytes,
		HeaderTimeout: c.RequestLimits.HeaderTimeout,
		IdleTimeout:   c.RequestLimits.IdleTimeout,
	}
}

// defaultLimits hold before the first configuration.
var defaultLimits = ingress.Limits{
	HeaderBytes:   64 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 5 * time.Second,
	IdleTimeout:   30 * time.Second,
}

// pumpAll starts waiting requests of all services. The lock must be held.
func (g *Gateway) pumpAll() {
	now := time.Now()
	for _, name := range g.table.ServicesWithWaiters() {
		g.pump(name, now)
	}
}

// pump starts the waiting requests of a service that have room. The lock must be
// held.
func (g *Gateway) pump(service string, now time.Time) {
	for _, grant := range g.table.StartWaiters(service, now) {
		g.grants[grant.Waiter] <- targetOf(grant.Server)
		delete(g.grants, grant.Waiter)
	}
}

// target is a server with room taken for a request. Its text fields are copies, since
// the table may change under the lock meanwhile.
type target struct {
	server      *dispatch.Server
	id, address string
	service     string
}

// targetOf must be called with the lock held.
func targetOf(s *dispatch.Server) target {
	return target{server: s, id: s.ID, address: s.Address, service: s.Service}
}
