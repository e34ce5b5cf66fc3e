package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// Instance is the entry instance that places requests.
type Instance struct {
	Name   string
	Zone   string
	Region string
}

// ServerStates is what placement needs of a serverstate.Tracker.
type ServerStates interface {
	Weight(server string, now time.Time) (weight float64, reason serverstate.Reason)
	Latency(server string) time.Duration
}

// Inputs are the other observations of a placement.
type Inputs struct {
	States   ServerStates
	SpilloverErrors    map[string]error // see View
	ReservedRequests int              // see View
	Policy   config.Policy
}

// Placer holds one instance's counts and the reports of others. All methods are safe
// for concurrent use. Place chooses and counts under one lock, so that two requests
// never take the same last slot.
type Placer struct {
	self Instance

	mu       sync.Mutex
	servers  map[string]*entry
	services map[string]*pool
	// scratch is reused by view to keep placement free of large allocations.
	scratch []Candidate
}

// pool holds the servers of a service.
type pool struct {
	entries []*entry // sorted by name
}

// entry is one server in the book.
type entry struct {
	config.BackendServer
	region  string
	sharers []string // sorted
	inUse   int
	open    int
	idle    int
	reports []report // sorted by entry instance, so that sums are reproducible
	offset  uint64   // decides which sharers get the odd slots
	rank    int      // own position among the sharers, or -1
}

type report struct {
	instance string
	rank     int // position among the sharers, or -1
	inUse    int
	at       time.Time
}

// NewPlacer returns an empty book.
func NewPlacer(self Instance) *Placer {
	return &Placer{
		self:     self,
		servers:  make(map[string]*entry),
		services: make(map[string]*pool),
	}
}

// SetServer adds a server or replaces its description; counts are kept. sharers are
// the entry instances that divide the server's slots when measurements are missing:
// the live ones of its region. All of them must use the same list.
func (b *Placer) SetServer(s config.BackendServer, region string, sharers []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.servers[s.Name]
	if e == nil {
		e = &entry{offset: xxhash.Sum64String(s.Name)}
		b.servers[s.Name] = e
	} else if e.Service != s.Service {
		b.unlist(e)
	}
	e.BackendServer = s
	e.region = region
	e.sharers = slices.Sorted(slices.Values(sharers))
	e.rank = e.rankOf(b.self.Name)
	for i := range e.reports {
		e.reports[i].rank = e.rankOf(e.reports[i].instance)
	}
	p := b.services[s.Service]
	if p == nil {
		p = &pool{}
		b.services[s.Service] = p
	}
	if !slices.Contains(p.entries, e) {
		p.entries = append(p.entries, e)
		slices.SortFunc(p.entries, func(x, y *entry) int { return cmp.Compare(x.Name, y.Name) })
	}
}

// RemoveServer removes a server that is no longer configured.
func (b *Placer) RemoveServer(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.servers[name]
	if e == nil {
		return
	}
	delete(b.servers, name)
	b.unlist(e)
}

func (b *Placer) unlist(e *entry) {
	p := b.services[e.Service]
	p.entries = slices.DeleteFunc(p.entries, func(o *entry) bool { return o == e })
	if len(p.entries) == 0 {
		delete(b.services, e.Service)
	}
}

// StorePeerUsage stores another instance's requests in progress at a server. age is the
// report's age at its arrival. Reports of unknown servers are ignored.
func (b *Placer) StorePeerUsage(instance, server string, inUse int, age time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.servers[server]
	if e == nil || instance == b.self.Name {
		return
	}
	e.store(report{instance: instance, rank: e.rankOf(instance), inUse: inUse, at: now.Add(-age)})
	e.reports = slices.DeleteFunc(e.reports, func(r report) bool { return now.Sub(r.at) > reportLife })
}

// reportLife is the age at which a report weighs less than 0.1%.
const reportLife = 10 * halfLife

// store keeps the newest report of each instance.
func (e *entry) store(r report) {
	i, found := slices.BinarySearchFunc(e.reports, r.instance, func(x report, name string) int {
		return cmp.Compare(x.instance, name)
	})
	switch {
	case !found:
		e.reports = slices.Insert(e.reports, i, r)
	case !e.reports[i].at.After(r.at):
		e.reports[i] = r
	}
}

// Place chooses a server for the request and counts the request there. If one was
// chosen, Done must follow. rng is used under the book's lock.
func (b *Placer) Place(req Request, in Inputs, rng *rand.Rand, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[req.Service]
	if p == nil {
		return Decision{}
	}
	d := Choose(req, b.view(p, in, now), rng)
	if e := b.servers[d.Server]; e != nil {
		e.inUse++
	}
	return d
}

// RequestDone ends a request that was placed on the server.
func (b *Placer) RequestDone(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.servers[server]; e != nil {
		e.inUse = max(0, e.inUse-1)
	}
}

// SetConnectionCounts stores this instance's connections to a server: all, and idle.
func (b *Placer) SetConnectionCounts(server string, open, idle int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.servers[server]; e != nil {
		e.open = open
		e.idle = idle
	}
}

// ServerUsage is this instance's use of a server, for the digest.
type ServerUsage struct {
	Server string
	InFlight  int
}

// UsageByServer returns this instance's use of all servers, sorted by name. Servers without
// use are included: zero is a measurement. reserved returns the requests that the
// instance has granted to other regions for a service; they count as use, so that
// no other instance of the region takes that room. It is called once per digest
// round: from then on the others know of this instance's use.
func (b *Placer) UsageByServer(reserved func(service string) int, p config.Policy) []ServerUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]ServerUsage, 0, len(b.servers))
	for service, pool := range b.services {
		left := reserved(service)
		for _, e := range pool.entries {
			part := 0
			if e.region == b.self.Region {
				part = min(left, max(0, e.share(e.rank, UsableSlots(e.Slots, p))-e.inUse))
			}
			left -= part
			out = append(out, ServerUsage{Server: e.Name, InFlight: e.inUse + part})
		}
	}
	slices.SortFunc(out, func(x, y ServerUsage) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// FreeCapacity returns the number of requests for which the instance's own share of a
// service's servers in its region has room, for headroom.Publisher. Room that
// another instance uses beyond its share is divided among those below theirs.
func (b *Placer) FreeCapacity(service string, in Inputs, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	spare := 0.0
	var c Candidate
	p := b.services[service]
	if p == nil {
		return 0
	}
	for _, e := range p.entries {
		if e.region != b.self.Region {
			continue
		}
		e.describe(&c, in, now)
		limit := UsableSlots(e.Slots, in.Policy)
		spare += spareAt(&c, limit)
	}
	return int(spare + rounding)
}

func spareAt(c *Candidate, limit int) float64 {
	own := float64(max(0, c.StaticShare-c.InFlight))
	expected, _, _ := othersUse(c, TierRegion)
	left := float64(limit-c.InFlight) - expected
	if own <= 0 || left <= 0 {
		return 0
	}
	unused := own
	for _, u := range c.PeerUsage {
		unused += max(0, float64(u.StaticShare)-u.expected(freshness(u.Age)))
	}
	return c.Weight * min(own, left*own/unused)
}

func (b *Placer) view(p *pool, in Inputs, now time.Time) View {
	if cap(b.scratch) < len(p.entries) {
		b.scratch = make([]Candidate, len(p.entries))
	}
	b.scratch = b.scratch[:len(p.entries)]
	for i, e := range p.entries {
		e.describe(&b.scratch[i], in, now)
	}
	return View{
		Zone:       b.self.Zone,
		Region:     b.self.Region,
		Candidates: b.scratch,
		SpilloverErrors:      in.SpilloverErrors,
		ReservedRequests:   in.ReservedRequests,
		Policy:     in.Policy,
	}
}

// describe fills in a candidate and reuses its slice.
func (e *entry) describe(c *Candidate, in Inputs, now time.Time) {
	weight, reason := in.States.Weight(e.Name, now)
	*c = Candidate{
		Server: e.Name, Zone: e.Zone, Region: e.region, Labels: e.Labels,
		Slots: e.Slots, MaxConnections: e.Connections,
		Weight: weight, StateReason: reason, Latency: in.States.Latency(e.Name),
		InFlight: e.inUse, OpenConnections: e.open, IdleConnections: e.idle,
		ConnectionShare: max(1, e.Connections/max(1, len(e.sharers))),
		PeerUsage:          c.PeerUsage[:0],
	}
	if len(e.sharers) == 0 {
		return
	}
	limit := UsableSlots(e.Slots, in.Policy)
	c.SharerCount = len(e.sharers)
	c.StaticShare = e.share(e.rank, limit)
	c.UnreportedShare = limit - c.StaticShare
	for _, r := range e.reports {
		share := e.share(r.rank, limit)
		c.UnreportedShare -= share
		c.PeerUsage = append(c.PeerUsage, PeerUsage{InFlight: r.inUse, StaticShare: share, Age: now.Sub(r.at)})
	}
}

// rankOf returns an instance's position among the sharers, or -1.
func (e *entry) rankOf(instance string) int {
	rank, found := slices.BinarySearch(e.sharers, instance)
	if !found {
		return -1
	}
	return rank
}

// share returns the static share of the limit for the sharer at a position. The
// shares are whole slots and add up to the limit; which sharers get the odd ones
// differs from server to server.
func (e *entry) share(rank, limit int) int {
	if rank < 0 {
		return 0
	}
	n := len(e.sharers)
	share := limit / n
	if (rank+int(e.offset%uint64(n)))%n < limit%n {
		share++
	}
	return share
}
