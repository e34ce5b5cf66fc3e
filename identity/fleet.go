package identity

import "time"

// Budgets of the whole fleet at the platform. The platform gives several hundred
// row writes and about 2,000 reads per second to everything together.
const (
	// MaxRenewalsPerSecond bounds the row writes of all heartbeats.
	MaxRenewalsPerSecond = 20
	// MaxScanReadsPerSecond bounds the rows that all table scans read.
	MaxScanReadsPerSecond = 200
	// MaxListCallsPerSecond bounds the calls for the platform's instance list.
	MaxListCallsPerSecond = 40
)

// Intervals of small fleets, where the budgets would allow shorter ones.
const (
	minRenewInterval = 5 * time.Second
	minScanInterval  = 5 * time.Second
	minListInterval  = 5 * time.Second
	// smallFleet is the largest number of instances that may all scan at once:
	// 40 scans of 40 rows are less than one second of the platform's reads.
	smallFleet = 40
	// leaseRenewals is the number of renewals that fit into a lease, so that two
	// lost heartbeats do not end it.
	leaseRenewals = 3
	// digestsPerSecond is how many digests an instance exchanges with other
	// zones: one that it starts and, on average, one that it answers.
	digestsPerSecond = 2
)

// FleetSize is the size of the fleet, from which all intervals follow.
type FleetSize struct {
	Instances int
	Zones     int
	// ZoneInstances is the number of instances in the own zone, including itself.
	ZoneInstances int
}

// RenewInterval returns the time between two heartbeats of one instance.
func (f FleetSize) RenewInterval() time.Duration {
	return max(minRenewInterval, perSecond(f.Instances, MaxRenewalsPerSecond))
}

// Lease returns how long a registration is valid after a confirmed write.
func (f FleetSize) Lease() time.Duration { return leaseRenewals * f.RenewInterval() }

// ZoneScanInterval returns the time between two scans by one zone. Every zone
// scans for itself, so that a zone needs no other zone to know the fleet.
func (f FleetSize) ZoneScanInterval() time.Duration {
	return max(minScanInterval, perSecond(f.Instances*max(f.Zones, 1), MaxScanReadsPerSecond))
}

// ScanInterval returns the time between two scans by one instance. The instances
// of a zone take turns and share the result in their digests.
func (f FleetSize) ScanInterval() time.Duration {
	return time.Duration(max(f.ZoneInstances, 1)) * f.ZoneScanInterval()
}

// FirstScanDelay returns when a process that has just started scans first. In a
// large fleet the first scans are spread over a whole interval, so that a restart
// of all instances does not read the square of their number at once; until then
// the rows named by the listing serve. unit is in [0, 1).
func (f FleetSize) FirstScanDelay(unit float64) time.Duration {
	if f.Instances <= smallFleet {
		return 0
	}
	return time.Duration(unit * float64(f.ScanInterval()))
}

// ListInterval returns the time between two calls for the platform's list.
func (f FleetSize) ListInterval() time.Duration {
	return max(minListInterval, perSecond(f.Instances, MaxListCallsPerSecond))
}

// RemoteDigestInterval returns the mean time between two digests of one
// particular instance of another zone, received by any instance of the own zone.
// Zone mates pass on what they heard directly (Membership.DirectSightings).
func (f FleetSize) RemoteDigestInterval() time.Duration {
	remote := max(f.Instances-f.ZoneInstances, 0)
	return perSecond(remote, digestsPerSecond*max(f.ZoneInstances, 1))
}

// ReadsPerSecond returns the reads of the whole fleet: rows of scans and lists.
func (f FleetSize) ReadsPerSecond() float64 {
	scans := float64(f.Zones*f.Instances) / f.ZoneScanInterval().Seconds()
	lists := float64(f.Instances) / f.ListInterval().Seconds()
	return scans + lists
}

// WritesPerSecond returns the row writes of all heartbeats.
func (f FleetSize) WritesPerSecond() float64 {
	return float64(f.Instances) / f.RenewInterval().Seconds()
}

// perSecond returns the time that n events take at a rate per second.
func perSecond(n, rate int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(rate)
}
