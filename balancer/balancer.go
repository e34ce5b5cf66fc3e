// Package balancer picks backend servers for the data path. It is registered with
// the kernel as the service "balancer".
//
// It holds the state that the decision packages need (serverstate, placement,
// headroom, shiftcap, retry, quarantine), feeds them with observations and logs
// each decision. It decides nothing itself.
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

// ServiceName is the name in the kernel registry.
const ServiceName = "balancer"

// Member is an entry instance as the balancer sees it.
type Member struct {
	Name string
	Zone string
}

// Options configure a Balancer.
type Options struct {
	InstanceName string // of this entry instance
	Zone string
	// Members returns the live entry instances, this one included.
	Members func() []Member
	// OnServerCrash is called after the death of a server with requests in
	// progress. It must not block.
	OnServerCrash func()
	// ShiftTokens admits shifted requests.
	ShiftTokens   shiftcap.TokenSource
	Registry prometheus.Registerer
	Log      *slog.Logger
}

// Balancer picks backend servers. Its methods are safe for concurrent use.
type Balancer struct {
	kernel.Base
	opts       Options
	log        *slog.Logger
	tracker    *serverstate.Tracker
	budgets    *retry.Budgets
	quarantine *quarantine.Tracker
	metrics    *metrics
	prober     *prober
	deaths     deathLog

	mu    sync.Mutex
	rng   *rand.Rand
	state *state // nil until a configuration is in force

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// state is what depends on the configuration. The fields are replaced together.
type state struct {
	index     *config.Index
	region    string
	book      *placement.Placer
	links     *headroom.LinkBudgets
	holder    *headroom.ReservationHolder
	publisher *headroom.Publisher
	servers   map[string]config.BackendServer
}

// New returns a balancer without a configuration.
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
	b.done.Go(func() { b.run(ctx) })
	b.done.Go(func() { b.prober.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (b *Balancer) Stop(context.Context) error {
	b.cancel()
	b.done.Wait()
	return nil
}

// tickInterval is the time between updates that only the passing of time causes.
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

// Tick applies the passing of time. The service calls it once a second.
func (b *Balancer) Tick(now time.Time) {
	b.logTransitions(b.tracker.Tick(now))
	b.budgets.RemoveIdle(now)
	b.refreshSharers()
	b.metrics.update(b, now)
}

// SetConfig puts a configuration in force. Counts, server states and grants are
// kept for what stays.
func (b *Balancer) SetConfig(index *config.Index, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	region, _ := index.Region(b.opts.Zone)
	old := b.state
	next := &state{index: index, region: region, servers: make(map[string]config.BackendServer)}
	if old != nil && old.region == region {
		next.book, next.links, next.holder, next.publisher = old.book, old.links, old.holder, old.publisher
	} else {
		next.book = placement.NewPlacer(placement.Instance{Name: b.opts.InstanceName, Zone: b.opts.Zone, Region: region})
		next.links = headroom.NewLinkBudgets(region, nil, b.linkSharers(index, region))
		next.holder = headroom.NewReservationHolder(next.links)
		next.publisher = headroom.NewPublisher(b.opts.InstanceName)
	}
	next.links.SetLinks(region, index.Document().Links, b.linkSharers(index, region))
	b.setServers(old, next, now)
	b.state = next
}

// setServers adds, replaces and removes servers. The servers of the first
// configuration are taken as established: a new instance has no evidence
// against them.
func (b *Balancer) setServers(old, next *state, now time.Time) {
	sharers := b.sharersByRegion(next.index)
	for _, server := range next.index.Document().BackendServers {
		next.servers[server.Name] = server
		spec := trackerSpec(next.index, server)
		if old == nil {
			b.tracker.AddServing(spec, now)
		} else {
			b.tracker.Add(spec, now)
		}
		region, _ := next.index.Region(server.Zone)
		next.book.SetServer(server, region, sharers[region])
	}
	if old == nil {
		return
	}
	for name := range old.servers {
		if _, kept := next.servers[name]; !kept {
			b.tracker.Remove(name)
			next.book.RemoveServer(name)
		}
	}
}

func trackerSpec(index *config.Index, server config.BackendServer) serverstate.Server {
	service, _ := index.Service(server.Service)
	return serverstate.Server{
		Name:      server.Name,
		Service:   server.Service,
		Zone:      server.Zone,
		SlowStart: service.SlowStart.Std(),
		Probed:    service.HealthPath != "",
	}
}

// sharersByRegion lists the live entry instances of each region.
func (b *Balancer) sharersByRegion(index *config.Index) map[string][]string {
	sharers := make(map[string][]string)
	for _, m := range b.opts.Members() {
		region, ok := index.Region(m.Zone)
		if ok {
			sharers[region] = append(sharers[region], m.Name)
		}
	}
	for _, names := range sharers {
		sort.Strings(names)
	}
	return sharers
}

// linkSharers counts the entry instances at both ends of a link.
func (b *Balancer) linkSharers(index *config.Index, region string) func(other string) int {
	return func(other string) int {
		sharers := b.sharersByRegion(index)
		return max(1, len(sharers[region])+len(sharers[other]))
	}
}

// refreshSharers divides servers and links again when instances come or go.
func (b *Balancer) refreshSharers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state
	if s == nil {
		return
	}
	sharers := b.sharersByRegion(s.index)
	for _, server := range s.servers {
		region, _ := s.index.Region(server.Zone)
		s.book.SetServer(server, region, sharers[region])
	}
	s.links.SetLinks(s.region, s.index.Document().Links, b.linkSharers(s.index, s.region))
}

func (b *Balancer) current() *state {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

func (b *Balancer) logTransitions(transitions []serverstate.Transition) {
	for _, t := range transitions {
		b.log.Info("backend server state changed", "server", t.Server, "from", t.From.String(), "to", t.To.String(), "reason", t.Reason.String())
	}
}
