package limits

import "time"

// Smallest changes that cause a write between renewals, as fractions. A lease is renewed
// often anyway, so it is written early only for a large change. Floors are small when there
// are many holders, so their threshold is lower; a change must in addition reach a fraction
// of the previous floor.
const (
	minLeaseChange    = 0.05  // fraction of the limit
	minFloorChange    = 0.002 // fraction of the limit
	minDemandChange   = 0.02  // fraction of the limit
	minRelativeChange = 0.25  // fraction of the previous floor or demand
)

// writeInputs holds the inputs of a holder's decision on its next write.
type writeInputs struct {
	Ledger      Ledger        // as last read
	Version     int64         // row version; 0: the row is absent
	ID          string        // of the holder
	Instance    string        // name of the holder's instance or zone
	Limit       Share         // as configured
	Generation  int64         // of the configuration that set Limit
	Demand      MicroRequests // requests per second at the holder
	Now         time.Time
	RenewedAt   time.Time // when the last confirmed write was sent
	LastWriteAt time.Time // when the last write was sent, confirmed or not
	Closed      bool      // the holder has stopped admitting
	Policy      Policy
	observed    observations
}

// newWriteInputs returns the inputs for the holder's state at the time now.
func (h *ShareHolder) newWriteInputs(demand MicroRequests, now time.Time) writeInputs {
	return writeInputs{
		Ledger: h.row, Version: h.rowVersion,
		ID: h.id, Instance: h.ownerName,
		Limit: h.limit, Generation: h.generation,
		Demand: demand, Now: now,
		RenewedAt: h.leaseUntil.Add(-h.policy.LeaseTerm), LastWriteAt: h.lastWriteAt,
		Closed: h.closed, Policy: h.policy,
		observed: h.observed,
	}
}

// decideWrite returns the row to write next and whether that write is due.
func decideWrite(in writeInputs) (Ledger, bool) {
	if in.Closed || in.Now.Sub(in.LastWriteAt) < in.Policy.MinWriteInterval {
		return Ledger{}, false
	}
	next := in.Ledger.clone()
	due := in.applyConfiguredLimit(&next)
	due = in.reclaimExpired(&next) || due
	if next.indexOf(in.ID) < 0 {
		next.Holders = append(next.Holders, LedgerEntry{ID: in.ID, Instance: in.Instance})
		due = true
	}
	before := next.Holders[next.indexOf(in.ID)]
	after := in.adjustOwnEntry(&next)
	due = due || in.renewalDue(before) || in.changeWorthWriting(before, after)
	return next, due
}

// applyConfiguredLimit sets the row's limit if the holder's configuration is newer, and
// reports whether it is. Shares stay as they are; if the limit is lower than their sum, no
// share can grow until they fit.
func (in writeInputs) applyConfiguredLimit(next *Ledger) bool {
	if in.Version > 0 && in.Generation <= next.Generation {
		return false
	}
	next.Generation = in.Generation
	next.Limit = in.Limit
	return true
}

// reclaimExpired removes the entries of other holders whose floors have expired and the
// leases that have expired, and reports whether it removed any.
func (in writeInputs) reclaimExpired(next *Ledger) bool {
	changed := false
	kept := next.Holders[:0]
	for _, e := range next.Holders {
		if e.ID != in.ID && in.floorExpired(e) {
			changed = true
			continue
		}
		if e.ID != in.ID && !e.Lease.IsZero() && in.leaseExpired(e) {
			e.Lease = Share{}
			e.Demand = 0
			changed = true
		}
		kept = append(kept, e)
	}
	next.Holders = kept
	return changed
}

// leaseExpired reports whether the holder of e must have stopped using its lease.
func (in writeInputs) leaseExpired(e LedgerEntry) bool {
	return in.observed.unchangedFor(e.ID, in.Policy.LeaseTerm+in.Policy.LeaseReclaimMargin, in.Now)
}

// floorExpired reports whether the holder of e must have stopped using its floor and
// lease, by the rules of the policy.
func (in writeInputs) floorExpired(e LedgerEntry) bool {
	if in.Policy.ReclaimPredecessorEntries && e.Instance == in.Instance {
		return true
	}
	if in.Policy.ReclaimDelistedFloors && in.observed.delistedFor(e.ID, in.Policy.FloorReclaimMargin, in.Now) {
		return in.leaseExpired(e)
	}
	return in.observed.unchangedFor(e.ID, in.Policy.FloorTerm+in.Policy.FloorReclaimMargin, in.Now)
}

// adjustOwnEntry moves the holder's own entry to its target, as far as unallocated parts
// of the limit allow, and returns it.
func (in writeInputs) adjustOwnEntry(next *Ledger) LedgerEntry {
	i := next.indexOf(in.ID)
	e := &next.Holders[i]
	e.Demand = in.Demand
	target := divideLimit(*next, in.Policy, in.unresponsive)
	// Shrink both parts first, so that what the lease gives up can go to the floor, and
	// the reverse.
	e.Floor = e.Floor.Min(target.floors[i])
	e.Lease = e.Lease.Min(target.leases[i])
	e.Floor = growToward(e.Floor, target.floors[i], next.Unallocated())
	e.Lease = growToward(e.Lease, target.leases[i], next.Unallocated())
	return *e
}

// growToward returns current raised toward target by at most available.
func growToward(current, target, available Share) Share {
	return current.Plus(target.Minus(current).Min(available))
}

// unresponsive reports whether another holder has not written its entry for LeaseTerm.
func (in writeInputs) unresponsive(id string) bool {
	return id != in.ID && in.observed.unchangedFor(id, in.Policy.LeaseTerm, in.Now)
}

// renewalDue reports whether the own entry e is due for a renewal: after RenewInterval if it
// has a lease, and in any case after a third of FloorTerm.
func (in writeInputs) renewalDue(e LedgerEntry) bool {
	age := in.Now.Sub(in.RenewedAt)
	if !e.Lease.IsZero() && age >= in.Policy.RenewInterval {
		return true
	}
	return age >= in.Policy.FloorTerm/3
}

// changeWorthWriting reports whether the own share changes enough for a write, or the
// demand in the ledger is so outdated that other holders would divide the limit wrongly.
func (in writeInputs) changeWorthWriting(before, after LedgerEntry) bool {
	lease := changeThreshold{ofLimit: minLeaseChange}
	floor := changeThreshold{ofLimit: minFloorChange, ofPrevious: minRelativeChange}
	demand := changeThreshold{ofLimit: minDemandChange, ofPrevious: minRelativeChange}
	limit := in.Ledger.Limit
	return before.Lease.IsZero() != after.Lease.IsZero() ||
		lease.reached(before.Lease.Rate, after.Lease.Rate, limit.Rate) ||
		lease.reached(before.Lease.Burst, after.Lease.Burst, limit.Burst) ||
		floor.reached(before.Floor.Rate, after.Floor.Rate, limit.Rate) ||
		floor.reached(before.Floor.Burst, after.Floor.Burst, limit.Burst) ||
		demand.reached(before.Demand, in.Demand, limit.Rate)
}

// changeThreshold is the smallest change of a value that is worth a write, as fractions of
// the limit and of the previous value. A change must reach both.
type changeThreshold struct{ ofLimit, ofPrevious float64 }

// reached reports whether the change from before to after reaches the threshold,
// which is at least one millionth of a request.
func (c changeThreshold) reached(before, after, limit MicroRequests) bool {
	minChange := max(1, c.ofLimit*float64(limit), c.ofPrevious*float64(before))
	return float64(absDifference(before, after)) >= minChange
}

func absDifference(a, b MicroRequests) MicroRequests {
	if a > b {
		return a - b
	}
	return b - a
}
