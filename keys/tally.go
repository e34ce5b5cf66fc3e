package keys

import (
	"slices"
	"time"
)

// clockRateMargin is the part of the staleness bound that is added when waiting
// for it, since two monotonic clocks do not run at exactly the same rate.
const clockRateMargin = 100

// WithdrawalTracker collects which instances hold a withdrawal. All times are readings of the
// collecting instance's monotonic clock. It is not safe for concurrent use.
type WithdrawalTracker struct {
	listed   []string
	platform time.Time // when the platform was known to have the withdrawal
	held     map[string]holding
}

// holding says that one process held the withdrawal from first to last.
type holding struct {
	boot  uint64
	first time.Time // when the first confirmation arrived
	last  time.Time // when the newest confirmed question was sent
}

// NewWithdrawalTracker returns a tally over the listed instances: the platform's list and all
// peers that were heard from.
func NewWithdrawalTracker(listed []string) *WithdrawalTracker {
	names := slices.Clone(listed)
	slices.Sort(names)
	return &WithdrawalTracker{listed: slices.Compact(names), held: make(map[string]holding)}
}

// RecordPlatform records that the platform has the withdrawal.
func (t *WithdrawalTracker) RecordPlatform(received time.Time) {
	if t.platform.IsZero() {
		t.platform = received
	}
}

// RecordConfirmation records that an instance holds the withdrawal. asked is the time before
// the question was sent and received the time when the answer arrived. boot
// identifies the process: an instance that restarts can lose what it held.
func (t *WithdrawalTracker) RecordConfirmation(name string, boot uint64, asked, received time.Time) {
	h, known := t.held[name]
	if !known || h.boot != boot {
		h = holding{boot: boot, first: received}
	}
	if asked.After(h.last) {
		h.last = asked
	}
	t.held[name] = h
}

// WithdrawalReport is what the operator learns about a withdrawal.
type WithdrawalReport struct {
	// InForce says that no instance with fresh key data accepts the key.
	InForce bool
	// StoredOnPlatform says that the platform has the withdrawal.
	StoredOnPlatform bool
	// NotReached are the listed instances that have not confirmed.
	NotReached []string
	// RemainingWait is the time until the withdrawal is in force without further
	// confirmations. It is 0 when it is in force or more confirmations are needed.
	RemainingWait time.Duration
}

// WithdrawalReport decides whether the withdrawal is in force at now. bound is the largest
// staleness bound of the routes that the key allows.
//
// It is in force when there was a moment at which all listed instances held it, or
// a moment at which the platform and more than half of the instances held it and
// the bound has passed since then. Confirmations at different times are not
// enough, because an instance can restart between its confirmation and another
// one. Each instance is therefore asked at least twice.
func (t *WithdrawalTracker) Report(now time.Time, bound time.Duration) WithdrawalReport {
	r := WithdrawalReport{StoredOnPlatform: !t.platform.IsZero(), NotReached: t.notReached()}
	if _, all := t.moment(time.Time{}, len(t.listed)); all {
		r.InForce = true
		return r
	}
	if !r.StoredOnPlatform {
		return r
	}
	since, most := t.moment(t.platform, len(t.listed)/2+1)
	if !most {
		return r
	}
	r.RemainingWait = max(0, since.Add(bound+bound/clockRateMargin).Sub(now))
	r.InForce = r.RemainingWait == 0
	return r
}

// moment returns the earliest moment, not before earliest, at which at least need
// listed instances held the withdrawal.
func (t *WithdrawalTracker) moment(earliest time.Time, need int) (time.Time, bool) {
	candidates := []time.Time{earliest}
	for _, name := range t.listed {
		if h, ok := t.held[name]; ok && h.first.After(earliest) {
			candidates = append(candidates, h.first)
		}
	}
	slices.SortFunc(candidates, time.Time.Compare)
	for _, at := range candidates {
		if t.holders(at) >= need {
			return at, true
		}
	}
	return time.Time{}, false
}

// holders returns the number of listed instances that held the withdrawal at a
// time.
func (t *WithdrawalTracker) holders(at time.Time) int {
	count := 0
	for _, name := range t.listed {
		h, ok := t.held[name]
		if ok && !h.first.After(at) && !h.last.Before(at) {
			count++
		}
	}
	return count
}

func (t *WithdrawalTracker) notReached() []string {
	var missing []string
	for _, name := range t.listed {
		if _, ok := t.held[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}
