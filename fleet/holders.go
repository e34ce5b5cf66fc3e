package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/internal/mix"
)

// holderRate is the least part of a customer's rate, in requests per second, that an
// instance holds if the customer has a holder in each availability zone. A bucket that
// gets less has no whole token most of the time, so that each request would have to
// collect parts of one from several instances.
const holderRate = 2.0

// holder is an instance that may hold a part of a customer's quota.
type holder struct {
	instance Instance
	rank     uint64 // in the order of the customer
	turn     int    // place among the instances of its zone
}

// holders returns the instances that hold equal parts of a customer's quota. All
// instances that list the same members agree. Each zone with instances has one first,
// so that zones that are cut off can go on for a while; further ones follow with the
// rate. Each has at least one request of the burst.
func holders(members []Instance, customer string, rate, burst float64) []Instance {
	salt := xxhash.Sum64String(customer)
	list := make([]holder, 0, len(members))
	for _, in := range members {
		list = append(list, holder{instance: in, rank: mix.Bits(salt ^ xxhash.Sum64String(in.CallerAddress))})
	}
	slices.SortFunc(list, func(a, b holder) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.instance.CallerAddress, b.instance.CallerAddress))
	})
	turns := make(map[string]int)
	for i := range list {
		list[i].turn = turns[list[i].instance.Zone]
		turns[list[i].instance.Zone]++
	}
	slices.SortStableFunc(list, func(a, b holder) int { return a.turn - b.turn })
	chosen := make([]Instance, 0, len(list))
	count := min(max(len(turns), int(rate/holderRate)), max(1, int(burst)), len(list))
	for _, h := range list[:count] {
		chosen = append(chosen, h.instance)
	}
	return chosen
}

// Share returns the part of a customer's quota that this instance holds. Lending has it
// as part of gateway.Lenders.
func (v *View) LocalShare(customer string, rate, burst float64) float64 {
	all := holders(v.possible(), customer, rate, burst)
	for _, in := range all {
		if in.CallerAddress == v.self.CallerAddress {
			return 1 / float64(len(all))
		}
	}
	return 0
}
