package limits

import "time"

// maxGrantTerm bounds the terms of a grant on the instance's own clock, and is the
// time for which an instance remembers a keeper: after it, no grant that the
// keeper sent before the remembered one can still be in use. It must not be below
// Policy.LeaseTerm.
const maxGrantTerm = time.Minute

// ZoneMember is an instance's side of the Zones of all keepers that it has asked. It
// admits from the sum of their grants: each keeper counts its own grant against
// its own share, so a new keeper need not wait for the grant of the one before to
// end. It is not safe for concurrent use.
type ZoneMember struct {
	id     string
	grants []keptGrant
	closed bool
	bucket Bucket
	demand demandMeter
}

// keptGrant is the newest grant of one keeper.
type keptGrant struct {
	keeper      string
	seq         uint64
	using       LedgerEntry
	floorUntil  time.Time
	leaseUntil  time.Time
	forgetAfter time.Time
}

// NewZoneMember returns a member without a grant. id must differ between processes.
func NewZoneMember(id string, now time.Time) *ZoneMember {
	return &ZoneMember{id: id, bucket: NewBucket(Share{}, false, now), demand: demandMeter{last: now}}
}

// NextRequest returns the next request to the keeper. The name of a keeper must differ
// between processes and between Zones of one process.
func (m *ZoneMember) NextRequest(keeper string, now time.Time) ShareRequest {
	ask := ShareRequest{MemberID: m.id, Demand: m.demand.sample(now)}
	if g := m.find(keeper); g != nil {
		ask.AppliedSeq = g.seq
	}
	return ask
}

func (m *ZoneMember) find(keeper string) *keptGrant {
	for i := range m.grants {
		if m.grants[i].keeper == keeper {
			return &m.grants[i]
		}
	}
	return nil
}

// ApplyGrant takes over a keeper's grant. askedAt is a clock reading before its ask was
// sent. A grant older than one of the same keeper already applied is ignored.
func (m *ZoneMember) ApplyGrant(keeper string, g ShareGrant, askedAt, now time.Time) {
	m.expire(now)
	if m.closed {
		return
	}
	kept := m.find(keeper)
	if kept == nil {
		m.grants = append(m.grants, keptGrant{keeper: keeper})
		kept = &m.grants[len(m.grants)-1]
	}
	if g.Seq <= kept.seq {
		return
	}
	*kept = keptGrant{
		keeper: keeper, seq: g.Seq,
		using:       LedgerEntry{Floor: g.Floor, Lease: g.Lease},
		floorUntil:  askedAt.Add(min(g.FloorTerm, maxGrantTerm)),
		leaseUntil:  askedAt.Add(min(g.LeaseTerm, maxGrantTerm)),
		forgetAfter: now.Add(maxGrantTerm),
	}
	kept.end(now)
	m.bucket.SetShare(m.sum(), now)
}

// Close gives up all grants and takes no others.
func (m *ZoneMember) Close(now time.Time) {
	m.closed = true
	m.grants = nil
	m.bucket.SetShare(Share{}, now)
}

// Allow decides one request with the given cost, in requests.
func (m *ZoneMember) Allow(cost float64, now time.Time) Decision {
	m.demand.add(cost)
	m.expire(now)
	return allow(&m.bucket, cost, now, time.Second)
}

// ActiveShare returns the share that the member admits from at the time now.
func (m *ZoneMember) ActiveShare(now time.Time) Share {
	m.expire(now)
	return m.sum()
}

func (m *ZoneMember) sum() Share {
	var total Share
	for i := range m.grants {
		total = total.Plus(m.grants[i].using.Total())
	}
	return total
}

// expire ends the parts whose terms are over. The bucket earns at their rates
// until the first of them ended, which is never more than it may.
func (m *ZoneMember) expire(now time.Time) {
	var first time.Time
	for i := range m.grants {
		at, ended := m.grants[i].end(now)
		if ended && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if !first.IsZero() {
		m.bucket.SetShare(m.sum(), first)
	}
	m.bucket.Advance(now)
	m.forget(now)
}

func (m *ZoneMember) forget(now time.Time) {
	kept := m.grants[:0]
	for _, g := range m.grants {
		if now.Before(g.forgetAfter) {
			kept = append(kept, g)
		}
	}
	m.grants = kept
}

// end gives up the parts whose terms are over at the time now, and returns when
// the first of them ended.
func (g *keptGrant) end(now time.Time) (time.Time, bool) {
	var first time.Time
	if !g.using.Lease.IsZero() && !now.Before(g.leaseUntil) {
		g.using.Lease = Share{}
		first = g.leaseUntil
	}
	if !g.using.Floor.IsZero() && !now.Before(g.floorUntil) {
		g.using.Floor = Share{}
		if first.IsZero() || g.floorUntil.Before(first) {
			first = g.floorUntil
		}
	}
	return first, !first.IsZero()
}
