package limits

import (
	"slices"
	"time"
)

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
//   - The zone's share falls only after the grants have: the keeper withholds the
//     difference until instances have confirmed smaller grants.
//
// A new keeper starts as a new holder of the ledger with a new Zone.
type Zone struct {
	policy     Policy
	floor      Share
	lease      Share
	leaseUntil time.Time
	floorUntil time.Time
	withheld   Entry // part of the share that is not granted again
	lastSeq    uint64
	members    []memberState
}

// memberState is an instance with its newest grant and the most that it may use.
type memberState struct {
	granted     Entry
	outstanding Entry // the larger of all grants that may be in use
	seq         uint64
	expiresAt   time.Time
}

// Ask is an instance's request for a grant.
type Ask struct {
	ID      string
	Demand  Amount // requests per second that callers offer
	Applied uint64 // Seq of the newest grant of this keeper that the instance has applied
}

// Grant is the answer to an Ask. The terms count from before the ask was sent.
type Grant struct {
	Seq       uint64 // rises with each grant of a Zone
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
	z.expireGrants(now)
	held := z.sumOutstanding()
	if !held.Floor.Within(floor) || !held.Lease.Within(lease) {
		return false
	}
	z.floor, z.lease = floor, lease
	z.floorUntil, z.leaseUntil = floorUntil, leaseUntil
	return true
}

// Withhold sets the part of the share that is not granted again. Instances give
// it up with their next asks, after which SetShare takes a share without it.
func (z *Zone) Withhold(floor, lease Share) { z.withheld = Entry{Floor: floor, Lease: lease} }

// Outstanding returns what instances may use at the time now.
func (z *Zone) Outstanding(now time.Time) Share { return z.outstandingParts(now).Held() }

func (z *Zone) outstandingParts(now time.Time) Entry {
	z.expireGrants(now)
	return z.sumOutstanding()
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

func (z *Zone) sumOutstanding() Entry {
	var sum Entry
	for _, m := range z.members {
		sum.Floor = sum.Floor.Plus(m.outstanding.Floor)
		sum.Lease = sum.Lease.Plus(m.outstanding.Lease)
	}
	return sum
}

// expireGrants drops instances whose grants have ended and the zone's ended shares. An
// instance without a grant stays, because its demand is what earns the zone a
// share.
func (z *Zone) expireGrants(now time.Time) {
	if !now.Before(z.leaseUntil) {
		z.lease = Share{}
		for i := range z.members {
			z.members[i].outstanding.Lease = Share{}
			z.members[i].granted.Lease = Share{}
		}
	}
	if !now.Before(z.floorUntil) {
		z.floor = Share{}
		for i := range z.members {
			z.members[i].outstanding.Floor = Share{}
			z.members[i].granted.Floor = Share{}
		}
	}
	kept := z.members[:0]
	for _, m := range z.members {
		if now.Before(m.expiresAt) {
			kept = append(kept, m)
		}
	}
	z.members = kept
}

// Ask answers an instance. now is a clock reading after the ask arrived.
func (z *Zone) Ask(a Ask, now time.Time) Grant {
	z.expireGrants(now)
	m := z.memberFor(a)
	m.granted.Demand = a.Demand
	if a.Applied == m.seq {
		m.outstanding = m.granted
	}
	floor, lease := z.grantableParts()
	target := z.targetFor(m, floor, lease)
	held := z.sumOutstanding()
	z.lastSeq++
	m.seq = z.lastSeq
	m.granted.Floor = adjustGrant(m.outstanding.Floor, target.Floor, floor.Minus(held.Floor))
	m.granted.Lease = adjustGrant(m.outstanding.Lease, target.Lease, lease.Minus(held.Lease))
	m.outstanding = maxEntry(m.outstanding, m.granted)
	if end := now.Add(z.policy.LeaseTerm + z.policy.LeaseMargin); end.After(m.expiresAt) {
		m.expiresAt = end
	}
	return Grant{
		Seq: m.seq, Floor: m.granted.Floor, Lease: m.granted.Lease,
		FloorTerm: max(0, min(z.policy.LeaseTerm, z.floorUntil.Sub(now))),
		LeaseTerm: max(0, min(z.policy.LeaseTerm, z.leaseUntil.Sub(now))),
	}
}

// grantableParts returns the parts of the share that instances should have.
func (z *Zone) grantableParts() (floor, lease Share) {
	return z.floor.Minus(z.withheld.Floor), z.lease.Minus(z.withheld.Lease)
}

// Remove forgets an instance that has stopped using its grant for good.
func (z *Zone) Remove(id string) {
	z.members = slices.DeleteFunc(z.members, func(m memberState) bool { return m.granted.ID == id })
}

// adjustGrant moves a grant toward target by at most free above what is held.
func adjustGrant(held, target, free Share) Share { return growToward(held, target, free).Min(target) }

func maxOf(a, b Share) Share { return Share{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst)} }

func maxEntry(a, b Entry) Entry {
	a.Floor = maxOf(a.Floor, b.Floor)
	a.Lease = maxOf(a.Lease, b.Lease)
	return a
}

// memberFor returns the instance's state. Numbers are unique in a Zone, so a new
// state cannot take an old grant for a newer one.
func (z *Zone) memberFor(a Ask) *memberState {
	for i := range z.members {
		if z.members[i].granted.ID == a.ID {
			return &z.members[i]
		}
	}
	z.members = append(z.members, memberState{granted: Entry{ID: a.ID}})
	return &z.members[len(z.members)-1]
}

func (z *Zone) targetFor(m *memberState, floor, lease Share) Entry {
	entries := make([]Entry, len(z.members))
	self := 0
	for i := range z.members {
		entries[i] = z.members[i].granted
		if &z.members[i] == m {
			self = i
		}
	}
	return DivideZone(floor, lease, entries, z.policy)[self]
}

// DivideZone returns the floor and lease that each instance of a zone should
// have. Both parts follow demand; of the zone's floor, the policy's floor
// fraction is divided equally. The results never sum to more than the zone has.
func DivideZone(floor, lease Share, members []Entry, p Policy) []Entry {
	nobody := func(string) bool { return false }
	out := append([]Entry(nil), members...)
	floors := divideLimit(Ledger{Limit: floor, Holders: out}, p, nobody)
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
	leases := divideLimit(Ledger{Limit: lease, Holders: asked}, leased, nobody)
	for i := range out {
		out[i].Lease = leases.leases[i]
	}
	return out
}
