// Package balancer chooses backend servers for requests. It is registered with the
// kernel as the service "balancer".
//
// It holds the state that the decision packages need (serverstate, placement,
// headroom, shiftcap, retry, quarantine), passes observations to them and logs each
// decision. The decisions themselves are made in those packages.
package balancer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/headroom"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/placement"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/retry"
	"github.com/jacinthrack/jacinthrack/serverstate"
	"github.com/jacinthrack/jacinthrack/shiftcap"
)

// ServiceName is the name of the balancer in the kernel registry.
const ServiceName = "balancer"

// Member is the part of an entry instance's membership record that the balancer uses.
type Member struct {
	Name string
	Zone string
}

// Options configures a Balancer.
type Options struct {
	InstanceName string // of this entry instance
	Zone         string // availability zone of this entry instance
	// Members returns the live entry instances, including this one.
	Members func() []Member
	// OnServerCrash is called when a server has crashed with requests in flight. It
	// must not block.
	OnServerCrash func()
	// ShiftTokens limits the rate of shifted requests.
	ShiftTokens shiftcap.TokenSource
	Registry    prometheus.Registerer
	Log         *slog.Logger
}

// Balancer chooses backend servers. Its methods are safe for concurrent use.
type Balancer struct {
	kernel.Base
	opts       Options
	log        *slog.Logger
	tracker    *serverstate.Tracker
	budgets    *retry.Budgets
	quarantine *quarantine.Tracker
	metrics    *metrics
	prober     *prober
	crashes    crashLog

	mu          sync.Mutex
	rng         *rand.Rand
	configState *configState // nil until the first SetConfig

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// configState is the state that depends on the configuration. A new configuration
// replaces it as a whole.
type configState struct {
	index                *config.Index
	region               string // region of this entry instance
	placer               *placement.Placer
	linkBudgets          *headroom.LinkBudgets
	reservationHolder    *headroom.ReservationHolder
	reservationPublisher *headroom.Publisher
	servers              map[string]config.BackendServer // by name
}

// New returns a balancer without a configuration; see SetConfig.
func New(o Options) *Balancer {
	b := &Balancer{
		opts:       o,
		log:        o.Log,
		tracker:    serverstate.NewTracker(),
		budgets:    retry.NewBudgets(0, 0),
		quarantine: quarantine.NewTracker(),
		metrics:    newMetrics(o.Registry),
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	b.prober = newProber(b)
	return b
}

// Name implements kernel.Service.
func (b *Balancer) Name() string { return ServiceName }

// Start implements kernel.Service.
func (b *Balancer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.goroutines.Go(func() { b.run(ctx) })
	b.goroutines.Go(func() { b.prober.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (b *Balancer) Stop(context.Context) error {
	b.cancel()
	b.goroutines.Wait()
	return nil
}

// tickInterval is the time between two calls of Tick.
const tickInterval = time.Second

func (b *Balancer) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.Tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Tick updates what changes with time: server states, retry budgets, the shares of the
// entry instances and metrics. The running service calls it every tickInterval.
func (b *Balancer) Tick(now time.Time) {
	b.logTransitions(b.tracker.Tick(now))
	b.budgets.RemoveIdle(now)
	b.updateInstanceShares()
	b.metrics.update(b, now)
}

// SetConfig applies a configuration. Request counts, server states and reservations
// are kept for servers and services that remain; if the region of this instance has
// changed, request counts and reservations start anew.
func (b *Balancer) SetConfig(index *config.Index, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	region, _ := index.RegionOfZone(b.opts.Zone)
	old := b.configState
	next := &configState{index: index, region: region, servers: make(map[string]config.BackendServer)}
	if old != nil && old.region == region {
		next.placer, next.linkBudgets, next.reservationHolder, next.reservationPublisher = old.placer, old.linkBudgets, old.reservationHolder, old.reservationPublisher
	} else {
		next.placer = placement.NewPlacer(placement.Instance{Name: b.opts.InstanceName, Zone: b.opts.Zone, Region: region})
		next.linkBudgets = headroom.NewLinkBudgets(region, nil, b.linkInstanceCounter(index, region))
		next.reservationHolder = headroom.NewReservationHolder(next.linkBudgets)
		next.reservationPublisher = headroom.NewPublisher(b.opts.InstanceName)
	}
	next.linkBudgets.SetLinks(region, index.Document().Links, b.linkInstanceCounter(index, region))
	b.setServers(old, next, now)
	b.configState = next
}

// setServers adds, replaces and removes servers. The servers of the first
// configuration are assumed to be serving without a warm-up: a new instance has no
// evidence against them.
func (b *Balancer) setServers(old, next *configState, now time.Time) {
	instances := b.instancesByRegion(next.index)
	for _, server := range next.index.Document().BackendServers {
		next.servers[server.Name] = server
		tracked := trackerConfig(next.index, server)
		if old == nil {
			b.tracker.AddServing(tracked, now)
		} else {
			b.tracker.Add(tracked, now)
		}
		region, _ := next.index.RegionOfZone(server.Zone)
		next.placer.SetServer(server, region, instances[region])
	}
	if old == nil {
		return
	}
	for name := range old.servers {
		if _, found := next.servers[name]; !found {
			b.tracker.Remove(name)
			next.placer.RemoveServer(name)
		}
	}
}

// trackerConfig returns the part of a server's configuration that the tracker needs.
func trackerConfig(index *config.Index, server config.BackendServer) serverstate.Server {
	service, _ := index.Service(server.Service)
	return serverstate.Server{
		Name:      server.Name,
		Service:   server.Service,
		Zone:      server.Zone,
		SlowStart: service.SlowStart.Std(),
		Probed:    service.HealthPath != "",
	}
}

// instancesByRegion returns the sorted names of the live entry instances by region.
func (b *Balancer) instancesByRegion(index *config.Index) map[string][]string {
	instances := make(map[string][]string)
	for _, m := range b.opts.Members() {
		region, ok := index.RegionOfZone(m.Zone)
		if ok {
			instances[region] = append(instances[region], m.Name)
		}
	}
	for _, names := range instances {
		sort.Strings(names)
	}
	return instances
}

// linkInstanceCounter returns a function that counts the entry instances in region and
// in other, the two ends of a link. It returns at least 1.
func (b *Balancer) linkInstanceCounter(index *config.Index, region string) func(other string) int {
	return func(other string) int {
		instances := b.instancesByRegion(index)
		return max(1, len(instances[region])+len(instances[other]))
	}
}

// updateInstanceShares divides the capacity of servers and links between the entry
// instances that are live now.
func (b *Balancer) updateInstanceShares() {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.configState
	if s == nil {
		return
	}
	instances := b.instancesByRegion(s.index)
	for _, server := range s.servers {
		region, _ := s.index.RegionOfZone(server.Zone)
		s.placer.SetServer(server, region, instances[region])
	}
	s.linkBudgets.SetLinks(s.region, s.index.Document().Links, b.linkInstanceCounter(s.index, s.region))
}

// currentConfigState returns nil until the first SetConfig.
func (b *Balancer) currentConfigState() *configState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.configState
}

func (b *Balancer) logTransitions(transitions []serverstate.Transition) {
	for _, t := range transitions {
		b.log.Info("backend server state changed", "server", t.Server, "from", t.From.String(), "to", t.To.String(), "reason", t.Reason.String())
	}
}
