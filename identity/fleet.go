package identity

import "time"

// Budgets of the whole fleet at the platform. The platform gives several hundred
// row writes and about 2,000 reads per second to everything together.
const (
	// RenewalsPerSecond bounds the row writes of all heartbeats.
	RenewalsPerSecond = 20
	// ScanReadsPerSecond bounds the rows that all table scans read.
	ScanReadsPerSecond = 200
	// ListsPerSecond bounds the calls for the platform's instance list.
	ListsPerSecond = 40
)

// Intervals of small fleets, where the budgets would allow shorter ones.
const (
	minRenewInterval = 5 * time.Second
	minScanInterval  = 5 * time.Second
	minListInterval  = 5 * time.Second
	// smallFleetInstances is the largest number of instances that may all scan at once:
	// 40 scans of 40 rows are less than one second of the platform's reads.
	smallFleetInstances = 40
	// renewalsPerLease is the number of renewals that fit into a lease, so that two
	// lost heartbeats do not end it.
	renewalsPerLease = 3
	// remoteDigestsPerSecond is how many digests an instance exchanges with other
	// zones: one that it starts and, on average, one that it answers.
	remoteDigestsPerSecond = 2
)

// Fleet is the size of the fleet, from which all intervals follow.
type Fleet struct {
	Instances int
	Zones     int
	// ZoneMates is the number of instances in the own zone, including itself.
	ZoneMates int
}

// RenewInterval returns the time between two heartbeats of one instance.
func (f Fleet) RenewInterval() time.Duration {
	return max(minRenewInterval, durationAtRate(f.Instances, RenewalsPerSecond))
}

// Lease returns how long a registration is valid after a confirmed write.
func (f Fleet) Lease() time.Duration { return renewalsPerLease * f.RenewInterval() }

// ZoneScanInterval returns the time between two scans by one zone. Every zone
// scans for itself, so that a zone needs no other zone to know the fleet.
func (f Fleet) ZoneScanInterval() time.Duration {
	return max(minScanInterval, durationAtRate(f.Instances*max(f.Zones, 1), ScanReadsPerSecond))
}

// ScanInterval returns the time between two scans by one instance. The instances
// of a zone take turns and share the result in their digests.
func (f Fleet) ScanInterval() time.Duration {
	return time.Duration(max(f.ZoneMates, 1)) * f.ZoneScanInterval()
}

// FirstScanDelay returns when a process that has just started scans first. In a
// large fleet the first scans are spread over a whole interval, so that a restart
// of all instances does not read the square of their number at once; until then
// the rows named by the listing serve. unit is in [0, 1).
func (f Fleet) FirstScanDelay(unit float64) time.Duration {
	if f.Instances <= smallFleetInstances {
		return 0
	}
	return time.Duration(unit * float64(f.ScanInterval()))
}

// ListInterval returns the time between two calls for the platform's list.
func (f Fleet) ListInterval() time.Duration {
	return max(minListInterval, durationAtRate(f.Instances, ListsPerSecond))
}

// RemoteDigestInterval returns the mean time between two digests of one
// particular instance of another zone, received by any instance of the own zone.
// Zone mates pass on what they heard directly (Membership.Direct).
func (f Fleet) RemoteDigestInterval() time.Duration {
	remote := max(f.Instances-f.ZoneMates, 0)
	return durationAtRate(remote, remoteDigestsPerSecond*max(f.ZoneMates, 1))
}

// ReadsPerSecond returns the reads of the whole fleet: rows of scans and lists.
func (f Fleet) ReadsPerSecond() float64 {
	scans := float64(f.Zones*f.Instances) / f.ZoneScanInterval().Seconds()
	lists := float64(f.Instances) / f.ListInterval().Seconds()
	return scans + lists
}

// WritesPerSecond returns the row writes of all heartbeats.
func (f Fleet) WritesPerSecond() float64 {
	return float64(f.Instances) / f.RenewInterval().Seconds()
}

// durationAtRate returns the time that n events take at a rate per second.
func durationAtRate(n, rate int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(rate)
}
