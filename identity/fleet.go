package identity

import "time"

// Limits on the platform load of the whole fleet. The platform allows several hundred
// row writes and about 2,000 reads per second, shared by all uses.
const (
	// MaxRenewalsPerSecond limits the row writes per second of all renewals.
	MaxRenewalsPerSecond = 20
	// MaxScanReadsPerSecond limits the rows per second that all table scans read.
	MaxScanReadsPerSecond = 200
	// MaxListCallsPerSecond limits the reads per second of the platform's listing.
	MaxListCallsPerSecond = 40
)

// Lower limits of the intervals, which apply in small fleets, and other parameters of
// the intervals.
const (
	minRenewInterval = 5 * time.Second
	minScanInterval  = 5 * time.Second
	minListInterval  = 5 * time.Second
	// smallFleetInstances is the largest number of instances that may all scan at
	// the same time: 40 scans of 40 rows are fewer reads than the platform allows
	// in one second.
	smallFleetInstances = 40
	// renewalsPerLease is the lease in renewal intervals. Two lost renewals do not
	// end a lease of three.
	renewalsPerLease = 3
	// remoteDigestsPerSecond is the number of digest exchanges per second between
	// an instance and those of other zones: one that it starts and, on average,
	// one that another instance starts.
	remoteDigestsPerSecond = 2
)

// FleetSize is the size of the fleet, from which the intervals and timeouts are computed.
type FleetSize struct {
	Instances int
	Zones     int
	// ZoneInstances is the number of instances in the own zone, including this one.
	ZoneInstances int
}

// RenewInterval returns the time between two renewals by one instance.
func (f FleetSize) RenewInterval() time.Duration {
	return max(minRenewInterval, durationAtRate(f.Instances, MaxRenewalsPerSecond))
}

// Lease returns the time for which a registration is valid from the start of a write
// that was confirmed.
func (f FleetSize) Lease() time.Duration { return renewalsPerLease * f.RenewInterval() }

// ZoneScanInterval returns the time between two scans by any instances of one zone. The
// instances of every zone scan independently, so that no zone depends on another one
// to learn the members of the fleet.
func (f FleetSize) ZoneScanInterval() time.Duration {
	return max(minScanInterval, durationAtRate(f.Instances*max(f.Zones, 1), MaxScanReadsPerSecond))
}

// ScanInterval returns the time between two scans by one instance. The instances of a
// zone take turns and share the results in their digests.
func (f FleetSize) ScanInterval() time.Duration {
	return time.Duration(max(f.ZoneInstances, 1)) * f.ZoneScanInterval()
}

// FirstScanDelay returns the time from the start of a process to its first scan. In a
// large fleet the first scans are spread over a whole scan interval. Otherwise n
// instances that restart together would read n*n rows at once. Before its first scan a
// process uses the listing and the rows read by Watcher.Bootstrap. fraction, in
// [0, 1), selects the point within the interval.
func (f FleetSize) FirstScanDelay(fraction float64) time.Duration {
	if f.Instances <= smallFleetInstances {
		return 0
	}
	return time.Duration(fraction * float64(f.ScanInterval()))
}

// ListInterval returns the time between two reads of the platform's listing by
// one instance.
func (f FleetSize) ListInterval() time.Duration {
	return max(minListInterval, durationAtRate(f.Instances, MaxListCallsPerSecond))
}

// RemoteDigestInterval returns the mean time between two digests of one particular
// instance of another zone that any instance of the own zone receives. Instances of the
// same zone relay the digests that they receive directly, see Membership.DirectSightings.
func (f FleetSize) RemoteDigestInterval() time.Duration {
	remote := max(f.Instances-f.ZoneInstances, 0)
	return durationAtRate(remote, remoteDigestsPerSecond*max(f.ZoneInstances, 1))
}

// ReadsPerSecond returns the reads per second of the whole fleet: rows read by scans and
// reads of the listing.
func (f FleetSize) ReadsPerSecond() float64 {
	scans := float64(f.Zones*f.Instances) / f.ZoneScanInterval().Seconds()
	lists := float64(f.Instances) / f.ListInterval().Seconds()
	return scans + lists
}

// WritesPerSecond returns the row writes per second of all renewals.
func (f FleetSize) WritesPerSecond() float64 {
	return float64(f.Instances) / f.RenewInterval().Seconds()
}

// durationAtRate returns the time that n events take at rate events per second.
func durationAtRate(n, rate int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(rate)
}
