package headroom

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Life of a grant.
const (
	// ReservationLifetime is the age at which a grant is worth nothing to its holder.
	ReservationLifetime = 5 * time.Second
	// grantFull is the age up to which a grant counts in full. Instances in
	// different availability zones exchange digests every two to three seconds.
	grantFull = 2 * time.Second
	// grantMargin is added to the life at the publisher. The holder counts from
	// the arrival of the digest, later than the publisher.
	grantMargin = time.Second
)

// The part of the unused capacity that is granted. The rest is for local growth while
// grants are out.
const (
	// idleShare, rounded down, is granted when no instance asks for any. Each grant
	// keeps room free that local requests may need more.
	idleShare = 0.25
	// wantedShare, rounded up, is granted to instances that ask.
	wantedShare = 0.5
)

type grantKey struct{ service, instance string }

type grant struct {
	requests int
	at       time.Time
}

// Publisher grants the spare capacity that one entry instance has in its region.
// All methods are safe for concurrent use.
type Publisher struct {
	name   string
	mu     sync.Mutex
	grants map[grantKey][]grant // unexpired, oldest first
	wants  map[grantKey]grant
}

// NewPublisher returns the publisher of the entry instance name.
func NewPublisher(name string) *Publisher {
	return &Publisher{
		name:   name,
		grants: make(map[grantKey][]grant),
		wants:  make(map[grantKey]grant),
	}
}

// SetDemand stores the requests in progress that an instance outside the region would
// like to have, from its digest.
func (p *Publisher) SetDemand(service, instance string, requests int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wants[grantKey{service, instance}] = grant{requests: requests, at: now}
}

// Grant returns the number of requests in progress that the outside instance to may
// have, to be sent in its next digest. outsiders are the entry instances outside the
// region, spare is the room of the publishing instance's own share of the service,
// in requests.
func (p *Publisher) Grant(service, to string, outsiders []string, spare int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := grantKey{service, to}
	spare = max(0, spare)
	others := p.out(service, now) - p.live(key, now)
	requests := max(0, min(p.divide(service, outsiders, spare, now)[to], spare-others))
	p.grants[key] = append(p.grants[key], grant{requests: requests, at: now})
	return requests
}

// divide gives the granted part of the spare capacity to the outsiders one by one: to
// those that want some until they have it, or to all if none does. Spare capacity is
// often below the number of outsiders; which of them come first differs by publisher
// and service, so that each gets some. The order does not change with time: a grant
// that moves is lost to both instances until the old one has expired.
func (p *Publisher) divide(service string, outsiders []string, spare int, now time.Time) map[string]int {
	wants := make(map[string]int)
	for _, name := range outsiders {
		if w := p.wanted(service, name, now); w > 0 {
			wants[name] = w
		}
	}
	if len(wants) > 0 {
		part := int(math.Ceil(float64(spare) * wantedShare))
		return p.deal(service, outsiders, part, func(name string, has int) bool { return has < wants[name] })
	}
	part := int(float64(spare) * idleShare)
	return p.deal(service, outsiders, part, func(string, int) bool { return true })
}

// deal gives out requests one by one to the outsiders that take another one.
func (p *Publisher) deal(service string, outsiders []string, requests int, takes func(name string, has int) bool) map[string]int {
	out := make(map[string]int, len(outsiders))
	n := len(outsiders)
	if n == 0 {
		return out
	}
	first := int(xxhash.Sum64String(p.name+"/"+service) % uint64(n))
	for given := -1; given != 0; {
		given = 0
		for i := range n {
			name := outsiders[(first+i)%n]
			if requests > 0 && takes(name, out[name]) {
				out[name]++
				requests--
				given++
			}
		}
	}
	return out
}

func (p *Publisher) wanted(service, instance string, now time.Time) int {
	key := grantKey{service, instance}
	w := p.wants[key]
	if now.Sub(w.at) >= ReservationLifetime {
		delete(p.wants, key)
		return 0
	}
	return w.requests
}

// GrantedRequests returns the sum of the grants for a service that can still be in use.
func (p *Publisher) GrantedRequests(service string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out(service, now)
}

func (p *Publisher) out(service string, now time.Time) int {
	sum := 0
	for key := range p.grants {
		if key.service == service {
			sum += p.live(key, now)
		}
	}
	return sum
}

// live returns the largest unexpired grant of an instance. A smaller grant does not
// undo a larger one before that has expired, because its digest may not arrive.
func (p *Publisher) live(key grantKey, now time.Time) int {
	most := 0
	kept := p.grants[key][:0]
	for _, g := range p.grants[key] {
		if now.Sub(g.at) < ReservationLifetime+grantMargin {
			kept = append(kept, g)
			most = max(most, g.requests)
		}
	}
	if len(kept) == 0 {
		delete(p.grants, key)
		return 0
	}
	p.grants[key] = kept
	return most
}
