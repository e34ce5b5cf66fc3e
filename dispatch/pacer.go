package dispatch

import (
	"math"
	"time"
)

// Bounds of the pacer.
const (
	// paceBucket is the resolution of its windows.
	paceBucket  = 200 * time.Millisecond
	paceBuckets = int(2 * regionWindow / paceBucket)
	// paceUse is the part of the bound that is used; the rest covers that each
	// instance counts for itself and that windows slide.
	paceUse = 0.8
	// paceSlack is the number of requests by which a region may exceed its bound in
	// a window, since shares of few requests change by chance.
	paceSlack = 2.0
	// paceReserve and paceDebt bound what a region may still get, or has got, above
	// its share when load drops, and paceStep is what a request needs: half of one,
	// as requests are whole. There is no slack, since few requests are left and each
	// instance of the region would use it.
	paceReserve = 1.0
	paceDebt    = 3.0
	paceStep    = 0.5
	// dropBuckets are the newest buckets, and dropShare their part of what the
	// window before had in the same time, below which load drops. Of 6 expected
	// requests fewer than 2 come by chance in 2 of 100 cases.
	dropBuckets = 2
	dropShare   = 1.0 / 3
	// paceLeast is the number of requests that a window must have to bind the next.
	paceLeast = 10
	// turbulence is the change of the usable local slots, as a share, that frees
	// requests from the pacer: what is lost or comes back must be followed at once.
	turbulence = 0.15
	// turbulentFor is how long such a change counts.
	turbulentFor = 4 * time.Second
)

// regionWindow is the window in which the region of requests may change by the bound.
const regionWindow = 2 * time.Second

// pacer keeps the share of an instance's requests that run in a region from growing
// faster than a bound. The loads that it answers are a burst or a start with empty
// caches, which make another region cheaper for a second or two, and the end of an
// overload, when the few requests that are left may all prefer one region.
//
// While load drops, each region has a reserve: a request adds to it the share that
// the region had in the window before and what the bound allows on top; one that runs
// there takes 1.
type pacer struct {
	home string  // region of the instance
	most float64 // largest growth of a share from window to window; 0 for no bound

	base    time.Time
	bucket  int64 // number of the newest bucket
	total   [paceBuckets]int
	regions map[string]*paced

	slots     int // usable local slots
	disturbed time.Time
}

// paced is what a pacer keeps about a region.
type paced struct {
	counts  [paceBuckets]int
	reserve float64 // requests that may run there at once
}

// setSlots takes the number of usable local slots.
func (p *pacer) setSlots(slots int, now time.Time) {
	change := math.Abs(float64(slots-p.slots)) / float64(max(p.slots, 1))
	if p.slots > 0 && change > turbulence {
		p.disturbed = now
	}
	p.slots = slots
}

// advance moves the windows to now.
func (p *pacer) advance(now time.Time) {
	if p.base.IsZero() {
		p.base, p.regions = now, make(map[string]*paced)
	}
	bucket := int64(now.Sub(p.base) / paceBucket)
	p.bucket = max(p.bucket, bucket-int64(paceBuckets))
	for p.bucket < bucket {
		p.bucket++
		i := p.bucket % int64(paceBuckets)
		p.total[i] = 0
		for _, r := range p.regions {
			r.counts[i] = 0
		}
	}
}

// sum adds up the buckets of an age from..to, 0 being the newest.
func (p *pacer) sum(counts *[paceBuckets]int, from, to int) float64 {
	n := 0
	for back := from; back < to; back++ {
		n += counts[((p.bucket-int64(back))%int64(paceBuckets)+int64(paceBuckets))%int64(paceBuckets)]
	}
	return float64(n)
}

// current returns the count of the current window, before that of the one before it.
func (p *pacer) current(counts *[paceBuckets]int) float64 { return p.sum(counts, 0, paceBuckets/2) }
func (p *pacer) before(counts *[paceBuckets]int) float64 {
	return p.sum(counts, paceBuckets/2, paceBuckets)
}

// drops reports whether there are far fewer requests than in the window before.
func (p *pacer) drops() bool {
	expected := p.before(&p.total) * dropBuckets / float64(paceBuckets/2)
	return p.sum(&p.total, 0, dropBuckets) < dropShare*expected
}

func (p *pacer) region(name string) *paced {
	r := p.regions[name]
	if r == nil {
		r = &paced{reserve: paceReserve}
		p.regions[name] = r
	}
	return r
}

// allows reports whether one more request may run in a region.
func (p *pacer) allows(region string, now time.Time) bool {
	if p.most <= 0 || !p.disturbed.IsZero() && now.Sub(p.disturbed) < turbulentFor {
		return true
	}
	p.advance(now)
	previous := p.before(&p.total)
	if previous < paceLeast {
		return true
	}
	r := p.region(region)
	if p.drops() {
		return r.reserve >= paceStep
	}
	there, total := p.current(&r.counts), p.current(&p.total)
	return region == p.home || there+1 <= (total+1)*(p.before(&r.counts)/previous+paceUse*p.most)+paceSlack
}

// sent counts a request that goes to a region.
func (p *pacer) sent(region string, now time.Time) {
	p.advance(now)
	to := p.region(region)
	if previous := p.before(&p.total); previous >= paceLeast {
		for _, r := range p.regions {
			r.reserve = min(paceReserve, r.reserve+p.before(&r.counts)/previous+paceUse*p.most)
		}
		to.reserve = max(-paceDebt, to.reserve-1)
	}
	i := p.bucket % int64(paceBuckets)
	to.counts[i]++
	p.total[i]++
}
