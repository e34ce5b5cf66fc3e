package dispatch

import (
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

// RateLimit returns the rate in requests per second to which the server has limited the requests
// of all instances, and whether it has.
func (s *Server) RateLimit(now time.Time) (perSecond float64, limited bool) {
	limit := &s.rateLimit
	limited = !limit.since.IsZero() && (limit.own || now.Sub(limit.confirmedAt) <= peerDemandTTL)
	return limit.perSecond, limited
}

// NamesRateLimit reports whether this instance has a limit of the server from the server's own
// responses, and not only from another instance.
func (s *Server) NamesRateLimit() bool { return s.rateLimit.own }

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

// useRateToken takes the token for a request that starts now.
func (d *Dispatcher) useRateToken(s *Server, now time.Time) {
	if _, limited := s.RateLimit(now); limited {
		s.rateLimit.tokens--
	}
}

// limitsRates reports whether a server of the pool limits its rate.
func (p *servicePool) limitsRates(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool {
		_, limited := s.RateLimit(now)
		return limited
	})
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
