package limits

import "time"

// Keeper is the keeper's side of one limit: a Holder of the zone's share in the
// ledger and the Zone that grants it to the instances. The keeper's own requests
// are admitted by its Member, like those of any other instance. It does no I/O and
// is not safe for concurrent use.
//
// The Holder's bucket admits nothing. So the full bucket of the process that
// creates a ledger is not used, and the limit starts with empty buckets.
type Keeper struct {
	holder *Holder
	grants *Zone
}

// NewKeeper returns a keeper without a share. id must differ between processes and
// between the times that a process is keeper. zone is the zone's name. The rules of
// the policy that conclude from an instance's name that a holder has ended are not
// used, because a zone may have several keepers.
func NewKeeper(id, zone string, p Policy, now time.Time) *Keeper {
	p.TrustListing = false
	p.PredecessorEnded = false
	return &Keeper{holder: NewHolder(id, zone, p, now), grants: NewZone(p)}
}

// SetLimit sets the configured limit. A lower generation than before is ignored.
func (k *Keeper) SetLimit(limit Share, generation int64) { k.holder.SetLimit(limit, generation) }

// Ask answers an instance. now is a clock reading after the ask arrived.
func (k *Keeper) Ask(a Ask, now time.Time) Grant {
	k.updateZoneShare(now)
	return k.grants.Ask(a, now)
}

// Observe takes in a row that was read, as Holder.Observe.
func (k *Keeper) Observe(row Ledger, version int64, now time.Time) {
	k.holder.Observe(row, version, now)
	k.updateZoneShare(now)
}

// Written reports that the proposal was applied as the given version.
func (k *Keeper) Written(p Proposal, version int64, now time.Time) {
	k.holder.Written(p, version, now)
	k.updateZoneShare(now)
}

// Failed reports that the proposal was not applied and never will be.
func (k *Keeper) Failed(p Proposal, now time.Time) {
	k.holder.Failed(p, now)
	k.updateZoneShare(now)
}

// updateZoneShare gives the zone the share that the holder may use now. The holder's share
// falls only when a term ends, which ends the grants too, or in Propose, which
// first waits for the instances.
func (k *Keeper) updateZoneShare(now time.Time) {
	h := k.holder
	h.expireShares(now)
	k.grants.SetShare(h.active.Floor, h.active.Lease, h.floorUntil, h.leaseUntil, now)
}

// allocatorProposeFunc is Keeper.Propose or Keeper.Leave.
type allocatorProposeFunc func(*Keeper, time.Time) (Proposal, bool)

// Propose returns the row to write next, if one is due. A share that should fall
// is withheld from the instances at once. The row reduces it only as far as they
// have confirmed; the rest follows with later rows.
func (k *Keeper) Propose(now time.Time) (Proposal, bool) {
	k.updateZoneShare(now)
	h := k.holder
	if !h.rowRead || now.Sub(h.lastWriteAt) < h.policy.MinWriteGap {
		return Proposal{}, false
	}
	v := h.writeInputs(k.grants.Demand(), now)
	next, due := decideWrite(v)
	if !due {
		k.grants.Withhold(Share{}, Share{})
		return Proposal{}, false
	}
	want, _ := next.Find(h.id)
	k.grants.Withhold(h.active.Floor.Minus(want.Floor), h.active.Lease.Minus(want.Lease))
	if out := k.grants.outstandingParts(now); !partsWithin(out, want) && !v.deferReduction(&next, out) {
		return Proposal{}, false
	}
	return k.prepareWrite(next, now), true
}

// prepareWrite reduces the zone's share and then the holder's. The instances have
// confirmed that they use no more.
func (k *Keeper) prepareWrite(next Ledger, now time.Time) Proposal {
	p := k.holder.prepareWrite(next, now)
	k.updateZoneShare(now)
	return p
}

// partsWithin reports whether both parts of held are within those of share.
func partsWithin(held, share Entry) bool {
	return held.Floor.Within(share.Floor) && held.Lease.Within(share.Lease)
}

// deferReduction raises the own entry of next to what instances may still use, without
// letting any part grow. It returns false when that leaves nothing worth writing.
func (v View) deferReduction(next *Ledger, out Entry) bool {
	before, ok := v.Ledger.Find(v.ID)
	if !ok || !partsWithin(out, before) {
		return false
	}
	e := &next.Holders[next.indexOf(v.ID)]
	e.Floor = before.Floor.Min(maxOf(e.Floor, out.Floor))
	e.Lease = before.Lease.Min(maxOf(e.Lease, out.Lease))
	return v.renewalDue(before) || v.changeWorthWriting(before, *e)
}

// Leave withholds the whole share. Once no instance may use any of it, it returns
// the row without the own entry. The second result is false until then, and when
// there is no entry to remove.
func (k *Keeper) Leave(now time.Time) (Proposal, bool) {
	k.updateZoneShare(now)
	k.grants.Withhold(k.grants.floor, k.grants.lease)
	if !k.grants.Outstanding(now).IsZero() {
		return Proposal{}, false
	}
	p, ok := k.holder.Leave(now)
	k.updateZoneShare(now)
	return p, ok
}

// Left reports whether the keeper uses nothing of the ledger and no write of it is
// open.
func (k *Keeper) Left(now time.Time) bool {
	return k.grants.Outstanding(now).IsZero() && k.holder.Left()
}
