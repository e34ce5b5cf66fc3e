// Package poll spaces the platform reads of the entry instances of an
// availability zone, so that together they read a row about once per second.
package poll

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// ZoneReadInterval is the time between two reads of a row by one availability zone.
const ZoneReadInterval = time.Second

// InstanceReadDelay returns the time until the next read of one of live instances in a zone:
// live x Period on average, with a jitter of a quarter in each direction so that
// instances that started together do not stay in step.
func InstanceReadDelay(live int, random *rand.Rand) time.Duration {
	mean := ZoneReadInterval * time.Duration(max(live, 1))
	return mean*3/4 + time.Duration(random.Int64N(int64(mean/2)))
}

// ReadPeriodically calls read at once and then after each Delay until ctx is done. live
// returns the number of live instances in the zone. read bounds its own duration
// and reports its own errors.
func ReadPeriodically(ctx context.Context, live func() int, random *rand.Rand, read func(context.Context)) {
	for ctx.Err() == nil {
		read(ctx)
		_ = sleep.For(ctx, InstanceReadDelay(live(), random))
	}
}
