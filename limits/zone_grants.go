package limits

import (
	"slices"
	"time"
)

// ZoneGrants divides an availability zone's share of one limit among its entry instances (the
// members). A ledger then has one holder and one writer per zone instead of one per
// instance: 24 entries for a fleet of 410 instances in 24 zones. The zone's allocator owns the
// ZoneGrants. Each member sends a share request about once per second. The rules are like those
// of the ledger:
//
//   - The grants together never exceed the zone's floor and lease.
//   - A member reduces its bucket before it confirms a smaller grant. Only then can the
//     difference be granted to another member.
//   - A member counts the term of a grant from before it sent the request. The allocator
//     waits for the term and a margin, counted from when it answered.
//   - No grant lasts longer than the zone's own share.
//   - The zone's share is reduced only after the grants: the allocator withholds the
//     difference until members have confirmed smaller grants.
//
// A new allocator is a new holder of the ledger and starts without grants.
type ZoneGrants struct {
	policy     Policy
	floor      Share // of the zone
	lease      Share // of the zone
	leaseUntil time.Time
	floorUntil time.Time
	withheld   LedgerEntry // part of the zone's share that must not be granted again; only Floor and Lease are set
	lastSeq    uint64      // of the latest grant
	members    []memberState
}

// memberState is a member's newest grant and the most that the member may use.
type memberState struct {
	granted     LedgerEntry // newest grant, with the member's ID and demand
	outstanding LedgerEntry // maximum of all grants that may be in use; only Floor and Lease matter
	seq         uint64      // of the newest grant
	expiresAt   time.Time   // when all grants have ended, with the margin
}

// ShareRequest is a member's request for a share of one limit.
type ShareRequest struct {
	MemberID   string        // Options.ID of the member's process
	Demand     MicroRequests // requests per second at the member, admitted or rejected
	AppliedSeq uint64        // Seq of the newest grant of this allocator that the member has applied
}

// ShareGrant is an allocator's answer to a share request. Its terms count from before the
// member sent the request.
type ShareGrant struct {
	Seq       uint64 // sequence number, which rises with each grant of an allocator
	Floor     Share
	Lease     Share
	FloorTerm time.Duration
	LeaseTerm time.Duration
}

// NewZoneGrants returns the grants of a zone that has no share yet.
func NewZoneGrants(p Policy) *ZoneGrants { return &ZoneGrants{policy: p} }

// SetShare sets the zone's share and the times at which its parts end. It returns false and
// changes nothing while members may use more than the new share; what they may use then falls
// with their next requests. The times must not be earlier than those of the previous call.
func (z *ZoneGrants) SetShare(floor, lease Share, floorUntil, leaseUntil, now time.Time) bool {
	z.expireGrants(now)
	outstanding := z.sumOutstanding()
	if !outstanding.Floor.Within(floor) || !outstanding.Lease.Within(lease) {
		return false
	}
	z.floor, z.lease = floor, lease
	z.floorUntil, z.leaseUntil = floorUntil, leaseUntil
	return true
}

// SetWithheld sets the part of the zone's share that must not be granted again. Grants shrink
// with the members' next requests, and SetShare then accepts a share without that part.
func (z *ZoneGrants) SetWithheld(floor, lease Share) {
	z.withheld = LedgerEntry{Floor: floor, Lease: lease}
}

// Outstanding returns the share that members together may use at the time now.
func (z *ZoneGrants) Outstanding(now time.Time) Share { return z.outstandingParts(now).Total() }

// outstandingParts returns the floor and lease that members may use at the time now.
func (z *ZoneGrants) outstandingParts(now time.Time) LedgerEntry {
	z.expireGrants(now)
	return z.sumOutstanding()
}

// Demand returns the demand of all members, in requests per second.
func (z *ZoneGrants) Demand() MicroRequests {
	var total MicroRequests
	for _, m := range z.members {
		total += m.granted.Demand
	}
	return total
}

// sumOutstanding returns the sum of the members' outstanding floors and leases.
func (z *ZoneGrants) sumOutstanding() LedgerEntry {
	var sum LedgerEntry
	for _, m := range z.members {
		sum.Floor = sum.Floor.Plus(m.outstanding.Floor)
		sum.Lease = sum.Lease.Plus(m.outstanding.Lease)
	}
	return sum
}

// expireGrants removes the members whose grants have ended, and the parts of the zone's share
// whose terms have ended, with all grants of them. A member with an empty grant stays,
// because its demand counts when the zone's share is determined.
func (z *ZoneGrants) expireGrants(now time.Time) {
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

// Grant answers a member's share request. now is a clock reading after the request arrived.
func (z *ZoneGrants) Grant(r ShareRequest, now time.Time) ShareGrant {
	z.expireGrants(now)
	m := z.memberFor(r)
	m.granted.Demand = r.Demand
	if r.AppliedSeq == m.seq {
		// The member has applied its newest grant, so it uses no earlier one.
		m.outstanding = m.granted
	}
	floor, lease := z.grantableParts()
	target := z.targetFor(m, floor, lease)
	outstanding := z.sumOutstanding()
	z.lastSeq++
	m.seq = z.lastSeq
	m.granted.Floor = adjustGrant(m.outstanding.Floor, target.Floor, floor.Minus(outstanding.Floor))
	m.granted.Lease = adjustGrant(m.outstanding.Lease, target.Lease, lease.Minus(outstanding.Lease))
	// Until the member confirms, it may use the old grants or the new one.
	m.outstanding = maxEntry(m.outstanding, m.granted)
	if end := now.Add(z.policy.LeaseTerm + z.policy.LeaseReclaimMargin); end.After(m.expiresAt) {
		m.expiresAt = end
	}
	return ShareGrant{
		Seq: m.seq, Floor: m.granted.Floor, Lease: m.granted.Lease,
		FloorTerm: max(0, min(z.policy.LeaseTerm, z.floorUntil.Sub(now))),
		LeaseTerm: max(0, min(z.policy.LeaseTerm, z.leaseUntil.Sub(now))),
	}
}

// grantableParts returns the floor and lease of the zone that are not withheld.
func (z *ZoneGrants) grantableParts() (floor, lease Share) {
	return z.floor.Minus(z.withheld.Floor), z.lease.Minus(z.withheld.Lease)
}

// RemoveMember removes a member that has stopped using its grants for good.
func (z *ZoneGrants) RemoveMember(id string) {
	z.members = slices.DeleteFunc(z.members, func(m memberState) bool { return m.granted.ID == id })
}

// adjustGrant returns the next grant: target, but at most available more than the outstanding
// grant.
func adjustGrant(outstanding, target, available Share) Share {
	return growToward(outstanding, target, available).Min(target)
}

// maxOf returns the larger rate and the larger burst.
func maxOf(a, b Share) Share { return Share{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst)} }

// maxEntry returns a with the larger floor and the larger lease of a and b.
func maxEntry(a, b LedgerEntry) LedgerEntry {
	a.Floor = maxOf(a.Floor, b.Floor)
	a.Lease = maxOf(a.Lease, b.Lease)
	return a
}

// memberFor returns the state of the member that sent the request, and adds one if there is
// none. Sequence numbers are unique among all grants of the zone, so a member that was removed
// and added again cannot confirm an old grant as if it were a new one.
func (z *ZoneGrants) memberFor(r ShareRequest) *memberState {
	for i := range z.members {
		if z.members[i].granted.ID == r.MemberID {
			return &z.members[i]
		}
	}
	z.members = append(z.members, memberState{granted: LedgerEntry{ID: r.MemberID}})
	return &z.members[len(z.members)-1]
}

// targetFor returns the floor and lease that the member should have.
func (z *ZoneGrants) targetFor(m *memberState, floor, lease Share) LedgerEntry {
	entries := make([]LedgerEntry, len(z.members))
	index := 0
	for i := range z.members {
		entries[i] = z.members[i].granted
		if &z.members[i] == m {
			index = i
		}
	}
	return divideZoneShare(floor, lease, entries, z.policy)[index]
}

// divideZoneShare returns copies of the members' entries with the floor and lease that each
// should have. Both parts of the zone's share are divided by demand, except that the policy's
// floor fraction of the zone's floor is divided equally. The results never sum to more than
// floor and lease.
func divideZoneShare(floor, lease Share, members []LedgerEntry, p Policy) []LedgerEntry {
	noneUnresponsive := func(string) bool { return false }
	divided := append([]LedgerEntry(nil), members...)
	floorDivision := divideLimit(Ledger{Limit: floor, Holders: divided}, p, noneUnresponsive)
	for i := range divided {
		// The equal part and the part by demand are both floor.
		divided[i].Floor = floorDivision.floors[i].Plus(floorDivision.leases[i])
	}
	aboveFloor := append([]LedgerEntry(nil), divided...) // with the demand that the floors do not cover
	for i := range aboveFloor {
		aboveFloor[i].Demand = max(0, aboveFloor[i].Demand-MicroRequestsOf(divided[i].Floor.Rate.Requests()/p.HeadroomFactor))
	}
	leasePolicy := p
	leasePolicy.FloorFraction = 0
	leasePolicy.MinFloorFraction = 0
	leaseDivision := divideLimit(Ledger{Limit: lease, Holders: aboveFloor}, leasePolicy, noneUnresponsive)
	for i := range divided {
		divided[i].Lease = leaseDivision.leases[i]
	}
	return divided
}
