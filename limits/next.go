package limits

import "time"

// significantFraction is the part of a limit by which a share must change to be
// worth a write between renewals.
const significantFraction = 0.05

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
	seen       observations
}

func (h *Holder) view(demand Amount, now time.Time) View {
	return View{
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
func decide(v View) (Ledger, bool) {
	if v.Closed || v.Now.Sub(v.LastWrite) < v.Policy.MinWriteGap {
		return Ledger{}, false
	}
	next := v.Ledger.clone()
	due := v.applyLimit(&next)
	due = v.reclaim(&next) || due
	if next.index(v.ID) < 0 {
		next.Holders = append(next.Holders, Entry{ID: v.ID, Instance: v.Instance})
		due = true
	}
	before := next.Holders[next.index(v.ID)]
	after := v.settle(&next)
	due = due || v.renewalDue(before) || v.worthWriting(before, after)
	return next, due
}

// applyLimit takes over a newer configured limit. Shares that are held stay, and
// nobody grows until they fit.
func (v View) applyLimit(next *Ledger) bool {
	if v.Version > 0 && v.Generation <= next.Generation {
		return false
	}
	next.Generation = v.Generation
	next.Limit = v.Limit
	return true
}

// reclaim removes what other holders have stopped using.
func (v View) reclaim(next *Ledger) bool {
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

func (v View) leaseEnded(e Entry) bool {
	return v.seen.unchangedFor(e.ID, v.Policy.LeaseTerm+v.Policy.LeaseMargin, v.Now)
}

func (v View) floorEnded(e Entry) bool {
	if v.Policy.PredecessorEnded && e.Instance == v.Instance {
		return true
	}
	if v.Policy.TrustListing && v.seen.delistedFor(e.ID, v.Policy.FloorMargin, v.Now) {
		return v.leaseEnded(e)
	}
	return v.seen.unchangedFor(e.ID, v.Policy.FloorTerm+v.Policy.FloorMargin, v.Now)
}

// settle moves the own entry toward its target and returns it.
func (v View) settle(next *Ledger) Entry {
	i := next.index(v.ID)
	e := &next.Holders[i]
	e.Demand = v.Demand
	target := divide(*next, v.Policy, v.stuck)
	// Shrink first, so that a lease can move into the floor and back.
	e.Floor = e.Floor.Min(target.floors[i])
	e.Lease = e.Lease.Min(target.leases[i])
	e.Floor = grow(e.Floor, target.floors[i], next.Free())
	e.Lease = grow(e.Lease, target.leases[i], next.Free())
	return *e
}

// grow returns held raised toward target by at most free.
func grow(held, target, free Share) Share {
	return held.Plus(target.Minus(held).Min(free))
}

// stuck reports whether a holder has not written for as long as a lease lasts.
func (v View) stuck(id string) bool {
	return id != v.ID && v.seen.unchangedFor(id, v.Policy.LeaseTerm, v.Now)
}

func (v View) renewalDue(e Entry) bool {
	age := v.Now.Sub(v.RenewedAt)
	if !e.Lease.IsZero() && age >= v.Policy.RenewEvery {
		return true
	}
	return age >= v.Policy.FloorTerm/3
}

// worthWriting reports whether the own share changes enough, or the published
// demand is so far off that other holders would divide the limit wrongly.
func (v View) worthWriting(before, after Entry) bool {
	step := max(1, AmountOf(v.Ledger.Limit.Rate.Float()*significantFraction))
	burstStep := max(1, AmountOf(v.Ledger.Limit.Burst.Float()*significantFraction))
	held, want := before.Held(), after.Held()
	if distance(held.Rate, want.Rate) >= step || distance(held.Burst, want.Burst) >= burstStep {
		return true
	}
	return distance(before.Demand, v.Demand) >= max(step, before.Demand/4)
}

func distance(a, b Amount) Amount {
	if a > b {
		return a - b
	}
	return b - a
}
