package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/routes"
)

// Locality is the zone and region of an instance.
type Locality struct {
	Zone         string
	Region       string
	RegionByZone map[string]string // region of each availability zone
}

// Request is a request that needs a server.
type Request struct {
	ID                string
	Service           string
	Route             string
	Priority          int // 0 is the most urgent
	Customer          string
	CustomerWeight    float64   // of the customer relative to other customers; 1 if not positive
	ObjectiveAt       time.Time // arrival plus the route's latency objective; a response after it has little value
	Deadline          time.Time // time from which the caller no longer waits; a response after it has no value
	ObjectHash        uint64    // hash of the object that the request is about; 0 for none
	AllowedRegions    []string  // regions in which it may run, if RegionRestricted is set
	RegionRestricted  bool      // true if it may run only in AllowedRegions
	BodyBytes         int
	ExcludedServerIDs []string // ids of the servers that were tried
}

// Dispatcher assigns the requests of an instance to backend servers. It keeps the estimates
// about the servers and the queues of waiting requests.
type Dispatcher struct {
	locality          Locality
	servers           map[string]*Server
	selfReports       map[string]selfReport // by server id
	services          map[string]*servicePool
	routeServiceTimes map[string]time.Duration // mean service time by route name
	members           int                      // instances that share the servers
	bootstrap         bool                     // no earlier process ran at this instance
	rng               *rand.Rand
	regionShift       regionShiftLimiter
	openByRegion      map[string]bool       // result of openRegions, reused by its next call
	peerDemands       map[string]peerDemand // by instance
}

// servicePool holds the backend servers of a service and the requests that wait for them.
type servicePool struct {
	config           routes.Service
	servers          []*Server
	queue            waiterQueue
	serviceTime      time.Duration // mean service time, 0 before the first sample
	homeShares       homeShares
	retryBudget      RetryBudget
	weightedInFlight map[string]float64 // in-flight requests of each customer, divided by its weight
	// reportsOmitAnswered is set once a server has reported no request with a successful
	// response: load reports of the service do not include the request that they come with.
	reportsOmitAnswered bool
}

// NewDispatcher returns a dispatcher without servers, for an instance that is the only one.
func NewDispatcher(locality Locality, rng *rand.Rand) *Dispatcher {
	return &Dispatcher{
		locality:          locality,
		servers:           make(map[string]*Server),
		selfReports:       make(map[string]selfReport),
		services:          make(map[string]*servicePool),
		routeServiceTimes: make(map[string]time.Duration),
		members:           1,
		rng:               rng,
		openByRegion:      make(map[string]bool),
		peerDemands:       make(map[string]peerDemand),
		regionShift:       regionShiftLimiter{homeRegion: locality.Region},
	}
}

// Zone returns the zone of the instance.
func (d *Dispatcher) Zone() string { return d.locality.Zone }

// SetMaxRegionShift sets the largest share of the requests that may move to another region
// from one window of two seconds to the next. 0 means no bound.
func (d *Dispatcher) SetMaxRegionShift(maxShift float64) { d.regionShift.maxShift = maxShift }

// SetBootstrap says that no earlier process ran at this instance, so that it may use its whole part
// of each retry budget from the start.
func (d *Dispatcher) SetBootstrap() { d.bootstrap = true }

// SetMembers sets the number of instances that share the servers, at least 1.
func (d *Dispatcher) SetMembers(n int) { d.members = max(n, 1) }

// SetServices sets the configuration of services. Services that it does not name stay as
// they are.
func (d *Dispatcher) SetServices(services map[string]*routes.Service) {
	for name, config := range services {
		d.pool(name).config = *config
	}
}

// pool returns the pool of a service, which it creates if there is none.
func (d *Dispatcher) pool(service string) *servicePool {
	p := d.services[service]
	if p == nil {
		p = &servicePool{weightedInFlight: make(map[string]float64)}
		d.services[service] = p
	}
	return p
}

// SetServers sets the servers that the platform lists and the evacuated zones. Servers that
// are no longer listed get no new requests; they are deleted once this instance has no
// request in flight there.
func (d *Dispatcher) SetServers(listed []routes.Server, evacuated map[string]bool, now time.Time) {
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		s := d.servers[l.ID]
		if s == nil {
			s = newServer(l, d.locality.RegionByZone[l.Zone])
			d.servers[l.ID] = s
		}
		s.Region = d.locality.RegionByZone[l.Zone]
		s.update(l, now)
		d.restoreSelfReport(s, now)
		if s.Evacuated && !evacuated[l.Zone] {
			s.markCold(readmissionPacing, now)
		}
		s.Evacuated = evacuated[l.Zone]
	}
	d.expireSelfReports(present, now)
	for id, s := range d.servers {
		if present[id] {
			continue
		}
		s.Removed = true
		if s.ownInFlight == 0 {
			delete(d.servers, id)
		}
	}
	for _, pool := range d.services {
		pool.servers = pool.servers[:0]
	}
	localSlots := 0
	for _, s := range d.servers {
		if s.Removed {
			continue
		}
		pool := d.pool(s.Service)
		pool.servers = append(pool.servers, s)
		if s.Ready && !s.Evacuated && s.Region == d.locality.Region {
			localSlots += s.Slots
		}
	}
	for _, pool := range d.services {
		pool.homeShares = homeSharesOf(pool.servers, d.locality)
	}
	d.regionShift.setLocalSlots(localSlots, now)
}

// eligible reports whether a request may be sent to a server.
func (d *Dispatcher) eligible(r *Request, s *Server, now time.Time) bool {
	return s.usable(now) && r.allows(s)
}

// allows reports whether the request may run at a server that takes requests.
func (r *Request) allows(s *Server) bool {
	if r.RegionRestricted && !slices.Contains(r.AllowedRegions, s.Region) {
		return false
	}
	return !slices.Contains(r.ExcludedServerIDs, s.ID)
}

// RouteServiceTime returns the mean service time of a route, 0 before the first sample.
func (d *Dispatcher) RouteServiceTime(route string) time.Duration { return d.routeServiceTimes[route] }

// meanServiceTime returns the mean service time of the pool, defaultServiceTime before the
// first sample.
func (p *servicePool) meanServiceTime() time.Duration {
	if p.serviceTime == 0 {
		return defaultServiceTime
	}
	return p.serviceTime
}

// startAttempt counts a request as in flight at a server and in the region shift, and sets
// the time of the next request to a cold server. The caller sends the request.
func (d *Dispatcher) startAttempt(r *Request, s *Server, now time.Time) {
	s.ownInFlight++
	d.services[s.Service].weightedInFlight[r.Customer] += 1 / r.weight()
	d.regionShift.countRequest(s.Region, now)
	if s.isCold(now) {
		s.nextColdRequest = now.Add(d.coldRequestInterval(s))
	}
	d.useRateToken(s, now)
}

// weight returns the weight of the request's customer, 1 by default.
func (r *Request) weight() float64 {
	if r.CustomerWeight > 0 {
		return r.CustomerWeight
	}
	return 1
}

// removeInFlight removes a request from the weighted in-flight requests of its customer.
func (p *servicePool) removeInFlight(r *Request) {
	remaining := p.weightedInFlight[r.Customer] - 1/r.weight()
	if remaining < inFlightRounding/r.weight() {
		delete(p.weightedInFlight, r.Customer)
		return
	}
	p.weightedInFlight[r.Customer] = remaining
}

// inFlightRounding is the number of requests below which a customer counts as having none in
// flight, since sums of weights are not exact.
const inFlightRounding = 0.5
