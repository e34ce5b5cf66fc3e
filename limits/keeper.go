package limits

import "time"

// Allocator is the keeper's side of one limit: a Holder of the zone's share in the
// ledger and the Zone that grants it to the instances. The keeper's own requests
// are admitted by its Member, like those of any other instance. It does no I/O and
// is not safe for concurrent use.
//
// The Holder's bucket admits nothing. So the full bucket of the process that
// creates a ledger is not used, and the limit starts with empty buckets.
type Allocator struct {
	holder *ShareHolder
	zone   *ZoneGrants
}

// NewAllocator returns a keeper without a share. id must differ between processes and
// between the times that a process is keeper. zone is the zone's name. The rules of
// the policy that conclude from an instance's name that a holder has ended are not
// used, because a zone may have several keepers.
func NewAllocator(id, zone string, p Policy, now time.Time) *Allocator {
	p.ReclaimDelistedFloors = false
	p.ReclaimPredecessorEntries = false
	return &Allocator{holder: NewShareHolder(id, zone, p, now), zone: NewZoneGrants(p)}
}

// SetLimit sets the configured limit. A lower generation than before is ignored.
func (k *Allocator) SetLimit(limit Share, generation int64) { k.holder.SetLimit(limit, generation) }

// ShareGrant answers an instance. now is a clock reading after the ask arrived.
func (k *Allocator) Grant(a ShareRequest, now time.Time) ShareGrant {
	k.follow(now)
	return k.zone.Grant(a, now)
}

// ObserveRow takes in a row that was read, as Holder.ObserveRow.
func (k *Allocator) ObserveRow(row Ledger, version int64, now time.Time) {
	k.holder.ObserveRow(row, version, now)
	k.follow(now)
}

// WriteApplied reports that the proposal was applied as the given version.
func (k *Allocator) WriteApplied(p Proposal, version int64, now time.Time) {
	k.holder.WriteApplied(p, version, now)
	k.follow(now)
}

// WriteFailed reports that the proposal was not applied and never will be.
func (k *Allocator) WriteFailed(p Proposal, now time.Time) {
	k.holder.WriteFailed(p, now)
	k.follow(now)
}

// follow gives the zone the share that the holder may use now. The holder's share
// falls only when a term ends, which ends the grants too, or in Propose, which
// first waits for the instances.
func (k *Allocator) follow(now time.Time) {
	h := k.holder
	h.expire(now)
	k.zone.SetShare(h.using.Floor, h.using.Lease, h.floorUntil, h.leaseUntil, now)
}

// keeperProposal is Keeper.Propose or Keeper.Deregister.
type keeperProposal func(*Allocator, time.Time) (Proposal, bool)

// Propose returns the row to write next, if one is due. A share that should fall
// is withheld from the instances at once. The row reduces it only as far as they
// have confirmed; the rest follows with later rows.
func (k *Allocator) Propose(now time.Time) (Proposal, bool) {
	k.follow(now)
	h := k.holder
	if !h.known || now.Sub(h.lastWrite) < h.policy.MinWriteInterval {
		return Proposal{}, false
	}
	v := h.view(k.zone.Demand(), now)
	next, due := decide(v)
	if !due {
		k.zone.SetWithheld(Share{}, Share{})
		return Proposal{}, false
	}
	want, _ := next.Find(h.id)
	k.zone.SetWithheld(h.using.Floor.Minus(want.Floor), h.using.Lease.Minus(want.Lease))
	if out := k.zone.outstanding(now); !fits(out, want) && !v.postpone(&next, out) {
		return Proposal{}, false
	}
	return k.send(next, now), true
}

// send reduces the zone's share and then the holder's. The instances have
// confirmed that they use no more.
func (k *Allocator) send(next Ledger, now time.Time) Proposal {
	p := k.holder.send(next, now)
	k.follow(now)
	return p
}

// fits reports whether both parts of held are within those of share.
func fits(held, share LedgerEntry) bool {
	return held.Floor.Within(share.Floor) && held.Lease.Within(share.Lease)
}

// postpone raises the own entry of next to what instances may still use, without
// letting any part grow. It returns false when that leaves nothing worth writing.
func (v WriteInputs) postpone(next *Ledger, out LedgerEntry) bool {
	before, ok := v.Ledger.Find(v.ID)
	if !ok || !fits(out, before) {
		return false
	}
	e := &next.Holders[next.index(v.ID)]
	e.Floor = before.Floor.Min(maxOf(e.Floor, out.Floor))
	e.Lease = before.Lease.Min(maxOf(e.Lease, out.Lease))
	return v.renewalDue(before) || v.worthWriting(before, *e)
}

// Deregister withholds the whole share. Once no instance may use any of it, it returns
// the row without the own entry. The second result is false until then, and when
// there is no entry to remove.
func (k *Allocator) Deregister(now time.Time) (Proposal, bool) {
	k.follow(now)
	k.zone.SetWithheld(k.zone.floor, k.zone.lease)
	if !k.zone.Outstanding(now).IsZero() {
		return Proposal{}, false
	}
	p, ok := k.holder.Deregister(now)
	k.follow(now)
	return p, ok
}

// Deregistered reports whether the keeper uses nothing of the ledger and no write of it is
// open.
func (k *Allocator) Deregistered(now time.Time) bool {
	return k.zone.Outstanding(now).IsZero() && k.holder.Deregistered()
}
