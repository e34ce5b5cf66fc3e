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
	// publisherLifetimeMargin is the time for which the publisher counts a reservation
	// beyond its lifetime. The holder measures the age from the arrival of the digest,
	// which is later than the publisher's start.
	publisherLifetimeMargin = time.Second
)

// Fraction of the free capacity that is granted. The rest is left for growth of the local
// load, because a reservation cannot be revoked before it expires.
const (
	// grantedShareWithoutDemand is the fraction granted, rounded down, when no instance
	// has reservation demand. It is small because reserved slots are withheld from local
	// requests.
	grantedShareWithoutDemand = 0.25
	// grantedShareWithDemand is the fraction granted, rounded up, to the instances with
	// reservation demand.
	grantedShareWithDemand = 0.5
)

// serviceInstanceKey identifies an outside entry instance's reservations and demand for a
// service.
type serviceInstanceKey struct{ service, instance string }

// timedRequests is a number of in-flight requests, granted or asked for at a given time.
type timedRequests struct {
	requests int
	at       time.Time
}

// Publisher grants reservations of the free capacity that one entry instance has in its
// region. All methods are safe for concurrent use.
type Publisher struct {
	publisherName string
	mu            sync.Mutex
	grants        map[serviceInstanceKey][]timedRequests // unexpired, oldest first
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

// Grant grants a reservation to the outside instance to and returns its number of in-flight
// requests, which is sent in the next digest to that instance. outsiders are the entry
// instances outside the region. free is the free capacity of the publishing instance's
// static share of the service, in requests.
func (p *Publisher) Grant(service, to string, outsiders []string, free int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := serviceInstanceKey{service, to}
	free = max(0, free)
	grantedToOthers := p.grantedRequests(service, now) - p.grantedTo(key, now)
	requests := max(0, min(p.divide(service, outsiders, free, now)[to], free-grantedToOthers))
	p.grants[key] = append(p.grants[key], timedRequests{requests: requests, at: now})
	return requests
}

// divide divides the part of the free capacity that is granted among the outsiders: among
// those with reservation demand, up to their demand, or among all if none has any. The
// free capacity is often smaller than the number of outsiders. Which of them come first
// therefore differs by publisher and service, so that each gets some. The order does not
// change over time, because capacity that moves from one instance to another is usable by
// neither until the old reservation has expired.
func (p *Publisher) divide(service string, outsiders []string, free int, now time.Time) map[string]int {
	demand := make(map[string]int)
	for _, name := range outsiders {
		if requests := p.demandOf(service, name, now); requests > 0 {
			demand[name] = requests
		}
	}
	if len(demand) > 0 {
		granted := int(math.Ceil(float64(free) * grantedShareWithDemand))
		return p.distribute(service, outsiders, granted, func(name string, has int) bool { return has < demand[name] })
	}
	granted := int(float64(free) * grantedShareWithoutDemand)
	return p.distribute(service, outsiders, granted, func(string, int) bool { return true })
}

// distribute assigns requests one at a time, in turn, to the outsiders for which
// acceptsMore returns true.
func (p *Publisher) distribute(service string, outsiders []string, requests int, acceptsMore func(name string, has int) bool) map[string]int {
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

// demandOf returns the reservation demand of an instance, or 0 if its last report of it is
// too old.
func (p *Publisher) demandOf(service, instance string, now time.Time) int {
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
// with the smaller one may not arrive.
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
