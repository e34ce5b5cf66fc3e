package claims

import (
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Liveness says whether the process that claimed a row is alive, as far as an
// instance knows.
type Liveness int

// Values of Liveness.
const (
	// LivenessUnknown: the instance has no information about the process.
	LivenessUnknown Liveness = iota
	// ClaimantAlive: the claimant's process is running.
	ClaimantAlive
	// ClaimantGone: the claimant's process has ended or was replaced.
	ClaimantGone
)

// Decision is how a request is handled whose idempotency key already has a claim row.
type Decision int

// Values of Decision. Only DecisionMayClaim allows the request to be claimed.
const (
	// DecisionOutcomeUnknown: the earlier request may have run, and its outcome is unknown.
	DecisionOutcomeUnknown Decision = iota
	// DecisionInProgress: the claimant may still store a response.
	DecisionInProgress
	// DecisionStoredResponse: the caller gets the stored response.
	DecisionStoredResponse
	// DecisionKeyReused: the key was used for a request with another fingerprint.
	DecisionKeyReused
	// DecisionMayClaim: the row was released; a new claim may replace this version of it.
	DecisionMayClaim
)

// RowObservation is what an instance knows about a claim row besides its content.
type RowObservation struct {
	ClaimantLiveness Liveness
	// UnchangedFor is the time since this instance first saw the row version, on
	// its own monotonic clock.
	UnchangedFor time.Duration
	// InProgressTimeout is the time after which an unchanged claim is "outcome unknown"
	// instead of "in progress".
	InProgressTimeout time.Duration
}

// Decide returns how a request with the fingerprint f is handled if its claim row has
// the content r. However old an unreleased claim is, its request is not sent again,
// because only the claimant knows whether it was sent.
func Decide(f Fingerprint, r Record, o RowObservation) Decision {
	if r.State == StateReleased {
		return DecisionMayClaim
	}
	if r.Fingerprint != f {
		return DecisionKeyReused
	}
	switch r.State {
	case StateDone:
		return DecisionStoredResponse
	case StateClaimed:
		return decideClaimed(o)
	}
	return DecisionOutcomeUnknown
}

func decideClaimed(o RowObservation) Decision {
	if o.ClaimantLiveness == ClaimantGone {
		return DecisionOutcomeUnknown
	}
	if o.UnchangedFor >= o.InProgressTimeout {
		return DecisionOutcomeUnknown
	}
	return DecisionInProgress
}

// phase is the progress of a claim within the process that made it.
type phase int

const (
	phaseClaiming  phase = iota // the claim row is being written
	phaseClaimed                // the row is written, nothing was sent
	phaseSent                   // bytes may have reached a backend server
	phaseReleasing              // nothing was sent or will be sent
	phaseRecording              // the final state after sending is being written
)

// mayStart reports whether the first byte may be sent. The deadline is on the
// claimant's monotonic clock and counts from before the claim write.
func mayStart(p phase, now, deadline time.Time) bool {
	return p == phaseClaimed && now.Before(deadline)
}

// mayRelease reports whether the claim may be released, since nothing was sent.
func mayRelease(p phase) bool {
	return p == phaseClaimed || p == phaseReleasing
}

// decideActive is Decide for a row on which this process has an unfinished claim with
// the fingerprint claimed.
func decideActive(f, claimed Fingerprint, p phase, hasResponse bool) Decision {
	if f != claimed {
		return DecisionKeyReused
	}
	if p != phaseRecording {
		return DecisionInProgress
	}
	if hasResponse {
		return DecisionStoredResponse
	}
	return DecisionOutcomeUnknown
}

// writeStatus says whether a conditional write was applied, as found by reading the
// row.
type writeStatus int

const (
	writeApplied    writeStatus = iota // the row has a change ID of the write
	writeNotApplied                    // the row still has the expected version
	writeConflict                      // another writer has changed the row
)

// writeStatusOf compares a row that was read with a conditional write that was sent
// with the change IDs. After writeNotApplied the write may be sent again: if the
// earlier one still arrives after it, it fails its condition.
func writeStatusOf(row tablestore.Row, ifVersion int64, changeIDs []string) writeStatus {
	for _, id := range changeIDs {
		if row.ChangeID == id {
			return writeApplied
		}
	}
	if row.Version == ifVersion {
		return writeNotApplied
	}
	return writeConflict
}
