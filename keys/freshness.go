package keys

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ZoneSummary says from how many instances of an availability zone the sender has
// recent digests, received directly or counted in another summary.
type ZoneSummary struct {
	Zone          string
	InstanceCount int           // number of instances whose digests are counted
	MaxDigestAge  time.Duration // age of the oldest of these digests
}

// ReceivedDigest contains the fields of a peer's digest on which freshness depends. It
// must be recorded only after the receiver has merged the peer's pending withdrawals
// and has records of at least the peer's key generation.
type ReceivedDigest struct {
	Name   string
	Zone   string
	BootID uint64 // identifies the process of the peer
	// Complete says that the peer's key data is complete, see FreshnessTracker.Complete.
	Complete bool
	// AsOf is the time on the receiver's monotonic clock at which it sent the
	// request that the digest answers. The digest was made at this time or
	// later. The arrival time must not be used instead, because a digest can be
	// delayed for a long time in the network or in a paused process.
	AsOf time.Time
	// ReceivedAt is the time on the receiver's monotonic clock at which the digest
	// arrived.
	ReceivedAt time.Time
	// PlatformAge is the age of the newest platform state that the peer's key
	// data contained when the digest was made. It is valid if PlatformKnown.
	PlatformAge   time.Duration
	PlatformKnown bool
	ZoneSummaries []ZoneSummary
}

// FreshnessTracker tracks how old the key data of an instance is. All times are readings
// of the instance's own monotonic clock, so ages include the time in which the
// process was paused. It is not safe for concurrent use.
type FreshnessTracker struct {
	selfName      string
	zone          string
	startedAt     time.Time
	listedZones   map[string]string         // zone by instance name, from the last known list; nil before the first list
	platformAsOf  time.Time                 // the key data contains the platform's state at this time; zero: never read
	newestDigests map[string]ReceivedDigest // by instance name
	// processFirstSeen is the arrival time of the first digest from the current
	// process of a peer, by instance name.
	processFirstSeen map[string]time.Time
	zoneCounts       map[string][]zoneCount // from summaries, by zone; without the own zone
	complete         bool                   // see Complete
}

// zoneCount says that count complete instances of a zone have sent digests that are not
// older than asOf.
type zoneCount struct {
	count int
	asOf  time.Time
}

// NewFreshnessTracker returns the state of an instance whose process started at boot. Its key
// data is not complete and not fresh.
func NewFreshnessTracker(self, zone string, boot time.Time) *FreshnessTracker {
	return &FreshnessTracker{
		selfName:         self,
		zone:             zone,
		startedAt:        boot,
		newestDigests:    make(map[string]ReceivedDigest),
		processFirstSeen: make(map[string]time.Time),
		zoneCounts:       make(map[string][]zoneCount),
	}
}

// SetListedInstances sets the instances on the last known list. listed maps their names to
// their zones. Digests of other instances are dropped.
func (f *FreshnessTracker) SetListedInstances(listed map[string]string) {
	f.listedZones = maps.Clone(listed)
	if f.listedZones == nil {
		f.listedZones = make(map[string]string)
	}
	unlisted := func(name string) bool { return f.listedZones[name] == "" }
	maps.DeleteFunc(f.newestDigests, func(name string, _ ReceivedDigest) bool { return unlisted(name) })
	maps.DeleteFunc(f.processFirstSeen, func(name string, _ time.Time) bool { return unlisted(name) })
	f.updateComplete()
}

// RecordPlatformRead records that the key data contains the platform's state at asOf, the
// time before the read was sent.
func (f *FreshnessTracker) RecordPlatformRead(asOf time.Time) {
	f.advancePlatformAsOf(asOf)
	f.updateComplete()
}

func (f *FreshnessTracker) advancePlatformAsOf(asOf time.Time) {
	if asOf.After(f.platformAsOf) {
		f.platformAsOf = asOf
	}
}

// RecordDigest records a digest of a peer. See ReceivedDigest for what must be merged before.
func (f *FreshnessTracker) RecordDigest(h ReceivedDigest) {
	old, known := f.newestDigests[h.Name]
	if !known || old.BootID != h.BootID {
		f.processFirstSeen[h.Name] = h.ReceivedAt
	}
	if !known || h.AsOf.After(old.AsOf) {
		f.newestDigests[h.Name] = h
	}
	if h.PlatformKnown {
		f.advancePlatformAsOf(h.AsOf.Add(-h.PlatformAge))
	}
	for _, z := range h.ZoneSummaries {
		f.addZoneCount(z.Zone, zoneCount{count: z.InstanceCount, asOf: h.AsOf.Add(-z.MaxDigestAge)})
	}
	f.updateComplete()
}

// addZoneCount stores a count of another zone unless a stored one is at least as large
// and as new, and drops the stored ones that are neither larger nor newer. At most one
// entry per value of count remains.
func (f *FreshnessTracker) addZoneCount(zone string, s zoneCount) {
	if zone == f.zone || s.count <= 0 {
		return // instances of the own zone are counted from their own digests
	}
	list := f.zoneCounts[zone]
	for _, old := range list {
		if old.count >= s.count && !old.asOf.Before(s.asOf) {
			return
		}
	}
	list = slices.DeleteFunc(list, func(old zoneCount) bool {
		return old.count <= s.count && !old.asOf.After(s.asOf)
	})
	f.zoneCounts[zone] = append(list, s)
}

// countSeenSince returns the number of other complete instances with a digest that is
// not older than since. Per zone it takes the larger of the digests received directly
// and the best summary. Zones are disjoint, so the counts of the zones add up.
func (f *FreshnessTracker) countSeenSince(since time.Time) int {
	direct := f.directCountsByZone(since)
	total := 0
	for zone, size := range f.peersByZone() {
		best := direct[zone]
		for _, s := range f.zoneCounts[zone] {
			if !s.asOf.Before(since) {
				best = max(best, min(s.count, size))
			}
		}
		total += best
	}
	return total
}

// directCountsByZone counts, per zone, the other listed and complete instances whose
// own digest is not older than since.
func (f *FreshnessTracker) directCountsByZone(since time.Time) map[string]int {
	counts := make(map[string]int)
	for name, h := range f.newestDigests {
		zone, listed := f.listedZones[name]
		if listed && name != f.selfName && h.Complete && !h.AsOf.Before(since) {
			counts[zone]++
		}
	}
	return counts
}

// peersByZone returns the number of other listed instances per zone.
func (f *FreshnessTracker) peersByZone() map[string]int {
	sizes := make(map[string]int)
	for name, zone := range f.listedZones {
		if name != f.selfName {
			sizes[zone]++
		}
	}
	return sizes
}

// Complete reports whether the key data contains every withdrawal that an earlier
// process of this instance may have confirmed. Until then the key data is not fresh,
// and peers do not count the instance towards a majority.
//
// Without this rule, an instance that confirmed a withdrawal during a platform outage
// and then restarts would lose the withdrawal, read a platform that does not have it
// yet, and accept a key that was reported as withdrawn everywhere.
//
// The key data becomes complete when one of these holds:
//   - Digests made since the start show more than half of the listed instances.
//   - The key data contains a platform state from after the start, and a complete
//     peer has sent a digest since the start.
//   - The key data contains a platform state from after the start, and all other
//     listed instances were incomplete at the same moment. This ends a first start
//     of the whole fleet, when no instance is complete.
func (f *FreshnessTracker) Complete() bool { return f.complete }

// DeclareComplete makes the instance complete without recovery. It may be used only
// when no other instance is known to have key data, for example at the first start.
func (f *FreshnessTracker) DeclareComplete() { f.complete = true }

func (f *FreshnessTracker) updateComplete() {
	if f.complete || f.listedZones == nil {
		return
	}
	if 2*f.countSeenSince(f.startedAt) > len(f.listedZones) {
		f.complete = true
		return
	}
	if !f.platformAsOf.IsZero() && !f.platformAsOf.Before(f.startedAt) {
		f.complete = f.seenCompletePeer() || f.allPeersIncomplete()
	}
}

func (f *FreshnessTracker) seenCompletePeer() bool {
	for name, h := range f.newestDigests {
		if f.listedZones[name] != "" && h.Complete && !h.AsOf.Before(f.startedAt) {
			return true
		}
	}
	return false
}

// allPeersIncomplete reports whether there was a moment at which all other listed
// instances were incomplete. A process whose newest digest says incomplete has been
// incomplete since its first digest, because a process never becomes incomplete again.
func (f *FreshnessTracker) allPeersIncomplete() bool {
	var begin, end time.Time
	for name := range f.listedZones {
		if name == f.selfName {
			continue
		}
		h, known := f.newestDigests[name]
		if !known || h.Complete {
			return false
		}
		if first := f.processFirstSeen[name]; first.After(begin) {
			begin = first
		}
		if end.IsZero() || h.AsOf.Before(end) {
			end = h.AsOf
		}
	}
	return !begin.After(end)
}

// PlatformAge returns the age of the newest platform state that the key data contains.
// It returns false when the key data contains none.
func (f *FreshnessTracker) PlatformAge(now time.Time) (time.Duration, bool) {
	return now.Sub(f.platformAsOf), !f.platformAsOf.IsZero()
}

// Fresh reports whether keys may be accepted under a staleness bound: the key data is
// complete, and either the platform's state or the digests of more than half of
// totalInstances, this instance included, are within the bound. totalInstances is the
// length of the last known list.
func (f *FreshnessTracker) Fresh(now time.Time, bound time.Duration, totalInstances int) bool {
	asOf := f.AsOf(totalInstances)
	return !asOf.IsZero() && now.Sub(asOf) <= bound
}

// neverStaleOffset is 100 years. It is added to the start time of an instance that is
// more than half of the list by itself, so that its key data never becomes stale.
const neverStaleOffset = 100 * 365 * 24 * time.Hour

// AsOf returns the time from which Fresh computes the age of the key data. The request
// path can then check a staleness bound with a single comparison. AsOf is zero when
// the key data is not fresh under any bound.
func (f *FreshnessTracker) AsOf(totalInstances int) time.Time {
	if !f.complete {
		return time.Time{}
	}
	if majority := f.majorityAsOf(totalInstances); majority.After(f.platformAsOf) {
		return majority
	}
	return f.platformAsOf
}

// majorityAsOf returns the latest time since which digests of more than half of the
// instances were made, this instance included. It is zero if there is no such time.
func (f *FreshnessTracker) majorityAsOf(totalInstances int) time.Time {
	if totalInstances <= 0 {
		return time.Time{}
	}
	if 2*f.selfCount() > totalInstances {
		return f.startedAt.Add(neverStaleOffset)
	}
	times := f.digestTimes()
	i, _ := slices.BinarySearchFunc(times, true, func(since time.Time, _ bool) int {
		if 2*(f.countSeenSince(since)+f.selfCount()) > totalInstances {
			return 0
		}
		return -1
	})
	if i == len(times) {
		return time.Time{}
	}
	return times[i]
}

// digestTimes returns the AsOf times of all digests and zone counts, newest first.
func (f *FreshnessTracker) digestTimes() []time.Time {
	var list []time.Time
	for _, h := range f.newestDigests {
		list = append(list, h.AsOf)
	}
	for _, zone := range f.zoneCounts {
		for _, s := range zone {
			list = append(list, s.asOf)
		}
	}
	slices.SortFunc(list, func(a, b time.Time) int { return b.Compare(a) })
	return list
}

// selfCount returns 1 if this instance is on the list and 0 otherwise.
func (f *FreshnessTracker) selfCount() int {
	if f.listedZones[f.selfName] == "" {
		return 0
	}
	return 1
}

// ZoneSummaries returns the zone summaries for this instance's digest, sorted by zone. For
// the own zone it counts the complete instances with a digest within the window, this
// instance included. For each other zone it takes the largest count within the window.
// An incomplete instance omits its own zone, so that no peer counts it.
func (f *FreshnessTracker) ZoneSummaries(now time.Time, window time.Duration) []ZoneSummary {
	since := now.Add(-window)
	var list []ZoneSummary
	for zone, known := range f.zoneCounts {
		var best zoneCount
		for _, s := range known {
			if !s.asOf.Before(since) && s.count > best.count {
				best = s
			}
		}
		if best.count > 0 {
			list = append(list, ZoneSummary{Zone: zone, InstanceCount: best.count, MaxDigestAge: now.Sub(best.asOf)})
		}
	}
	if own := f.ownZoneSummary(now, since); f.complete && own.InstanceCount > 0 {
		list = append(list, own)
	}
	slices.SortFunc(list, func(a, b ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

func (f *FreshnessTracker) ownZoneSummary(now, since time.Time) ZoneSummary {
	own := ZoneSummary{Zone: f.zone, InstanceCount: f.selfCount()}
	for name, h := range f.newestDigests {
		if f.listedZones[name] != f.zone || name == f.selfName || !h.Complete || h.AsOf.Before(since) {
			continue
		}
		own.InstanceCount++
		own.MaxDigestAge = max(own.MaxDigestAge, now.Sub(h.AsOf))
	}
	return own
}
