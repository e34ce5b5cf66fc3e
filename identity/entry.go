package identity

import (
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// listingStatus is what the newest listing says about an instance.
type listingStatus int

const (
	statusNotListed listingStatus = iota
	statusListed
	statusLeaving
)

// memberRecord is what is known about one name. A newer process of the same name
// replaces the evidence of the older one.
type memberRecord struct {
	name, zone    string
	bootID        uint64
	previousBootID    uint64 // the process that bootID replaced
	fencingToken         int64
	peerAddress   string
	callerAddress string

	hasRow bool // in the newest scan
	rowState   State
	renewalCount    uint64
	renewalSeenAt  time.Time // when a new renewal was first seen; zero: never

	digestSentAt       time.Time // when the newest digest was sent; zero: never
	digestDraining bool
	directDigestSentAt      time.Time // when the newest digest came without a relay

	listing listingStatus
	// leavingBootID is the process that was known when the listing first showed
	// the name as leaving. The listing lags and says nothing about a newer one.
	leavingBootID uint64
}

func (e *memberRecord) applyListedInstance(i tablestore.Instance) {
	if i.State != tablestore.InstanceLeaving {
		e.listing = statusListed
		e.leavingBootID = 0
		return
	}
	e.listing = statusLeaving
	if e.leavingBootID == 0 {
		e.leavingBootID = e.bootID
	}
}

// applyRegistration merges a row of a scan. firstRenewalTime counts as the renewal
// time of a process that is seen for the first time.
func (e *memberRecord) applyRegistration(r Registration, started, newcomerAt time.Time) {
	e.hasRow = true
	switch {
	case e.bootID == r.BootID:
		if r.Renewal > e.renewalCount {
			e.renewalSeenAt = e.laterRenewalTime(started, newcomerAt)
		}
	case e.fencingToken > r.Token:
		return // a peer has told about a newer process
	default:
		known := e.bootID != 0
		e.resetForProcess(r.BootID, r.Zone)
		e.renewalSeenAt = newcomerAt
		if known {
			e.renewalSeenAt = started
		}
	}
	e.fencingToken = max(e.fencingToken, r.Token)
	e.renewalCount = r.Renewal
	e.rowState = r.State
	e.peerAddress, e.callerAddress = r.PeerAddress, r.CallerAddress
}

// laterRenewalTime is the sign of life that a larger renewal counter gives. The first
// counter of a process that only digests have named is no new renewal.
func (e *memberRecord) laterRenewalTime(started, newcomerAt time.Time) time.Time {
	if e.renewalCount == 0 {
		return newcomerAt
	}
	return started
}

// applySighting merges a digest sent at sentAt. silentBefore is the time before
// which a last digest means silence.
func (e *memberRecord) applySighting(s Sighting, sentAt, silentBefore time.Time) {
	if s.BootID != e.bootID {
		if !e.isReplacedBy(s, silentBefore) {
			return
		}
		e.resetForProcess(s.BootID, s.Zone)
	}
	e.fencingToken = max(e.fencingToken, s.Token)
	if sentAt.Before(e.digestSentAt) {
		return
	}
	e.digestSentAt = sentAt
	e.digestDraining = s.Draining
	if s.Age == 0 {
		e.directDigestSentAt = sentAt
	}
	if s.CallerAddress != "" {
		e.peerAddress, e.callerAddress = s.PeerAddress, s.CallerAddress
	}
}

// relayedSighting returns the newest direct digest for a relay to others.
func (e *memberRecord) relayedSighting(now time.Time) Sighting {
	return Sighting{
		Name:          e.name,
		Zone:          e.zone,
		BootID:        e.bootID,
		Token:         e.fencingToken,
		PeerAddress:   e.peerAddress,
		CallerAddress: e.callerAddress,
		Draining:      e.digestDraining,
		Age:           max(now.Sub(e.directDigestSentAt), time.Nanosecond), // 0 means direct
	}
}

// isReplacedBy reports whether a digest of another boot id comes from a newer
// process. Without both tokens, the process that is still heard wins.
func (e *memberRecord) isReplacedBy(s Sighting, silentBefore time.Time) bool {
	if s.Token != 0 && e.fencingToken != 0 {
		return s.Token > e.fencingToken
	}
	return e.digestSentAt.Before(silentBefore)
}

// resetForProcess starts the evidence of another process of the name.
func (e *memberRecord) resetForProcess(bootID uint64, zone string) {
	*e = memberRecord{
		name:        e.name,
		zone:        zone,
		bootID:      bootID,
		previousBootID:  e.bootID,
		hasRow:  e.hasRow,
		listing:      e.listing,
		leavingBootID: e.leavingBootID,
	}
}

// lastSeen returns the time of the newest sign of life; zero when there is none.
func (e *memberRecord) lastSeen() time.Time {
	if e.renewalSeenAt.After(e.digestSentAt) {
		return e.renewalSeenAt
	}
	return e.digestSentAt
}

func (e *memberRecord) isDraining() bool {
	if e.rowState == StateDraining || e.digestDraining {
		return true
	}
	return e.listing == statusLeaving && (e.leavingBootID == 0 || e.leavingBootID == e.bootID)
}

func (e *memberRecord) toMember(state MemberState, now time.Time) Member {
	return Member{
		Name:          e.name,
		Zone:          e.zone,
		BootID:        e.bootID,
		Token:         e.fencingToken,
		PeerAddress:   e.peerAddress,
		CallerAddress: e.callerAddress,
		State:         state,
		Silent:        now.Sub(e.lastSeen()),
	}
}

func (m *Membership) digestTimeout(e *memberRecord) time.Duration {
	if e.zone == m.zone {
		return m.timeouts.ZoneHeardWithin
	}
	return m.timeouts.RemoteHeardWithin
}

// memberState applies the rules to one instance.
func (m *Membership) memberState(e *memberRecord, now time.Time) MemberState {
	switch {
	case e.rowState == StateLeft:
		return MemberGone
	case m.recentlySeen(e, now) && e.isDraining():
		return MemberDraining
	case m.recentlySeen(e, now):
		return MemberLive
	case m.confirmedGone(e, now):
		return MemberGone
	case e.isDraining():
		return MemberDraining
	}
	return MemberSuspected
}

// recentlySeen reports whether the newest sign of life is recent enough. A digest ages
// with the own clock. A renewal ages only up to the newest scan, so that the
// last known list stays in force while the platform is down.
func (m *Membership) recentlySeen(e *memberRecord, now time.Time) bool {
	if e.lastSeen().IsZero() {
		return false
	}
	if now.Sub(e.digestSentAt) < m.digestTimeout(e) {
		return true
	}
	if !e.renewalSeenAt.After(e.digestSentAt) {
		return false
	}
	return e.hasRow && m.newestScanStart.Sub(e.renewalSeenAt) < m.timeouts.RenewedWithin
}

// confirmedGone reports whether a fresh listing without the instance confirms a long
// silence. Silence alone never does, because a partition looks the same.
func (m *Membership) confirmedGone(e *memberRecord, now time.Time) bool {
	fresh := !m.listingAdvancedAt.IsZero() && now.Sub(m.listingAdvancedAt) < m.timeouts.ListedWithin
	if !fresh || e.listing != statusNotListed {
		return false
	}
	return now.Sub(e.lastSeen()) >= m.digestTimeout(e)+m.timeouts.GoneAfter
}
