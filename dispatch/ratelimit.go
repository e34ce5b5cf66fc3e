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
	equalRateShare = 0.1
	// rateDemandDecay is the time constant of the mean of an instance's demand.
	rateDemandDecay = 2 * time.Second
	// peerDemandTTL is how long the demand that another instance has reported is used. Digests
	// arrive every second in fleets of up to nine instances.
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
	since     time.Time // time of the first response with the limit; zero for no limit
	nextToken time.Time // time of this instance's next request; zero until it was first asked for
	// demand is the rate of this instance's requests that prefer the server, limit or not.
	demand   float64 // requests per second at demandAt
	demandAt time.Time
}

// RateDemand is the rate of an instance's requests that prefer a server which limits its rate.
type RateDemand struct {
	ServerHash uint64 // hash of the server's ID
	PerSecond  float64
}

// peerDemand is the demand of another instance.
type peerDemand struct {
	perSecond  map[uint64]float64 // by the hash of the server's ID
	receivedAt time.Time
}

// RateLimit returns the rate in requests per second to which the server has limited the requests
// of all instances, and whether it has.
func (s *Server) RateLimit() (perSecond float64, limited bool) {
	return s.rateLimit.perSecond, !s.rateLimit.since.IsZero()
}

// applyRateReport takes the limit in the response of an attempt. Only a success without a limit
// ends one, since failures may not name it, and only if its request was sent after the limit was
// known: otherwise it may have been written before the response with the limit.
func (d *Dispatcher) applyRateReport(s *Server, result AttemptResult, now time.Time) {
	rate := result.Rate
	if rate == nil || result.Outcome == OutcomeMisdirected {
		return
	}
	switch {
	case rate.Limited && s.rateLimit.since.IsZero():
		s.rateLimit = rateLimit{perSecond: rate.PerSecond, since: now}
	case rate.Limited:
		s.rateLimit.perSecond = rate.PerSecond
	case result.Outcome == OutcomeSucceeded && now.Add(-result.Duration).After(s.rateLimit.since):
		s.rateLimit = rateLimit{}
	}
}

// awaitsRateToken reports whether a server limits its rate and must not get a request of this
// instance yet.
func (d *Dispatcher) awaitsRateToken(s *Server, now time.Time) bool {
	_, limited := s.RateLimit()
	return limited && now.Before(d.nextRateToken(s, now))
}

// nextRateToken returns when this instance may send its next request to a server that limits its
// rate. Every instance gets a token per interval, the first one at a random time, since all
// instances learn of the limit at about the same time. Tokens that were not used for
// rateTokenLifetime are lost.
func (d *Dispatcher) nextRateToken(s *Server, now time.Time) time.Time {
	limit, interval := &s.rateLimit, d.rateTokenInterval(s, now)
	oldest := now.Add(-rateTokenLifetime)
	switch {
	case limit.nextToken.IsZero(), limit.nextToken.After(now.Add(interval)): // the limit is new or was raised
		limit.nextToken = now.Add(time.Duration(d.rng.Float64() * float64(interval)))
	case limit.nextToken.Before(oldest):
		lost := math.Ceil(float64(oldest.Sub(limit.nextToken)) / float64(interval))
		limit.nextToken = limit.nextToken.Add(time.Duration(lost * float64(interval)))
	}
	return limit.nextToken
}

// rateTokenInterval returns the time between this instance's requests to a server that limits its
// rate.
func (d *Dispatcher) rateTokenInterval(s *Server, now time.Time) time.Duration {
	rate := max(s.rateLimit.perSecond, minLimitedRate) * d.rateShare(s, now)
	return time.Duration(float64(time.Second) / rate)
}

// rateShare returns this instance's part of the limit of a server. It is in proportion to the
// demand of the instances. Those whose demand is not known count with the mean of the others.
func (d *Dispatcher) rateShare(s *Server, now time.Time) float64 {
	equal := 1 / float64(d.members)
	known, sum := 0, 0.0
	for _, peer := range d.peerDemands {
		if now.Sub(peer.receivedAt) <= peerDemandTTL {
			known++
			sum += peer.perSecond[s.idHash]
		}
	}
	own := s.rateLimit.demandNow(now)
	if known == 0 || own+sum == 0 {
		return equal
	}
	total := own + sum*max(1, float64(d.members-1)/float64(known))
	return equalRateShare*equal + (1-equalRateShare)*own/total
}

// demandNow returns the decayed demand.
func (l *rateLimit) demandNow(now time.Time) float64 {
	return l.demand * math.Exp(-now.Sub(l.demandAt).Seconds()/rateDemandDecay.Seconds())
}

// countRateDemand counts a new request for the server that it prefers, if that server limits its
// rate.
func (d *Dispatcher) countRateDemand(r *Request, now time.Time) {
	pool := d.services[r.Service]
	if pool == nil || !pool.limitsRates() {
		return
	}
	s := d.lowestCost(r, pool, now, func(*Server) bool { return true })
	if s == nil {
		return
	}
	if _, limited := s.RateLimit(); limited {
		s.rateLimit.demand, s.rateLimit.demandAt = s.rateLimit.demandNow(now)+1/rateDemandDecay.Seconds(), now
	}
}

// limitsRates reports whether a server of the pool limits its rate.
func (p *servicePool) limitsRates() bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return !s.rateLimit.since.IsZero() })
}

// RateDemands returns this instance's demand for up to limit servers that limit their rate, those
// with the most demand first.
func (d *Dispatcher) RateDemands(limit int, now time.Time) []RateDemand {
	var demands []RateDemand
	for _, s := range d.servers {
		if _, limited := s.RateLimit(); limited {
			demands = append(demands, RateDemand{ServerHash: s.idHash, PerSecond: s.rateLimit.demandNow(now)})
		}
	}
	slices.SortFunc(demands, func(a, b RateDemand) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.ServerHash, b.ServerHash))
	})
	return demands[:min(limit, len(demands))]
}

// MergeRateDemands replaces what is known of the demand of another instance.
func (d *Dispatcher) MergeRateDemands(instance string, demands []RateDemand, now time.Time) {
	perSecond := make(map[uint64]float64, len(demands))
	for _, demand := range demands {
		perSecond[demand.ServerHash] = demand.PerSecond
	}
	maps.DeleteFunc(d.peerDemands, func(_ string, p peerDemand) bool { return now.Sub(p.receivedAt) > peerDemandTTL })
	d.peerDemands[instance] = peerDemand{perSecond: perSecond, receivedAt: now}
}

// useRateToken takes the token for a request that starts now.
func (d *Dispatcher) useRateToken(s *Server, now time.Time) {
	if _, limited := s.RateLimit(); limited {
		s.rateLimit.nextToken = d.nextRateToken(s, now).Add(d.rateTokenInterval(s, now))
	}
}

// effectiveSlots returns the number of requests that a server runs at the same time at most, given
// the mean service time of its pool.
func (s *Server) effectiveSlots(mean time.Duration) float64 {
	slots := float64(s.Slots)
	if perSecond, limited := s.RateLimit(); limited {
		slots = min(slots, perSecond*mean.Seconds())
	}
	return slots
}
