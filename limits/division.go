package limits

import (
	"cmp"
	"slices"
)

// idleDemandFraction is the fraction of a limit's rate up to which a holder's demand is treated
// as 0.
const idleDemandFraction = 0.001

// division holds the floor and the lease that each holder of a ledger should have, both in the
// order of Ledger.Holders.
type division struct {
	floors []Share
	leases []Share
}

// divideLimit computes the shares that all holders should have. A part of the limit is
// divided into equal floors. The rest is divided into leases by the rates that the holders
// request above their floors: in proportion to them if the rest suffices for all, and otherwise
// max-min fair. In the latter case, floors that their holders do not need are also reduced.
// A holder that is unresponsive cannot reduce its floor, so it keeps one that is larger than
// an equal floor.
func divideLimit(l Ledger, p Policy, unresponsive func(id string) bool) division {
	floors := divideFloors(l, p, unresponsive)
	pool := subtractAll(l.Limit, floors)
	leaseRates := requestedLeaseRates(l, p, floors)
	if sumRates(leaseRates) > pool.Rate {
		reduceUnneededFloors(l, p, floors, unresponsive)
		pool = subtractAll(l.Limit, floors)
		leaseRates = requestedLeaseRates(l, p, floors)
	}
	return division{floors: floors, leases: divideLeases(pool, leaseRates)}
}

// subtractAll returns limit less all parts, at least 0.
func subtractAll(limit Share, parts []Share) Share {
	for _, s := range parts {
		limit = limit.Minus(s)
	}
	return limit
}

// sumRates returns the sum of the rates.
func sumRates(rates []MicroRequests) MicroRequests {
	var total MicroRequests
	for _, rate := range rates {
		total += rate
	}
	return total
}

// reduceUnneededFloors reduces each floor to the rate that its holder requests, but not
// below the smallest floor of the policy. A floor that had a burst of at least one request
// keeps at least that. Floors of unresponsive holders stay.
func reduceUnneededFloors(l Ledger, p Policy, floors []Share, unresponsive func(id string) bool) {
	smallest := equalShare(l.Limit.fraction(p.MinFloorFraction), len(floors))
	for i, e := range l.Holders {
		rate := max(smallest.Rate, requestedRate(e, p))
		if rate >= floors[i].Rate || unresponsive(e.ID) {
			continue
		}
		burst := floors[i].Burst.scale(rate, floors[i].Rate)
		floors[i] = Share{Rate: rate, Burst: max(burst, min(OneRequest, floors[i].Burst))}
	}
}

// requestedRate returns the rate that a holder requests for floor and lease together.
func requestedRate(e LedgerEntry, p Policy) MicroRequests {
	return MicroRequestsOf(e.Demand.Requests() * p.HeadroomFactor)
}

// divideFloors returns the floors of the holders: equal parts of the policy's floor fraction,
// except that an unresponsive holder keeps a larger floor.
func divideFloors(l Ledger, p Policy, unresponsive func(id string) bool) []Share {
	floors := make([]Share, len(l.Holders))
	unassigned := l.Limit.fraction(p.FloorFraction)     // part of the limit for floors that is not assigned yet
	equalFloorHolders := make([]int, 0, len(l.Holders)) // indexes of the holders with equal floors
	for i, e := range l.Holders {
		if unresponsive(e.ID) && !e.Floor.Within(equalShare(unassigned, len(l.Holders))) {
			floors[i] = e.Floor
			unassigned = unassigned.Minus(e.Floor)
			continue
		}
		equalFloorHolders = append(equalFloorHolders, i)
	}
	// A share with a burst below one request admits nothing, so if the burst is small, only
	// some holders get a floor.
	equalFloorHolders = equalFloorHolders[:min(len(equalFloorHolders), int(unassigned.Burst/OneRequest))]
	for _, i := range equalFloorHolders {
		floors[i] = equalShare(unassigned, len(equalFloorHolders))
	}
	return floors
}

// equalShare returns an n-th of s, or zero if n is not positive.
func equalShare(s Share, n int) Share {
	if n <= 0 {
		return Share{}
	}
	return Share{Rate: s.Rate / MicroRequests(n), Burst: s.Burst / MicroRequests(n)}
}

// requestedLeaseRates returns the rate that each holder requests above its floor. It is 0
// for holders without demand.
func requestedLeaseRates(l Ledger, p Policy, floors []Share) []MicroRequests {
	rates := make([]MicroRequests, len(l.Holders))
	idle := MicroRequestsOf(l.Limit.Rate.Requests() * idleDemandFraction)
	for i, e := range l.Holders {
		if e.Demand > idle {
			rates[i] = max(0, requestedRate(e, p)-floors[i].Rate)
		}
	}
	return rates
}

// divideLeases divides pool among the holders that request a lease rate. Each lease has a
// burst of at least one request, so if the burst of pool is small, only the holders that
// request the highest rates get a lease.
func divideLeases(pool Share, requested []MicroRequests) []Share {
	order := leaseOrder(requested)
	order = order[:min(len(order), int(pool.Burst/OneRequest))]
	leases := make([]Share, len(requested))
	rates := divideLeaseRate(pool.Rate, requested, order)
	spare := pool.Burst - MicroRequests(len(order))*OneRequest
	for _, i := range order {
		leases[i] = Share{Rate: rates[i], Burst: OneRequest + spare.scale(rates[i], pool.Rate)}
	}
	return leases
}

// leaseOrder returns the indexes of the positive requested rates, the highest rate first.
func leaseOrder(requested []MicroRequests) []int {
	var order []int
	for i, rate := range requested {
		if rate > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(requested[b], requested[a]) })
	return order
}

// divideLeaseRate divides the rate pool among the holders whose indexes are in order: in
// proportion to the requested rates if pool suffices for them, and otherwise max-min fair.
func divideLeaseRate(pool MicroRequests, requested []MicroRequests, order []int) []MicroRequests {
	var total MicroRequests
	for _, i := range order {
		total += requested[i]
	}
	if total > pool {
		return maxMinFair(pool, requested, order)
	}
	rates := make([]MicroRequests, len(requested))
	for _, i := range order {
		rates[i] = pool.scale(requested[i], total)
	}
	return rates
}

// maxMinFair grants the lowest requested rates in full and divides the rest of pool equally.
// order lists the indexes from the highest requested rate to the lowest.
func maxMinFair(pool MicroRequests, requested []MicroRequests, order []int) []MicroRequests {
	rates := make([]MicroRequests, len(requested))
	for n := len(order); n > 0; n-- {
		i := order[n-1]
		rates[i] = min(requested[i], pool/MicroRequests(n))
		pool -= rates[i]
	}
	return rates
}
