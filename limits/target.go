package limits

import (
	"cmp"
	"slices"
)

// idleDemandFraction is the part of a limit below which demand counts as none.
const idleDemandFraction = 0.001

// division is how a limit should be divided between the holders of a ledger.
type division struct {
	floors []Share
	leases []Share
}

// divideLimit computes the shares that all holders should have. Floors are equal. The
// rest follows demand: max-min fair when there is not enough, otherwise in
// proportion to what the holders ask for above their floors. When there is not
// enough, floors that their holders do not need yield as well. stuck says which
// holders do not react; their floors above the equal part are left to them.
func divideLimit(l Ledger, p Policy, stuck func(id string) bool) division {
	floors := divideFloors(l, p, stuck)
	pool := subtractAll(l.Limit, floors)
	wants := requestedLeaseRates(l, p, floors)
	if sumRates(wants) > pool.Rate {
		reduceUnneededFloors(l, p, floors, stuck)
		pool = subtractAll(l.Limit, floors)
		wants = requestedLeaseRates(l, p, floors)
	}
	return division{floors: floors, leases: divideLeases(pool, wants)}
}

func subtractAll(limit Share, parts []Share) Share {
	for _, s := range parts {
		limit = limit.Minus(s)
	}
	return limit
}

func sumRates(amounts []Amount) Amount {
	var total Amount
	for _, a := range amounts {
		total += a
	}
	return total
}

// reduceUnneededFloors reduces each floor to what its holder asks for, but not below the
// smallest floor. A floor that is used keeps a burst of at least one request.
func reduceUnneededFloors(l Ledger, p Policy, floors []Share, stuck func(id string) bool) {
	smallest := equalShare(l.Limit.fraction(p.MinFloorFraction), len(floors))
	for i, e := range l.Holders {
		want := max(smallest.Rate, requestedRate(e, p))
		if want >= floors[i].Rate || stuck(e.ID) {
			continue
		}
		burst := floors[i].Burst.scale(want, floors[i].Rate)
		floors[i] = Share{Rate: want, Burst: max(burst, min(One, floors[i].Burst))}
	}
}

// requestedRate returns the rate that a holder asks for in all.
func requestedRate(e Entry, p Policy) Amount { return AmountOf(e.Demand.Float() * p.Headroom) }

func divideFloors(l Ledger, p Policy, stuck func(id string) bool) []Share {
	floors := make([]Share, len(l.Holders))
	budget := l.Limit.fraction(p.FloorFraction)
	open := make([]int, 0, len(l.Holders))
	for i, e := range l.Holders {
		if stuck(e.ID) && !e.Floor.Within(equalShare(budget, len(l.Holders))) {
			floors[i] = e.Floor
			budget = budget.Minus(e.Floor)
			continue
		}
		open = append(open, i)
	}
	// A share below one request admits nothing, so a small burst makes fewer floors.
	open = open[:min(len(open), int(budget.Burst/One))]
	for _, i := range open {
		floors[i] = equalShare(budget, len(open))
	}
	return floors
}

func equalShare(s Share, n int) Share {
	if n <= 0 {
		return Share{}
	}
	return Share{Rate: s.Rate / Amount(n), Burst: s.Burst / Amount(n)}
}

// requestedLeaseRates returns the rate that each holder asks for above its floor.
func requestedLeaseRates(l Ledger, p Policy, floors []Share) []Amount {
	out := make([]Amount, len(l.Holders))
	idle := AmountOf(l.Limit.Rate.Float() * idleDemandFraction)
	for i, e := range l.Holders {
		if e.Demand > idle {
			out[i] = max(0, requestedRate(e, p)-floors[i].Rate)
		}
	}
	return out
}

// divideLeases divides pool. Each holder with a lease gets a burst of at least
// one request, so a small burst makes fewer leases; larger claims come first.
func divideLeases(pool Share, claims []Amount) []Share {
	order := leaseOrder(claims)
	order = order[:min(len(order), int(pool.Burst/One))]
	leases := make([]Share, len(claims))
	rates := divideLeaseRate(pool.Rate, claims, order)
	spare := pool.Burst - Amount(len(order))*One
	for _, i := range order {
		leases[i] = Share{Rate: rates[i], Burst: One + spare.scale(rates[i], pool.Rate)}
	}
	return leases
}

// leaseOrder returns the indexes with a claim, the largest claim first.
func leaseOrder(claims []Amount) []int {
	var order []int
	for i, c := range claims {
		if c > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(claims[b], claims[a]) })
	return order
}

func divideLeaseRate(pool Amount, claims []Amount, order []int) []Amount {
	var total Amount
	for _, i := range order {
		total += claims[i]
	}
	if total > pool {
		return maxMinFair(pool, claims, order)
	}
	rates := make([]Amount, len(claims))
	for _, i := range order {
		rates[i] = pool.scale(claims[i], total)
	}
	return rates
}

// maxMinFair serves the smallest claims first and divides the rest equally. order
// lists the claims from the largest to the smallest.
func maxMinFair(pool Amount, claims []Amount, order []int) []Amount {
	rates := make([]Amount, len(claims))
	for n := len(order); n > 0; n-- {
		i := order[n-1]
		rates[i] = min(claims[i], pool/Amount(n))
		pool -= rates[i]
	}
	return rates
}
