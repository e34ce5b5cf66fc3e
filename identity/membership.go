package identity

import (
	"sort"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// MembershipTimeouts holds the limits of Membership.
type MembershipTimeouts struct {
	// ZoneDigestTimeout is how long a digest keeps an instance of the own zone
	// live.
	ZoneDigestTimeout time.Duration
	// RemoteDigestTimeout is the same for instances of other zones, which are
	// heard in rotation.
	RemoteDigestTimeout time.Duration
	// RenewalTimeout is how long a new renewal, seen in a scan, keeps an instance
	// live.
	RenewalTimeout time.Duration
	// MaxListingAge is how long a listing counts as fresh after it changed.
	MaxListingAge time.Duration
	// SuspectTimeout is how long a suspected instance must stay silent before a
	// listing without it makes it gone.
	SuspectTimeout time.Duration
}

const (
	// zoneHeardWithin covers four lost digests of one per second.
	zoneHeardWithin = 5 * time.Second
	// minRemoteHeardWithin covers two lost digests in the smallest fleets.
	minRemoteHeardWithin = 15 * time.Second
	// goneAfter is the margin after which the share ledger reclaims a floor too.
	goneAfter = 30 * time.Second
	// missedIntervals is how many intervals may pass without evidence.
	missedIntervals = 3
)

// MembershipTimeouts returns the limits for a fleet.
func (f FleetSize) MembershipTimeouts() MembershipTimeouts {
	return MembershipTimeouts{
		ZoneDigestTimeout:   zoneHeardWithin,
		RemoteDigestTimeout: max(minRemoteHeardWithin, missedIntervals*f.RemoteDigestInterval()),
		RenewalTimeout:     f.ScanInterval() + missedIntervals*f.RenewInterval(),
		MaxListingAge:      missedIntervals * f.ListInterval(),
		SuspectTimeout:         goneAfter,
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
	FencingToken         int64 // 0 when not known
	PeerAddress   string
	CallerAddress string
	State         MemberState
	// SinceLastSeen is the time since the newest sign of life.
	SinceLastSeen time.Duration
}

// Sighting is a digest that an instance sent, received directly or reported by a
// peer.
type Sighting struct {
	Name          string
	Zone          string
	BootID        uint64
	FencingToken         int64 // 0 when not known
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
	rules   MembershipTimeouts
	entries map[string]*entry

	scannedAt time.Time // start of the newest scan; zero: never
	listedAt  time.Time // when the listing last advanced; zero: never
	listAsOf  time.Time // platform clock, compared only with itself
}

// NewMembership returns an empty view of an instance in zone.
func NewMembership(zone string, rules MembershipTimeouts) *Membership {
	return &Membership{zone: zone, rules: rules, entries: make(map[string]*entry)}
}

// SetTimeouts replaces the limits when the size of the fleet has changed.
func (m *Membership) SetTimeouts(rules MembershipTimeouts) { m.rules = rules }

// ApplyListing merges a listing received at now. A listing that is older than a
// previous one is ignored, and one that has not advanced does not count as
// fresh.
func (m *Membership) ApplyListing(l tablestore.Listing, now time.Time) {
	if !m.listedAt.IsZero() && !l.AsOf.After(m.listAsOf) {
		return
	}
	m.listedAt, m.listAsOf = now, l.AsOf
	for _, e := range m.entries {
		e.listed = listedAbsent
	}
	for _, i := range l.Instances {
		m.entry(i.Name, i.Zone).applyListed(i)
	}
}

// ApplyRegistrations merges a complete scan that started at started, by this
// instance or by a peer (now minus the age that the peer gives). A scan older
// than a previous one is ignored.
func (m *Membership) ApplyRegistrations(registrations []Registration, started time.Time) {
	if started.Before(m.scannedAt) {
		return
	}
	m.scannedAt = started
	for _, e := range m.entries {
		e.registered = false
	}
	for _, r := range registrations {
		m.ApplyRegistration(r, started)
	}
	m.forget(started)
}

// ApplyRegistration merges one row that was read at readAt.
func (m *Membership) ApplyRegistration(r Registration, readAt time.Time) {
	newcomerAt := m.newcomerAt(r.Name, readAt)
	m.entry(r.Name, r.Zone).applyRegistration(r, readAt, newcomerAt)
}

// newcomerAt returns the time of the first sign of life of a row that is seen
// for the first time. A row that the listing does not confirm may be years old.
func (m *Membership) newcomerAt(name string, started time.Time) time.Time {
	e := m.entries[name]
	if m.listedAt.IsZero() || e != nil && e.listed != listedAbsent {
		return started
	}
	return time.Time{}
}

// ApplySighting merges a digest that arrived at now.
func (m *Membership) ApplySighting(s Sighting, now time.Time) {
	e := m.entry(s.Name, s.Zone)
	e.applySighting(s, now.Add(-s.Age), now.Add(-m.heardWithin(e)))
}

func (m *Membership) entry(name, zone string) *entry {
	e := m.entries[name]
	if e == nil {
		e = &entry{name: name, zone: zone}
		m.entries[name] = e
	}
	return e
}

// forget drops instances that are gone and whose row is gone too, which bounds
// the memory.
func (m *Membership) forget(now time.Time) {
	for name, e := range m.entries {
		if !e.registered && m.state(e, now) == MemberGone {
			delete(m.entries, name)
		}
	}
}

// DirectSightings returns the instances that this one heard without a relay within the
// last time, ordered by name, for its digests to zone mates. Only these are
// passed on, so that a sighting cannot circulate.
func (m *Membership) DirectSightings(now time.Time, within time.Duration) []Sighting {
	var direct []Sighting
	for _, e := range m.entries {
		if now.Sub(e.directAt) < within && e.directAt.Equal(e.heardAt) {
			direct = append(direct, e.sighting(now))
		}
	}
	sort.Slice(direct, func(i, j int) bool { return direct[i].Name < direct[j].Name })
	return direct
}

// Members returns all known instances ordered by name.
func (m *Membership) Members(now time.Time) []Member {
	members := make([]Member, 0, len(m.entries))
	for _, e := range m.entries {
		members = append(members, e.member(m.state(e, now), now))
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// FleetSize returns the size of the fleet: all instances that are not gone.
func (m *Membership) FleetSize(now time.Time) FleetSize {
	var f FleetSize
	zones := make(map[string]bool)
	for _, e := range m.entries {
		if m.state(e, now) == MemberGone {
			continue
		}
		f.Instances++
		zones[e.zone] = true
		if e.zone == m.zone {
			f.ZoneInstances++
		}
	}
	f.Zones = len(zones)
	return f
}

// ProcessState returns the state of one process of a name: MemberGone when another
// process has replaced it, and MemberSuspected when it is not known.
func (m *Membership) ProcessState(name string, bootID uint64, now time.Time) MemberState {
	e := m.entries[name]
	switch {
	case e == nil || bootID == 0:
		return MemberSuspected
	case e.bootID == bootID:
		return m.state(e, now)
	case e.formerBoot == bootID:
		return MemberGone
	}
	return MemberSuspected
}

// LookupCandidates returns the instances that lookups may name, ordered by name: the live
// ones, or the suspected ones when none is live.
func (m *Membership) LookupCandidates(now time.Time) []Member {
	all := m.Members(now)
	if live := withState(all, MemberLive); len(live) > 0 {
		return live
	}
	return withState(all, MemberSuspected)
}

func withState(members []Member, state MemberState) []Member {
	var found []Member
	for _, member := range members {
		if member.State == state && member.CallerAddress != "" {
			found = append(found, member)
		}
	}
	return found
}
