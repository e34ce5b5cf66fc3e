package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the pacing of requests to a server that limits its rate.
const (
	// minLimitedRate is the rate in requests per second at which a server that takes fewer is
	// still used: the end of its limit is known only from its responses.
	minLimitedRate = 0.1
	// rateTokenLifetime is how long an unused token of an instance stays valid. Without it the
	// instances of a large fleet could all use a token that they have kept for long at once.
	rateTokenLifetime = time.Second
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

// RateReport is what a response says about the rate of requests that its server takes from all
// instances together.
type RateReport struct {
	Limited   bool
	PerSecond float64 // requests per second, if Limited is set
}

// rateLimit is a limit that a server has set on the rate of its requests.
type rateLimit struct {
	perSecond float64   // of all instances together
	since     time.Time // when this instance learned of the limit; zero for no limit
	// confirmedAt is the time of the last response with the limit. Unless own is set it was a
	// response to another instance.
	confirmedAt time.Time
	own         bool

	tokens   float64 // requests that this instance may send, at tokensAt
	tokensAt time.Time
	// demand is the rate of this instance's requests that prefer the server, limit or not.
	demand         float64 // requests per second at demandAt
	demandAt       time.Time
	reportedDemand float64 // demand at reportedAt
	reportedAt     time.Time
}

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

// RateLimit returns the rate in requests per second to which the server has limited the requests
// of all instances, and whether it has.
func (s *Server) RateLimit(now time.Time) (perSecond float64, limited bool) {
	limit := &s.rateLimit
	limited = !limit.since.IsZero() && (limit.own || now.Sub(limit.confirmedAt) <= peerDemandTTL)
	return limit.perSecond, limited
}

// setRateLimit takes a limit that was confirmed by a response to this or another instance.
func (d *Dispatcher) setRateLimit(s *Server, perSecond float64, own bool, confirmedAt, now time.Time) {
	if _, limited := s.RateLimit(now); !limited {
		// The first token is due at a random time, since all instances learn of the limit at
		// about the same time.
		s.rateLimit = rateLimit{since: now, tokens: d.rng.Float64(), tokensAt: now}
	}
	s.rateLimit.perSecond, s.rateLimit.confirmedAt = perSecond, confirmedAt
	s.rateLimit.own = s.rateLimit.own || own
}

// applyRateReport takes the limit in the response of an attempt. Only a success without a limit
// ends one, since failures may not name it, and only if its request was sent after the limit was
// known: otherwise it may have been written before the response with the limit.
func (d *Dispatcher) applyRateReport(s *Server, result AttemptResult, now time.Time) {
	rate := result.Rate
	if rate == nil || result.Outcome == OutcomeMisdirected {
		return
	}
	if rate.Limited {
		d.setRateLimit(s, rate.PerSecond, true, now, now)
	} else if result.Outcome == OutcomeSucceeded && now.Add(-result.Duration).After(s.rateLimit.since) {
		s.rateLimit = rateLimit{}
		s.unlimitedAt = now
	}
}

// awaitsRateToken reports whether a server limits its rate and must not get a request of this
// instance yet.
func (d *Dispatcher) awaitsRateToken(s *Server, now time.Time) bool {
	if _, limited := s.RateLimit(now); !limited {
		return false
	}
	d.accrueRateTokens(s, now)
	return s.rateLimit.tokens < 1
}

// accrueRateTokens adds this instance's share of the tokens since the last call. Tokens that were
// not used for rateTokenLifetime are lost.
func (d *Dispatcher) accrueRateTokens(s *Server, now time.Time) {
	limit := &s.rateLimit
	rate := max(limit.perSecond, minLimitedRate) * d.rateShare(s, now) // tokens per second
	limit.tokens += rate * now.Sub(limit.tokensAt).Seconds()
	limit.tokensAt = now
	perLifetime := rate * rateTokenLifetime.Seconds()
	if perLifetime >= 1 {
		limit.tokens = min(limit.tokens, perLifetime)
		return
	}
	if whole, fraction := math.Modf(limit.tokens); whole >= 1 {
		// The last whole token became available when the fraction was 0.
		limit.tokens = fraction
		if fraction <= perLifetime {
			limit.tokens++
		}
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

// useRateToken takes the token for a request that starts now.
func (d *Dispatcher) useRateToken(s *Server, now time.Time) {
	if _, limited := s.RateLimit(now); limited {
		s.rateLimit.tokens--
	}
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

// limitsRates reports whether a server of the pool limits its rate.
func (p *servicePool) limitsRates(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool {
		_, limited := s.RateLimit(now)
		return limited
	})
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

// effectiveSlots returns the number of requests that a server runs at the same time at most, given
// the mean service time of its pool.
func (s *Server) effectiveSlots(mean time.Duration, now time.Time) float64 {
	slots := float64(s.Slots)
	if perSecond, limited := s.RateLimit(now); limited {
		slots = min(slots, perSecond*mean.Seconds())
	}
	return slots
}
