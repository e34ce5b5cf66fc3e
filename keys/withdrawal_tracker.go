package keys

import (
	"slices"
	"time"
)

// clockRateMarginDivisor sets the margin that is added to the staleness bound when
// waiting for it: 1/100 of the bound. The monotonic clocks of two instances do not run
// at exactly the same rate.
const clockRateMarginDivisor = 100

// WithdrawalTracker tracks which instances have confirmed one withdrawal, and decides when it is in
// force. All times are readings of the monotonic clock of the tracking instance. It is
// not safe for concurrent use.
type WithdrawalTracker struct {
	listed        []string                // instance names, sorted, without duplicates
	platformAt    time.Time               // from which the platform is known to have the withdrawal; zero: unknown
	confirmations map[string]confirmation // by instance name
}

// confirmation says that one process of an instance had the withdrawal in its key data
// from firstReceived to lastRequested.
type confirmation struct {
	bootID        uint64    // identifies the process
	firstReceived time.Time // when the first confirmation of the process arrived
	lastRequested time.Time // when the latest request that the process confirmed was sent
}

// NewWithdrawalTracker returns a tally for the instances that must confirm: those on the platform's
// list and all peers from which digests were received.
func NewWithdrawalTracker(listed []string) *WithdrawalTracker {
	names := slices.Clone(listed)
	slices.Sort(names)
	return &WithdrawalTracker{listed: slices.Compact(names), confirmations: make(map[string]confirmation)}
}

// RecordPlatform records that the platform has the withdrawal. received is the time when its
// reply arrived.
func (t *WithdrawalTracker) RecordPlatform(received time.Time) {
	if t.platformAt.IsZero() {
		t.platformAt = received
	}
}

// RecordConfirmation records that an instance has confirmed the withdrawal. requested is the time
// before the request was sent, and received the time when the reply arrived. bootID
// identifies the process: a new process of the instance may not have the withdrawal
// and starts a new confirmation.
func (t *WithdrawalTracker) RecordConfirmation(name string, bootID uint64, requested, received time.Time) {
	c, known := t.confirmations[name]
	if !known || c.bootID != bootID {
		c = confirmation{bootID: bootID, firstReceived: received}
	}
	if requested.After(c.lastRequested) {
		c.lastRequested = requested
	}
	t.confirmations[name] = c
}

// WithdrawalReport is the state of a withdrawal as reported to the operator.
type WithdrawalReport struct {
	// InForce says that no instance accepts the key any more under a staleness
	// bound up to the one given to WithdrawalTracker.Report.
	InForce bool
	// StoredOnPlatform says that the platform has the withdrawal.
	StoredOnPlatform bool
	// NotReached are the listed instances that have not confirmed, sorted by name.
	NotReached []string
	// RemainingWait is the time until the withdrawal comes into force without further
	// confirmations. It is 0 when the withdrawal is in force and when more
	// confirmations are needed.
	RemainingWait time.Duration
}

// Report returns the state of the withdrawal at now. bound is the largest staleness
// bound of the routes on which the key is allowed.
//
// The withdrawal is in force if all listed instances had it at the same moment. It is
// also in force if the platform and more than half of the instances had it at the same
// moment and the bound has passed since, because the key data of every other instance
// is then either stale or contains the withdrawal. Confirmations at different times
// are not enough, because an instance can restart and lose the withdrawal before
// another one confirms it. Each instance must therefore confirm at least twice.
func (t *WithdrawalTracker) Report(now time.Time, bound time.Duration) WithdrawalReport {
	r := WithdrawalReport{StoredOnPlatform: !t.platformAt.IsZero(), NotReached: t.unconfirmed()}
	if _, all := t.earliestMoment(time.Time{}, len(t.listed)); all {
		r.InForce = true
		return r
	}
	if !r.StoredOnPlatform {
		return r
	}
	since, most := t.earliestMoment(t.platformAt, len(t.listed)/2+1)
	if !most {
		return r
	}
	r.RemainingWait = max(0, since.Add(bound+bound/clockRateMarginDivisor).Sub(now))
	r.InForce = r.RemainingWait == 0
	return r
}

// earliestMoment returns the earliest moment, not before notBefore, at which at least
// need listed instances had the withdrawal. It returns false if there is none.
func (t *WithdrawalTracker) earliestMoment(notBefore time.Time, need int) (time.Time, bool) {
	candidates := []time.Time{notBefore}
	for _, name := range t.listed {
		if c, ok := t.confirmations[name]; ok && c.firstReceived.After(notBefore) {
			candidates = append(candidates, c.firstReceived)
		}
	}
	slices.SortFunc(candidates, time.Time.Compare)
	for _, at := range candidates {
		if t.countAt(at) >= need {
			return at, true
		}
	}
	return time.Time{}, false
}

// countAt returns the number of listed instances that are known to have had the
// withdrawal at a time.
func (t *WithdrawalTracker) countAt(at time.Time) int {
	count := 0
	for _, name := range t.listed {
		c, ok := t.confirmations[name]
		if ok && !c.firstReceived.After(at) && !c.lastRequested.Before(at) {
			count++
		}
	}
	return count
}

func (t *WithdrawalTracker) unconfirmed() []string {
	var missing []string
	for _, name := range t.listed {
		if _, ok := t.confirmations[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}
