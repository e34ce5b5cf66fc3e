package limits

import (
	"cmp"
	"slices"
)

// idleFraction is the part of a limit below which demand counts as none.
const idleFraction = 0.001

// plan is how a limit should be divided between the holders of a ledger.
type plan struct {
	floors []Share
	leases []Share
}

// divide computes the shares that all holders should have. Floors are equal. The
// rest follows demand: max-min fair when there is not enough, otherwise in
// proportion to what the holders ask for above their floors. When there is not
// enough, floors that their holders do not need yield as well. stuck says which
// holders do not react; their floors above the equal part are left to them.
func divide(l Ledger, p Policy, stuck func(id string) bool) plan {
	floors := divideFloors(l, p, stuck)
	pool := remainder(l.Limit, floors)
	wants := claims(l, p, floors)
	if sum(wants) > pool.Rate {
		yieldFloors(l, p, floors, stuck)
		pool = remainder(l.Limit, floors)
		wants = claims(l, p, floors)
	}
	return plan{floors: floors, leases: divideLeases(pool, wants)}
}

func remainder(limit Share, parts []Share) Share {
	for _, s := range parts {
		limit = limit.Minus(s)
	}
	return limit
}

func sum(amounts []MicroRequests) MicroRequests {
	var total MicroRequests
	for _, a := range amounts {
		total += a
	}
	return total
}

// yieldFloors reduces each floor to what its holder asks for, but not below the
// smallest floor. A floor that is used keeps a burst of at least one request.
func yieldFloors(l Ledger, p Policy, floors []Share, stuck func(id string) bool) {
	smallest := equalPart(l.Limit.fraction(p.MinFloorFraction), len(floors))
	for i, e := range l.Holders {
		want := max(smallest.Rate, asked(e, p))
		if want >= floors[i].Rate || stuck(e.ID) {
			continue
		}
		burst := floors[i].Burst.scale(want, floors[i].Rate)
		floors[i] = Share{Rate: want, Burst: max(burst, min(OneRequest, floors[i].Burst))}
	}
}

// asked returns the rate that a holder asks for in all.
func asked(e LedgerEntry, p Policy) MicroRequests { return MicroRequestsOf(e.Demand.Requests() * p.HeadroomFactor) }

func divideFloors(l Ledger, p Policy, stuck func(id string) bool) []Share {
	floors := make([]Share, len(l.Holders))
	budget := l.Limit.fraction(p.FloorFraction)
	open := make([]int, 0, len(l.Holders))
	for i, e := range l.Holders {
		if stuck(e.ID) && !e.Floor.Within(equalPart(budget, len(l.Holders))) {
			floors[i] = e.Floor
			budget = budget.Minus(e.Floor)
			continue
		}
		open = append(open, i)
	}
	// A share below one request admits nothing, so a small burst makes fewer floors.
	open = open[:min(len(open), int(budget.Burst/OneRequest))]
	for _, i := range open {
		floors[i] = equalPart(budget, len(open))
	}
	return floors
}

func equalPart(s Share, n int) Share {
	if n <= 0 {
		return Share{}
	}
	return Share{Rate: s.Rate / MicroRequests(n), Burst: s.Burst / MicroRequests(n)}
}

// claims returns the rate that each holder asks for above its floor.
func claims(l Ledger, p Policy, floors []Share) []MicroRequests {
	out := make([]MicroRequests, len(l.Holders))
	idle := MicroRequestsOf(l.Limit.Rate.Requests() * idleFraction)
	for i, e := range l.Holders {
		if e.Demand > idle {
			out[i] = max(0, asked(e, p)-floors[i].Rate)
		}
	}
	return out
}

// divideLeases divides pool. Each holder with a lease gets a burst of at least
// one request, so a small burst makes fewer leases; larger claims come first.
func divideLeases(pool Share, claims []MicroRequests) []Share {
	order := claimants(claims)
	order = order[:min(len(order), int(pool.Burst/OneRequest))]
	leases := make([]Share, len(claims))
	rates := divideRate(pool.Rate, claims, order)
	spare := pool.Burst - MicroRequests(len(order))*OneRequest
	for _, i := range order {
		leases[i] = Share{Rate: rates[i], Burst: OneRequest + spare.scale(rates[i], pool.Rate)}
	}
	return leases
}

// claimants returns the indexes with a claim, the largest claim first.
func claimants(claims []MicroRequests) []int {
	var order []int
	for i, c := range claims {
		if c > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(claims[b], claims[a]) })
	return order
}

func divideRate(pool MicroRequests, claims []MicroRequests, order []int) []MicroRequests {
	var total MicroRequests
	for _, i := range order {
		total += claims[i]
	}
	if total > pool {
		return maxMin(pool, claims, order)
	}
	rates := make([]MicroRequests, len(claims))
	for _, i := range order {
		rates[i] = pool.scale(claims[i], total)
	}
	return rates
}

// maxMin serves the smallest claims first and divides the rest equally. order
// lists the claims from the largest to the smallest.
func maxMin(pool MicroRequests, claims []MicroRequests, order []int) []MicroRequests {
	rates := make([]MicroRequests, len(claims))
	for n := len(order); n > 0; n-- {
		i := order[n-1]
		rates[i] = min(claims[i], pool/MicroRequests(n))
		pool -= rates[i]
	}
	return rates
}
