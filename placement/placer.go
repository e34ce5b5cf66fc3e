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

// Instance identifies an entry instance that places requests.
type Instance struct {
	Name   string
	Zone   string
	Region string
}

// ServerStates provides the state of backend servers. *serverstate.Tracker implements it.
type ServerStates interface {
	// Weight returns the server's weight for new requests, 0 to 1, and its reason.
	Weight(server string, now time.Time) (weight float64, reason serverstate.Reason)
	// Latency returns the server's recent average latency, zero when unknown.
	Latency(server string) time.Duration
}

// Inputs is what Place and FreeCapacity need besides the Placer's own counts. See View for
// the fields that View has too.
type Inputs struct {
	States           ServerStates
	SpilloverErrors  map[string]error
	ReservedRequests int
	Policy           config.Policy
}

// Placer places requests. It counts the in-flight requests of this instance by server and
// stores the use that other instances report. All methods are safe for concurrent use.
// Place chooses a server and counts the request under one lock, so that two requests
// never take the same last slot.
type Placer struct {
	self Instance

	mu       sync.Mutex
	servers  map[string]*serverRecord
	services map[string]*servicePool
	// candidateBuffer is reused by each call of view to avoid large allocations.
	candidateBuffer []Candidate
}

// servicePool holds the backend servers of one service.
type servicePool struct {
	servers []*serverRecord // sorted by name
}

// serverRecord holds the configuration and the use of one server.
type serverRecord struct {
	config.BackendServer
	region          string
	sharers         []string // entry instances that divide the slots, sorted
	inFlight        int
	openConnections int
	idleConnections int
	reports         []usageReport // sorted by entry instance, so that sums are reproducible
	shareOffset     uint64        // decides which sharers get one slot more when the division has a remainder
	ownRank         int           // position of this instance among the sharers, or -1
}

// usageReport is the use of a server as reported by another entry instance.
type usageReport struct {
	instance   string
	rank       int // position of the instance among the sharers, or -1
	inFlight   int
	measuredAt time.Time
}

// NewPlacer returns a Placer without servers for the entry instance self.
func NewPlacer(self Instance) *Placer {
	return &Placer{
		self:     self,
		servers:  make(map[string]*serverRecord),
		services: make(map[string]*servicePool),
	}
}

// SetServer adds a server, or replaces its configuration and keeps its counts. sharers
// are the live entry instances of the server's region. They divide the server's slots
// when reports are missing, so all of them must use the same list.
func (p *Placer) SetServer(s config.BackendServer, region string, sharers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.servers[s.Name]
	if rec == nil {
		rec = &serverRecord{shareOffset: xxhash.Sum64String(s.Name)}
		p.servers[s.Name] = rec
	} else if rec.Service != s.Service {
		p.removeFromService(rec)
	}
	rec.BackendServer = s
	rec.region = region
	rec.sharers = slices.Sorted(slices.Values(sharers))
	rec.ownRank = rec.rankOf(p.self.Name)
	for i := range rec.reports {
		rec.reports[i].rank = rec.rankOf(rec.reports[i].instance)
	}
	pool := p.services[s.Service]
	if pool == nil {
		pool = &servicePool{}
		p.services[s.Service] = pool
	}
	if !slices.Contains(pool.servers, rec) {
		pool.servers = append(pool.servers, rec)
		slices.SortFunc(pool.servers, func(x, y *serverRecord) int { return cmp.Compare(x.Name, y.Name) })
	}
}

// RemoveServer removes a server that is no longer configured.
func (p *Placer) RemoveServer(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.servers[name]
	if rec == nil {
		return
	}
	delete(p.servers, name)
	p.removeFromService(rec)
}

// removeFromService removes a server from the pool of its service.
func (p *Placer) removeFromService(rec *serverRecord) {
	pool := p.services[rec.Service]
	pool.servers = slices.DeleteFunc(pool.servers, func(other *serverRecord) bool { return other == rec })
	if len(pool.servers) == 0 {
		delete(p.services, rec.Service)
	}
}

// StorePeerUsage stores the number of another instance's in-flight requests at a server.
// age is the report's age on arrival. Reports about unknown servers are ignored.
func (p *Placer) StorePeerUsage(instance, server string, inFlight int, age time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.servers[server]
	if rec == nil || instance == p.self.Name {
		return
	}
	rec.storeReport(usageReport{instance: instance, rank: rec.rankOf(instance), inFlight: inFlight, measuredAt: now.Add(-age)})
	rec.reports = slices.DeleteFunc(rec.reports, func(r usageReport) bool { return now.Sub(r.measuredAt) > reportLifetime })
}

// reportLifetime is the age after which reports are dropped. Their weight is then less
// than 0.1%.
const reportLifetime = 10 * reportHalfLife

// storeReport stores a report unless a newer one of the same instance is stored.
func (rec *serverRecord) storeReport(r usageReport) {
	i, found := slices.BinarySearchFunc(rec.reports, r.instance, func(x usageReport, name string) int {
		return cmp.Compare(x.instance, name)
	})
	switch {
	case !found:
		rec.reports = slices.Insert(rec.reports, i, r)
	case !rec.reports[i].measuredAt.After(r.measuredAt):
		rec.reports[i] = r
	}
}

// Place chooses a server for the request and counts the request as in flight there. If
// a server was chosen, the caller must call RequestDone when the request ends. rng is used
// under the lock.
func (p *Placer) Place(req Request, in Inputs, rng *rand.Rand, now time.Time) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.services[req.Service]
	if pool == nil {
		return Decision{}
	}
	d := Choose(req, p.view(pool, in, now), rng)
	if rec := p.servers[d.Server]; rec != nil {
		rec.inFlight++
	}
	return d
}

// RequestDone removes a placed request from the server's in-flight requests.
func (p *Placer) RequestDone(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rec := p.servers[server]; rec != nil {
		rec.inFlight = max(0, rec.inFlight-1)
	}
}

// SetConnectionCounts stores the number of this instance's open connections to a server,
// idle ones included, and the number of idle ones.
func (p *Placer) SetConnectionCounts(server string, open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rec := p.servers[server]; rec != nil {
		rec.openConnections = open
		rec.idleConnections = idle
	}
}

// ServerUsage holds the number of this instance's requests at a server.
type ServerUsage struct {
	Server   string
	InFlight int
}

// ServerUsages returns this instance's use of all servers, sorted by name, for the
// reports to other instances. Servers without requests are included, so that other instances
// learn that they are unused. reserved returns the number of requests of a service for which this
// instance has granted reservations to other regions. They count as use, so that no other
// instance of the region takes that capacity.
func (p *Placer) ServerUsages(reserved func(service string) int, policy config.Policy) []ServerUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	usages := make([]ServerUsage, 0, len(p.servers))
	for service, pool := range p.services {
		unassigned := reserved(service)
		for _, rec := range pool.servers {
			reservedHere := 0
			if rec.region == p.self.Region {
				reservedHere = min(unassigned, max(0, rec.staticShare(rec.ownRank, UsableSlots(rec.Slots, policy))-rec.inFlight))
			}
			unassigned -= reservedHere
			usages = append(usages, ServerUsage{Server: rec.Name, InFlight: rec.inFlight + reservedHere})
		}
	}
	slices.SortFunc(usages, func(x, y ServerUsage) int { return cmp.Compare(x.Server, y.Server) })
	return usages
}

// FreeCapacity returns how many more requests of a service fit into this instance's static
// shares of the servers in its region, for headroom.Publisher. Slots that another
// instance uses beyond its static share reduce the unused shares of all instances in
// proportion.
func (p *Placer) FreeCapacity(service string, in Inputs, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := 0.0
	var c Candidate
	pool := p.services[service]
	if pool == nil {
		return 0
	}
	for _, rec := range pool.servers {
		if rec.region != p.self.Region {
			continue
		}
		rec.fillCandidate(&c, in, now)
		usableSlots := UsableSlots(rec.Slots, in.Policy)
		free += freeCapacityAt(&c, usableSlots)
	}
	return int(free + floatTolerance)
}

// freeCapacityAt returns the free capacity of this instance's static share of one
// server, in requests.
func freeCapacityAt(c *Candidate, usableSlots int) float64 {
	unusedShare := float64(max(0, c.StaticShare-c.InFlight))
	expected, _, _ := peerInFlight(c, TierRegion)
	freeSlots := float64(usableSlots-c.InFlight) - expected
	if unusedShare <= 0 || freeSlots <= 0 {
		return 0
	}
	allUnusedShares := unusedShare
	for _, u := range c.PeerUsage {
		allUnusedShares += max(0, float64(u.StaticShare)-u.expectedInFlight(reportWeight(u.Age)))
	}
	return c.Weight * min(unusedShare, freeSlots*unusedShare/allUnusedShares)
}

// view builds the View for a service in candidateBuffer. It is valid until the next call. The
// caller holds the lock.
func (p *Placer) view(pool *servicePool, in Inputs, now time.Time) View {
	if cap(p.candidateBuffer) < len(pool.servers) {
		p.candidateBuffer = make([]Candidate, len(pool.servers))
	}
	p.candidateBuffer = p.candidateBuffer[:len(pool.servers)]
	for i, rec := range pool.servers {
		rec.fillCandidate(&p.candidateBuffer[i], in, now)
	}
	return View{
		Zone:             p.self.Zone,
		Region:           p.self.Region,
		Candidates:       p.candidateBuffer,
		SpilloverErrors:  in.SpilloverErrors,
		ReservedRequests: in.ReservedRequests,
		Policy:           in.Policy,
	}
}

// fillCandidate overwrites c with the server's data. It reuses the memory
// of c.PeerUsage.
func (rec *serverRecord) fillCandidate(c *Candidate, in Inputs, now time.Time) {
	weight, reason := in.States.Weight(rec.Name, now)
	*c = Candidate{
		Server: rec.Name, Zone: rec.Zone, Region: rec.region, Labels: rec.Labels,
		Slots: rec.Slots, MaxConnections: rec.Connections,
		Weight: weight, StateReason: reason, Latency: in.States.Latency(rec.Name),
		InFlight: rec.inFlight, OpenConnections: rec.openConnections, IdleConnections: rec.idleConnections,
		ConnectionShare: max(1, rec.Connections/max(1, len(rec.sharers))),
		PeerUsage:       c.PeerUsage[:0],
	}
	if len(rec.sharers) == 0 {
		return
	}
	usableSlots := UsableSlots(rec.Slots, in.Policy)
	c.SharerCount = len(rec.sharers)
	c.StaticShare = rec.staticShare(rec.ownRank, usableSlots)
	c.UnreportedShare = usableSlots - c.StaticShare
	for _, r := range rec.reports {
		share := rec.staticShare(r.rank, usableSlots)
		c.UnreportedShare -= share
		c.PeerUsage = append(c.PeerUsage, PeerUsage{InFlight: r.inFlight, StaticShare: share, Age: now.Sub(r.measuredAt)})
	}
}

// rankOf returns the position of an instance among the sharers, or -1.
func (rec *serverRecord) rankOf(instance string) int {
	rank, found := slices.BinarySearch(rec.sharers, instance)
	if !found {
		return -1
	}
	return rank
}

// staticShare returns the static share of the sharer at position rank in usableSlots.
// The shares are whole slots and add up to usableSlots. Which sharers get one slot
// more when the division has a remainder differs from server to server.
func (rec *serverRecord) staticShare(rank, usableSlots int) int {
	if rank < 0 {
		return 0
	}
	n := len(rec.sharers)
	share := usableSlots / n
	if (rank+int(rec.shareOffset%uint64(n)))%n < usableSlots%n {
		share++
	}
	return share
}
