package limits

import "time"

// maxGrantTerm is the longest term of a grant, on the member's own clock, that a member
// applies; a longer term is cut to it. Since no grant lasts longer, a member may forget an
// allocator's newest grant after this time: no earlier one can still be in use. It must not
// be less than Policy.LeaseTerm.
const maxGrantTerm = time.Minute

// ZoneMember is an instance's state for one limit in the zone mode. It admits requests from a
// token bucket with the sum of the grants of all allocators that it has sent share requests
// to. Each allocator counts its grants against its own share, so a new allocator need not
// wait until the grants of the previous one have ended. It is not safe for concurrent use.
type ZoneMember struct {
	id     string
	grants []appliedGrant // at most one per allocator
	closed bool           // Close was called
	bucket Bucket
	demand demandMeter
}

// appliedGrant is the newest grant that a member has applied from one allocator.
type appliedGrant struct {
	allocatorID string
	seq         uint64
	active      LedgerEntry // floor and lease whose terms have not ended; other fields unused
	floorUntil  time.Time
	leaseUntil  time.Time
	retainUntil time.Time
}

// NewZoneMember returns a member without a grant. id must differ between processes, including
// earlier ones of the same instance.
func NewZoneMember(id string, now time.Time) *ZoneMember {
	return &ZoneMember{id: id, bucket: NewBucket(Share{}, false, now), demand: demandMeter{sampledAt: now}}
}

// NextRequest returns the next share request to the allocator. Allocator IDs must differ between
// processes and between the sessions of one process as allocator.
func (m *ZoneMember) NextRequest(allocatorID string, now time.Time) ShareRequest {
	request := ShareRequest{MemberID: m.id, Demand: m.demand.sample(now)}
	if g := m.findGrant(allocatorID); g != nil {
		request.AppliedSeq = g.seq
	}
	return request
}

// findGrant returns the newest grant of the allocator, or nil.
func (m *ZoneMember) findGrant(allocatorID string) *appliedGrant {
	for i := range m.grants {
		if m.grants[i].allocatorID == allocatorID {
			return &m.grants[i]
		}
	}
	return nil
}

// ApplyGrant replaces the allocator's previous grant by g. requestedAt is a clock reading before
// the share request was sent; the terms of the grant count from it. A grant that is not
// newer than the applied one of the same allocator is ignored.
func (m *ZoneMember) ApplyGrant(allocatorID string, g ShareGrant, requestedAt, now time.Time) {
	m.expireGrants(now)
	if m.closed {
		return
	}
	applied := m.findGrant(allocatorID)
	if applied == nil {
		m.grants = append(m.grants, appliedGrant{allocatorID: allocatorID})
		applied = &m.grants[len(m.grants)-1]
	}
	if g.Seq <= applied.seq {
		return
	}
	*applied = appliedGrant{
		allocatorID: allocatorID, seq: g.Seq,
		active:      LedgerEntry{Floor: g.Floor, Lease: g.Lease},
		floorUntil:  requestedAt.Add(min(g.FloorTerm, maxGrantTerm)),
		leaseUntil:  requestedAt.Add(min(g.LeaseTerm, maxGrantTerm)),
		retainUntil: now.Add(maxGrantTerm),
	}
	applied.expireParts(now)
	m.bucket.SetShare(m.sumActive(), now)
}

// Close drops all grants and ignores later ones, so that all requests are rejected.
func (m *ZoneMember) Close(now time.Time) {
	m.closed = true
	m.grants = nil
	m.bucket.SetShare(Share{}, now)
}

// Allow admits or rejects one request with the given cost, in requests.
func (m *ZoneMember) Allow(cost float64, now time.Time) Decision {
	m.demand.add(cost)
	m.expireGrants(now)
	return takeOrReject(&m.bucket, cost, now, time.Second)
}

// ActiveShare returns the share that the member may admit from at the time now.
func (m *ZoneMember) ActiveShare(now time.Time) Share {
	m.expireGrants(now)
	return m.sumActive()
}

// sumActive returns the sum of the active parts of all grants.
func (m *ZoneMember) sumActive() Share {
	var total Share
	for i := range m.grants {
		total = total.Plus(m.grants[i].active.Total())
	}
	return total
}

// expireGrants removes the parts of grants whose terms have ended. The bucket is refilled
// at the old rate up to the earliest of these ends and at the new rate after it, so it never
// gets more tokens than it may.
func (m *ZoneMember) expireGrants(now time.Time) {
	var earliestEnd time.Time
	for i := range m.grants {
		at, ended := m.grants[i].expireParts(now)
		if ended && (earliestEnd.IsZero() || at.Before(earliestEnd)) {
			earliestEnd = at
		}
	}
	if !earliestEnd.IsZero() {
		m.bucket.SetShare(m.sumActive(), earliestEnd)
	}
	m.bucket.Advance(now)
	m.dropOldGrants(now)
}

// dropOldGrants removes the grants that need not be retained at the time now.
func (m *ZoneMember) dropOldGrants(now time.Time) {
	kept := m.grants[:0]
	for _, g := range m.grants {
		if now.Before(g.retainUntil) {
			kept = append(kept, g)
		}
	}
	m.grants = kept
}

// expireParts removes the floor or lease whose term has ended at the time now. It returns
// the earlier end of the parts that it removed, and whether it removed any.
func (g *appliedGrant) expireParts(now time.Time) (time.Time, bool) {
	var earliestEnd time.Time
	if !g.active.Lease.IsZero() && !now.Before(g.leaseUntil) {
		g.active.Lease = Share{}
		earliestEnd = g.leaseUntil
	}
	if !g.active.Floor.IsZero() && !now.Before(g.floorUntil) {
		g.active.Floor = Share{}
		if earliestEnd.IsZero() || g.floorUntil.Before(earliestEnd) {
			earliestEnd = g.floorUntil
		}
	}
	return earliestEnd, !earliestEnd.IsZero()
}
