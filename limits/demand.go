package limits

import (
	"math"
	"time"
)

// Time constants of the exponential average of demand. The average rises fast, so that
// a busy holder gets a lease soon, and falls slowly, so that short gaps cause no writes.
const (
	demandRiseTime = time.Second
	demandFallTime = 2 * time.Second
	// minDemandSampleInterval is the shortest interval that enters the average.
	minDemandSampleInterval = 100 * time.Millisecond
)

// demandMeter measures the average rate of requests, whether admitted or rejected.
type demandMeter struct {
	sampledAt   time.Time
	sinceSample float64 // requests since sampledAt
	averageRate float64 // requests per second
}

// add counts a request with the given cost, in requests.
func (d *demandMeter) add(cost float64) {
	if cost > 0 && !math.IsInf(cost, 1) {
		d.sinceSample += cost
	}
}

// sample updates the average with the requests since the last sample and returns it, in
// requests per second.
func (d *demandMeter) sample(now time.Time) MicroRequests {
	elapsed := now.Sub(d.sampledAt)
	if elapsed < minDemandSampleInterval {
		return MicroRequestsOf(d.averageRate)
	}
	rate := d.sinceSample / elapsed.Seconds()
	timeConstant := demandFallTime
	if rate > d.averageRate {
		timeConstant = demandRiseTime
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
	d.averageRate += weight * (rate - d.averageRate)
	d.sinceSample = 0
	d.sampledAt = now
	return MicroRequestsOf(d.averageRate)
}
