package limits

import "time"

// Changes that are worth a write between renewals. Leases are renewed anyway, so
// only large changes count. Floors are small when there are many holders, so
// their steps are smaller and relative to the floor.
const (
	minLeaseChange    = 0.05  // of the limit
	minFloorChange    = 0.002 // of the limit
	minDemandChange   = 0.02  // of the limit
	minRelativeChange = 0.25  // of the value before
)

// View is what a holder knows when it decides on its next write.
type View struct {
	Ledger     Ledger
	Version    int64 // 0: the row is absent
	ID         string
	Instance   string
	Limit      Share // as configured
	Generation int64
	Demand     Amount
	Now        time.Time
	RenewedAt  time.Time // when the last confirmed write was sent
	LastWrite  time.Time
	Closed     bool
	Policy     Policy
	observed   observations
}

func (h *Holder) writeInputs(demand Amount, now time.Time) View {
	return View{
		Ledger: h.row, Version: h.rowVersion,
		ID: h.id, Instance: h.instance,
		Limit: h.limit, Generation: h.generation,
		Demand: demand, Now: now,
		RenewedAt: h.leaseUntil.Add(-h.policy.LeaseTerm), LastWrite: h.lastWriteAt,
		Closed: h.closed, Policy: h.policy,
		observed: h.observed,
	}
}

// decideWrite returns the row to write next and whether the write is due.
func decideWrite(v View) (Ledger, bool) {
	if v.Closed || v.Now.Sub(v.LastWrite) < v.Policy.MinWriteGap {
		return Ledger{}, false
	}
	next := v.Ledger.clone()
	due := v.applyConfiguredLimit(&next)
	due = v.reclaimExpired(&next) || due
	if next.indexOf(v.ID) < 0 {
		next.Holders = append(next.Holders, Entry{ID: v.ID, Instance: v.Instance})
		due = true
	}
	before := next.Holders[next.indexOf(v.ID)]
	after := v.adjustOwnEntry(&next)
	due = due || v.renewalDue(before) || v.changeWorthWriting(before, after)
	return next, due
}

// applyConfiguredLimit takes over a newer configured limit. Shares that are held stay, and
// nobody grows until they fit.
func (v View) applyConfiguredLimit(next *Ledger) bool {
	if v.Version > 0 && v.Generation <= next.Generation {
		return false
	}
	next.Generation = v.Generation
	next.Limit = v.Limit
	return true
}

// reclaimExpired removes what other holders have stopped using.
func (v View) reclaimExpired(next *Ledger) bool {
	changed := false
	kept := next.Holders[:0]
	for _, e := range next.Holders {
		if e.ID != v.ID && v.floorExpired(e) {
			changed = true
			continue
		}
		if e.ID != v.ID && !e.Lease.IsZero() && v.leaseExpired(e) {
			e.Lease = Share{}
			e.Demand = 0
			changed = true
		}
		kept = append(kept, e)
	}
	next.Holders = kept
	return changed
}

func (v View) leaseExpired(e Entry) bool {
	return v.observed.unchangedFor(e.ID, v.Policy.LeaseTerm+v.Policy.LeaseMargin, v.Now)
}

func (v View) floorExpired(e Entry) bool {
	if v.Policy.PredecessorEnded && e.Instance == v.Instance {
		return true
	}
	if v.Policy.TrustListing && v.observed.delistedFor(e.ID, v.Policy.FloorMargin, v.Now) {
		return v.leaseExpired(e)
	}
	return v.observed.unchangedFor(e.ID, v.Policy.FloorTerm+v.Policy.FloorMargin, v.Now)
}

// adjustOwnEntry moves the own entry toward its target and returns it.
func (v View) adjustOwnEntry(next *Ledger) Entry {
	i := next.indexOf(v.ID)
	e := &next.Holders[i]
	e.Demand = v.Demand
	target := divideLimit(*next, v.Policy, v.unresponsive)
	// Shrink first, so that a lease can move into the floor and back.
	e.Floor = e.Floor.Min(target.floors[i])
	e.Lease = e.Lease.Min(target.leases[i])
	e.Floor = growToward(e.Floor, target.floors[i], next.Free())
	e.Lease = growToward(e.Lease, target.leases[i], next.Free())
	return *e
}

// growToward returns held raised toward target by at most free.
func growToward(held, target, free Share) Share {
	return held.Plus(target.Minus(held).Min(free))
}

// unresponsive reports whether a holder has not written for as long as a lease lasts.
func (v View) unresponsive(id string) bool {
	return id != v.ID && v.observed.unchangedFor(id, v.Policy.LeaseTerm, v.Now)
}

func (v View) renewalDue(e Entry) bool {
	age := v.Now.Sub(v.RenewedAt)
	if !e.Lease.IsZero() && age >= v.Policy.RenewEvery {
		return true
	}
	return age >= v.Policy.FloorTerm/3
}

// changeWorthWriting reports whether the own share changes enough, or the published
// demand is so far off that other holders would divide the limit wrongly.
func (v View) changeWorthWriting(before, after Entry) bool {
	lease := changeThreshold{ofLimit: minLeaseChange}
	floor := changeThreshold{ofLimit: minFloorChange, ofPrevious: minRelativeChange}
	demand := changeThreshold{ofLimit: minDemandChange, ofPrevious: minRelativeChange}
	limit := v.Ledger.Limit
	return before.Lease.IsZero() != after.Lease.IsZero() ||
		lease.reached(before.Lease.Rate, after.Lease.Rate, limit.Rate) ||
		lease.reached(before.Lease.Burst, after.Lease.Burst, limit.Burst) ||
		floor.reached(before.Floor.Rate, after.Floor.Rate, limit.Rate) ||
		floor.reached(before.Floor.Burst, after.Floor.Burst, limit.Burst) ||
		demand.reached(before.Demand, v.Demand, limit.Rate)
}

// changeThreshold is a change that is worth a write, as parts of the limit and of the
// value before. Both must be reached.
type changeThreshold struct{ ofLimit, ofPrevious float64 }

func (c changeThreshold) reached(before, after, limit Amount) bool {
	least := max(1, c.ofLimit*float64(limit), c.ofPrevious*float64(before))
	return float64(absDifference(before, after)) >= least
}

func absDifference(a, b Amount) Amount {
	if a > b {
		return a - b
	}
	return b - a
}
