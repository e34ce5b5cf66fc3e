package identity

import (
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// listingStatus is the state of an instance in the platform's newest listing.
type listingStatus int

const (
	statusNotListed listingStatus = iota
	statusListed                  // and not leaving
	statusLeaving
)

// memberRecord contains the observations of one instance from the listing, its
// registration row and its digests. They refer to one process, bootID; those of an
// older process are dropped when a newer process of the same name is seen.
type memberRecord struct {
	name, zone     string
	bootID         uint64 // 0: only seen in the listing
	previousBootID uint64 // the process that bootID replaced
	fencingToken   int64  // 0: not known
	peerAddress    string
	callerAddress  string

	hasRow        bool      // in the newest scan
	rowState      State     // from the registration row
	renewalCount  uint64    // from the registration row; 0: no row seen
	renewalSeenAt time.Time // start of the scan that first saw the newest renewal; zero: never

	digestSentAt       time.Time // when the newest digest was sent; zero: never
	digestDraining     bool      // the newest digest says that the instance drains
	directDigestSentAt time.Time // when the newest digest was sent that no peer relayed; zero: never

	listing listingStatus
	// leavingBootID is the process that was known when the listing first
	// showed the name as leaving. The listing lags behind, so its state is
	// not applied to a newer process.
	leavingBootID uint64
}

func (rec *memberRecord) applyListedInstance(i tablestore.Instance) {
	if i.State != tablestore.InstanceLeaving {
		rec.listing = statusListed
		rec.leavingBootID = 0
		return
	}
	rec.listing = statusLeaving
	if rec.leavingBootID == 0 {
		rec.leavingBootID = rec.bootID
	}
}

// applyRegistration merges a registration row from a read that started at started.
// firstRenewalAt is the renewal time of a process that has not been seen before.
func (rec *memberRecord) applyRegistration(r Registration, started, firstRenewalAt time.Time) {
	rec.hasRow = true
	switch {
	case rec.bootID == r.BootID:
		if r.RenewalCount > rec.renewalCount {
			rec.renewalSeenAt = rec.laterRenewalTime(started, firstRenewalAt)
		}
	case rec.fencingToken > r.FencingToken:
		return // the row is older than the process that peers have reported
	default:
		known := rec.bootID != 0
		rec.resetForProcess(r.BootID, r.Zone)
		rec.renewalSeenAt = firstRenewalAt
		if known {
			rec.renewalSeenAt = started
		}
	}
	rec.fencingToken = max(rec.fencingToken, r.FencingToken)
	rec.renewalCount = r.RenewalCount
	rec.rowState = r.State
	rec.peerAddress, rec.callerAddress = r.PeerAddress, r.CallerAddress
}

// laterRenewalTime returns the renewal time for a renewal counter that is larger than
// the last one. The first counter of a process that was only seen in digests does not
// prove a recent renewal, and counts as that of a new process.
func (rec *memberRecord) laterRenewalTime(started, firstRenewalAt time.Time) time.Time {
	if rec.renewalCount == 0 {
		return firstRenewalAt
	}
	return started
}

// applySighting merges a digest sent at sentAt. A process whose newest digest is older
// than silentBefore is taken to be silent.
func (rec *memberRecord) applySighting(s Sighting, sentAt, silentBefore time.Time) {
	if s.BootID != rec.bootID {
		if !rec.isReplacedBy(s, silentBefore) {
			return
		}
		rec.resetForProcess(s.BootID, s.Zone)
	}
	rec.fencingToken = max(rec.fencingToken, s.FencingToken)
	if sentAt.Before(rec.digestSentAt) {
		return
	}
	rec.digestSentAt = sentAt
	rec.digestDraining = s.Draining
	if s.Age == 0 {
		rec.directDigestSentAt = sentAt
	}
	if s.CallerAddress != "" {
		rec.peerAddress, rec.callerAddress = s.PeerAddress, s.CallerAddress
	}
}

// relayedSighting returns the newest direct digest, to be relayed to peers.
func (rec *memberRecord) relayedSighting(now time.Time) Sighting {
	return Sighting{
		Name:          rec.name,
		Zone:          rec.zone,
		BootID:        rec.bootID,
		FencingToken:  rec.fencingToken,
		PeerAddress:   rec.peerAddress,
		CallerAddress: rec.callerAddress,
		Draining:      rec.digestDraining,
		Age:           max(now.Sub(rec.directDigestSentAt), time.Nanosecond), // 0 would mean received directly
	}
}

// isReplacedBy reports whether a digest with another boot ID comes from a newer
// process. If one of the fencing tokens is not known, it is newer only if the recorded
// process is silent.
func (rec *memberRecord) isReplacedBy(s Sighting, silentBefore time.Time) bool {
	if s.FencingToken != 0 && rec.fencingToken != 0 {
		return s.FencingToken > rec.fencingToken
	}
	return rec.digestSentAt.Before(silentBefore)
}

// resetForProcess drops the observations of the recorded process and starts those of
// another process of the same name.
func (rec *memberRecord) resetForProcess(bootID uint64, zone string) {
	*rec = memberRecord{
		name:           rec.name,
		zone:           zone,
		bootID:         bootID,
		previousBootID: rec.bootID,
		hasRow:         rec.hasRow,
		listing:        rec.listing,
		leavingBootID:  rec.leavingBootID,
	}
}

// lastSeen returns the time of the newest digest or renewal; zero if there is none.
func (rec *memberRecord) lastSeen() time.Time {
	if rec.renewalSeenAt.After(rec.digestSentAt) {
		return rec.renewalSeenAt
	}
	return rec.digestSentAt
}

func (rec *memberRecord) isDraining() bool {
	if rec.rowState == StateDraining || rec.digestDraining {
		return true
	}
	return rec.listing == statusLeaving && (rec.leavingBootID == 0 || rec.leavingBootID == rec.bootID)
}

func (rec *memberRecord) toMember(state MemberState, now time.Time) Member {
	return Member{
		Name:          rec.name,
		Zone:          rec.zone,
		BootID:        rec.bootID,
		FencingToken:  rec.fencingToken,
		PeerAddress:   rec.peerAddress,
		CallerAddress: rec.callerAddress,
		State:         state,
		SinceLastSeen: now.Sub(rec.lastSeen()),
	}
}

func (m *Membership) digestTimeout(rec *memberRecord) time.Duration {
	if rec.zone == m.zone {
		return m.timeouts.ZoneDigestTimeout
	}
	return m.timeouts.RemoteDigestTimeout
}

// memberState derives the state of one instance from its observations.
func (m *Membership) memberState(rec *memberRecord, now time.Time) MemberState {
	switch {
	case rec.rowState == StateDeregistered:
		return MemberGone
	case m.recentlySeen(rec, now) && rec.isDraining():
		return MemberDraining
	case m.recentlySeen(rec, now):
		return MemberLive
	case m.confirmedGone(rec, now):
		return MemberGone
	case rec.isDraining():
		return MemberDraining
	}
	return MemberSuspected
}

// recentlySeen reports whether the newest digest or renewal is within its timeout. The
// age of a digest is measured at now. The age of a renewal is measured at the newest
// scan, so that instances do not time out merely because the platform is down.
func (m *Membership) recentlySeen(rec *memberRecord, now time.Time) bool {
	if rec.lastSeen().IsZero() {
		return false
	}
	if now.Sub(rec.digestSentAt) < m.digestTimeout(rec) {
		return true
	}
	if !rec.renewalSeenAt.After(rec.digestSentAt) {
		return false
	}
	return rec.hasRow && m.newestScanStart.Sub(rec.renewalSeenAt) < m.timeouts.RenewalTimeout
}

// confirmedGone reports whether the instance has been silent for long enough and is
// missing from a fresh listing. Silence alone is no proof, because a network
// partition looks the same.
func (m *Membership) confirmedGone(rec *memberRecord, now time.Time) bool {
	fresh := !m.listingAdvancedAt.IsZero() && now.Sub(m.listingAdvancedAt) < m.timeouts.MaxListingAge
	if !fresh || rec.listing != statusNotListed {
		return false
	}
	return now.Sub(rec.lastSeen()) >= m.digestTimeout(rec)+m.timeouts.SuspectTimeout
}
