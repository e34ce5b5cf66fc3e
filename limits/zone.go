package limits

import "time"

// Zone divides the share of an availability zone among its entry instances, so
// that a ledger has one holder per zone: 24 entries for 410 instances, and one
// writer per zone. The zone's keeper runs it; each instance asks about once per
// second. The rules are those of the ledger:
//
//   - Grants together never exceed the zone's floor and lease.
//   - An instance reduces its bucket before it confirms a smaller grant, and only
//     then can the difference go to another instance.
//   - An instance counts the term of a grant from before it asked. The keeper
//     waits for the term and a margin, counted from after it answered.
//   - No grant outlasts the zone's own share.
//
// A new keeper starts as a new holder of the ledger with a new Zone.
type Zone struct {
	policy     Policy
	floor      Share
	lease      Share
	leaseUntil time.Time
	floorUntil time.Time
	members    []zoneMember
}

// zoneMember is an instance with its newest grant and the most that it may use.
type zoneMember struct {
	granted Entry
	held    Entry // the larger of all grants that may be in use
	seq     uint64
	expires time.Time
}

// Ask is an instance's request for a grant.
type Ask struct {
	ID      string
	Demand  Amount // requests per second that callers offer
	Applied uint64 // Seq of the newest grant that the instance has applied
}

// Grant is the answer to an Ask. The terms count from before the ask was sent.
type Grant struct {
	Seq       uint64
	Floor     Share
	Lease     Share
	FloorTerm time.Duration
	LeaseTerm time.Duration
}

// NewZone returns a zone without a share.
func NewZone(p Policy) *Zone { return &Zone{policy: p} }

// SetShare sets the zone's share and the times at which the keeper stops using
// its parts. It returns false and changes nothing while instances may use more
// than the new share; Outstanding then falls with their next asks. The times must
// not move back.
func (z *Zone) SetShare(floor, lease Share, floorUntil, leaseUntil, now time.Time) bool {
	z.expire(now)
	held := z.held()
	if !held.Floor.Within(floor) || !held.Lease.Within(lease) {
		return false
	}
	z.floor, z.lease = floor, lease
	z.floorUntil, z.leaseUntil = floorUntil, leaseUntil
	return true
}

// Outstanding returns what instances may use at the time now.
func (z *Zone) Outstanding(now time.Time) Share {
	z.expire(now)
	return z.held().Held()
}

// Demand returns what callers offer in the zone, in requests per second. The
// keeper passes it on to its Holder with Offer.
func (z *Zone) Demand() Amount {
	var total Amount
	for _, m := range z.members {
		total += m.granted.Demand
	}
	return total
}

func (z *Zone) held() Entry {
	var sum Entry
	for _, m := range z.members {
		sum.Floor = sum.Floor.Plus(m.held.Floor)
		sum.Lease = sum.Lease.Plus(m.held.Lease)
	}
	return sum
}

// expire drops instances whose grants have ended and the zone's ended shares.
func (z *Zone) expire(now time.Time) {
	if !now.Before(z.leaseUntil) {
		z.lease = Share{}
		for i := range z.members {
			z.members[i].held.Lease = Share{}
			z.members[i].granted.Lease = Share{}
		}
	}
	if !now.Before(z.floorUntil) {
		z.floor = Share{}
		z.members = nil
	}
	kept := z.members[:0]
	for _, m := range z.members {
		if now.Before(m.expires) {
			kept = append(kept, m)
		}
	}
	z.members = kept
}

// Ask answers an instance. now is a clock reading after the ask arrived.
func (z *Zone) Ask(a Ask, now time.Time) Grant {
	z.expire(now)
	m := z.member(a)
	m.granted.Demand = a.Demand
	if a.Applied == m.seq {
		m.held = m.granted
	}
	target := z.target(m)
	held := z.held()
	m.seq++
	m.granted.Floor = regrant(m.held.Floor, target.Floor, z.floor.Minus(held.Floor))
	m.granted.Lease = regrant(m.held.Lease, target.Lease, z.lease.Minus(held.Lease))
	m.held = maxEntry(m.held, m.granted)
	m.expires = now.Add(z.policy.LeaseTerm + z.policy.LeaseMargin)
	return Grant{
		Seq: m.seq, Floor: m.granted.Floor, Lease: m.granted.Lease,
		FloorTerm: min(z.policy.LeaseTerm, z.floorUntil.Sub(now)),
		LeaseTerm: min(z.policy.LeaseTerm, z.leaseUntil.Sub(now)),
	}
}

// regrant moves a grant toward target by at most free above what is held.
func regrant(held, target, free Share) Share { return grow(held, target, free).Min(target) }

func maxOf(a, b Share) Share { return Share{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst)} }

func maxEntry(a, b Entry) Entry {
	a.Floor = maxOf(a.Floor, b.Floor)
	a.Lease = maxOf(a.Lease, b.Lease)
	return a
}

// member returns the instance's state. The numbers of a new one continue where
// the instance is, because it ignores older grants.
func (z *Zone) member(a Ask) *zoneMember {
	for i := range z.members {
		if z.members[i].granted.ID == a.ID {
			return &z.members[i]
		}
	}
	z.members = append(z.members, zoneMember{granted: Entry{ID: a.ID}, seq: a.Applied})
	return &z.members[len(z.members)-1]
}

func (z *Zone) target(m *zoneMember) Entry {
	entries := make([]Entry, len(z.members))
	self := 0
	for i := range z.members {
		entries[i] = z.members[i].granted
		if &z.members[i] == m {
			self = i
		}
	}
	return DivideZone(z.floor, z.lease, entries, z.policy)[self]
}

// DivideZone returns the floor and lease that each instance of a zone should
// have. Both parts follow demand; of the zone's floor, the policy's floor
// fraction is divided equally. The results never sum to more than the zone has.
func DivideZone(floor, lease Share, members []Entry, p Policy) []Entry {
	nobody := func(string) bool { return false }
	out := append([]Entry(nil), members...)
	floors := divide(Ledger{Limit: floor, Holders: out}, p, nobody)
	for i := range out {
		out[i].Floor = floors.floors[i].Plus(floors.leases[i])
	}
	asked := append([]Entry(nil), out...)
	for i := range asked {
		asked[i].Demand = max(0, asked[i].Demand-AmountOf(out[i].Floor.Rate.Float()/p.Headroom))
	}
	leased := p
	leased.FloorFraction = 0
	leased.MinFloorFraction = 0
	leases := divide(Ledger{Limit: lease, Holders: asked}, leased, nobody)
	for i := range out {
		out[i].Lease = leases.leases[i]
	}
	return out
}

// Member is an instance's side of a Zone.
type Member struct {
	id         string
	seq        uint64
	using      Entry
	floorUntil time.Time
	leaseUntil time.Time
	bucket     Bucket
	demand     demandMeter
}

// NewMember returns a member without a grant. id must differ between processes.
func NewMember(id string, now time.Time) *Member {
	return &Member{id: id, bucket: NewBucket(Share{}, false, now), demand: demandMeter{last: now}}
}

// Ask returns the next request to the keeper.
func (m *Member) Ask(now time.Time) Ask {
	return Ask{ID: m.id, Demand: m.demand.sample(now), Applied: m.seq}
}

// Apply takes over a grant. askedAt is a clock reading before its ask was sent.
// A grant older than one already applied is ignored.
func (m *Member) Apply(g Grant, askedAt, now time.Time) {
	if g.Seq <= m.seq {
		return
	}
	m.expire(now)
	m.seq = g.Seq
	m.floorUntil = askedAt.Add(g.FloorTerm)
	m.leaseUntil = askedAt.Add(g.LeaseTerm)
	m.using.Floor, m.using.Lease = g.Floor, g.Lease
	m.bucket.SetShare(g.Floor.Plus(g.Lease), now)
	m.expire(now)
}

// Allow decides one request with the given cost, in requests.
func (m *Member) Allow(cost float64, now time.Time) Decision {
	m.demand.add(cost)
	m.expire(now)
	return allow(&m.bucket, cost, now, time.Second)
}

// Using returns the share that the member admits from at the time now.
func (m *Member) Using(now time.Time) Share {
	m.expire(now)
	return m.using.Held()
}

func (m *Member) expire(now time.Time) {
	if !m.using.Lease.IsZero() && !now.Before(m.leaseUntil) {
		m.using.Lease = Share{}
		m.bucket.SetShare(m.using.Floor, m.leaseUntil)
	}
	if !m.using.Floor.IsZero() && !now.Before(m.floorUntil) {
		m.using.Floor = Share{}
		m.bucket.SetShare(m.using.Lease, m.floorUntil)
	}
	m.bucket.Advance(now)
}
