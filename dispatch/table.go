package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/mix"
	"github.com/jacinthrack/jacinthrack/routes"
)

// Locality is where an instance stands.
type Locality struct {
	Zone    string
	Region  string
	RegionByZone map[string]string // region of each availability zone
}

// Round trips between an instance and a server, by distance.
const (
	roundTripZone   = 200 * time.Microsecond
	roundTripRegion = 2 * time.Millisecond
	roundTripFar    = 40 * time.Millisecond
)

// Extra cost of a distance, as time. Bytes between zones are paid for, and bytes
// between regions more so.
const (
	farZoneCost   = 10 * time.Millisecond
	farRegionCost = 40 * time.Millisecond
	// uploadFactor raises these costs for long bodies.
	uploadFactor = 3
	// uploadBytes is the size from which a body counts as long.
	uploadBytes = 16 << 10
)

// Shares of the time of a request.
const (
	// warmWork is the part of the service time that is left for an object that the
	// server has handled before.
	warmWork = 0.3
	// warmFor is the time for which a server is taken to know an object.
	warmFor = time.Minute
	// placeCost is the part of the service time that each place in the order of an
	// object's servers costs.
	placeCost = 2.0
	// waitCost scales the mean service time by the share of the slots that is
	// missing, as the wait for one.
	waitCost = 1.0
	// busyCost is the part of the service time that a full server costs more
	// than an empty one, so that requests spread.
	busyCost = 0.3
	// rejectCost scales the service time by the share of failed requests.
	rejectCost = 4.0
	// rejectGain is the weight of one result in that share.
	rejectGain = 0.15
	// defaultWork is the service time before the first sample.
	defaultWork = 200 * time.Millisecond
)

// Request is a request that wants a server.
type Request struct {
	ID        string
	Service   string
	Route     string
	Priority  int
	Customer  string
	CustomerWeight    float64   // of the customer relative to others; not positive means 1
	ObjectiveAt time.Time // a response after it has little value
	Deadline    time.Time // a response after it has none
	ObjectHash    uint64    // hash of what the request is about; 0 for none
	AllowedRegions   []string  // where it may run, if Bound
	RegionBound     bool
	BodyBytes int
	ExcludedServerIDs   []string // servers that were tried
}

// Dispatcher holds the servers of an instance and the requests that wait for them.
type Dispatcher struct {
	place    Locality
	servers  map[string]*Server
	services map[string]*service
	work     map[string]time.Duration // mean time of a route's requests
	members  int
	rng      *rand.Rand
	pacer    pacer
	open     map[string]bool // reused by openRegions
}

// service is the pool of servers with the requests that wait for one.
type service struct {
	config  routes.Service
	servers []*Server
	queue   queue
	work    time.Duration
	budget  RetryBudget
	running map[string]float64 // requests of each customer, by its weight
}

// NewDispatcher returns a table without servers.
func NewDispatcher(place Locality, rng *rand.Rand) *Dispatcher {
	return &Dispatcher{
		place:    place,
		servers:  make(map[string]*Server),
		services: make(map[string]*service),
		work:     make(map[string]time.Duration),
		members:  1,
		rng:      rng,
		open:     make(map[string]bool),
		pacer:    pacer{home: place.Region},
	}
}

// SetMaxRegionShift bounds the share of the requests that may change their region from
// one window to the next. 0 means no bound.
func (t *Dispatcher) SetMaxRegionShift(most float64) { t.pacer.most = most }

// SetMembers sets the number of instances that share the servers.
func (t *Dispatcher) SetMembers(n int) { t.members = max(n, 1) }

// SetServices takes the services of a configuration.
func (t *Dispatcher) SetServices(services map[string]*routes.Service) {
	for name, config := range services {
		t.service(name).config = *config
	}
}

func (t *Dispatcher) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{running: make(map[string]float64)}
		t.services[name] = s
	}
	return s
}

// SetServers takes the listed servers. Those that are not listed any more get no new
// requests; they are forgotten once none is in progress.
func (t *Dispatcher) SetServers(listed []routes.Server, evacuated map[string]bool, now time.Time) {
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		s := t.servers[l.ID]
		if s == nil {
			s = newServer(l, t.place.RegionByZone[l.Zone])
			t.servers[l.ID] = s
		}
		s.Region = t.place.RegionByZone[l.Zone]
		s.update(l, now)
		s.Evacuated = evacuated[l.Zone]
	}
	for id, s := range t.servers {
		if present[id] {
			continue
		}
		s.Removed = true
		if s.own == 0 {
			delete(t.servers, id)
		}
	}
	for _, svc := range t.services {
		svc.servers = svc.servers[:0]
	}
	local := 0
	for _, s := range t.servers {
		if s.Removed {
			continue
		}
		svc := t.service(s.Service)
		svc.servers = append(svc.servers, s)
		if s.Ready && !s.Evacuated && s.Region == t.place.Region {
			local += s.Slots
		}
	}
	t.pacer.setSlots(local, now)
}

// distance returns the round trip to a server and the price of its distance.
func (t *Dispatcher) distance(s *Server, bodyBytes int) (roundTrip, price time.Duration) {
	factor := time.Duration(1)
	if bodyBytes >= uploadBytes {
		factor = uploadFactor
	}
	switch {
	case s.Zone == t.place.Zone:
		return roundTripZone, 0
	case s.Region == t.place.Region:
		return roundTripRegion, factor * farZoneCost
	default:
		return roundTripFar, factor * farRegionCost
	}
}

// allowed reports whether a request may run on a server.
func (t *Dispatcher) allowed(r *Request, s *Server, now time.Time) bool {
	if !s.usable(now) {
		return false
	}
	if r.RegionBound && !slices.Contains(r.AllowedRegions, s.Region) {
		return false
	}
	return !slices.Contains(r.ExcludedServerIDs, s.ID)
}

// roomMargin is the room that the estimated load must leave. Estimates are no whole
// numbers; half a request is as likely to fit as not.
const roomMargin = 0.5

// coldTurn returns when the next request may go to a cold server. The first turn is
// drawn, since all instances see the server turn cold at about the same time.
func (t *Dispatcher) coldTurn(s *Server) time.Time {
	if s.coldNext.Before(s.coldSince) {
		s.coldNext = s.coldSince.Add(time.Duration(t.rng.Float64() * float64(t.coldInterval(s))))
	}
	return s.coldNext
}

// coldInterval is the time between this instance's requests to a cold server, 0 when
// the service states no rate.
func (t *Dispatcher) coldInterval(s *Server) time.Duration {
	rate := t.service(s.Service).config.WarmupRate
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(t.members) / rate * float64(time.Second))
}

// coldWork is how many times longer a cold server takes, until it is measured.
const coldWork = 2.0

// room reports whether a server can run one more request at once.
func (t *Dispatcher) room(s *Server, now time.Time) bool {
	if s.cold(now) && now.Before(t.coldTurn(s)) {
		return false
	}
	return s.load(now)+roomMargin <= float64(s.Slots)
}

// cost estimates the time of a request on a server, with what its distance costs and
// the wait for a slot. place is that of the server in the order of the object.
func (t *Dispatcher) cost(r *Request, s *Server, place int, mean time.Duration, now time.Time) float64 {
	trip, price := t.distance(s, r.BodyBytes)
	work := float64(s.serviceTime(mean, now))
	if r.ObjectHash != 0 {
		if at, ok := s.warm[r.ObjectHash]; ok && now.Sub(at) < warmFor {
			work *= warmWork
		}
		work *= 1 + placeCost*float64(place)
	}
	load := s.load(now) / float64(s.Slots)
	work *= 1 + busyCost*load + rejectCost*s.rejected
	if s.cold(now) {
		work *= coldWork
	}
	if over := load + 1/float64(s.Slots) - 1; over > 0 {
		work += waitCost * float64(mean) * over
	}
	return work + float64(trip) + float64(price)
}

// homes are the first servers in the order of an object, which is the same at every
// instance that has the same servers.
type homes struct {
	servers [places]*Server
	ranks   [places]uint64
}

// places is the number of servers whose place in an object's order counts. Those
// after them cost alike.
const places = 4

// homesOf returns the first of the servers that may run the request.
func (t *Dispatcher) homesOf(r *Request, svc *service, now time.Time) *homes {
	var h homes
	for _, s := range svc.servers {
		if !t.allowed(r, s, now) {
			continue
		}
		rank := mix.Bits(r.ObjectHash ^ s.hash)
		for i := range h.servers {
			if h.servers[i] == nil || rank < h.ranks[i] {
				h.servers[i], s = s, h.servers[i]
				h.ranks[i], rank = rank, h.ranks[i]
			}
			if s == nil {
				break
			}
		}
	}
	return &h
}

// place returns the place of a server, from 0.
func (h *homes) place(s *Server) int {
	for i, other := range h.servers {
		if other == s {
			return i
		}
	}
	return places
}

// choose returns the server that costs least, or nil if that has no room: a slot that
// becomes free soon at a server that knows the object can be worth the wait. possible
// reports whether some server may run the request.
func (t *Dispatcher) choose(r *Request, now time.Time) (best *Server, possible bool) {
	open := t.openRegions(r, now)
	best = t.cheapest(r, now, func(s *Server) bool { return open[s.Region] })
	if best != nil && t.room(best, now) {
		return best, true
	}
	if best != nil && open[t.place.Region] {
		return nil, true
	}
	// When the regions that may take more have no room, this region takes the
	// request; when they have no server at all, any region does.
	other := t.cheapest(r, now, func(s *Server) bool { return best == nil || s.Region == t.place.Region })
	if other != nil && t.room(other, now) {
		return other, true
	}
	return nil, best != nil || other != nil
}

// openRegions returns the regions to which a request may go now.
// The result is valid until the next call.
func (t *Dispatcher) openRegions(r *Request, now time.Time) map[string]bool {
	clear(t.open)
	for _, region := range t.place.RegionByZone {
		if _, known := t.open[region]; !known {
			t.open[region] = r.RegionBound || t.pacer.allows(region, now)
		}
	}
	return t.open
}

// cheapest returns the server of lowest cost among those that may run the request.
func (t *Dispatcher) cheapest(r *Request, now time.Time, keep func(*Server) bool) *Server {
	svc := t.services[r.Service]
	if svc == nil {
		return nil
	}
	mean := svc.meanWork()
	order := &homes{}
	if r.ObjectHash != 0 {
		order = t.homesOf(r, svc, now)
	}
	var best *Server
	bestCost := 0.0
	for _, s := range svc.servers {
		if !t.allowed(r, s, now) || !keep(s) {
			continue
		}
		if cost := t.cost(r, s, order.place(s), mean, now); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

func (s *service) meanWork() time.Duration {
	if s.work == 0 {
		return defaultWork
	}
	return s.work
}

// begin counts a request at a server.
func (t *Dispatcher) begin(r *Request, s *Server, now time.Time) {
	s.own++
	t.services[s.Service].running[r.Customer] += 1 / r.weight()
	t.pacer.sent(s.Region, now)
	if s.cold(now) {
		s.coldNext = now.Add(t.coldInterval(s))
	}
}

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes.
const (
	OutcomeSucceeded   Outcome = iota // a complete response that is no failure
	OutcomeRejected                   // the server stated that it did not run the request
	OutcomeFailed                     // the server answered with a failure
	OutcomeIncomplete                     // no complete response
	OutcomeUnreachable                // no connection could be opened
	OutcomeTimedOut                   // no response in time
	OutcomeCancelled                  // the caller left
	OutcomeMisdirected                // another server has the address
)

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	Outcome Outcome
	Duration    time.Duration
	Load    *LoadReport         // nil when the server told none
	WarmupLeft    time.Duration // how long the server says that it stays cold
}

// Finish records the end of an attempt on a server.
func (t *Dispatcher) Finish(r *Request, s *Server, result AttemptResult, now time.Time) {
	s.own--
	t.services[s.Service].ended(r)
	if s.Removed && s.own <= 0 && t.servers[s.ID] == s {
		delete(t.servers, s.ID)
	}
	if result.WarmupLeft > 0 {
		s.cool(result.WarmupLeft, now)
	}
	bad := 0.0
	switch result.Outcome {
	case OutcomeSucceeded:
		s.failures = 0
		t.learn(r, s, result.Duration, now)
		s.remember(r.ObjectHash, now)
	case OutcomeRejected, OutcomeFailed:
		bad = 1
	case OutcomeIncomplete:
		bad = 1
	case OutcomeTimedOut:
		bad = 1
		s.observe(result.Duration, now)
	case OutcomeUnreachable, OutcomeMisdirected:
		s.fail(now)
	case OutcomeCancelled:
		return
	}
	s.rejected += rejectGain * (bad - s.rejected)
	if result.Load != nil {
		s.report(*result.Load, now)
	}
}

// weight returns the weight of the request's customer.
func (r *Request) weight() float64 {
	if r.CustomerWeight > 0 {
		return r.CustomerWeight
	}
	return 1
}

// ended takes a request out of the count of its customer.
func (s *service) ended(r *Request) {
	left := s.running[r.Customer] - 1/r.weight()
	if left < countRest/r.weight() {
		delete(s.running, r.Customer)
		return
	}
	s.running[r.Customer] = left
}

// countRest is the part of a request below which a count is taken for zero, since
// weights are not exact.
const countRest = 0.5

func (t *Dispatcher) learn(r *Request, s *Server, took time.Duration, now time.Time) {
	trip, _ := t.distance(s, 0)
	work := max(took-trip, time.Millisecond)
	s.observe(work, now)
	svc := t.services[s.Service]
	svc.work = smooth(svc.work, work)
	t.work[r.Route] = smooth(t.work[r.Route], work)
}

// workGain is the weight of a sample in the mean of a service or route.
const workGain = 0.02

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(workGain*float64(sample-mean))
}
