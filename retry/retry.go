package retry

import (
	"math/rand/v2"
	"time"
)

// NextRetry decides whether to retry a failed attempt. It returns the time to wait before
// the retry and takes the retry from the budget, or it returns a *DeniedError. The
// hop is the path to the next server.
func (b *Budgets) NextRetry(a Attempt, hop Hop, now time.Time, rng *rand.Rand) (time.Duration, error) {
	if err := a.CheckRetryable(); err != nil {
		return 0, err
	}
	wait := Backoff(a.Number, rng)
	if a.NotSent && a.Number == 1 {
		// The request reached no server: another one can take it at once.
		wait = 0
	}
	if _, err := a.Deadline.HopTimeout(now.Add(wait), hop); err != nil {
		return 0, a.denied(DenialDeadlineTooClose)
	}
	if !b.TakeRetry(a.Customer, a.Service, now) {
		return 0, a.denied(DenialBudgetExhausted)
	}
	return wait, nil
}

// Backoff returns a random wait between half of a bound and the bound, which starts
// at baseBackoff and doubles with each attempt up to maxBackoff. Attempts count
// from 1.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := maxBackoff
	// From the seventh attempt on the bound is maxBackoff; the check keeps the shift
	// from overflowing.
	if shift := attempt - 1; shift < 6 {
		bound = min(maxBackoff, baseBackoff<<max(0, shift))
	}
	half := bound / 2
	return half + time.Duration(rng.Int64N(int64(half)+1))
}

// Hedge describes a request that has no response yet and for which a second copy, the
// hedge, may be sent in parallel.
type Hedge struct {
	Customer       string
	Service        string
	Idempotent     bool
	BodyReplayable bool
	// Suspect is set if the request is suspected of crashing servers, since it was
	// in flight when a server crashed.
	Suspect bool
	// Copies is the number of copies sent, including the first.
	Copies int
	// LatencyP95 is the 95th percentile of the service's latency, 0 if unknown. A
	// hedge is sent only after this time.
	LatencyP95 time.Duration
	// Elapsed is the time since the first copy was sent.
	Elapsed  time.Duration
	Deadline Deadline
}

// maxCopies is the maximum number of copies of one request in flight.
const maxCopies = 2

// TakeHedge decides whether to send a second copy now. It returns nil and takes the
// copy from the retry budget, or it returns a *DeniedError. Hedges share the budget
// with retries, so that slow servers receive no more extra requests than failing
// ones.
func (b *Budgets) TakeHedge(hedge Hedge, hop Hop, now time.Time) error {
	if d := hedge.denial(); d != 0 {
		return &DeniedError{Denial: d}
	}
	hop.MinProcessing = max(hop.MinProcessing, hedge.LatencyP95/2)
	if _, err := hedge.Deadline.HopTimeout(now, hop); err != nil {
		return &DeniedError{Denial: DenialDeadlineTooClose}
	}
	if !b.TakeRetry(hedge.Customer, hedge.Service, now) {
		return &DeniedError{Denial: DenialBudgetExhausted}
	}
	return nil
}

func (hedge Hedge) denial() Denial {
	switch {
	case !hedge.Idempotent:
		return DenialMayHaveRun
	case hedge.Suspect:
		return DenialSuspect
	case !hedge.BodyReplayable:
		return DenialBodyNotReplayable
	case hedge.Copies >= maxCopies:
		return DenialMaxAttempts
	case hedge.LatencyP95 <= 0 || hedge.Elapsed < hedge.LatencyP95:
		return DenialHedgeTooEarly
	default:
		return 0
	}
}
