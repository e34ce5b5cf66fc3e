// Package shiftcap keeps traffic shifts within their caps.
//
// A request shifts only if it falls into the configured fraction and a fleet-wide
// limit admits it. Otherwise it stays where it was. Client blocks move between
// sites in steps that respect the time for which cached lookup answers steer.
package shiftcap

import (
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/limits"
)

// burstFraction is the part of a cap that may come at once. The rate is the rest,
// so that rate and burst together stay within the cap in every window of at least
// Window. A quarter leaves each of a few holders a burst of some requests.
const burstFraction = 0.25

// minBurst is the smallest burst that admits a request.
const minBurst = 1

// LimitName returns the name of the limit of a shift.
func LimitName(shift string) string { return "shift/" + shift }

// CapWindow returns the shortest interval over which the cap holds exactly: one
// second, or longer for a cap below 4 requests per second, because a request
// cannot be divided. It is 0 for a cap of 0.
func CapWindow(capPerSecond float64) time.Duration {
	if !(capPerSecond > 0) {
		return 0
	}
	seconds := max(1, minBurst/(capPerSecond*burstFraction))
	return time.Duration(seconds * float64(time.Second))
}

// Limit returns the fleet-wide limit that enforces the cap of s.
func Limit(s config.Shift) limits.Limit {
	l := limits.Limit{Name: LimitName(s.Name)}
	if !(s.CapPerSecond > 0) {
		return l
	}
	l.RatePerSecond = s.CapPerSecond * (1 - burstFraction)
	l.Burst = max(minBurst, s.CapPerSecond*burstFraction)
	return l
}

// Limits returns the limits of all shifts, for limits.Manager.SetLimits.
func Limits(shifts []config.Shift) []limits.Limit {
	out := make([]limits.Limit, 0, len(shifts))
	for _, s := range shifts {
		out = append(out, Limit(s))
	}
	return out
}

// TokenSource admits requests against fleet-wide limits. *limits.Manager implements it.
type TokenSource interface {
	Allow(name string, cost float64, now time.Time) limits.Decision
}

var _ TokenSource = (*limits.Manager)(nil)

// Reason says why a request was not shifted.
type Reason string

// Reasons.
const (
	ReasonNone     Reason = ""
	ReasonNoShift  Reason = "no_shift" // the route has no shift
	ReasonOutsideFraction Reason = "fraction" // the request is outside the fraction
	ReasonNoToken      Reason = "cap"      // the cap is used up or not known
)

// Outcome says whether a request shifts.
type Outcome struct {
	Shifted bool
	Shift   config.Shift // the shift that applies, if Shifted
	Reason  Reason       // set when not Shifted
}

// Decide decides whether a request of the route shifts. draw is uniform in
// [0, 1). Several shifts of one route divide the draw in their order, so that
// their fractions add up. A token is taken only when the fraction applies.
func Decide(shifts []config.Shift, route string, draw float64, tokens TokenSource, now time.Time) Outcome {
	shift, reason := choose(shifts, route, draw)
	if reason != ReasonNone {
		return Outcome{Reason: reason}
	}
	if !tokens.Allow(LimitName(shift.Name), 1, now).Allowed {
		return Outcome{Reason: ReasonNoToken}
	}
	return Outcome{Shifted: true, Shift: shift}
}

func choose(shifts []config.Shift, route string, draw float64) (config.Shift, Reason) {
	reason := ReasonNoShift
	upper := 0.0
	for _, s := range shifts {
		if s.Route != route {
			continue
		}
		reason = ReasonOutsideFraction
		upper += max(0, s.Fraction)
		if draw >= 0 && draw < upper {
			return s, ReasonNone
		}
	}
	return config.Shift{}, reason
}
