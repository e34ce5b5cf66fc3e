package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/internal/mix"
)

// minHolderRate is the rate, in requests per second, that each quota holder must keep when
// holders are added beyond one per availability zone. With a lower rate a bucket has less
// than a whole token most of the time, so that each request would have to collect
// fractions of a token from several instances.
const minHolderRate = 2.0

// holderCandidate is an instance that may become a quota holder of a customer.
type holderCandidate struct {
	instance  Instance
	rank      uint64 // hash of customer and instance; the lowest come first
	zoneIndex int    // position by rank among the candidates of its zone
}

// quotaHolders returns the instances that hold equal shares of a customer's quota. All
// instances with the same list of members return the same holders. Every zone with
// instances gets one holder first, so that a zone that is cut off from the others can
// admit requests for a while; a higher rate adds further holders. Each holder's share of the
// burst is at least one request, unless there is only one holder.
func quotaHolders(members []Instance, customer string, rate, burst float64) []Instance {
	customerHash := xxhash.Sum64String(customer)
	candidates := make([]holderCandidate, 0, len(members))
	for _, in := range members {
		candidates = append(candidates, holderCandidate{instance: in, rank: mix.Bits(customerHash ^ xxhash.Sum64String(in.CallerAddress))})
	}
	slices.SortFunc(candidates, func(a, b holderCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.instance.CallerAddress, b.instance.CallerAddress))
	})
	zoneSizes := make(map[string]int)
	for i := range candidates {
		candidates[i].zoneIndex = zoneSizes[candidates[i].instance.Zone]
		zoneSizes[candidates[i].instance.Zone]++
	}
	slices.SortStableFunc(candidates, func(a, b holderCandidate) int { return a.zoneIndex - b.zoneIndex })
	holders := make([]Instance, 0, len(candidates))
	count := min(max(len(zoneSizes), int(rate/minHolderRate)), max(1, int(burst)), len(candidates))
	for _, c := range candidates[:count] {
		holders = append(holders, c.instance)
	}
	return holders
}

// LocalShare returns this instance's share of a customer's quota, 0 unless it is a quota holder.
// QuotaLenders provides it as part of gateway.Lenders.
func (v *View) LocalShare(customer string, rate, burst float64) float64 {
	holders := quotaHolders(v.possibleMembers(), customer, rate, burst)
	for _, in := range holders {
		if in.CallerAddress == v.self.CallerAddress {
			return 1 / float64(len(holders))
		}
	}
	return 0
}
