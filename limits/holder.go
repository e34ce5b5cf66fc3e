package limits

import "time"

// pendingWrite is a write whose outcome the holder has not learned yet.
type pendingWrite struct {
	sentAt      time.Time // clock reading before the write was sent
	baseVersion int64     // row version that the write is conditional on
	createsRow  bool      // the write is applied only if the row is absent
}

// ShareHolder is the state of one holder of one limit: what it has read of the ledger, its own
// share and its token bucket. It does no I/O; Manager and the allocator's session pass in
// the rows read and the outcomes of writes. It is not safe for concurrent use.
type ShareHolder struct {
	id        string
	ownerName string // name of the instance, or of the zone in the zone mode
	policy    Policy

	limit      Share
	generation int64

	rowRead        bool // the row, or its absence, was read at least once
	row            Ledger
	rowVersion     int64 // 0 if the row is absent
	hasUnallocated bool  // the unallocated rate of the limit is large enough for a write
	observed       observations

	confirmed       LedgerEntry             // own entry as last read, or as written by a confirmed write
	writeCounter    uint64                  // writes so far; the renewal counter of the latest write
	pendingWrites   map[uint64]pendingWrite // by renewal counter
	leaseUntil      time.Time
	floorUntil      time.Time
	lastWriteAt     time.Time
	lastEarlySyncAt time.Time
	closed          bool // Deregister was called
	lendingPaused   bool // a write waits for loans to end, see pauseLendingForLoans

	active LedgerEntry // floor and lease that the bucket admits from now; the other fields are unset
	bucket Bucket
	demand demandMeter
}

// NewShareHolder returns a holder without a share. id must differ from that of any other
// process, including earlier ones. ownerName is the instance's name in the platform's list,
// or in the zone mode the zone's name.
func NewShareHolder(id, ownerName string, p Policy, now time.Time) *ShareHolder {
	return &ShareHolder{
		id: id, ownerName: ownerName, policy: p,
		observed:      make(observations),
		pendingWrites: make(map[uint64]pendingWrite),
		bucket:        NewBucket(Share{}, false, now),
		demand:        demandMeter{sampledAt: now},
	}
}

// SetLimit sets the configured limit. It ignores a generation lower than the current one.
func (h *ShareHolder) SetLimit(limit Share, generation int64) {
	if generation < h.generation {
		return
	}
	h.limit = limit
	h.generation = generation
}

// Allow admits or rejects one request with the given cost, in requests.
func (h *ShareHolder) Allow(cost float64, now time.Time) Decision {
	h.demand.add(cost)
	h.expireShares(now)
	return takeOrReject(&h.bucket, cost, now, h.policy.RenewInterval)
}

// NeedsEarlySync reports whether a sync before the next regular one would help a request that was
// rejected at the time now: part of the limit is unallocated and the holder may write. It
// returns true at most once per MinWriteInterval.
func (h *ShareHolder) NeedsEarlySync(now time.Time) bool {
	interval := h.policy.MinWriteInterval
	if h.closed || now.Sub(h.lastWriteAt) < interval || now.Sub(h.lastEarlySyncAt) < interval || !h.hasUnallocated {
		return false
	}
	h.lastEarlySyncAt = now
	return true
}

// AddDemand adds requests that are admitted or rejected elsewhere to the holder's demand.
func (h *ShareHolder) AddDemand(requests float64) { h.demand.add(requests) }

// ActiveShare returns the share that the holder may admit from at the time now.
func (h *ShareHolder) ActiveShare(now time.Time) Share {
	h.expireShares(now)
	return h.active.Total()
}

// expireShares removes the lease and the floor from the bucket if their terms have ended
// at the time now.
func (h *ShareHolder) expireShares(now time.Time) {
	if !h.active.Lease.IsZero() && !now.Before(h.leaseUntil) {
		h.setActive(h.active.Floor, Share{}, h.leaseUntil)
	}
	if !h.active.Floor.IsZero() && !now.Before(h.floorUntil) {
		h.setActive(Share{}, Share{}, h.floorUntil)
	}
	h.bucket.Advance(now)
}

// setActive sets the floor and lease that the bucket admits from.
func (h *ShareHolder) setActive(floor, lease Share, now time.Time) {
	h.active.Floor = floor
	h.active.Lease = lease
	h.bucket.SetShare(floor.Plus(lease), now)
}

// restrictActive reduces the bucket's floor and lease to at most those of e.
func (h *ShareHolder) restrictActive(e LedgerEntry, now time.Time) {
	h.expireShares(now)
	h.setActive(h.active.Floor.Min(e.Floor), h.active.Lease.Min(e.Lease), now)
}

// activateConfirmed sets the bucket to those parts of the confirmed entry whose terms
// have not ended.
func (h *ShareHolder) activateConfirmed(now time.Time) {
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

// ObserveRow processes a row that was read. now is a clock reading after the read returned.
// Version 0 means that the row is absent. Versions older than the last one are ignored.
func (h *ShareHolder) ObserveRow(row Ledger, version int64, now time.Time) {
	if h.rowRead && version < h.rowVersion {
		return
	}
	h.rowRead = true
	h.row = row
	h.rowVersion = version
	h.hasUnallocated = row.Unallocated().Rate > row.Limit.Rate.scale(MicroRequestsOf(minLeaseChange), OneRequest)
	h.observed.updateFromRow(row, h.id, now)
	h.reconcilePendingWrites(now)
}

// reconcilePendingWrites finds out from the renewal counter of the own entry which pending
// writes were applied. Once none can be applied any more, the row's entry is in force.
func (h *ShareHolder) reconcilePendingWrites(now time.Time) {
	e, present := h.row.Find(h.id)
	if write, ok := h.pendingWrites[e.Renewals]; present && ok {
		h.confirmWrite(e, write, now)
		return
	}
	if h.dropSupersededWrites(); len(h.pendingWrites) > 0 {
		return
	}
	h.confirmed = e
	h.activateConfirmed(now)
}

// dropSupersededWrites drops the pending writes that can no longer be applied, because the
// row has a later version than they are conditional on.
func (h *ShareHolder) dropSupersededWrites() {
	for counter, write := range h.pendingWrites {
		if write.baseVersion < h.rowVersion {
			delete(h.pendingWrites, counter)
		}
	}
}

// confirmWrite puts e, the holder's own entry that the given write stored, into force. Its terms
// count from before the write was sent.
func (h *ShareHolder) confirmWrite(e LedgerEntry, write pendingWrite, now time.Time) {
	h.confirmed = e
	h.leaseUntil = write.sentAt.Add(h.policy.LeaseTerm)
	h.floorUntil = write.sentAt.Add(h.policy.FloorTerm)
	h.dropSupersededWrites()
	h.activateConfirmed(now)
	if write.createsRow {
		h.bucket.Fill()
	}
}

// Proposal is a conditional write of a ledger row.
type Proposal struct {
	Ledger       Ledger
	IfVersion    int64  // row version that the write is conditional on; 0: the row is absent
	writeCounter uint64 // key in the holder's pendingWrites
}

// Propose returns the next write and true if one is due. now is a clock reading before
// the write is sent. The bucket is reduced to the proposed share at once. The caller must
// report the outcome with WriteApplied or WriteFailed, or, if the outcome is unknown, pass
// the row that it reads next to ObserveRow.
func (h *ShareHolder) Propose(now time.Time) (Proposal, bool) {
	h.expireShares(now)
	demand := h.demand.sample(now)
	if !h.rowRead || h.pendingWritesThrottled(now) {
		return Proposal{}, false
	}
	next, due := decideWrite(h.newWriteInputs(demand, now))
	if !due || h.pauseLendingForLoans(entryBurst(next, h.id), now) {
		return Proposal{}, false
	}
	return h.prepareWrite(next, now), true
}

// maxPendingWrites is the number of pending writes above which a holder writes only once
// per lease term. A pending write takes memory until the row changes, and during a long
// outage of the table it does not change.
const maxPendingWrites = 64

// pendingWritesThrottled reports whether too many writes are pending to send another now.
func (h *ShareHolder) pendingWritesThrottled(now time.Time) bool {
	return len(h.pendingWrites) >= maxPendingWrites && now.Sub(h.lastWriteAt) < h.policy.LeaseTerm
}

// Deregister stops admitting and returns the write that removes the holder's entry from the
// ledger. It returns false if there is no entry to remove or loans have not ended yet.
func (h *ShareHolder) Deregister(now time.Time) (Proposal, bool) {
	h.closed = true
	h.setActive(Share{}, Share{}, now)
	if h.Deregistered() || h.pauseLendingForLoans(0, now) {
		return Proposal{}, false
	}
	i := h.row.indexOf(h.id)
	next := h.row.clone()
	if i >= 0 {
		next.Holders = append(next.Holders[:i], next.Holders[i+1:]...)
	}
	return h.prepareWrite(next, now), true
}

// entryBurst returns the burst of the entry with the id, or 0 if there is none.
func entryBurst(l Ledger, id string) MicroRequests {
	e, _ := l.Find(id)
	return e.Total().Burst
}

// Deregistered reports whether the ledger has no entry of this holder and none of its writes is
// pending.
func (h *ShareHolder) Deregistered() bool {
	return h.row.indexOf(h.id) < 0 && len(h.pendingWrites) == 0
}

// prepareWrite registers a pending write of the row and reduces the bucket to the share
// in it. now is a clock reading before the write is sent.
func (h *ShareHolder) prepareWrite(next Ledger, now time.Time) Proposal {
	h.writeCounter++
	if i := next.indexOf(h.id); i >= 0 {
		next.Holders[i].Renewals = h.writeCounter
		h.restrictActive(next.Holders[i], now)
	}
	h.pendingWrites[h.writeCounter] = pendingWrite{sentAt: now, baseVersion: h.rowVersion, createsRow: h.rowVersion == 0}
	h.lastWriteAt = now
	return Proposal{Ledger: next, IfVersion: h.rowVersion, writeCounter: h.writeCounter}
}

// WriteApplied records that the proposal was applied and the row now has the given version.
func (h *ShareHolder) WriteApplied(p Proposal, version int64, now time.Time) {
	if version < h.rowVersion {
		return
	}
	h.ObserveRow(p.Ledger, version, now)
}

// WriteFailed records that the proposal was not applied and never will be.
func (h *ShareHolder) WriteFailed(p Proposal, now time.Time) {
	delete(h.pendingWrites, p.writeCounter)
	if len(h.pendingWrites) == 0 {
		h.activateConfirmed(now)
	}
}
