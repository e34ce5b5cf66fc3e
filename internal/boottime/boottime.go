// Package boottime reads CLOCK_BOOTTIME, which is not stepped and keeps running while
// the machine is suspended. The monotonic clock of package time stops during suspend,
// so an age computed from it would be too low.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since boot, in nanoseconds.
type Instant time.Duration

// Now returns the current instant. It returns 0 if the machine lacks this clock, so
// that no age is overestimated. Callers must treat the zero Instant as unknown.
func Now() Instant {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return Instant(ts.Nano())
}

// Sub returns the duration i - earlier.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
