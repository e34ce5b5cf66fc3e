// Package poll spreads the periodic platform reads of the entry instances in an availability
// zone, so that together they read a row about once per second.
package poll

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// ZoneReadInterval is the mean time between two reads of a row by any instance of an
// availability zone.
const ZoneReadInterval = time.Second

// InstanceReadDelay returns the time until the next read by one instance of a zone with the
// given number of live instances: liveInstances x ZoneReadInterval on average, with a
// uniform jitter of up to a quarter in each direction, so that instances that started
// together do not keep reading at the same times.
func InstanceReadDelay(liveInstances int, random *rand.Rand) time.Duration {
	mean := ZoneReadInterval * time.Duration(max(liveInstances, 1))
	return mean*3/4 + time.Duration(random.Int64N(int64(mean/2)))
}

// ReadPeriodically calls read immediately and then after each InstanceReadDelay, until ctx
// is done. liveInstances returns the number of live instances in the zone. read must limit
// its own duration and handle its own errors.
func ReadPeriodically(ctx context.Context, liveInstances func() int, random *rand.Rand, read func(context.Context)) {
	for ctx.Err() == nil {
		read(ctx)
		_ = sleep.For(ctx, InstanceReadDelay(liveInstances(), random))
	}
}
