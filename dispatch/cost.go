package dispatch

import (
	"time"
)

// Network round-trip times between an instance and a server.
const (
	roundTripSameZone    = 200 * time.Microsecond
	roundTripSameRegion  = 2 * time.Millisecond
	roundTripOtherRegion = 40 * time.Millisecond
)

// Cost of traffic to another zone or region, expressed as time to compare it with latency.
// Traffic between zones is billed, and traffic between regions costs more.
const (
	otherZoneCost   = 10 * time.Millisecond
	otherRegionCost = 40 * time.Millisecond
	// largeBodyFactor multiplies these costs for large request bodies.
	largeBodyFactor = 3
	// largeBodyBytes is the size from which a request body counts as large.
	largeBodyBytes = 16 << 10
)

// Parameters of the cost of a request on a server. Costs without a unit are multiples of the
// service time.
const (
	// recentObjectFactor multiplies the expected service time if the server has handled the
	// object before, since the object is likely to be in its cache.
	recentObjectFactor = 0.3
	// recentObjectTTL is how long a server is assumed to have an object in its cache.
	recentObjectTTL = time.Minute
	// affinityRankCost is the extra cost for each rank of the server in the affinity order
	// of the object.
	affinityRankCost = 2.0
	// slotWaitCost is the cost of waiting for a slot at a server that would need twice its
	// slots to run all its requests at once. The cost is proportional to the missing slots.
	slotWaitCost = 1.0
	// loadCost is the extra cost of a server whose slots are all used over an idle one. It
	// spreads requests over the servers.
	loadCost = 0.3
	// failureRateCost is the extra cost of a server that fails all requests. The cost is
	// proportional to the failure rate.
	failureRateCost = 4.0
	// failureRateGain is the weight of one attempt in the failure rate.
	failureRateGain = 0.15
	// defaultServiceTime is the mean service time of a service before the first sample.
	defaultServiceTime = 200 * time.Millisecond
)

// networkCost returns the round-trip time to a server, and the cost of traffic to its zone
// expressed as time.
func (d *Dispatcher) networkCost(s *Server, bodyBytes int) (roundTrip, trafficCost time.Duration) {
	factor := time.Duration(1)
	if bodyBytes >= largeBodyBytes {
		factor = largeBodyFactor
	}
	switch {
	case s.Zone == d.locality.Zone:
		return roundTripSameZone, 0
	case s.Region == d.locality.Region:
		return roundTripSameRegion, factor * otherZoneCost
	default:
		return roundTripOtherRegion, factor * otherRegionCost
	}
}

// cost estimates the cost of a request on a server in nanoseconds: the service time, the
// wait for a slot, the round trip and the cost of traffic. rank is the rank of the server
// in the affinity order of the object, and mean the mean service time of the pool.
func (d *Dispatcher) cost(r *Request, s *Server, rank int, mean time.Duration, now time.Time) float64 {
	roundTrip, trafficCost := d.networkCost(s, r.BodyBytes)
	cost := float64(s.expectedServiceTime(mean, now))
	if r.ObjectHash != 0 {
		if at, ok := s.recentObjects[r.ObjectHash]; ok && now.Sub(at) < recentObjectTTL {
			cost *= recentObjectFactor
		}
		cost *= 1 + affinityRankCost*float64(rank)
	}
	load := s.estimatedLoad(now) / float64(s.Slots)
	cost *= 1 + loadCost*load + failureRateCost*s.failureRate
	if s.isCold(now) {
		cost *= coldServerFactor
	}
	// missingSlots is a fraction of the slots of the server.
	if missingSlots := load + 1/float64(s.Slots) - 1; missingSlots > 0 {
		cost += slotWaitCost * float64(mean) * missingSlots
	}
	return cost + float64(roundTrip) + float64(trafficCost)
}
