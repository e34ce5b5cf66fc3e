package headroom

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lifetime of reservations.
const (
	// ReservationLifetime is the age at which a reservation no longer allows its holder any
	// requests.
	ReservationLifetime = 5 * time.Second
	// reservationFullAge is the age up to which a reservation allows all its requests.
	// Instances in different availability zones exchange digests every two to three
	// seconds.
	reservationFullAge = 2 * time.Second
	// publisherLifetimeMargin is how much longer than ReservationLifetime the publisher
	// counts a reservation. The age that the holder uses is an upper bound of the time
	// since the grant, so the holder stops first; the margin covers clocks that run at
	// different speeds.
	publisherLifetimeMargin = time.Second
)

// Fraction of the free capacity that is granted. The rest is left for growth of the local
// load, because a reservation cannot be revoked before it expires.
const (
	// grantedFractionWithoutDemand is the fraction granted, rounded down, when no instance
	// has reservation demand. It is small because reserved slots are withheld from local
	// requests.
	grantedFractionWithoutDemand = 0.25
	// grantedFractionWithDemand is the fraction granted, rounded up, to the instances with
	// reservation demand.
	grantedFractionWithDemand = 0.5
)

// serviceInstanceKey identifies an outside entry instance's reservations and demand for a
// service.
type serviceInstanceKey struct{ service, instance string }

// timedRequests is a number of in-flight requests with the time at which it was granted, or
// reported as demand.
type timedRequests struct {
	requests int
	at       time.Time
}

// Publisher grants reservations of the free capacity that one entry instance has in its
// region. All methods are safe for concurrent use.
type Publisher struct {
	publisherName string
	mu            sync.Mutex
	grants        map[serviceInstanceKey][]timedRequests // unexpired, oldest first; see grantedTo
	demand        map[serviceInstanceKey]timedRequests   // latest reservation demand
}

// NewPublisher returns the publisher of the entry instance with the given name.
func NewPublisher(name string) *Publisher {
	return &Publisher{
		publisherName: name,
		grants:        make(map[serviceInstanceKey][]timedRequests),
		demand:        make(map[serviceInstanceKey]timedRequests),
	}
}

// SetDemand stores the reservation demand from the digest of an instance outside the
// region, in in-flight requests.
func (p *Publisher) SetDemand(service, instance string, requests int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand[serviceInstanceKey{service, instance}] = timedRequests{requests: requests, at: now}
}

// Grant grants a reservation to recipient, an entry instance of another region, and returns
// its number of in-flight requests, for the next digest to it. outsiders lists all entry
// instances of other regions. free is the free capacity of the publishing instance's
// static share of the service, in requests.
func (p *Publisher) Grant(service, recipient string, outsiders []string, free int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := serviceInstanceKey{service, recipient}
	free = max(0, free)
	grantedToOthers := p.grantedRequests(service, now) - p.grantedTo(key, now)
	requests := max(0, min(p.divide(service, outsiders, free, now)[recipient], free-grantedToOthers))
	p.grants[key] = append(p.grants[key], timedRequests{requests: requests, at: now})
	return requests
}

// divide returns the number of requests to grant to each outsider. It divides a fraction of
// the free capacity among those with reservation demand, up to their demand, or among all if
// none has any. The capacity is often smaller than the number of outsiders, so the order in
// which they get some differs by publisher and service. It does not change over time, because
// capacity that moves from one instance to another is usable by neither until the old
// reservation has expired.
func (p *Publisher) divide(service string, outsiders []string, free int, now time.Time) map[string]int {
	demand := make(map[string]int)
	for _, name := range outsiders {
		if requests := p.currentDemand(service, name, now); requests > 0 {
			demand[name] = requests
		}
	}
	if len(demand) > 0 {
		granted := int(math.Ceil(float64(free) * grantedFractionWithDemand))
		return p.distribute(service, outsiders, granted, func(name string, assigned int) bool { return assigned < demand[name] })
	}
	granted := int(float64(free) * grantedFractionWithoutDemand)
	return p.distribute(service, outsiders, granted, func(string, int) bool { return true })
}

// distribute assigns requests one at a time, in turn, to the outsiders for which
// acceptsMore returns true.
func (p *Publisher) distribute(service string, outsiders []string, requests int, acceptsMore func(name string, assigned int) bool) map[string]int {
	assigned := make(map[string]int, len(outsiders))
	n := len(outsiders)
	if n == 0 {
		return assigned
	}
	first := int(xxhash.Sum64String(p.publisherName+"/"+service) % uint64(n))
	for assignedInRound := -1; assignedInRound != 0; {
		assignedInRound = 0
		for i := range n {
			name := outsiders[(first+i)%n]
			if requests > 0 && acceptsMore(name, assigned[name]) {
				assigned[name]++
				requests--
				assignedInRound++
			}
		}
	}
	return assigned
}

// currentDemand returns the reservation demand of an instance. It drops a report that is too
// old and then returns 0. The caller holds the lock.
func (p *Publisher) currentDemand(service, instance string, now time.Time) int {
	key := serviceInstanceKey{service, instance}
	d := p.demand[key]
	if now.Sub(d.at) >= ReservationLifetime {
		delete(p.demand, key)
		return 0
	}
	return d.requests
}

// GrantedRequests returns the number of requests in the reservations of a service that
// holders may still use.
func (p *Publisher) GrantedRequests(service string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grantedRequests(service, now)
}

// grantedRequests is GrantedRequests for a caller that holds the lock.
func (p *Publisher) grantedRequests(service string, now time.Time) int {
	sum := 0
	for key := range p.grants {
		if key.service == service {
			sum += p.grantedTo(key, now)
		}
	}
	return sum
}

// grantedTo returns the requests in an instance's largest unexpired reservation. A smaller
// reservation does not replace a larger one before that has expired, because the digest
// with the smaller one may not arrive. It drops expired ones. The caller holds the lock.
func (p *Publisher) grantedTo(key serviceInstanceKey, now time.Time) int {
	largest := 0
	unexpired := p.grants[key][:0]
	for _, g := range p.grants[key] {
		if now.Sub(g.at) < ReservationLifetime+publisherLifetimeMargin {
			unexpired = append(unexpired, g)
			largest = max(largest, g.requests)
		}
	}
	if len(unexpired) == 0 {
		delete(p.grants, key)
		return 0
	}
	p.grants[key] = unexpired
	return largest
}
