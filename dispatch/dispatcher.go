package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/mix"
	"github.com/jacinthrack/jacinthrack/routes"
)

// Locality is the zone and region of an instance.
type Locality struct {
	Zone         string
	Region       string
	RegionByZone map[string]string // region of each availability zone
}

// Network round-trip times between an instance and a server.
const (
	roundTripSameZone    = 200 * time.Microsecond
	roundTripSameRegion  = 2 * time.Millisecond
	roundTripOtherRegion = 40 * time.Millisecond
)

// Cost of traffic to another zone or region, expressed as time to compare it with latency.
// Traffic between zones is billed, and traffic between regions costs more.
const (
	otherZoneCost   = 10 * time.Millisecond
	otherRegionCost = 40 * time.Millisecond
	// largeBodyFactor multiplies these costs for large request bodies.
	largeBodyFactor = 3
	// largeBodyBytes is the size from which a request body counts as large.
	largeBodyBytes = 16 << 10
)

// Parameters of the cost of a request on a server. Costs without a unit are multiples of the
// service time.
const (
	// recentObjectFactor multiplies the expected service time if the server has handled the
	// object before, since the object is likely to be in its cache.
	recentObjectFactor = 0.3
	// recentObjectTTL is how long a server is assumed to have an object in its cache.
	recentObjectTTL = time.Minute
	// affinityRankCost is the extra cost for each rank of the server in the affinity order
	// of the object.
	affinityRankCost = 2.0
	// slotWaitCost is the cost of waiting for a slot at a server that would need twice its
	// slots to run all its requests at once. The cost is proportional to the missing slots.
	slotWaitCost = 1.0
	// loadCost is the extra cost of a server whose slots are all used over an idle one. It
	// spreads requests over the servers.
	loadCost = 0.3
	// failureRateCost is the extra cost of a server that fails all requests. The cost is
	// proportional to the failure rate.
	failureRateCost = 4.0
	// failureRateGain is the weight of one attempt in the failure rate.
	failureRateGain = 0.15
	// defaultServiceTime is the mean service time of a service before the first sample.
	defaultServiceTime = 200 * time.Millisecond
)

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
	services          map[string]*servicePool
	routeServiceTimes map[string]time.Duration // mean service time by route name
	members           int                      // instances that share the servers
	rng               *rand.Rand
	regionShift       regionShiftLimiter
	openByRegion      map[string]bool // result of openRegions, reused by its next call
}

// servicePool holds the backend servers of a service and the requests that wait for them.
type servicePool struct {
	config           routes.Service
	servers          []*Server
	queue            waiterQueue
	serviceTime      time.Duration // mean service time, 0 before the first sample
	retryBudget      RetryBudget
	weightedInFlight map[string]float64 // in-flight requests of each customer, divided by its weight
	// reportsOmitAnswered is set once a server has reported no request with the response to a
	// request that it ran: load reports of the service do not include that request.
	reportsOmitAnswered bool
}

// NewDispatcher returns a dispatcher without servers, for an instance that is the only one.
func NewDispatcher(locality Locality, rng *rand.Rand) *Dispatcher {
	return &Dispatcher{
		locality:          locality,
		servers:           make(map[string]*Server),
		services:          make(map[string]*servicePool),
		routeServiceTimes: make(map[string]time.Duration),
		members:           1,
		rng:               rng,
		openByRegion:      make(map[string]bool),
		regionShift:       regionShiftLimiter{homeRegion: locality.Region},
	}
}

// SetMaxRegionShift sets the largest share of the requests that may move to another region
// from one window of two seconds to the next. 0 means no bound.
func (d *Dispatcher) SetMaxRegionShift(maxShift float64) { d.regionShift.maxShift = maxShift }

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
		s.Evacuated = evacuated[l.Zone]
	}
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
	d.regionShift.setLocalSlots(localSlots, now)
}

// networkCost returns the round-trip time to a server, and the cost of traffic to its zone
// expressed as time.
func (d *Dispatcher) networkCost(s *Server, bodyBytes int) (roundTrip, trafficCost time.Duration) {
	factor := time.Duration(1)
	if bodyBytes >= largeBodyBytes {
		factor = largeBodyFactor
	}
	switch {
	case s.Zone == d.locality.Zone:
		return roundTripSameZone, 0
	case s.Region == d.locality.Region:
		return roundTripSameRegion, factor * otherZoneCost
	default:
		return roundTripOtherRegion, factor * otherRegionCost
	}
}

// eligible reports whether a request may be sent to a server.
func (d *Dispatcher) eligible(r *Request, s *Server, now time.Time) bool {
	if !s.usable(now) {
		return false
	}
	if r.RegionRestricted && !slices.Contains(r.AllowedRegions, s.Region) {
		return false
	}
	return !slices.Contains(r.ExcludedServerIDs, s.ID)
}

// freeSlotMargin is the number of slots that the estimated load must leave free for one
// more request. The estimate is not a whole number: with half a slot free, the request is
// as likely to find a slot as not.
const freeSlotMargin = 0.5

// nextColdRequest returns when this instance may send its next request to a cold server.
// The time of its first request is random within the interval, since all instances learn
// at about the same time that the server is cold.
func (d *Dispatcher) nextColdRequest(s *Server) time.Time {
	if s.nextColdRequest.Before(s.coldSince) {
		s.nextColdRequest = s.coldSince.Add(time.Duration(d.rng.Float64() * float64(d.coldRequestInterval(s))))
	}
	return s.nextColdRequest
}

// coldRequestInterval returns the time between this instance's requests to a cold server.
// It is 0 if the service has no warm-up rate.
func (d *Dispatcher) coldRequestInterval(s *Server) time.Duration {
	rate := d.pool(s.Service).config.WarmupRate
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(d.members) / rate * float64(time.Second))
}

// coldServerFactor is how many times longer a cold server is assumed to take for a request.
const coldServerFactor = 2.0

// hasFreeSlot reports whether a server can probably run one more request at once. A cold
// server has no free slot before the next time at which it may get a request.
func (d *Dispatcher) hasFreeSlot(s *Server, now time.Time) bool {
	if s.isCold(now) && now.Before(d.nextColdRequest(s)) {
		return false
	}
	return s.estimatedLoad(now)+freeSlotMargin <= float64(s.Slots)
}

// cost estimates the cost of a request on a server in nanoseconds: the service time, the
// wait for a slot, the round trip and the cost of traffic. rank is the rank of the server
// in the affinity order of the object, and mean the mean service time of the pool.
func (d *Dispatcher) cost(r *Request, s *Server, rank int, mean time.Duration, now time.Time) float64 {
	roundTrip, trafficCost := d.networkCost(s, r.BodyBytes)
	cost := float64(s.expectedServiceTime(mean, now))
	if r.ObjectHash != 0 {
		if at, ok := s.recentObjects[r.ObjectHash]; ok && now.Sub(at) < recentObjectTTL {
			cost *= recentObjectFactor
		}
		cost *= 1 + affinityRankCost*float64(rank)
	}
	load := s.estimatedLoad(now) / float64(s.Slots)
	cost *= 1 + loadCost*load + failureRateCost*s.failureRate
	if s.isCold(now) {
		cost *= coldServerFactor
	}
	// missingSlots is a fraction of the slots of the server.
	if missingSlots := load + 1/float64(s.Slots) - 1; missingSlots > 0 {
		cost += slotWaitCost * float64(mean) * missingSlots
	}
	return cost + float64(roundTrip) + float64(trafficCost)
}

// affinityOrder holds the first servers in the affinity order of an object, which is the
// order of their rendezvous hashes. It is the same at all instances that have the same
// servers.
type affinityOrder struct {
	servers [affinityRanks]*Server
	hashes  [affinityRanks]uint64 // rendezvous hashes of servers and object, ascending
}

// affinityRanks is the number of servers with a rank of their own in an affinity order. All
// further servers have the same rank.
const affinityRanks = 4

// affinityOrderOf returns the affinity order of the request's object among the servers that
// the request may be sent to.
func (d *Dispatcher) affinityOrderOf(r *Request, pool *servicePool, now time.Time) *affinityOrder {
	var o affinityOrder
	for _, s := range pool.servers {
		if !d.eligible(r, s, now) {
			continue
		}
		hash := mix.Bits(r.ObjectHash ^ s.idHash)
		for i := range o.servers {
			if o.servers[i] == nil || hash < o.hashes[i] {
				o.servers[i], s = s, o.servers[i]
				o.hashes[i], hash = hash, o.hashes[i]
			}
			if s == nil {
				break
			}
		}
	}
	return &o
}

// rank returns the rank of a server, from 0. It is affinityRanks for all further servers.
func (o *affinityOrder) rank(s *Server) int {
	for i, other := range o.servers {
		if other == s {
			return i
		}
	}
	return affinityRanks
}

// chooseServer returns the server of the lowest cost, or nil if it has no free slot, even if
// another server has one: it can be worth waiting for a slot at a server that has the object
// in its cache. anyEligible reports whether the request may be sent to any server.
func (d *Dispatcher) chooseServer(r *Request, now time.Time) (best *Server, anyEligible bool) {
	open := d.openRegions(r, now)
	best = d.cheapest(r, now, func(s *Server) bool { return open[s.Region] })
	if best != nil && d.hasFreeSlot(best, now) {
		return best, true
	}
	if best != nil && open[d.locality.Region] {
		return nil, true
	}
	// The bound on region shifts does not apply to the second choice. If no server in the open
	// regions is eligible, all regions are tried. If the best server there has no free slot,
	// only the region of this instance is tried, which is not open here.
	beyondBound := d.cheapest(r, now, func(s *Server) bool { return best == nil || s.Region == d.locality.Region })
	if beyondBound != nil && d.hasFreeSlot(beyondBound, now) {
		return beyondBound, true
	}
	return nil, best != nil || beyondBound != nil
}

// openRegions returns, for each region, whether the bound on region shifts lets a request run
// there. The bound does not apply to requests that are restricted to regions. The map is
// reused by the next call.
func (d *Dispatcher) openRegions(r *Request, now time.Time) map[string]bool {
	clear(d.openByRegion)
	for _, region := range d.locality.RegionByZone {
		if _, known := d.openByRegion[region]; !known {
			d.openByRegion[region] = r.RegionRestricted || d.regionShift.allows(region, now)
		}
	}
	return d.openByRegion
}

// cheapest returns the server of the lowest cost among the eligible servers that the filter
// accepts, or nil if there is none.
func (d *Dispatcher) cheapest(r *Request, now time.Time, accept func(*Server) bool) *Server {
	pool := d.services[r.Service]
	if pool == nil {
		return nil
	}
	mean := pool.meanServiceTime()
	order := &affinityOrder{}
	if r.ObjectHash != 0 {
		order = d.affinityOrderOf(r, pool, now)
	}
	var best *Server
	bestCost := 0.0
	for _, s := range pool.servers {
		if !d.eligible(r, s, now) || !accept(s) {
			continue
		}
		if cost := d.cost(r, s, order.rank(s), mean, now); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

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
}

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes.
const (
	OutcomeSucceeded   Outcome = iota // a complete response that reports no failure
	OutcomeRejected                   // the server stated that it did not run the request
	OutcomeFailed                     // the server answered with a failure status
	OutcomeIncomplete                 // the response did not arrive whole; the metric label is "broken"
	OutcomeUnreachable                // no connection could be opened
	OutcomeTimedOut                   // no response before the deadline
	OutcomeCancelled                  // the caller went away, or the request was not sent
	OutcomeMisdirected                // another server answered at the address
)

// AttemptResult describes how an attempt on a server ended.
type AttemptResult struct {
	Outcome    Outcome
	Duration   time.Duration // from the start of the attempt to its end
	Load       *LoadReport   // load reported by the server, or nil
	WarmupLeft time.Duration // remaining warm-up time reported by the server, or 0
}

// Finish records the end of an attempt that was started on a server, and updates the
// estimates about the server.
func (d *Dispatcher) Finish(r *Request, s *Server, result AttemptResult, now time.Time) {
	s.ownInFlight--
	d.services[s.Service].removeInFlight(r)
	if s.Removed && s.ownInFlight <= 0 && d.servers[s.ID] == s {
		delete(d.servers, s.ID)
	}
	if result.WarmupLeft > 0 && result.Outcome != OutcomeMisdirected {
		s.markCold(result.WarmupLeft, now)
	}
	failed := 0.0
	switch result.Outcome {
	case OutcomeSucceeded:
		s.consecutiveFailures = 0
		d.recordServiceTime(r, s, result.Duration, now)
		s.rememberObject(r.ObjectHash, now)
	case OutcomeRejected, OutcomeFailed:
		failed = 1
	case OutcomeIncomplete:
		failed = 1
	case OutcomeTimedOut:
		failed = 1
		s.observeServiceTime(result.Duration, now)
	case OutcomeUnreachable, OutcomeMisdirected:
		s.eject(now)
		return // nothing that was reported comes from this server
	case OutcomeCancelled:
		return
	}
	s.failureRate += failureRateGain * (failed - s.failureRate)
	if result.Load != nil {
		s.applyLoadReport(*result.Load, d.services[s.Service].answeredInReport(result), now)
	}
}

// answeredInReport returns the number of requests in a load report that the response with the
// report ends. A rejected request is not among the requests of the server.
func (p *servicePool) answeredInReport(result AttemptResult) int {
	if result.Outcome == OutcomeRejected {
		return 0
	}
	if result.Load.InFlight == 0 {
		p.reportsOmitAnswered = true
	}
	if p.reportsOmitAnswered {
		return 0
	}
	return 1
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

// recordServiceTime adds a sample to the mean service times of the server, the service and
// the route. took includes the network round trip, which is subtracted.
func (d *Dispatcher) recordServiceTime(r *Request, s *Server, took time.Duration, now time.Time) {
	roundTrip, _ := d.networkCost(s, 0)
	serviceTime := max(took-roundTrip, time.Millisecond)
	s.observeServiceTime(serviceTime, now)
	pool := d.services[s.Service]
	pool.serviceTime = movingAverage(pool.serviceTime, serviceTime)
	d.routeServiceTimes[r.Route] = movingAverage(d.routeServiceTimes[r.Route], serviceTime)
}

// meanServiceTimeGain is the weight of a sample in the mean service time of a service or
// route.
const meanServiceTimeGain = 0.02

// movingAverage returns the exponential moving average after a sample. A mean of 0 stands
// for no samples.
func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(meanServiceTimeGain*float64(sample-mean))
}
