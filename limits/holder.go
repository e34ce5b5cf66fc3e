package limits

import "time"

// attempt is a write whose result is not known yet.
type attempt struct {
	sentAt time.Time // clock reading before the write was sent
	base   int64     // version that the write requires
	create bool
}

// ShareHolder is one process's view of one ledger and its own share of it. It does no
// I/O: the adapter passes in rows and results. It is not safe for concurrent use.
type ShareHolder struct {
	id       string
	instance string
	policy   Policy

	limit      Share
	generation int64

	known   bool // a row, or its absence, was read
	row     Ledger
	version int64
	free    bool // the row has a part worth a lease that nobody holds
	seen    observations

	own        LedgerEntry // as confirmed by the table
	counter    uint64
	attempts   map[uint64]attempt
	leaseUntil time.Time
	floorUntil time.Time
	lastWrite  time.Time
	lastUrgent time.Time
	closed     bool
	lendPaused bool // see holdsBack

	using  LedgerEntry // floor and lease that the bucket has now
	bucket Bucket
	demand demandMeter
}

// NewShareHolder returns a holder without a share. id must differ between processes.
func NewShareHolder(id, instance string, p Policy, now time.Time) *ShareHolder {
	return &ShareHolder{
		id: id, instance: instance, policy: p,
		seen:     make(observations),
		attempts: make(map[uint64]attempt),
		bucket:   NewBucket(Share{}, false, now),
		demand:   demandMeter{last: now},
	}
}

// SetLimit sets the configured limit. A lower generation than before is ignored.
func (h *ShareHolder) SetLimit(limit Share, generation int64) {
	if generation < h.generation {
		return
	}
	h.limit = limit
	h.generation = generation
}

// Allow decides one request with the given cost, in requests.
func (h *ShareHolder) Allow(cost float64, now time.Time) Decision {
	h.demand.add(cost)
	h.expire(now)
	return allow(&h.bucket, cost, now, h.policy.RenewInterval)
}

// NeedsEarlySync reports whether the next step should not wait: a request was refused at
// the time now, the ledger has a free part, and a write is allowed. It reports
// this at most once per MinWriteInterval.
func (h *ShareHolder) NeedsEarlySync(now time.Time) bool {
	gap := h.policy.MinWriteInterval
	if h.closed || now.Sub(h.lastWrite) < gap || now.Sub(h.lastUrgent) < gap || !h.free {
		return false
	}
	h.lastUrgent = now
	return true
}

// AddDemand counts demand, in requests, that is decided elsewhere.
func (h *ShareHolder) AddDemand(requests float64) { h.demand.add(requests) }

// ActiveShare returns the share that the holder admits from at the time now.
func (h *ShareHolder) ActiveShare(now time.Time) Share {
	h.expire(now)
	return h.using.Total()
}

// expire gives up shares whose term has ended at the time now.
func (h *ShareHolder) expire(now time.Time) {
	if !h.using.Lease.IsZero() && !now.Before(h.leaseUntil) {
		h.use(h.using.Floor, Share{}, h.leaseUntil)
	}
	if !h.using.Floor.IsZero() && !now.Before(h.floorUntil) {
		h.use(Share{}, Share{}, h.floorUntil)
	}
	h.bucket.Advance(now)
}

// use sets the shares of the bucket.
func (h *ShareHolder) use(floor, lease Share, now time.Time) {
	h.using.Floor = floor
	h.using.Lease = lease
	h.bucket.SetShare(floor.Plus(lease), now)
}

// restrict reduces the bucket to at most the shares of e.
func (h *ShareHolder) restrict(e LedgerEntry, now time.Time) {
	h.expire(now)
	h.use(h.using.Floor.Min(e.Floor), h.using.Lease.Min(e.Lease), now)
}

// resume uses the confirmed shares as far as their terms last.
func (h *ShareHolder) resume(now time.Time) {
	h.expire(now)
	floor, lease := h.own.Floor, h.own.Lease
	if h.closed || !now.Before(h.floorUntil) {
		floor = Share{}
	}
	if h.closed || !now.Before(h.leaseUntil) {
		lease = Share{}
	}
	h.use(floor, lease, now)
}

// ObserveRow takes in a row that was read. now is a clock reading after the read
// returned. Version 0 means that the row is absent. Rows older than one already
// known are ignored.
func (h *ShareHolder) ObserveRow(row Ledger, version int64, now time.Time) {
	if h.known && version < h.version {
		return
	}
	h.known = true
	h.row = row
	h.version = version
	h.free = row.Unallocated().Rate > row.Limit.Rate.scale(MicroRequestsOf(leaseStep), OneRequest)
	h.seen.update(row, h.id, now)
	h.reconcile(now)
}

// reconcile compares the own entry in the row with the attempts.
func (h *ShareHolder) reconcile(now time.Time) {
	e, present := h.row.Find(h.id)
	if applied, ok := h.attempts[e.Renewals]; present && ok {
		h.adopt(e, applied, now)
		return
	}
	if h.dropDecided(); len(h.attempts) > 0 {
		return
	}
	h.own = e
	h.resume(now)
}

// dropDecided forgets attempts that can no longer be applied, because the row
// has passed the version that they require.
func (h *ShareHolder) dropDecided() {
	for counter, a := range h.attempts {
		if a.base < h.version {
			delete(h.attempts, counter)
		}
	}
}

// adopt takes over an entry that the attempt a is known to have written.
func (h *ShareHolder) adopt(e LedgerEntry, a attempt, now time.Time) {
	h.own = e
	h.leaseUntil = a.sentAt.Add(h.policy.LeaseTerm)
	h.floorUntil = a.sentAt.Add(h.policy.FloorTerm)
	h.dropDecided()
	h.resume(now)
	if a.create {
		h.bucket.Fill()
	}
}

// Proposal is a row to write.
type Proposal struct {
	Ledger    Ledger
	IfVersion int64
	counter   uint64
}

// Propose returns the row to write next, if one is due. now is a clock reading
// before the write is sent. The bucket is reduced to the proposed share at once.
// The caller must report the result with Written or Failed, or leave it open and
// pass the row that it reads next to Observe.
func (h *ShareHolder) Propose(now time.Time) (Proposal, bool) {
	h.expire(now)
	demand := h.demand.sample(now)
	if !h.known || h.tooManyOpen(now) {
		return Proposal{}, false
	}
	next, due := decide(h.view(demand, now))
	if !due || h.holdsBack(burstOf(next, h.id), now) {
		return Proposal{}, false
	}
	return h.send(next, now), true
}

// maxOpen is the number of open writes from which on they are sent once per lease
// term. Each needs memory until the row changes, which a long outage prevents.
const maxOpen = 64

func (h *ShareHolder) tooManyOpen(now time.Time) bool {
	return len(h.attempts) >= maxOpen && now.Sub(h.lastWrite) < h.policy.LeaseTerm
}

// Deregister returns the row without the own entry and stops admitting. The second
// result is false when there is no entry to remove.
func (h *ShareHolder) Deregister(now time.Time) (Proposal, bool) {
	h.closed = true
	h.use(Share{}, Share{}, now)
	if h.Deregistered() || h.holdsBack(0, now) {
		return Proposal{}, false
	}
	i := h.row.index(h.id)
	next := h.row.clone()
	if i >= 0 {
		next.Holders = append(next.Holders[:i], next.Holders[i+1:]...)
	}
	return h.send(next, now), true
}

func burstOf(l Ledger, id string) MicroRequests {
	e, _ := l.Find(id)
	return e.Total().Burst
}

// Deregistered reports whether the ledger has no entry of this holder and no write of it
// is open.
func (h *ShareHolder) Deregistered() bool { return h.row.index(h.id) < 0 && len(h.attempts) == 0 }

func (h *ShareHolder) send(next Ledger, now time.Time) Proposal {
	h.counter++
	if i := next.index(h.id); i >= 0 {
		next.Holders[i].Renewals = h.counter
		h.restrict(next.Holders[i], now)
	}
	h.attempts[h.counter] = attempt{sentAt: now, base: h.version, create: h.version == 0}
	h.lastWrite = now
	return Proposal{Ledger: next, IfVersion: h.version, counter: h.counter}
}

// WriteApplied reports that the proposal was applied as the given version.
func (h *ShareHolder) WriteApplied(p Proposal, version int64, now time.Time) {
	if version < h.version {
		return
	}
	h.ObserveRow(p.Ledger, version, now)
}

// WriteFailed reports that the proposal was not applied and never will be.
func (h *ShareHolder) WriteFailed(p Proposal, now time.Time) {
	delete(h.attempts, p.counter)
	if len(h.attempts) == 0 {
		h.resume(now)
	}
}
