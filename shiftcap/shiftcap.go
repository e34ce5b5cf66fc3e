// Package shiftcap keeps traffic shifts and moves of client blocks within their caps.
//
// A traffic shift sends a fraction of a route's requests to other backend servers. A
// request is shifted only if it falls into the configured fraction and a fleet-wide limit
// admits it; otherwise it goes to the servers that the shift moves traffic away from.
//
// Client blocks move between sites in steps. The steps are far enough apart for callers to
// stop using cached lookup answers from before the previous step.
package shiftcap

import (
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/limits"
)

// burstFraction is the fraction of a cap that is admitted as a burst. The rest is the rate
// of the limit, so that rate and burst together stay within the cap over every interval of
// at least the length that CapWindow returns. The burst is divided between the lease
// holders of the limit. A quarter is enough for each of a few holders to admit several
// requests at once.
const burstFraction = 0.25

// minBurst is the smallest burst that admits a request, in requests.
const minBurst = 1

// LimitName returns the name of the fleet-wide limit that enforces the cap of a shift.
func LimitName(shift string) string { return "shift/" + shift }

// CapWindow returns the shortest interval over which the cap is guaranteed: one second, or
// longer for a cap below 4 requests per second, because the burst must admit a whole
// request. It is 0 for a cap of 0.
func CapWindow(capPerSecond float64) time.Duration {
	if !(capPerSecond > 0) { // also true for NaN
		return 0
	}
	seconds := max(1, minBurst/(capPerSecond*burstFraction))
	return time.Duration(seconds * float64(time.Second))
}

// Limit returns the fleet-wide limit that enforces the cap of a shift.
func Limit(s config.Shift) limits.Limit {
	l := limits.Limit{Name: LimitName(s.Name)}
	if !(s.CapPerSecond > 0) { // also true for NaN
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

// TokenSource provides the tokens of fleet-wide limits. *limits.Manager implements it.
type TokenSource interface {
	Allow(name string, cost float64, now time.Time) limits.Decision
}

var _ TokenSource = (*limits.Manager)(nil)

// Reason says why a request was not shifted.
type Reason string

// Reasons.
const (
	ReasonNone            Reason = ""         // the request was shifted
	ReasonNoShift         Reason = "no_shift" // the route has no shift
	ReasonOutsideFraction Reason = "fraction" // the request is outside the fraction of each shift
	ReasonNoToken         Reason = "cap"      // the limit has no token left or is not known
)

// Outcome is the result of Decide.
type Outcome struct {
	Shifted bool
	Shift   config.Shift // the shift that applies if Shifted is true
	Reason  Reason       // why the request was not shifted if Shifted is false
}

// Decide decides whether a request of the route is shifted. draw is a number of the
// request, uniformly distributed in [0, 1). Several shifts of one route occupy adjacent
// ranges of draw in their order, so that their fractions add up. A token is taken only if
// draw falls into the range of a shift.
func Decide(shifts []config.Shift, route string, draw float64, tokens TokenSource, now time.Time) Outcome {
	shift, reason := chooseShift(shifts, route, draw)
	if reason != ReasonNone {
		return Outcome{Reason: reason}
	}
	if !tokens.Allow(LimitName(shift.Name), 1, now).Allowed {
		return Outcome{Reason: ReasonNoToken}
	}
	return Outcome{Shifted: true, Shift: shift}
}

// chooseShift returns the shift of the route in whose range draw falls, or the reason why
// there is none.
func chooseShift(shifts []config.Shift, route string, draw float64) (config.Shift, Reason) {
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
