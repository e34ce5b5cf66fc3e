package identity

import (
	"sort"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Rules holds the limits of Membership.
type Rules struct {
	// ZoneHeardWithin is how long a digest keeps an instance of the own zone
	// live.
	ZoneHeardWithin time.Duration
	// RemoteHeardWithin is the same for instances of other zones, which are
	// heard in rotation.
	RemoteHeardWithin time.Duration
	// RenewedWithin is how long a new renewal, seen in a scan, keeps an instance
	// live.
	RenewedWithin time.Duration
	// ListedWithin is how long a listing counts as fresh after it changed.
	ListedWithin time.Duration
	// GoneAfter is how long a suspected instance must stay silent before a
	// listing without it makes it gone.
	GoneAfter time.Duration
}

const (
	// zoneDigestTimeout covers four lost digests of one per second.
	zoneDigestTimeout = 5 * time.Second
	// minRemoteDigestTimeout covers two lost digests in the smallest fleets.
	minRemoteDigestTimeout = 15 * time.Second
	// suspectTimeout is the margin after which the share ledger reclaims a floor too.
	suspectTimeout = 30 * time.Second
	// maxMissedIntervals is how many intervals may pass without evidence.
	maxMissedIntervals = 3
)

// Rules returns the limits for a fleet.
func (f Fleet) Rules() Rules {
	return Rules{
		ZoneHeardWithin:   zoneDigestTimeout,
		RemoteHeardWithin: max(minRemoteDigestTimeout, maxMissedIntervals*f.RemoteDigestInterval()),
		RenewedWithin:     f.ScanInterval() + maxMissedIntervals*f.RenewInterval(),
		ListedWithin:      maxMissedIntervals * f.ListInterval(),
		GoneAfter:         suspectTimeout,
	}
}

// MemberState is what an instance concludes about another one.
type MemberState string

// Member states.
const (
	MemberLive MemberState = "live"
	// MemberDraining: finishes its work and must not appear in lookups.
	MemberDraining MemberState = "draining"
	// MemberSuspected: neither heard nor renewed lately.
	MemberSuspected MemberState = "suspected"
	MemberGone      MemberState = "gone"
)

// Member is one entry instance as seen by this one.
type Member struct {
	Name          string
	Zone          string
	BootID        uint64
	Token         int64 // 0 when not known
	PeerAddress   string
	CallerAddress string
	State         MemberState
	// Silent is the time since the newest sign of life.
	Silent time.Duration
}

// Sighting is a digest that an instance sent, received directly or reported by a
// peer.
type Sighting struct {
	Name          string
	Zone          string
	BootID        uint64
	Token         int64 // 0 when not known
	PeerAddress   string
	CallerAddress string // with PeerAddress; empty keeps the known addresses
	Draining      bool
	// Age is the sum of the ages along the path; 0 when received directly.
	Age time.Duration
}

// Membership merges the platform's listing, registrations and sightings. Times
// are readings of the own monotonic clock. It is not safe for concurrent use.
type Membership struct {
	zone    string
	timeouts   Rules
	records map[string]*memberRecord

	newestScanStart time.Time // start of the newest scan; zero: never
	listingAdvancedAt  time.Time // when the listing last advanced; zero: never
	listingAsOf  time.Time // platform clock, compared only with itself
}

// NewMembership returns an empty view of an instance in zone.
func NewMembership(zone string, rules Rules) *Membership {
	return &Membership{zone: zone, timeouts: rules, records: make(map[string]*memberRecord)}
}

// SetRules replaces the limits when the size of the fleet has changed.
func (m *Membership) SetRules(rules Rules) { m.timeouts = rules }

// ApplyListing merges a listing received at now. A listing that is older than a
// previous one is ignored, and one that has not advanced does not count as
// fresh.
func (m *Membership) ApplyListing(l tablestore.Listing, now time.Time) {
	if !m.listingAdvancedAt.IsZero() && !l.AsOf.After(m.listingAsOf) {
		return
	}
	m.listingAdvancedAt, m.listingAsOf = now, l.AsOf
	for _, e := range m.records {
		e.listing = statusNotListed
	}
	for _, i := range l.Instances {
		m.record(i.Name, i.Zone).applyListedInstance(i)
	}
}

// ApplyRegistrations merges a complete scan that started at started, by this
// instance or by a peer (now minus the age that the peer gives). A scan older
// than a previous one is ignored.
func (m *Membership) ApplyRegistrations(registrations []Registration, started time.Time) {
	if started.Before(m.newestScanStart) {
		return
	}
	m.newestScanStart = started
	for _, e := range m.records {
		e.hasRow = false
	}
	for _, r := range registrations {
		m.ApplyRegistration(r, started)
	}
	m.removeGone(started)
}

// ApplyRegistration merges one row that was read at readAt.
func (m *Membership) ApplyRegistration(r Registration, readAt time.Time) {
	newcomerAt := m.firstRenewalTime(r.Name, readAt)
	m.record(r.Name, r.Zone).applyRegistration(r, readAt, newcomerAt)
}

// firstRenewalTime returns the time of the first sign of life of a row that is seen
// for the first time. A row that the listing does not confirm may be years old.
func (m *Membership) firstRenewalTime(name string, started time.Time) time.Time {
	e := m.records[name]
	if m.listingAdvancedAt.IsZero() || e != nil && e.listing != statusNotListed {
		return started
	}
	return time.Time{}
}

// ApplySighting merges a digest that arrived at now.
func (m *Membership) ApplySighting(s Sighting, now time.Time) {
	e := m.record(s.Name, s.Zone)
	e.applySighting(s, now.Add(-s.Age), now.Add(-m.digestTimeout(e)))
}

func (m *Membership) record(name, zone string) *memberRecord {
	e := m.records[name]
	if e == nil {
		e = &memberRecord{name: name, zone: zone}
		m.records[name] = e
	}
	return e
}

// removeGone drops instances that are gone and whose row is gone too, which bounds
// the memory.
func (m *Membership) removeGone(now time.Time) {
	for name, e := range m.records {
		if !e.hasRow && m.memberState(e, now) == MemberGone {
			delete(m.records, name)
		}
	}
}

// Direct returns the instances that this one heard without a relay within the
// last time, ordered by name, for its digests to zone mates. Only these are
// passed on, so that a sighting cannot circulate.
func (m *Membership) Direct(now time.Time, within time.Duration) []Sighting {
	var direct []Sighting
	for _, e := range m.records {
		if now.Sub(e.directDigestSentAt) < within && e.directDigestSentAt.Equal(e.digestSentAt) {
			direct = append(direct, e.relayedSighting(now))
		}
	}
	sort.Slice(direct, func(i, j int) bool { return direct[i].Name < direct[j].Name })
	return direct
}

// Members returns all known instances ordered by name.
func (m *Membership) Members(now time.Time) []Member {
	members := make([]Member, 0, len(m.records))
	for _, e := range m.records {
		members = append(members, e.toMember(m.memberState(e, now), now))
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Fleet returns the size of the fleet: all instances that are not gone.
func (m *Membership) Fleet(now time.Time) Fleet {
	var f Fleet
	zones := make(map[string]bool)
	for _, e := range m.records {
		if m.memberState(e, now) == MemberGone {
			continue
		}
		f.Instances++
		zones[e.zone] = true
		if e.zone == m.zone {
			f.ZoneMates++
		}
	}
	f.Zones = len(zones)
	return f
}

// Process returns the state of one process of a name: MemberGone when another
// process has replaced it, and MemberSuspected when it is not known.
func (m *Membership) Process(name string, bootID uint64, now time.Time) MemberState {
	e := m.records[name]
	switch {
	case e == nil || bootID == 0:
		return MemberSuspected
	case e.bootID == bootID:
		return m.memberState(e, now)
	case e.previousBootID == bootID:
		return MemberGone
	}
	return MemberSuspected
}

// Usable returns the instances that lookups may name, ordered by name: the live
// ones, or the suspected ones when none is live.
func (m *Membership) Usable(now time.Time) []Member {
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
