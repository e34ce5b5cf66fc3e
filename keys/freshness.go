package keys

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ZoneSummary says how many instances of an availability zone were heard, and how
// old the oldest of their digests is.
type ZoneSummary struct {
	Zone  string
	InstanceCount int
	MaxDigestAge   time.Duration
}

// ReceivedDigest is a digest of a peer as far as freshness depends on it. It counts only
// after everything in the digest is known to the receiver: its pending
// withdrawals, and records of at least its key generation.
type ReceivedDigest struct {
	Name string
	Zone string
	BootID uint64 // identifies the process of the peer
	// Complete says that the peer's key data is complete, see Freshness.Complete.
	Complete bool
	// AsOf is a reading of the own monotonic clock before the peer made the
	// digest: when the request was sent that the digest answers. The arrival time
	// of a digest must not be used, since a digest can wait for a long time in
	// the network or in a paused process.
	AsOf time.Time
	// ReceivedAt is a reading of the own monotonic clock when the digest arrived.
	ReceivedAt time.Time
	// PlatformAge is the age of the newest platform read that the peer knows of,
	// when the peer made the digest.
	PlatformAge   time.Duration
	PlatformKnown bool
	ZoneSummaries         []ZoneSummary
}

// FreshnessTracker tracks how old the key data of an instance is. All times are readings
// of the instance's own monotonic clock, so ages include the time in which the
// process was paused. It is not safe for concurrent use.
type FreshnessTracker struct {
	self     string
	zone     string
	boot     time.Time
	listed   map[string]string // instance to zone, from the last known list
	platform time.Time         // the key data contains the platform's state at this time
	heard    map[string]ReceivedDigest
	// firstSeen is when the present process of a peer was first heard from.
	firstSeen map[string]time.Time
	summaries map[string][]summary // of other zones
	complete  bool
}

// summary says that a number of instances of a zone were heard since a time.
type summary struct {
	count int
	asOf  time.Time
}

// NewFreshnessTracker returns the freshness of an instance that started at boot.
func NewFreshnessTracker(self, zone string, boot time.Time) *FreshnessTracker {
	return &FreshnessTracker{
		self:      self,
		zone:      zone,
		boot:      boot,
		heard:     make(map[string]ReceivedDigest),
		firstSeen: make(map[string]time.Time),
		summaries: make(map[string][]summary),
	}
}

// SetListedInstances sets the instances on the last known list and their zones.
func (f *FreshnessTracker) SetListedInstances(listed map[string]string) {
	f.listed = maps.Clone(listed)
	if f.listed == nil {
		f.listed = make(map[string]string)
	}
	unlisted := func(name string) bool { return f.listed[name] == "" }
	maps.DeleteFunc(f.heard, func(name string, _ ReceivedDigest) bool { return unlisted(name) })
	maps.DeleteFunc(f.firstSeen, func(name string, _ time.Time) bool { return unlisted(name) })
	f.evaluate()
}

// RecordPlatformRead records that the key data contains the platform's state at asOf, a
// reading of the clock before the read was sent.
func (f *FreshnessTracker) RecordPlatformRead(asOf time.Time) {
	f.platformKnown(asOf)
	f.evaluate()
}

func (f *FreshnessTracker) platformKnown(asOf time.Time) {
	if asOf.After(f.platform) {
		f.platform = asOf
	}
}

// RecordDigest records a digest of a peer.
func (f *FreshnessTracker) RecordDigest(h ReceivedDigest) {
	old, known := f.heard[h.Name]
	if !known || old.BootID != h.BootID {
		f.firstSeen[h.Name] = h.ReceivedAt
	}
	if !known || h.AsOf.After(old.AsOf) {
		f.heard[h.Name] = h
	}
	if h.PlatformKnown {
		f.platformKnown(h.AsOf.Add(-h.PlatformAge))
	}
	for _, z := range h.ZoneSummaries {
		f.addSummary(z.Zone, summary{count: z.InstanceCount, asOf: h.AsOf.Add(-z.MaxDigestAge)})
	}
	f.evaluate()
}

// addSummary keeps a summary unless another one is as new and as large. At most
// one summary per count remains.
func (f *FreshnessTracker) addSummary(zone string, s summary) {
	if zone == f.zone || s.count <= 0 {
		return // the own zone is heard directly
	}
	list := f.summaries[zone]
	for _, old := range list {
		if old.count >= s.count && !old.asOf.Before(s.asOf) {
			return
		}
	}
	list = slices.DeleteFunc(list, func(old summary) bool {
		return old.count <= s.count && !old.asOf.After(s.asOf)
	})
	f.summaries[zone] = append(list, s)
}

// count returns the number of other complete instances that were heard at since
// or later. Zones are disjoint, so their counts add up.
func (f *FreshnessTracker) count(since time.Time) int {
	direct := f.directCounts(since)
	total := 0
	for zone, size := range f.zoneSizes() {
		best := direct[zone]
		for _, s := range f.summaries[zone] {
			if !s.asOf.Before(since) {
				best = max(best, min(s.count, size))
			}
		}
		total += best
	}
	return total
}

// directCounts counts the listed instances per zone that were heard directly.
func (f *FreshnessTracker) directCounts(since time.Time) map[string]int {
	counts := make(map[string]int)
	for name, h := range f.heard {
		zone, listed := f.listed[name]
		if listed && name != f.self && h.Complete && !h.AsOf.Before(since) {
			counts[zone]++
		}
	}
	return counts
}

// zoneSizes counts the other listed instances per zone.
func (f *FreshnessTracker) zoneSizes() map[string]int {
	sizes := make(map[string]int)
	for name, zone := range f.listed {
		if name != f.self {
			sizes[zone]++
		}
	}
	return sizes
}

// Complete reports whether the instance has recovered everything that its name
// may have confirmed before a restart. Until then it is not fresh, and it does
// not count as heard for others.
//
// Without this rule a restarted instance loses the withdrawals that it had
// confirmed while the platform was down, reads a platform that does not have them
// yet, and accepts a key that was reported as withdrawn everywhere.
//
// An instance is complete after it has heard more than half of the listed
// instances, or after it knows the platform's state since its start and has heard
// one complete instance. When no instance is complete, as at the first start of
// all, knowledge of the platform is enough once all listed instances were heard
// to be incomplete at the same time.
func (f *FreshnessTracker) Complete() bool { return f.complete }

// DeclareComplete skips the recovery. An operator does this when all other
// instances are known to have no key data, for example at the first start.
func (f *FreshnessTracker) DeclareComplete() { f.complete = true }

func (f *FreshnessTracker) evaluate() {
	if f.complete || f.listed == nil {
		return
	}
	if 2*f.count(f.boot) > len(f.listed) {
		f.complete = true
		return
	}
	if !f.platform.IsZero() && !f.platform.Before(f.boot) {
		f.complete = f.heardComplete() || f.allIncomplete()
	}
}

func (f *FreshnessTracker) heardComplete() bool {
	for name, h := range f.heard {
		if f.listed[name] != "" && h.Complete && !h.AsOf.Before(f.boot) {
			return true
		}
	}
	return false
}

// allIncomplete reports whether there was a moment at which all other listed
// instances were incomplete. A process that is incomplete in its newest digest was
// so since it was first seen.
func (f *FreshnessTracker) allIncomplete() bool {
	var begin, end time.Time
	for name := range f.listed {
		if name == f.self {
			continue
		}
		h, known := f.heard[name]
		if !known || h.Complete {
			return false
		}
		if first := f.firstSeen[name]; first.After(begin) {
			begin = first
		}
		if end.IsZero() || h.AsOf.Before(end) {
			end = h.AsOf
		}
	}
	return !begin.After(end)
}

// PlatformAge returns the age of the newest platform state that the key data
// contains, for digests. It returns false when there is none.
func (f *FreshnessTracker) PlatformAge(now time.Time) (time.Duration, bool) {
	return now.Sub(f.platform), !f.platform.IsZero()
}

// Fresh reports whether keys may be accepted under a staleness bound: the instance
// is complete, and either the platform's state within the bound is known or more
// than half of totalInstances, the instance itself included, were heard within
// the bound. totalInstances is the length of the last known list.
func (f *FreshnessTracker) Fresh(now time.Time, bound time.Duration, totalInstances int) bool {
	asOf := f.AsOf(totalInstances)
	return !asOf.IsZero() && now.Sub(asOf) <= bound
}

// alwaysFresh is added to the start time of an instance that is more than half of
// the list by itself, so that its data never gets old.
const alwaysFresh = 100 * 365 * 24 * time.Hour

// AsOf returns the time whose state the key data contains for the purpose of
// Fresh, so that the request path needs no more than a comparison. It is zero when
// the key data is not fresh under any bound.
func (f *FreshnessTracker) AsOf(totalInstances int) time.Time {
	if !f.complete {
		return time.Time{}
	}
	if majority := f.majority(totalInstances); majority.After(f.platform) {
		return majority
	}
	return f.platform
}

// majority returns the latest time since which more than half of the instances
// were heard.
func (f *FreshnessTracker) majority(totalInstances int) time.Time {
	if totalInstances <= 0 {
		return time.Time{}
	}
	if 2*f.own() > totalInstances {
		return f.boot.Add(alwaysFresh)
	}
	times := f.times()
	i, _ := slices.BinarySearchFunc(times, true, func(since time.Time, _ bool) int {
		if 2*(f.count(since)+f.own()) > totalInstances {
			return 0
		}
		return -1
	})
	if i == len(times) {
		return time.Time{}
	}
	return times[i]
}

// times returns all times at which instances were heard, newest first.
func (f *FreshnessTracker) times() []time.Time {
	var list []time.Time
	for _, h := range f.heard {
		list = append(list, h.AsOf)
	}
	for _, zone := range f.summaries {
		for _, s := range zone {
			list = append(list, s.asOf)
		}
	}
	slices.SortFunc(list, func(a, b time.Time) int { return b.Compare(a) })
	return list
}

// own returns 1 if the instance is on the list.
func (f *FreshnessTracker) own() int {
	if f.listed[f.self] == "" {
		return 0
	}
	return 1
}

// ZoneSummaries returns what to tell peers: for the own zone the complete instances
// heard within the window, the instance itself included, and for each other zone
// the largest number heard within the window. An instance that is not complete
// leaves out its own zone, which tells peers not to count it.
func (f *FreshnessTracker) ZoneSummaries(now time.Time, window time.Duration) []ZoneSummary {
	since := now.Add(-window)
	var list []ZoneSummary
	for zone, known := range f.summaries {
		var best summary
		for _, s := range known {
			if !s.asOf.Before(since) && s.count > best.count {
				best = s
			}
		}
		if best.count > 0 {
			list = append(list, ZoneSummary{Zone: zone, InstanceCount: best.count, MaxDigestAge: now.Sub(best.asOf)})
		}
	}
	if own := f.ownZone(now, since); f.complete && own.InstanceCount > 0 {
		list = append(list, own)
	}
	slices.SortFunc(list, func(a, b ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

func (f *FreshnessTracker) ownZone(now, since time.Time) ZoneSummary {
	own := ZoneSummary{Zone: f.zone, InstanceCount: f.own()}
	for name, h := range f.heard {
		if f.listed[name] != f.zone || name == f.self || !h.Complete || h.AsOf.Before(since) {
			continue
		}
		own.InstanceCount++
		own.MaxDigestAge = max(own.MaxDigestAge, now.Sub(h.AsOf))
	}
	return own
}
