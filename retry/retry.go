package retry

import (
	"math/rand/v2"
	"time"
)

// NextRetry decides about a retry of a failed attempt. It returns the time to wait
// first, or a *DeniedError. A retry that is allowed is taken from the budget. The
// hop is the path to the next server.
func (b *Budgets) NextRetry(a Attempt, h Hop, now time.Time, rng *rand.Rand) (time.Duration, error) {
	if err := a.CheckRetryable(); err != nil {
		return 0, err
	}
	wait := Backoff(a.Number, rng)
	if a.NotSent && a.Number == 1 {
		// Another server can take a request that reached none at once.
		wait = 0
	}
	if _, err := a.Deadline.HopTimeout(now.Add(wait), h); err != nil {
		return 0, a.denied(DenialDeadlineTooClose)
	}
	if !b.TakeRetry(a.Customer, a.Service, now) {
		return 0, a.denied(DenialBudgetExhausted)
	}
	return wait, nil
}

// Backoff returns a random wait between half and the whole of a bound that doubles
// with each attempt. Attempts count from 1.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := maxBackoff
	if shift := attempt - 1; shift < 6 {
		bound = min(maxBackoff, baseBackoff<<max(0, shift))
	}
	half := bound / 2
	return half + time.Duration(rng.Int64N(int64(half)+1))
}

// Hedge describes a request that has no response yet.
type Hedge struct {
	Customer   string
	Service    string
	Idempotent bool
	BodyReplayable bool
	// Suspect is set when the request was in progress at a server's death.
	Suspect bool
	// Copies is the number of copies sent, with the first one.
	Copies int
	// LatencyP95 is a high percentile (p95) of the service's latency. Zero means
	// unknown.
	LatencyP95 time.Duration
	// Elapsed is the time since the first copy was sent.
	Elapsed   time.Duration
	Deadline Deadline
}

// maxCopies bounds the copies of one request in progress.
const maxCopies = 2

// TakeHedge decides whether to send a second copy now. It returns nil and takes the
// copy from the retry budget, or a *DeniedError. Hedges share the budget with
// retries, so that slow servers do not get more copies than failing ones.
func (b *Budgets) TakeHedge(r Hedge, h Hop, now time.Time) error {
	if d := r.denial(); d != 0 {
		return &DeniedError{Denial: d}
	}
	h.MinProcessing = max(h.MinProcessing, r.LatencyP95/2)
	if _, err := r.Deadline.HopTimeout(now, h); err != nil {
		return &DeniedError{Denial: DenialDeadlineTooClose}
	}
	if !b.TakeRetry(r.Customer, r.Service, now) {
		return &DeniedError{Denial: DenialBudgetExhausted}
	}
	return nil
}

func (r Hedge) denial() Denial {
	switch {
	case !r.Idempotent:
		return DenialMayHaveRun
	case r.Suspect:
		return DenialSuspect
	case !r.BodyReplayable:
		return DenialBodyNotReplayable
	case r.Copies >= maxCopies:
		return DenialMaxAttempts
	case r.LatencyP95 <= 0 || r.Elapsed < r.LatencyP95:
		return DenialHedgeTooEarly
	default:
		return 0
	}
}
