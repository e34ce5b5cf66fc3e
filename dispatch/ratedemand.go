package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of dividing the rate limit of a server among the instances.
const (
	// equalRateShare is the part of a limit that is divided equally among the instances. The rest
	// is divided by their demand. It lets an instance use a server that it does not prefer.
	equalRateShare = 0.03
	// rateDemandDecay is the time constant of the mean of an instance's demand.
	rateDemandDecay = 2 * time.Second
	// rateDemandInterval is the time between updates of the demand by which a limit is divided. An
	// instance uses the value that it reports to the others, so that the shares of all add up
	// to 1: at the time of a request its own demand is above its mean.
	rateDemandInterval = time.Second
	// peerDemandTTL is how long the demand and the limit that another instance has reported are
	// used. Digests arrive every second in fleets of up to nine instances.
	peerDemandTTL = 3 * time.Second
)

// RateDemand is the rate of an instance's requests that prefer a server which limits its rate.
type RateDemand struct {
	ServerHash uint64 // hash of the server's ID
	PerSecond  float64
	// Limit is the limit in requests per second if the instance has it from the server itself,
	// and nil otherwise. LimitAge is the time since the last response with it.
	Limit    *float64
	LimitAge time.Duration
}

// peerDemand is the demand of another instance.
type peerDemand struct {
	perSecond  map[uint64]float64 // by the hash of the server's ID
	receivedAt time.Time
}

// countRateDemand counts a new request for the server that it prefers, if that server limits its
// rate.
func (d *Dispatcher) countRateDemand(r *Request, now time.Time) {
	pool := d.services[r.Service]
	if pool == nil || !pool.limitsRates(now) {
		return
	}
	s := d.lowestCost(r, pool, now, func(*Server) bool { return true })
	if s == nil {
		return
	}
	if _, limited := s.RateLimit(now); limited {
		s.rateLimit.demand, s.rateLimit.demandAt = s.rateLimit.currentDemand(now)+1/rateDemandDecay.Seconds(), now
	}
}

// rateShare returns this instance's part of the limit of a server. It is in proportion to the
// demand of the instances. Those whose demand is not known count with that of this instance or with
// the mean of the known ones, whichever is more: the shares then add up to 1 or less.
func (d *Dispatcher) rateShare(s *Server, now time.Time) float64 {
	equal := 1 / float64(d.members)
	known, sum := 0, 0.0
	for _, peer := range d.peerDemands {
		if demand, ok := peer.perSecond[s.idHash]; ok && now.Sub(peer.receivedAt) <= peerDemandTTL {
			known++
			sum += demand
		}
	}
	own := s.rateLimit.reportableDemand(now)
	if own == 0 {
		return equalRateShare * equal
	}
	unknown := float64(max(0, d.members-1-known))
	total := own + sum + unknown*max(own, sum/float64(max(1, known)))
	return equalRateShare*equal + (1-equalRateShare)*own/total
}

// reportableDemand returns the demand by which the limit is divided. It changes every
// rateDemandInterval.
func (l *rateLimit) reportableDemand(now time.Time) float64 {
	if now.Sub(l.reportedAt) >= rateDemandInterval {
		l.reportedDemand, l.reportedAt = l.currentDemand(now), now
	}
	return l.reportedDemand
}

// currentDemand returns the decayed demand.
func (l *rateLimit) currentDemand(now time.Time) float64 {
	return l.demand * math.Exp(-now.Sub(l.demandAt).Seconds()/rateDemandDecay.Seconds())
}

// RateDemands returns this instance's demand for up to count servers that limit their rate, those
// with the most demand first.
func (d *Dispatcher) RateDemands(count int, now time.Time) []RateDemand {
	var demands []RateDemand
	for _, s := range d.servers {
		perSecond, limited := s.RateLimit(now)
		if !limited {
			continue
		}
		demand := RateDemand{ServerHash: s.idHash, PerSecond: s.rateLimit.reportableDemand(now)}
		if s.rateLimit.own {
			demand.Limit, demand.LimitAge = &perSecond, now.Sub(s.rateLimit.confirmedAt)
		}
		demands = append(demands, demand)
	}
	slices.SortFunc(demands, func(a, b RateDemand) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.ServerHash, b.ServerHash))
	})
	return demands[:min(count, len(demands))]
}

// MergeRateDemands replaces what is known of the demand of another instance, and takes the limits
// that were confirmed there more recently than here. delay is an upper bound of the time since
// that instance reported them.
func (d *Dispatcher) MergeRateDemands(instance string, demands []RateDemand, delay time.Duration, now time.Time) {
	byHash := make(map[uint64]RateDemand, len(demands))
	perSecond := make(map[uint64]float64, len(demands))
	for _, demand := range demands {
		byHash[demand.ServerHash] = demand
		perSecond[demand.ServerHash] = demand.PerSecond
	}
	maps.DeleteFunc(d.peerDemands, func(_ string, p peerDemand) bool { return now.Sub(p.receivedAt) > peerDemandTTL })
	d.peerDemands[instance] = peerDemand{perSecond: perSecond, receivedAt: now}
	if len(demands) == 0 {
		return
	}
	for _, s := range d.servers {
		demand, ok := byHash[s.idHash]
		confirmedAt := now.Add(-demand.LimitAge - delay)
		if ok && demand.Limit != nil && now.Sub(confirmedAt) <= peerDemandTTL && confirmedAt.After(s.unlimitedAt) && confirmedAt.After(s.rateLimit.confirmedAt) {
			d.setRateLimit(s, *demand.Limit, false, confirmedAt, now)
		}
	}
}
