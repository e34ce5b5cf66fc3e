package limits

import (
	"slices"
	"time"
)

// ZoneGrants divides the share of an availability zone among its entry instances, so
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
type ZoneGrants struct {
	policy     Policy
	floor      Share
	lease      Share
	leaseUntil time.Time
	floorUntil time.Time
	withheld   LedgerEntry // part of the share that is not granted again
	seq        uint64
	members    []zoneMember
}

// zoneMember is an instance with its newest grant and the most that it may use.
type zoneMember struct {
	granted LedgerEntry
	held    LedgerEntry // the larger of all grants that may be in use
	seq     uint64
	expires time.Time
}

// ShareRequest is an instance's request for a grant.
type ShareRequest struct {
	MemberID      string
	Demand  MicroRequests // requests per second that callers offer
	AppliedSeq uint64 // Seq of the newest grant of this keeper that the instance has applied
}

// ShareGrant is the answer to an Ask. The terms count from before the ask was sent.
type ShareGrant struct {
	Seq       uint64 // rises with each grant of a Zone
	Floor     Share
	Lease     Share
	FloorTerm time.Duration
	LeaseTerm time.Duration
}

// NewZoneGrants returns a zone without a share.
func NewZoneGrants(p Policy) *ZoneGrants { return &ZoneGrants{policy: p} }

// SetShare sets the zone's share and the times at which the keeper stops using
// its parts. It returns false and changes nothing while instances may use more
// than the new share; Outstanding then falls with their next asks. The times must
// not move back.
func (z *ZoneGrants) SetShare(floor, lease Share, floorUntil, leaseUntil, now time.Time) bool {
	z.expire(now)
	held := z.held()
	if !held.Floor.Within(floor) || !held.Lease.Within(lease) {
		return false
	}
	z.floor, z.lease = floor, lease
	z.floorUntil, z.leaseUntil = floorUntil, leaseUntil
	return true
}

// SetWithheld sets the part of the share that is not granted again. Instances give
// it up with their next asks, after which SetShare takes a share without it.
func (z *ZoneGrants) SetWithheld(floor, lease Share) { z.withheld = LedgerEntry{Floor: floor, Lease: lease} }

// Outstanding returns what instances may use at the time now.
func (z *ZoneGrants) Outstanding(now time.Time) Share { return z.outstanding(now).Total() }

func (z *ZoneGrants) outstanding(now time.Time) LedgerEntry {
	z.expire(now)
	return z.held()
}

// Demand returns what callers offer in the zone, in requests per second. The
// keeper passes it on to its Holder with Offer.
func (z *ZoneGrants) Demand() MicroRequests {
	var total MicroRequests
	for _, m := range z.members {
		total += m.granted.Demand
	}
	return total
}

func (z *ZoneGrants) held() LedgerEntry {
	var sum LedgerEntry
	for _, m := range z.members {
		sum.Floor = sum.Floor.Plus(m.held.Floor)
		sum.Lease = sum.Lease.Plus(m.held.Lease)
	}
	return sum
}

// expire drops instances whose grants have ended and the zone's ended shares. An
// instance without a grant stays, because its demand is what earns the zone a
// share.
func (z *ZoneGrants) expire(now time.Time) {
	if !now.Before(z.leaseUntil) {
		z.lease = Share{}
		for i := range z.members {
			z.members[i].held.Lease = Share{}
			z.members[i].granted.Lease = Share{}
		}
	}
	if !now.Before(z.floorUntil) {
		z.floor = Share{}
		for i := range z.members {
			z.members[i].held.Floor = Share{}
			z.members[i].granted.Floor = Share{}
		}
	}
	kept := z.members[:0]
	for _, m := range z.members {
		if now.Before(m.expires) {
			kept = append(kept, m)
		}
	}
	z.members = kept
}

// ShareGrant answers an instance. now is a clock reading after the ask arrived.
func (z *ZoneGrants) Grant(a ShareRequest, now time.Time) ShareGrant {
	z.expire(now)
	m := z.member(a)
	m.granted.Demand = a.Demand
	if a.AppliedSeq == m.seq {
		m.held = m.granted
	}
	floor, lease := z.grantable()
	target := z.target(m, floor, lease)
	held := z.held()
	z.seq++
	m.seq = z.seq
	m.granted.Floor = regrant(m.held.Floor, target.Floor, floor.Minus(held.Floor))
	m.granted.Lease = regrant(m.held.Lease, target.Lease, lease.Minus(held.Lease))
	m.held = maxEntry(m.held, m.granted)
	if end := now.Add(z.policy.LeaseTerm + z.policy.LeaseReclaimMargin); end.After(m.expires) {
		m.expires = end
	}
	return ShareGrant{
		Seq: m.seq, Floor: m.granted.Floor, Lease: m.granted.Lease,
		FloorTerm: max(0, min(z.policy.LeaseTerm, z.floorUntil.Sub(now))),
		LeaseTerm: max(0, min(z.policy.LeaseTerm, z.leaseUntil.Sub(now))),
	}
}

// grantable returns the parts of the share that instances should have.
func (z *ZoneGrants) grantable() (floor, lease Share) {
	return z.floor.Minus(z.withheld.Floor), z.lease.Minus(z.withheld.Lease)
}

// RemoveMember forgets an instance that has stopped using its grant for good.
func (z *ZoneGrants) RemoveMember(id string) {
	z.members = slices.DeleteFunc(z.members, func(m zoneMember) bool { return m.granted.ID == id })
}

// regrant moves a grant toward target by at most free above what is held.
func regrant(held, target, free Share) Share { return grow(held, target, free).Min(target) }

func maxOf(a, b Share) Share { return Share{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst)} }

func maxEntry(a, b LedgerEntry) LedgerEntry {
	a.Floor = maxOf(a.Floor, b.Floor)
	a.Lease = maxOf(a.Lease, b.Lease)
	return a
}

// member returns the instance's state. Numbers are unique in a Zone, so a new
// state cannot take an old grant for a newer one.
func (z *ZoneGrants) member(a ShareRequest) *zoneMember {
	for i := range z.members {
		if z.members[i].granted.ID == a.MemberID {
			return &z.members[i]
		}
	}
	z.members = append(z.members, zoneMember{granted: LedgerEntry{ID: a.MemberID}})
	return &z.members[len(z.members)-1]
}

func (z *ZoneGrants) target(m *zoneMember, floor, lease Share) LedgerEntry {
	entries := make([]LedgerEntry, len(z.members))
	self := 0
	for i := range z.members {
		entries[i] = z.members[i].granted
		if &z.members[i] == m {
			self = i
		}
	}
	return DivideZoneShare(floor, lease, entries, z.policy)[self]
}

// DivideZoneShare returns the floor and lease that each instance of a zone should
// have. Both parts follow demand; of the zone's floor, the policy's floor
// fraction is divided equally. The results never sum to more than the zone has.
func DivideZoneShare(floor, lease Share, members []LedgerEntry, p Policy) []LedgerEntry {
	nobody := func(string) bool { return false }
	out := append([]LedgerEntry(nil), members...)
	floors := divide(Ledger{Limit: floor, Holders: out}, p, nobody)
	for i := range out {
		out[i].Floor = floors.floors[i].Plus(floors.leases[i])
	}
	asked := append([]LedgerEntry(nil), out...)
	for i := range asked {
		asked[i].Demand = max(0, asked[i].Demand-MicroRequestsOf(out[i].Floor.Rate.Requests()/p.HeadroomFactor))
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
