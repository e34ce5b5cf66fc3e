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

func (c *recentCompletions) add(f Fingerprint, now time.Time) {
	c.rotate(now)
	if len(c.current) < maxCompletionsPerPeriod {
		c.current[f] = struct{}{}
	}
}

func (c *recentCompletions) contains(f Fingerprint, now time.Time) bool {
	c.rotate(now)
	if _, ok := c.current[f]; ok {
		return true
	}
	_, ok := c.previous[f]
	return ok
}

func (c *recentCompletions) rotate(now time.Time) {
	age := now.Sub(c.periodStart)
	if c.current != nil && age < completionPeriod {
		return
	}
	c.previous = c.current
	if age >= 2*completionPeriod {
		c.previous = nil
	}
	c.current = make(map[Fingerprint]struct{})
	c.periodStart = now
}
