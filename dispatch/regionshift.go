package dispatch

import (
	"math"
	"time"
)

// Parameters of the regionShiftLimiter.
const (
	// shiftBucketWidth is the resolution of its sliding windows.
	shiftBucketWidth = 200 * time.Millisecond
	// shiftBuckets is the number of buckets of the current and the previous window.
	shiftBuckets = int(2 * shiftWindow / shiftBucketWidth)
	// shiftBoundFraction is the fraction of the bound that is used. The rest is a margin,
	// since each instance counts only its own requests and windows slide.
	shiftBoundFraction = 0.8
	// shiftSlack is the number of requests by which a region may exceed its bound in
	// a window, since the share of a region among few requests varies by chance. It does
	// not apply while load drops: few requests are left then, and each instance of the
	// region would use the slack.
	shiftSlack = 2.0
	// maxShiftCredit is the largest credit of a region, in requests.
	maxShiftCredit = 1.0
	// maxShiftDebt is the largest number of requests by which a credit may be overdrawn.
	maxShiftDebt = 3.0
	// minShiftCredit is the credit, in requests, that a region must have to get a request:
	// half of one, which rounds the credit to whole requests.
	minShiftCredit = 0.5
	// Load counts as dropped when the newest loadDropBuckets buckets hold less than
	// loadDropRatio of the requests that the previous window had in as much time. If 6
	// requests are expected, fewer than 2 arrive by chance in 2 of 100 cases.
	loadDropBuckets = 2
	loadDropRatio   = 1.0 / 3
	// minWindowRequests is the number of requests that the previous window must have for
	// its shares to bound those of the current one.
	minWindowRequests = 10
	// capacityChangeRatio is the relative change of the local slots above which the bound
	// is suspended: lost capacity must be replaced, and returned capacity used, at once.
	capacityChangeRatio = 0.15
	// capacityChangeExemption is how long the bound is suspended after such a change.
	capacityChangeExemption = 4 * time.Second
)

// shiftWindow is the length of the windows that are compared: from one to the next, the
// share of a region among the requests may grow by at most the bound.
const shiftWindow = 2 * time.Second

// regionShiftLimiter bounds the region shift: it keeps the share of an instance's
// requests that run in a region from growing faster than maxShift. Without it, requests
// would move to another region during a burst or a start with empty caches, which make
// that region cheaper for a second or two, and at the end of an overload, when the few
// requests that are left may all prefer one region.
//
// While load drops, windows hold too few requests to compare shares. Each region then
// has a credit instead: every request, whatever its region, adds the share that the
// region had in the previous window plus what the bound allows on top, and a request
// that runs in the region takes 1.
type regionShiftLimiter struct {
	homeRegion string  // region of this instance
	maxShift   float64 // largest growth of a region's share from one window to the next; 0 for no bound

	epoch        time.Time                 // start of bucket 0
	newestBucket int64                     // buckets since epoch
	totals       [shiftBuckets]int         // requests of all regions, a ring indexed by bucket number
	counters     map[string]*regionCounter // by region

	localSlots        int       // slots of the ready servers in homeRegion, without evacuated zones
	capacityChangedAt time.Time // last change above capacityChangeRatio
}

// regionCounter counts the requests that run in a region.
type regionCounter struct {
	counts [shiftBuckets]int // a ring like regionShiftLimiter.totals
	credit float64           // requests that may still run there while load drops
}

// setLocalSlots sets localSlots, and suspends the bound if the number has changed by more
// than capacityChangeRatio.
func (l *regionShiftLimiter) setLocalSlots(slots int, now time.Time) {
	change := math.Abs(float64(slots-l.localSlots)) / float64(max(l.localSlots, 1))
	if l.localSlots > 0 && change > capacityChangeRatio {
		l.capacityChangedAt = now
	}
	l.localSlots = slots
}

// advance moves the windows to now and clears the buckets that have begun since.
func (l *regionShiftLimiter) advance(now time.Time) {
	if l.epoch.IsZero() {
		l.epoch, l.counters = now, make(map[string]*regionCounter)
	}
	bucket := int64(now.Sub(l.epoch) / shiftBucketWidth)
	l.newestBucket = max(l.newestBucket, bucket-int64(shiftBuckets))
	for l.newestBucket < bucket {
		l.newestBucket++
		i := l.newestBucket % int64(shiftBuckets)
		l.totals[i] = 0
		for _, r := range l.counters {
			r.counts[i] = 0
		}
	}
}

// sum adds up the buckets of at least minAge and less than maxAge. The age of a bucket is
// the number of buckets after it.
func (l *regionShiftLimiter) sum(counts *[shiftBuckets]int, minAge, maxAge int) float64 {
	n := 0
	for age := minAge; age < maxAge; age++ {
		// Adding the ring size keeps the index from being negative before the first full ring.
		n += counts[((l.newestBucket-int64(age))%int64(shiftBuckets)+int64(shiftBuckets))%int64(shiftBuckets)]
	}
	return float64(n)
}

// currentCount returns the number of requests in the current window.
func (l *regionShiftLimiter) currentCount(counts *[shiftBuckets]int) float64 {
	return l.sum(counts, 0, shiftBuckets/2)
}

// previousCount returns the number of requests in the window before the current one.
func (l *regionShiftLimiter) previousCount(counts *[shiftBuckets]int) float64 {
	return l.sum(counts, shiftBuckets/2, shiftBuckets)
}

// loadDropped reports whether far fewer requests arrive than in the previous window.
func (l *regionShiftLimiter) loadDropped() bool {
	expected := l.previousCount(&l.totals) * loadDropBuckets / float64(shiftBuckets/2)
	return l.sum(&l.totals, 0, loadDropBuckets) < loadDropRatio*expected
}

// counter returns the counter of a region. A new one starts with the full credit.
func (l *regionShiftLimiter) counter(region string) *regionCounter {
	r := l.counters[region]
	if r == nil {
		r = &regionCounter{credit: maxShiftCredit}
		l.counters[region] = r
	}
	return r
}

// allows reports whether one more request may run in a region. The bound does not apply
// to homeRegion unless load drops.
func (l *regionShiftLimiter) allows(region string, now time.Time) bool {
	if l.maxShift <= 0 || !l.capacityChangedAt.IsZero() && now.Sub(l.capacityChangedAt) < capacityChangeExemption {
		return true
	}
	l.advance(now)
	previous := l.previousCount(&l.totals)
	if previous < minWindowRequests {
		return true
	}
	r := l.counter(region)
	if l.loadDropped() {
		return r.credit >= minShiftCredit
	}
	inRegion, total := l.currentCount(&r.counts), l.currentCount(&l.totals)
	// The share may grow by the used fraction of the bound, and by shiftSlack requests.
	return region == l.homeRegion || inRegion+1 <= (total+1)*(l.previousCount(&r.counts)/previous+shiftBoundFraction*l.maxShift)+shiftSlack
}

// countRequest counts a request that is sent to a region and updates the credit of all
// regions.
func (l *regionShiftLimiter) countRequest(region string, now time.Time) {
	l.advance(now)
	target := l.counter(region)
	if previous := l.previousCount(&l.totals); previous >= minWindowRequests {
		for _, r := range l.counters {
			r.credit = min(maxShiftCredit, r.credit+l.previousCount(&r.counts)/previous+shiftBoundFraction*l.maxShift)
		}
		target.credit = max(-maxShiftDebt, target.credit-1)
	}
	i := l.newestBucket % int64(shiftBuckets)
	target.counts[i]++
	l.totals[i]++
}
