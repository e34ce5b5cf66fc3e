package limits

import (
	"math"
	"time"
)

// Time constants of the demand average. Demand rises fast, so that a busy holder
// gets its lease soon, and falls slowly, so that short gaps cause no writes.
const (
	demandRise = time.Second
	demandFall = 2 * time.Second
	// minDemandSample is the shortest interval that is averaged.
	minDemandSample = 100 * time.Millisecond
)

// demandMeter averages what callers offer, admitted or not.
type demandMeter struct {
	last    time.Time
	offered float64 // requests since last
	average float64 // requests per second
}

func (d *demandMeter) add(cost float64) {
	if cost > 0 && !math.IsInf(cost, 1) {
		d.offered += cost
	}
}

// sample updates the average and returns it.
func (d *demandMeter) sample(now time.Time) MicroRequests {
	elapsed := now.Sub(d.last)
	if elapsed < minDemandSample {
		return MicroRequestsOf(d.average)
	}
	rate := d.offered / elapsed.Seconds()
	constant := demandFall
	if rate > d.average {
		constant = demandRise
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
	d.average += weight * (rate - d.average)
	d.offered = 0
	d.last = now
	return MicroRequestsOf(d.average)
}
