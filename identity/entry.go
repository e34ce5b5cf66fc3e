package identity

import (
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// listed is what the newest listing says about an instance.
type listed int

const (
	listedAbsent listed = iota
	listedLive
	listedLeaving
)

// entry is what is known about one name. A newer process of the same name
// replaces the evidence of the older one.
type entry struct {
	name, zone    string
	bootID        uint64
	formerBoot    uint64 // the process that bootID replaced
	token         int64
	peerAddress   string
	callerAddress string

	registered bool // in the newest scan
	regState   State
	renewal    uint64
	renewedAt  time.Time // when a new renewal was first seen; zero: never

	heardAt       time.Time // when the newest digest was sent; zero: never
	heardDraining bool
	directAt      time.Time // when the newest digest came without a relay

	listed listed
	// leavingBoot is the process that was known when the listing first showed
	// the name as leaving. The listing lags and says nothing about a newer one.
	leavingBoot uint64
}

func (e *entry) applyListed(i tablestore.Instance) {
	if i.State != tablestore.InstanceLeaving {
		e.listed = listedLive
		e.leavingBoot = 0
		return
	}
	e.listed = listedLeaving
	if e.leavingBoot == 0 {
		e.leavingBoot = e.bootID
	}
}

// applyRegistration merges a row of a scan. newcomerAt counts as the renewal
// time of a process that is seen for the first time.
func (e *entry) applyRegistration(r Registration, started, newcomerAt time.Time) {
	e.registered = true
	switch {
	case e.bootID == r.BootID:
		if r.RenewalCount > e.renewal {
			e.renewedAt = e.renewalTime(started, newcomerAt)
		}
	case e.token > r.FencingToken:
		return // a peer has told about a newer process
	default:
		known := e.bootID != 0
		e.replace(r.BootID, r.Zone)
		e.renewedAt = newcomerAt
		if known {
			e.renewedAt = started
		}
	}
	e.token = max(e.token, r.FencingToken)
	e.renewal = r.RenewalCount
	e.regState = r.State
	e.peerAddress, e.callerAddress = r.PeerAddress, r.CallerAddress
}

// renewalTime is the sign of life that a larger renewal counter gives. The first
// counter of a process that only digests have named is no new renewal.
func (e *entry) renewalTime(started, newcomerAt time.Time) time.Time {
	if e.renewal == 0 {
		return newcomerAt
	}
	return started
}

// applySighting merges a digest sent at sentAt. silentBefore is the time before
// which a last digest means silence.
func (e *entry) applySighting(s Sighting, sentAt, silentBefore time.Time) {
	if s.BootID != e.bootID {
		if !e.replacedBy(s, silentBefore) {
			return
		}
		e.replace(s.BootID, s.Zone)
	}
	e.token = max(e.token, s.FencingToken)
	if sentAt.Before(e.heardAt) {
		return
	}
	e.heardAt = sentAt
	e.heardDraining = s.Draining
	if s.Age == 0 {
		e.directAt = sentAt
	}
	if s.CallerAddress != "" {
		e.peerAddress, e.callerAddress = s.PeerAddress, s.CallerAddress
	}
}

// sighting returns the newest direct digest for a relay to others.
func (e *entry) sighting(now time.Time) Sighting {
	return Sighting{
		Name:          e.name,
		Zone:          e.zone,
		BootID:        e.bootID,
		FencingToken:         e.token,
		PeerAddress:   e.peerAddress,
		CallerAddress: e.callerAddress,
		Draining:      e.heardDraining,
		Age:           max(now.Sub(e.directAt), time.Nanosecond), // 0 means direct
	}
}

// replacedBy reports whether a digest of another boot id comes from a newer
// process. Without both tokens, the process that is still heard wins.
func (e *entry) replacedBy(s Sighting, silentBefore time.Time) bool {
	if s.FencingToken != 0 && e.token != 0 {
		return s.FencingToken > e.token
	}
	return e.heardAt.Before(silentBefore)
}

// replace starts the evidence of another process of the name.
func (e *entry) replace(bootID uint64, zone string) {
	*e = entry{
		name:        e.name,
		zone:        zone,
		bootID:      bootID,
		formerBoot:  e.bootID,
		registered:  e.registered,
		listed:      e.listed,
		leavingBoot: e.leavingBoot,
	}
}

// lastSign returns the time of the newest sign of life; zero when there is none.
func (e *entry) lastSign() time.Time {
	if e.renewedAt.After(e.heardAt) {
		return e.renewedAt
	}
	return e.heardAt
}

func (e *entry) draining() bool {
	if e.regState == StateDraining || e.heardDraining {
		return true
	}
	return e.listed == listedLeaving && (e.leavingBoot == 0 || e.leavingBoot == e.bootID)
}

func (e *entry) member(state MemberState, now time.Time) Member {
	return Member{
		Name:          e.name,
		Zone:          e.zone,
		BootID:        e.bootID,
		FencingToken:         e.token,
		PeerAddress:   e.peerAddress,
		CallerAddress: e.callerAddress,
		State:         state,
		SinceLastSeen:        now.Sub(e.lastSign()),
	}
}

func (m *Membership) heardWithin(e *entry) time.Duration {
	if e.zone == m.zone {
		return m.rules.ZoneDigestTimeout
	}
	return m.rules.RemoteDigestTimeout
}

// state applies the rules to one instance.
func (m *Membership) state(e *entry, now time.Time) MemberState {
	switch {
	case e.regState == StateDeregistered:
		return MemberGone
	case m.alive(e, now) && e.draining():
		return MemberDraining
	case m.alive(e, now):
		return MemberLive
	case m.gone(e, now):
		return MemberGone
	case e.draining():
		return MemberDraining
	}
	return MemberSuspected
}

// alive reports whether the newest sign of life is recent enough. A digest ages
// with the own clock. A renewal ages only up to the newest scan, so that the
// last known list stays in force while the platform is down.
func (m *Membership) alive(e *entry, now time.Time) bool {
	if e.lastSign().IsZero() {
		return false
	}
	if now.Sub(e.heardAt) < m.heardWithin(e) {
		return true
	}
	if !e.renewedAt.After(e.heardAt) {
		return false
	}
	return e.registered && m.scannedAt.Sub(e.renewedAt) < m.rules.RenewalTimeout
}

// gone reports whether a fresh listing without the instance confirms a long
// silence. Silence alone never does, because a partition looks the same.
func (m *Membership) gone(e *entry, now time.Time) bool {
	fresh := !m.listedAt.IsZero() && now.Sub(m.listedAt) < m.rules.MaxListingAge
	if !fresh || e.listed != listedAbsent {
		return false
	}
	return now.Sub(e.lastSign()) >= m.heardWithin(e)+m.rules.SuspectTimeout
}
