package limits

import "time"

// pendingWrite is a write whose result is not known yet.
type pendingWrite struct {
	sentAt      time.Time // clock reading before the write was sent
	baseVersion int64     // version that the write requires
	createsRow  bool
}

// Holder is one process's view of one ledger and its own share of it. It does no
// I/O: the adapter passes in rows and results. It is not safe for concurrent use.
type Holder struct {
	id       string
	instance string
	policy   Policy

	limit      Share
	generation int64

	rowRead        bool // a row, or its absence, was read
	row            Ledger
	rowVersion     int64
	hasUnallocated bool // the row has a part worth a lease that nobody holds
	observed       observations

	confirmed       Entry // as confirmed by the table
	writeCounter    uint64
	pendingWrites   map[uint64]pendingWrite
	leaseUntil      time.Time
	floorUntil      time.Time
	lastWriteAt     time.Time
	lastEarlySyncAt time.Time
	closed          bool
	lendingPaused   bool // see holdsBack

	active Entry // floor and lease that the bucket has now
	bucket Bucket
	demand demandMeter
}

// NewHolder returns a holder without a share. id must differ between processes.
func NewHolder(id, instance string, p Policy, now time.Time) *Holder {
	return &Holder{
		id: id, instance: instance, policy: p,
		observed:      make(observations),
		pendingWrites: make(map[uint64]pendingWrite),
		bucket:        NewBucket(Share{}, false, now),
		demand:        demandMeter{sampledAt: now},
	}
}

// SetLimit sets the configured limit. A lower generation than before is ignored.
func (h *Holder) SetLimit(limit Share, generation int64) {
	if generation < h.generation {
		return
	}
	h.limit = limit
	h.generation = generation
}

// Allow decides one request with the given cost, in requests.
func (h *Holder) Allow(cost float64, now time.Time) Decision {
	h.demand.add(cost)
	h.expireShares(now)
	return takeOrReject(&h.bucket, cost, now, h.policy.RenewEvery)
}

// Urgent reports whether the next step should not wait: a request was refused at
// the time now, the ledger has a free part, and a write is allowed. It reports
// this at most once per MinWriteGap.
func (h *Holder) Urgent(now time.Time) bool {
	gap := h.policy.MinWriteGap
	if h.closed || now.Sub(h.lastWriteAt) < gap || now.Sub(h.lastEarlySyncAt) < gap || !h.hasUnallocated {
		return false
	}
	h.lastEarlySyncAt = now
	return true
}

// Offer counts demand, in requests, that is decided elsewhere.
func (h *Holder) Offer(requests float64) { h.demand.add(requests) }

// Using returns the share that the holder admits from at the time now.
func (h *Holder) Using(now time.Time) Share {
	h.expireShares(now)
	return h.active.Held()
}

// expireShares gives up shares whose term has ended at the time now.
func (h *Holder) expireShares(now time.Time) {
	if !h.active.Lease.IsZero() && !now.Before(h.leaseUntil) {
		h.setActive(h.active.Floor, Share{}, h.leaseUntil)
	}
	if !h.active.Floor.IsZero() && !now.Before(h.floorUntil) {
		h.setActive(Share{}, Share{}, h.floorUntil)
	}
	h.bucket.Advance(now)
}

// setActive sets the shares of the bucket.
func (h *Holder) setActive(floor, lease Share, now time.Time) {
	h.active.Floor = floor
	h.active.Lease = lease
	h.bucket.SetShare(floor.Plus(lease), now)
}

// restrictActive reduces the bucket to at most the shares of e.
func (h *Holder) restrictActive(e Entry, now time.Time) {
	h.expireShares(now)
	h.setActive(h.active.Floor.Min(e.Floor), h.active.Lease.Min(e.Lease), now)
}

// activateConfirmed uses the confirmed shares as far as their terms last.
func (h *Holder) activateConfirmed(now time.Time) {
	h.expireShares(now)
	floor, lease := h.confirmed.Floor, h.confirmed.Lease
	if h.closed || !now.Before(h.floorUntil) {
		floor = Share{}
	}
	if h.closed || !now.Before(h.leaseUntil) {
		lease = Share{}
	}
	h.setActive(floor, lease, now)
}

// Observe takes in a row that was read. now is a clock reading after the read
// returned. Version 0 means that the row is absent. Rows older than one already
// known are ignored.
func (h *Holder) Observe(row Ledger, version int64, now time.Time) {
	if h.rowRead && version < h.rowVersion {
		return
	}
	h.rowRead = true
	h.row = row
	h.rowVersion = version
	h.hasUnallocated = row.Free().Rate > row.Limit.Rate.scale(AmountOf(minLeaseChange), One)
	h.observed.updateFromRow(row, h.id, now)
	h.reconcilePendingWrites(now)
}

// reconcilePendingWrites compares the own entry in the row with the attempts.
func (h *Holder) reconcilePendingWrites(now time.Time) {
	e, present := h.row.Find(h.id)
	if applied, ok := h.pendingWrites[e.Renewals]; present && ok {
		h.confirmWrite(e, applied, now)
		return
	}
	if h.dropSupersededWrites(); len(h.pendingWrites) > 0 {
		return
	}
	h.confirmed = e
	h.activateConfirmed(now)
}

// dropSupersededWrites forgets attempts that can no longer be applied, because the row
// has passed the version that they require.
func (h *Holder) dropSupersededWrites() {
	for counter, a := range h.pendingWrites {
		if a.baseVersion < h.rowVersion {
			delete(h.pendingWrites, counter)
		}
	}
}

// confirmWrite takes over an entry that the attempt a is known to have written.
func (h *Holder) confirmWrite(e Entry, a pendingWrite, now time.Time) {
	h.confirmed = e
	h.leaseUntil = a.sentAt.Add(h.policy.LeaseTerm)
	h.floorUntil = a.sentAt.Add(h.policy.FloorTerm)
	h.dropSupersededWrites()
	h.activateConfirmed(now)
	if a.createsRow {
		h.bucket.Fill()
	}
}

// Proposal is a row to write.
type Proposal struct {
	Ledger       Ledger
	IfVersion    int64
	writeCounter uint64
}

// Propose returns the row to write next, if one is due. now is a clock reading
// before the write is sent. The bucket is reduced to the proposed share at once.
// The caller must report the result with Written or Failed, or leave it open and
// pass the row that it reads next to Observe.
func (h *Holder) Propose(now time.Time) (Proposal, bool) {
	h.expireShares(now)
	demand := h.demand.sample(now)
	if !h.rowRead || h.pendingWritesThrottled(now) {
		return Proposal{}, false
	}
	next, due := decideWrite(h.writeInputs(demand, now))
	if !due || h.mustWaitForLoans(entryBurst(next, h.id), now) {
		return Proposal{}, false
	}
	return h.prepareWrite(next, now), true
}

// maxPendingWrites is the number of open writes from which on they are sent once per lease
// term. Each needs memory until the row changes, which a long outage prevents.
const maxPendingWrites = 64

func (h *Holder) pendingWritesThrottled(now time.Time) bool {
	return len(h.pendingWrites) >= maxPendingWrites && now.Sub(h.lastWriteAt) < h.policy.LeaseTerm
}

// Leave returns the row without the own entry and stops admitting. The second
// result is false when there is no entry to remove.
func (h *Holder) Leave(now time.Time) (Proposal, bool) {
	h.closed = true
	h.setActive(Share{}, Share{}, now)
	if h.Left() || h.mustWaitForLoans(0, now) {
		return Proposal{}, false
	}
	i := h.row.indexOf(h.id)
	next := h.row.clone()
	if i >= 0 {
		next.Holders = append(next.Holders[:i], next.Holders[i+1:]...)
	}
	return h.prepareWrite(next, now), true
}

func entryBurst(l Ledger, id string) Amount {
	e, _ := l.Find(id)
	return e.Held().Burst
}

// Left reports whether the ledger has no entry of this holder and no write of it
// is open.
func (h *Holder) Left() bool { return h.row.indexOf(h.id) < 0 && len(h.pendingWrites) == 0 }

func (h *Holder) prepareWrite(next Ledger, now time.Time) Proposal {
	h.writeCounter++
	if i := next.indexOf(h.id); i >= 0 {
		next.Holders[i].Renewals = h.writeCounter
		h.restrictActive(next.Holders[i], now)
	}
	h.pendingWrites[h.writeCounter] = pendingWrite{sentAt: now, baseVersion: h.rowVersion, createsRow: h.rowVersion == 0}
	h.lastWriteAt = now
	return Proposal{Ledger: next, IfVersion: h.rowVersion, writeCounter: h.writeCounter}
}

// Written reports that the proposal was applied as the given version.
func (h *Holder) Written(p Proposal, version int64, now time.Time) {
	if version < h.rowVersion {
		return
	}
	h.Observe(p.Ledger, version, now)
}

// Failed reports that the proposal was not applied and never will be.
func (h *Holder) Failed(p Proposal, now time.Time) {
	delete(h.pendingWrites, p.writeCounter)
	if len(h.pendingWrites) == 0 {
		h.activateConfirmed(now)
	}
}
