package identity

import (
	"sort"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// MembershipTimeouts contains the timeouts of a Membership.
type MembershipTimeouts struct {
	// ZoneDigestTimeout is the time for which a digest keeps an instance of the own
	// zone live.
	ZoneDigestTimeout time.Duration
	// RemoteDigestTimeout is the same for instances of other zones, which exchange
	// digests with the own zone in rotation and therefore less often.
	RemoteDigestTimeout time.Duration
	// RenewalTimeout is the time for which a new renewal, seen in a scan, keeps an
	// instance live.
	RenewalTimeout time.Duration
	// MaxListingAge is the time for which a listing counts as fresh after its
	// AsOf time has advanced.
	MaxListingAge time.Duration
	// SuspectTimeout is the time for which an instance must be silent, beyond its digest
	// timeout, before it counts as gone when the listing does not contain it.
	SuspectTimeout time.Duration
}

const (
	// zoneDigestTimeout allows four lost digests at one digest per second.
	zoneDigestTimeout = 5 * time.Second
	// minRemoteDigestTimeout allows two lost digests in the smallest fleets.
	minRemoteDigestTimeout = 15 * time.Second
	// suspectTimeout is equal to the margin after which a ledger of package limits
	// reclaims the floor of an instance.
	suspectTimeout = 30 * time.Second
	// maxMissedIntervals is the number of intervals that may pass without a digest,
	// a renewal or an advance of the listing.
	maxMissedIntervals = 3
)

// MembershipTimeouts returns the timeouts for a fleet of this size.
func (f FleetSize) MembershipTimeouts() MembershipTimeouts {
	return MembershipTimeouts{
		ZoneDigestTimeout:   zoneDigestTimeout,
		RemoteDigestTimeout: max(minRemoteDigestTimeout, maxMissedIntervals*f.RemoteDigestInterval()),
		RenewalTimeout:      f.ScanInterval() + maxMissedIntervals*f.RenewInterval(),
		MaxListingAge:       maxMissedIntervals * f.ListInterval(),
		SuspectTimeout:      suspectTimeout,
	}
}

// MemberState is the state of an entry instance as derived by another one.
type MemberState string

// Member states.
const (
	// MemberLive: a digest or a renewal was seen recently.
	MemberLive MemberState = "live"
	// MemberDraining: finishes its requests and must not appear in lookup answers.
	MemberDraining MemberState = "draining"
	// MemberSuspected: no digest and no renewal was seen recently.
	MemberSuspected MemberState = "suspected"
	// MemberGone: deregistered, or silent for long and not in the listing.
	MemberGone MemberState = "gone"
)

// Member is the state of one entry instance in a Membership.
type Member struct {
	Name          string
	Zone          string
	BootID        uint64
	FencingToken  int64 // fencing token; 0: not known
	PeerAddress   string
	CallerAddress string
	State         MemberState
	// SinceLastSeen is the time since the newest digest or renewal.
	SinceLastSeen time.Duration
}

// Sighting is the sender's part of a digest, received directly or relayed by a peer.
type Sighting struct {
	Name          string
	Zone          string
	BootID        uint64
	FencingToken  int64 // fencing token; 0: not known
	PeerAddress   string
	CallerAddress string // if empty, both addresses are unknown and the known ones are kept
	Draining      bool
	// Age is the time since the digest was sent, the sum of the delays at all
	// relaying instances; 0 if it was received directly.
	Age time.Duration
}

// Membership combines the platform's listing, registrations and sightings into one
// state per instance. Times are readings of the own monotonic clock. It is not safe for
// concurrent use.
type Membership struct {
	zone     string
	timeouts MembershipTimeouts
	records  map[string]*memberRecord // by instance name

	newestScanStart   time.Time // start of the newest scan; zero: never
	listingAdvancedAt time.Time // when a list with a newer AsOf was received; zero: never
	listingAsOf       time.Time // AsOf of the newest list, on the platform's clock; compared only with other AsOf times
}

// NewMembership returns an empty membership for an instance in zone.
func NewMembership(zone string, timeouts MembershipTimeouts) *Membership {
	return &Membership{zone: zone, timeouts: timeouts, records: make(map[string]*memberRecord)}
}

// SetTimeouts replaces the timeouts, which depend on the size of the fleet.
func (m *Membership) SetTimeouts(timeouts MembershipTimeouts) { m.timeouts = timeouts }

// ApplyListing merges a listing received at now. A listing whose AsOf time is not newer
// than that of a previous one is ignored, and does not count as fresh.
func (m *Membership) ApplyListing(l tablestore.Listing, now time.Time) {
	if !m.listingAdvancedAt.IsZero() && !l.AsOf.After(m.listingAsOf) {
		return
	}
	m.listingAdvancedAt, m.listingAsOf = now, l.AsOf
	for _, rec := range m.records {
		rec.listing = statusNotListed
	}
	for _, i := range l.Instances {
		m.record(i.Name, i.Zone).applyListedInstance(i)
	}
}

// ApplyRegistrations merges a complete scan by this instance or a peer. started is the
// time at which the scan started; for a peer's scan, now minus the age that the peer
// reports. A scan that started before the newest one is ignored.
func (m *Membership) ApplyRegistrations(registrations []Registration, started time.Time) {
	if started.Before(m.newestScanStart) {
		return
	}
	m.newestScanStart = started
	for _, rec := range m.records {
		rec.hasRow = false
	}
	for _, r := range registrations {
		m.ApplyRegistration(r, started)
	}
	m.removeGone(started)
}

// ApplyRegistration merges one registration row that was read at readAt.
func (m *Membership) ApplyRegistration(r Registration, readAt time.Time) {
	firstRenewalAt := m.firstRenewalTime(r.Name, readAt)
	m.record(r.Name, r.Zone).applyRegistration(r, readAt, firstRenewalAt)
}

// firstRenewalTime returns the renewal time for a row of a process that has not been
// seen before. It is zero if there is a listing that does not contain the
// instance, because the row may then be years old.
func (m *Membership) firstRenewalTime(name string, started time.Time) time.Time {
	rec := m.records[name]
	if m.listingAdvancedAt.IsZero() || rec != nil && rec.listing != statusNotListed {
		return started
	}
	return time.Time{}
}

// ApplySighting merges a sighting that arrived at now.
func (m *Membership) ApplySighting(s Sighting, now time.Time) {
	rec := m.record(s.Name, s.Zone)
	rec.applySighting(s, now.Add(-s.Age), now.Add(-m.digestTimeout(rec)))
}

func (m *Membership) record(name, zone string) *memberRecord {
	rec := m.records[name]
	if rec == nil {
		rec = &memberRecord{name: name, zone: zone}
		m.records[name] = rec
	}
	return rec
}

// removeGone removes the records of instances that are gone and have no registration
// row, which bounds the memory.
func (m *Membership) removeGone(now time.Time) {
	for name, rec := range m.records {
		if !rec.hasRow && m.memberState(rec, now) == MemberGone {
			delete(m.records, name)
		}
	}
}

// DirectSightings returns the sightings of the instances whose newest digest was received directly
// and sent less than within ago, ordered by name. This instance relays them in its
// digests to instances of its zone. Relayed sightings are not relayed again, so that
// they cannot circulate.
func (m *Membership) DirectSightings(now time.Time, within time.Duration) []Sighting {
	var direct []Sighting
	for _, rec := range m.records {
		if now.Sub(rec.directDigestSentAt) < within && rec.directDigestSentAt.Equal(rec.digestSentAt) {
			direct = append(direct, rec.relayedSighting(now))
		}
	}
	sort.Slice(direct, func(i, j int) bool { return direct[i].Name < direct[j].Name })
	return direct
}

// Members returns all instances that have a record, ordered by name.
func (m *Membership) Members(now time.Time) []Member {
	members := make([]Member, 0, len(m.records))
	for _, rec := range m.records {
		members = append(members, rec.toMember(m.memberState(rec, now), now))
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// FleetSize returns the size of the fleet, counting the instances that are not gone.
func (m *Membership) FleetSize(now time.Time) FleetSize {
	var f FleetSize
	zones := make(map[string]bool)
	for _, rec := range m.records {
		if m.memberState(rec, now) == MemberGone {
			continue
		}
		f.Instances++
		zones[rec.zone] = true
		if rec.zone == m.zone {
			f.ZoneInstances++
		}
	}
	f.Zones = len(zones)
	return f
}

// ProcessState returns the state of one process of an instance: MemberGone if another process
// has replaced it, and MemberSuspected if the process is not known.
func (m *Membership) ProcessState(name string, bootID uint64, now time.Time) MemberState {
	rec := m.records[name]
	switch {
	case rec == nil || bootID == 0:
		return MemberSuspected
	case rec.bootID == bootID:
		return m.memberState(rec, now)
	case rec.previousBootID == bootID:
		return MemberGone
	}
	return MemberSuspected
}

// LookupCandidates returns the instances that lookup answers may contain, ordered by name: the
// live ones, or the suspected ones if none is live. Instances without a caller address
// are omitted.
func (m *Membership) LookupCandidates(now time.Time) []Member {
	all := m.Members(now)
	if live := addressableInState(all, MemberLive); len(live) > 0 {
		return live
	}
	return addressableInState(all, MemberSuspected)
}

func addressableInState(members []Member, state MemberState) []Member {
	var found []Member
	for _, member := range members {
		if member.State == state && member.CallerAddress != "" {
			found = append(found, member)
		}
	}
	return found
}
