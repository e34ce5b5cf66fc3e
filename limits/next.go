package limits

import "time"

// Changes that are worth a write between renewals. Leases are renewed anyway, so
// only large changes count. Floors are small when there are many holders, so
// their steps are smaller and relative to the floor.
const (
	leaseStep  = 0.05  // of the limit
	floorStep  = 0.002 // of the limit
	demandStep = 0.02  // of the limit
	ownStep    = 0.25  // of the value before
)

// WriteInputs is what a holder knows when it decides on its next write.
type WriteInputs struct {
	Ledger     Ledger
	Version    int64 // 0: the row is absent
	ID         string
	Instance   string
	Limit      Share // as configured
	Generation int64
	Demand     MicroRequests
	Now        time.Time
	RenewedAt  time.Time // when the last confirmed write was sent
	LastWrite  time.Time
	Closed     bool
	Policy     Policy
	seen       observations
}

func (h *ShareHolder) view(demand MicroRequests, now time.Time) WriteInputs {
	return WriteInputs{
		Ledger: h.row, Version: h.version,
		ID: h.id, Instance: h.instance,
		Limit: h.limit, Generation: h.generation,
		Demand: demand, Now: now,
		RenewedAt: h.leaseUntil.Add(-h.policy.LeaseTerm), LastWrite: h.lastWrite,
		Closed: h.closed, Policy: h.policy,
		seen: h.seen,
	}
}

// decide returns the row to write next and whether the write is due.
func decide(v WriteInputs) (Ledger, bool) {
	if v.Closed || v.Now.Sub(v.LastWrite) < v.Policy.MinWriteInterval {
		return Ledger{}, false
	}
	next := v.Ledger.clone()
	due := v.applyLimit(&next)
	due = v.reclaim(&next) || due
	if next.index(v.ID) < 0 {
		next.Holders = append(next.Holders, LedgerEntry{ID: v.ID, Instance: v.Instance})
		due = true
	}
	before := next.Holders[next.index(v.ID)]
	after := v.settle(&next)
	due = due || v.renewalDue(before) || v.worthWriting(before, after)
	return next, due
}

// applyLimit takes over a newer configured limit. Shares that are held stay, and
// nobody grows until they fit.
func (v WriteInputs) applyLimit(next *Ledger) bool {
	if v.Version > 0 && v.Generation <= next.Generation {
		return false
	}
	next.Generation = v.Generation
	next.Limit = v.Limit
	return true
}

// reclaim removes what other holders have stopped using.
func (v WriteInputs) reclaim(next *Ledger) bool {
	changed := false
	kept := next.Holders[:0]
	for _, e := range next.Holders {
		if e.ID != v.ID && v.floorEnded(e) {
			changed = true
			continue
		}
		if e.ID != v.ID && !e.Lease.IsZero() && v.leaseEnded(e) {
			e.Lease = Share{}
			e.Demand = 0
			changed = true
		}
		kept = append(kept, e)
	}
	next.Holders = kept
	return changed
}

func (v WriteInputs) leaseEnded(e LedgerEntry) bool {
	return v.seen.unchangedFor(e.ID, v.Policy.LeaseTerm+v.Policy.LeaseReclaimMargin, v.Now)
}

func (v WriteInputs) floorEnded(e LedgerEntry) bool {
	if v.Policy.ReclaimPredecessorEntries && e.Instance == v.Instance {
		return true
	}
	if v.Policy.ReclaimDelistedFloors && v.seen.delistedFor(e.ID, v.Policy.FloorReclaimMargin, v.Now) {
		return v.leaseEnded(e)
	}
	return v.seen.unchangedFor(e.ID, v.Policy.FloorTerm+v.Policy.FloorReclaimMargin, v.Now)
}

// settle moves the own entry toward its target and returns it.
func (v WriteInputs) settle(next *Ledger) LedgerEntry {
	i := next.index(v.ID)
	e := &next.Holders[i]
	e.Demand = v.Demand
	target := divide(*next, v.Policy, v.stuck)
	// Shrink first, so that a lease can move into the floor and back.
	e.Floor = e.Floor.Min(target.floors[i])
	e.Lease = e.Lease.Min(target.leases[i])
	e.Floor = grow(e.Floor, target.floors[i], next.Unallocated())
	e.Lease = grow(e.Lease, target.leases[i], next.Unallocated())
	return *e
}

// grow returns held raised toward target by at most free.
func grow(held, target, free Share) Share {
	return held.Plus(target.Minus(held).Min(free))
}

// stuck reports whether a holder has not written for as long as a lease lasts.
func (v WriteInputs) stuck(id string) bool {
	return id != v.ID && v.seen.unchangedFor(id, v.Policy.LeaseTerm, v.Now)
}

func (v WriteInputs) renewalDue(e LedgerEntry) bool {
	age := v.Now.Sub(v.RenewedAt)
	if !e.Lease.IsZero() && age >= v.Policy.RenewInterval {
		return true
	}
	return age >= v.Policy.FloorTerm/3
}

// worthWriting reports whether the own share changes enough, or the published
// demand is so far off that other holders would divide the limit wrongly.
func (v WriteInputs) worthWriting(before, after LedgerEntry) bool {
	lease := changeStep{ofLimit: leaseStep}
	floor := changeStep{ofLimit: floorStep, ofOwn: ownStep}
	demand := changeStep{ofLimit: demandStep, ofOwn: ownStep}
	limit := v.Ledger.Limit
	return before.Lease.IsZero() != after.Lease.IsZero() ||
		lease.reached(before.Lease.Rate, after.Lease.Rate, limit.Rate) ||
		lease.reached(before.Lease.Burst, after.Lease.Burst, limit.Burst) ||
		floor.reached(before.Floor.Rate, after.Floor.Rate, limit.Rate) ||
		floor.reached(before.Floor.Burst, after.Floor.Burst, limit.Burst) ||
		demand.reached(before.Demand, v.Demand, limit.Rate)
}

// changeStep is a change that is worth a write, as parts of the limit and of the
// value before. Both must be reached.
type changeStep struct{ ofLimit, ofOwn float64 }

func (c changeStep) reached(before, after, limit MicroRequests) bool {
	least := max(1, c.ofLimit*float64(limit), c.ofOwn*float64(before))
	return float64(distance(before, after)) >= least
}

func distance(a, b MicroRequests) MicroRequests {
	if a > b {
		return a - b
	}
	return b - a
}
