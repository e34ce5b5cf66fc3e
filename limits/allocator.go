package limits

import "time"

// Allocator holds a zone's share of one limit in the ledger and grants parts of it to the
// zone's instances. Requests at the allocator's own instance are admitted by its
// ZoneMember, as at any other instance. It does no I/O and is not safe for concurrent use.
//
// The ShareHolder's own bucket is not used. A holder that creates a ledger starts with a full
// bucket, but here those tokens reach no instance: the limit starts with empty buckets at the
// members.
type Allocator struct {
	holder *ShareHolder
	grants *ZoneGrants
}

// NewAllocator returns an allocator without a share. id must differ between processes and
// between the sessions of one process as allocator. zone is the zone's name. The policy's
// ReclaimDelistedFloors and ReclaimPredecessorEntries are ignored: they conclude from an
// instance's name that a holder has ended, but here the name is that of the zone, which
// may have several allocators.
func NewAllocator(id, zone string, p Policy, now time.Time) *Allocator {
	p.ReclaimDelistedFloors = false
	p.ReclaimPredecessorEntries = false
	return &Allocator{holder: NewShareHolder(id, zone, p, now), grants: NewZoneGrants(p)}
}

// SetLimit sets the configured limit. It ignores a generation lower than the current one.
func (a *Allocator) SetLimit(limit Share, generation int64) { a.holder.SetLimit(limit, generation) }

// Grant answers an instance's share request. now is a clock reading after the request
// arrived.
func (a *Allocator) Grant(r ShareRequest, now time.Time) ShareGrant {
	a.updateZoneShare(now)
	return a.grants.Grant(r, now)
}

// ObserveRow processes a row that was read, see ShareHolder.ObserveRow.
func (a *Allocator) ObserveRow(row Ledger, version int64, now time.Time) {
	a.holder.ObserveRow(row, version, now)
	a.updateZoneShare(now)
}

// WriteApplied records that the proposal was applied and the row now has the given version.
func (a *Allocator) WriteApplied(p Proposal, version int64, now time.Time) {
	a.holder.WriteApplied(p, version, now)
	a.updateZoneShare(now)
}

// WriteFailed records that the proposal was not applied and never will be.
func (a *Allocator) WriteFailed(p Proposal, now time.Time) {
	a.holder.WriteFailed(p, now)
	a.updateZoneShare(now)
}

// updateZoneShare sets the share to divide among the instances to the holder's active
// share. That share falls only when a term ends, which ends the grants too, or in Propose,
// which first waits until the instances have confirmed smaller grants. So SetShare always
// accepts it here, and its result needs no check.
func (a *Allocator) updateZoneShare(now time.Time) {
	h := a.holder
	h.expireShares(now)
	a.grants.SetShare(h.active.Floor, h.active.Lease, h.floorUntil, h.leaseUntil, now)
}

// allocatorProposeFunc is Allocator.Propose or Allocator.Deregister.
type allocatorProposeFunc func(*Allocator, time.Time) (Proposal, bool)

// Propose returns the next write and true if one is due. If the zone's share should fall,
// the difference is withheld from new grants at once. The write reduces the share only as
// far as the instances have confirmed smaller grants; later writes reduce it further.
func (a *Allocator) Propose(now time.Time) (Proposal, bool) {
	a.updateZoneShare(now)
	h := a.holder
	if !h.rowRead || now.Sub(h.lastWriteAt) < h.policy.MinWriteInterval {
		return Proposal{}, false
	}
	inputs := h.newWriteInputs(a.grants.Demand(), now)
	next, due := decideWrite(inputs)
	if !due {
		a.grants.SetWithheld(Share{}, Share{})
		return Proposal{}, false
	}
	target, _ := next.Find(h.id)
	a.grants.SetWithheld(h.active.Floor.Minus(target.Floor), h.active.Lease.Minus(target.Lease))
	if outstanding := a.grants.outstandingParts(now); !partsWithin(outstanding, target) && !inputs.limitReduction(&next, outstanding) {
		return Proposal{}, false
	}
	return a.prepareWrite(next, now), true
}

// prepareWrite registers a pending write of the row and reduces the zone's share to the
// share in it. The instances must have confirmed that they use no more.
func (a *Allocator) prepareWrite(next Ledger, now time.Time) Proposal {
	p := a.holder.prepareWrite(next, now)
	a.updateZoneShare(now)
	return p
}

// partsWithin reports whether the floor and the lease of parts are within those of bound.
func partsWithin(parts, bound LedgerEntry) bool {
	return parts.Floor.Within(bound.Floor) && parts.Lease.Within(bound.Lease)
}

// limitReduction raises the allocator's entry in next so that it covers the outstanding
// grants, which members may still use. No part is raised above its value in the current row.
// It returns false if next is then not worth writing, or if the grants exceed the current
// entry.
func (in writeInputs) limitReduction(next *Ledger, outstanding LedgerEntry) bool {
	before, ok := in.Ledger.Find(in.ID)
	if !ok || !partsWithin(outstanding, before) {
		return false
	}
	e := &next.Holders[next.indexOf(in.ID)]
	e.Floor = before.Floor.Min(maxOf(e.Floor, outstanding.Floor))
	e.Lease = before.Lease.Min(maxOf(e.Lease, outstanding.Lease))
	return in.renewalDue(before) || in.changeWorthWriting(before, *e)
}

// Deregister withholds the zone's whole share from new grants. Once no grant is outstanding, it
// returns the write that removes the allocator's entry from the ledger. Until then, and if
// there is no entry to remove, it returns false.
func (a *Allocator) Deregister(now time.Time) (Proposal, bool) {
	a.updateZoneShare(now)
	a.grants.SetWithheld(a.grants.floor, a.grants.lease)
	if !a.grants.Outstanding(now).IsZero() {
		return Proposal{}, false
	}
	p, ok := a.holder.Deregister(now)
	a.updateZoneShare(now)
	return p, ok
}

// Deregistered reports whether no grant is outstanding, the ledger has no entry of this allocator
// and none of its writes is pending.
func (a *Allocator) Deregistered(now time.Time) bool {
	return a.grants.Outstanding(now).IsZero() && a.holder.Deregistered()
}
