package limits

import (
	"math"
	"time"
)

// Time constants of the demand average. Demand rises fast, so that a busy holder
// gets its lease soon, and falls slowly, so that short gaps cause no writes.
const (
	demandRiseTime = time.Second
	demandFallTime = 2 * time.Second
	// minDemandSampleInterval is the shortest interval that is averaged.
	minDemandSampleInterval = 100 * time.Millisecond
)

// demandMeter averages what callers offer, admitted or not.
type demandMeter struct {
	sampledAt   time.Time
	sinceSample float64 // requests since last
	averageRate float64 // requests per second
}

func (d *demandMeter) add(cost float64) {
	if cost > 0 && !math.IsInf(cost, 1) {
		d.sinceSample += cost
	}
}

// sample updates the average and returns it.
func (d *demandMeter) sample(now time.Time) Amount {
	elapsed := now.Sub(d.sampledAt)
	if elapsed < minDemandSampleInterval {
		return AmountOf(d.averageRate)
	}
	rate := d.sinceSample / elapsed.Seconds()
	constant := demandFallTime
	if rate > d.averageRate {
		constant = demandRiseTime
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
	d.averageRate += weight * (rate - d.averageRate)
	d.sinceSample = 0
	d.sampledAt = now
	return AmountOf(d.averageRate)
}
