package headroom

import (
	"sync"
	"time"
)

// Life of a grant.
const (
	// GrantLife is the age at which a grant is worth nothing to its holder.
	GrantLife = 5 * time.Second
	// grantFull is the age up to which a grant counts in full. Instances in
	// different availability zones exchange digests every two to three seconds.
	grantFull = 2 * time.Second
	// grantMargin is added to the life at the publisher. The holder counts from
	// the arrival of the digest, later than the publisher.
	grantMargin = time.Second
)

// spareShare is the part of the unused capacity that is granted. The rest is for
// local growth while grants are out.
const spareShare = 0.75

type grantKey struct{ service, instance string }

type grant struct {
	requests int
	at       time.Time
}

// Publisher grants the spare capacity that one entry instance knows of in its
// region. All methods are safe for concurrent use.
type Publisher struct {
	region string
	mu     sync.Mutex
	grants map[grantKey][]grant // unexpired, oldest first
}

// NewPublisher returns a publisher of the region without grants.
func NewPublisher(region string) *Publisher {
	return &Publisher{region: region, grants: make(map[grantKey][]grant)}
}

// Capacity is what the publishing instance may use of a service in its region:
// the sum of its limits at the servers that get work, and its own requests in
// progress, both in requests.
type Capacity struct {
	Limit int
	InUse int
}

func (c Capacity) spare() int {
	return int(float64(max(0, c.Limit-c.InUse)) * spareShare)
}

// Grant returns the number of requests in progress that the outside instance may
// have, to be sent in its next digest. It replaces the instance's previous grant.
// outsiders is the number of entry instances outside the region. The fair share
// rotates with index, the instance's position among the outsiders, so that spare
// capacity below the number of outsiders is not lost.
func (p *Publisher) Grant(service, instance string, index, outsiders int, c Capacity, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := grantKey{service, instance}
	spare := c.spare()
	others := p.out(service, now) - p.live(key, now)
	requests := max(0, min(fairShare(spare, index, outsiders, now), spare-others))
	p.grants[key] = append(p.grants[key], grant{requests: requests, at: now})
	return requests
}

// fairShare divides spare requests among n instances. The instances that get one
// more than the others change with time.
func fairShare(spare, index, n int, now time.Time) int {
	if n <= 0 {
		return 0
	}
	turn := int(now.Unix()/int64(GrantLife/time.Second)) + index
	share := spare / n
	if turn%n < spare%n {
		share++
	}
	return share
}

// Granted returns the sum of the grants for a service that can still be in use.
func (p *Publisher) Granted(service string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out(service, now)
}

// AdmitLocal admits a request of the publishing instance itself. It returns a
// *RefusedError when local work and grants fill the capacity.
func (p *Publisher) AdmitLocal(service string, c Capacity, now time.Time) error {
	granted := p.Granted(service, now)
	if c.InUse+granted < c.Limit {
		return nil
	}
	return &RefusedError{Cause: CauseLocal, Region: p.region, Service: service, InUse: c.InUse + granted, Allowed: c.Limit}
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
		if now.Sub(g.at) < GrantLife+grantMargin {
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
