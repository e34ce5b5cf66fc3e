package quarantine

import "time"

const (
	// completionPeriod is the minimum time for which a completion is kept. It is
	// dropped after at most twice this time.
	completionPeriod = 5 * time.Second
	// maxCompletionsPerPeriod is the maximum number of fingerprints recorded per
	// completionPeriod. For the others crashes are counted as if they had not
	// completed.
	maxCompletionsPerPeriod = 8192
)

// recentCompletions holds the fingerprints that completed in the current and the
// previous period.
type recentCompletions struct {
	periodStart time.Time // start of the current period
	current     map[Fingerprint]struct{}
	previous    map[Fingerprint]struct{}
}

func (v *recentCompletions) add(f Fingerprint, now time.Time) {
	v.rotate(now)
	if len(v.current) < maxCompletionsPerPeriod {
		v.current[f] = struct{}{}
	}
}

func (v *recentCompletions) contains(f Fingerprint, now time.Time) bool {
	v.rotate(now)
	if _, ok := v.current[f]; ok {
		return true
	}
	_, ok := v.previous[f]
	return ok
}

func (v *recentCompletions) rotate(now time.Time) {
	age := now.Sub(v.periodStart)
	if v.current != nil && age < completionPeriod {
		return
	}
	v.previous = v.current
	if age >= 2*completionPeriod {
		v.previous = nil
	}
	v.current = make(map[Fingerprint]struct{})
	v.periodStart = now
}
