package limits

import "time"

// maxGrantTerm bounds the terms of a grant on the instance's own clock, and is the
// time for which an instance remembers a keeper: after it, no grant that the
// keeper sent before the remembered one can still be in use. It must not be below
// Policy.LeaseTerm.
const maxGrantTerm = time.Minute

// Member is an instance's side of the Zones of all keepers that it has asked. It
// admits from the sum of their grants: each keeper counts its own grant against
// its own share, so a new keeper need not wait for the grant of the one before to
// end. It is not safe for concurrent use.
type Member struct {
	id     string
	grants []appliedGrant
	closed bool
	bucket Bucket
	demand demandMeter
}

// appliedGrant is the newest grant of one keeper.
type appliedGrant struct {
	allocatorID string
	seq         uint64
	active      Entry
	floorUntil  time.Time
	leaseUntil  time.Time
	retainUntil time.Time
}

// NewMember returns a member without a grant. id must differ between processes.
func NewMember(id string, now time.Time) *Member {
	return &Member{id: id, bucket: NewBucket(Share{}, false, now), demand: demandMeter{sampledAt: now}}
}

// Ask returns the next request to the keeper. The name of a keeper must differ
// between processes and between Zones of one process.
func (m *Member) Ask(keeper string, now time.Time) Ask {
	ask := Ask{ID: m.id, Demand: m.demand.sample(now)}
	if g := m.findGrant(keeper); g != nil {
		ask.Applied = g.seq
	}
	return ask
}

func (m *Member) findGrant(keeper string) *appliedGrant {
	for i := range m.grants {
		if m.grants[i].allocatorID == keeper {
			return &m.grants[i]
		}
	}
	return nil
}

// Apply takes over a keeper's grant. askedAt is a clock reading before its ask was
// sent. A grant older than one of the same keeper already applied is ignored.
func (m *Member) Apply(keeper string, g Grant, askedAt, now time.Time) {
	m.expireGrants(now)
	if m.closed {
		return
	}
	kept := m.findGrant(keeper)
	if kept == nil {
		m.grants = append(m.grants, appliedGrant{allocatorID: keeper})
		kept = &m.grants[len(m.grants)-1]
	}
	if g.Seq <= kept.seq {
		return
	}
	*kept = appliedGrant{
		allocatorID: keeper, seq: g.Seq,
		active:      Entry{Floor: g.Floor, Lease: g.Lease},
		floorUntil:  askedAt.Add(min(g.FloorTerm, maxGrantTerm)),
		leaseUntil:  askedAt.Add(min(g.LeaseTerm, maxGrantTerm)),
		retainUntil: now.Add(maxGrantTerm),
	}
	kept.expireParts(now)
	m.bucket.SetShare(m.sumActive(), now)
}

// Close gives up all grants and takes no others.
func (m *Member) Close(now time.Time) {
	m.closed = true
	m.grants = nil
	m.bucket.SetShare(Share{}, now)
}

// Allow decides one request with the given cost, in requests.
func (m *Member) Allow(cost float64, now time.Time) Decision {
	m.demand.add(cost)
	m.expireGrants(now)
	return takeOrReject(&m.bucket, cost, now, time.Second)
}

// Using returns the share that the member admits from at the time now.
func (m *Member) Using(now time.Time) Share {
	m.expireGrants(now)
	return m.sumActive()
}

func (m *Member) sumActive() Share {
	var total Share
	for i := range m.grants {
		total = total.Plus(m.grants[i].active.Held())
	}
	return total
}

// expireGrants ends the parts whose terms are over. The bucket earns at their rates
// until the first of them ended, which is never more than it may.
func (m *Member) expireGrants(now time.Time) {
	var first time.Time
	for i := range m.grants {
		at, ended := m.grants[i].expireParts(now)
		if ended && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if !first.IsZero() {
		m.bucket.SetShare(m.sumActive(), first)
	}
	m.bucket.Advance(now)
	m.dropOldGrants(now)
}

func (m *Member) dropOldGrants(now time.Time) {
	kept := m.grants[:0]
	for _, g := range m.grants {
		if now.Before(g.retainUntil) {
			kept = append(kept, g)
		}
	}
	m.grants = kept
}

// expireParts gives up the parts whose terms are over at the time now, and returns when
// the first of them ended.
func (g *appliedGrant) expireParts(now time.Time) (time.Time, bool) {
	var first time.Time
	if !g.active.Lease.IsZero() && !now.Before(g.leaseUntil) {
		g.active.Lease = Share{}
		first = g.leaseUntil
	}
	if !g.active.Floor.IsZero() && !now.Before(g.floorUntil) {
		g.active.Floor = Share{}
		if first.IsZero() || g.floorUntil.Before(first) {
			first = g.floorUntil
		}
	}
	return first, !first.IsZero()
}
