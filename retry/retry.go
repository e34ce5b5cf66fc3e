package retry

import (
	"math/rand/v2"
	"time"
)

// Next decides whether to retry a failed attempt. It returns the time to wait before
// the retry and takes the retry from the budget, or it returns a *DeniedError. The
// hop is the path to the next server.
func (b *Budgets) Next(a Attempt, h Hop, now time.Time, rng *rand.Rand) (time.Duration, error) {
	if err := a.Check(); err != nil {
		return 0, err
	}
	wait := Backoff(a.Number, rng)
	if a.NotSent && a.Number == 1 {
		// The request reached no server: another one can take it at once.
		wait = 0
	}
	if _, err := a.Deadline.Forward(now.Add(wait), h); err != nil {
		return 0, a.denied(DenialDeadline)
	}
	if !b.Take(a.Customer, a.Service, now) {
		return 0, a.denied(DenialBudget)
	}
	return wait, nil
}

// Backoff returns a random wait between half of a bound and the bound, which starts
// at baseBackoff and doubles with each attempt up to maxBackoff. Attempts count
// from 1.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := maxBackoff
	if shift := attempt - 1; shift < 6 {
		bound = min(maxBackoff, baseBackoff<<max(0, shift))
	}
	half := bound / 2
	return half + time.Duration(rng.Int64N(int64(half)+1))
}

// Hedge describes a request without a response that may be sent a second time in
// parallel.
type Hedge struct {
	Customer   string
	Service    string
	Idempotent bool
	Replayable bool
	// Crashed is set if the request is suspected of crashing servers, since it was
	// in flight when a server crashed.
	Crashed bool
	// Copies is the number of copies sent, including the first.
	Copies int
	// Typical is the 95th percentile of the service's latency, 0 if unknown. A
	// hedge is sent only after this time.
	Typical time.Duration
	// Waited is the time since the first copy was sent.
	Waited   time.Duration
	Deadline Deadline
}

// maxCopies is the maximum number of copies of one request in flight.
const maxCopies = 2

// HedgeNow decides whether to send a second copy now. It returns nil and takes the
// copy from the retry budget, or it returns a *DeniedError. Hedges share the budget
// with retries, so that slow servers receive no more extra requests than failing
// ones.
func (b *Budgets) HedgeNow(r Hedge, h Hop, now time.Time) error {
	if d := r.denial(); d != 0 {
		return &DeniedError{Denial: d}
	}
	h.Work = max(h.Work, r.Typical/2)
	if _, err := r.Deadline.Forward(now, h); err != nil {
		return &DeniedError{Denial: DenialDeadline}
	}
	if !b.Take(r.Customer, r.Service, now) {
		return &DeniedError{Denial: DenialBudget}
	}
	return nil
}

func (r Hedge) denial() Denial {
	switch {
	case !r.Idempotent:
		return DenialMayHaveRun
	case r.Crashed:
		return DenialCrash
	case !r.Replayable:
		return DenialBodyGone
	case r.Copies >= maxCopies:
		return DenialAttempts
	case r.Typical <= 0 || r.Waited < r.Typical:
		return DenialNotSlow
	default:
		return 0
	}
}
