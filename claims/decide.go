package claims

import (
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Liveness is what an instance knows about a claimant.
type Liveness int

// Liveness of a claimant.
const (
	LivenessUnknown Liveness = iota
	// ClaimantAlive: the claimant's process is running.
	ClaimantAlive
	// ClaimantGone: the claimant's process has ended or was replaced.
	ClaimantGone
)

// Decision is what a caller gets whose idempotency key already has a row.
type Decision int

// Decisions. None but DecisionMayClaim lets the request run.
const (
	// DecisionOutcomeUnknown: the request may have run and nobody will say so.
	DecisionOutcomeUnknown Decision = iota
	// DecisionInProgress: the claimant may still store an outcome.
	DecisionInProgress
	// DecisionStoredResponse: the stored response is the answer.
	DecisionStoredResponse
	// DecisionKeyReused: the key belongs to a different request.
	DecisionKeyReused
	// DecisionMayClaim: the row was released; a new claim may replace this version.
	DecisionMayClaim
)

// RowObservation is what an instance knows about a row of another claimant.
type RowObservation struct {
	ClaimantLiveness Liveness
	// UnchangedFor is how long this instance has seen this row version, on its
	// own monotonic clock.
	UnchangedFor time.Duration
	// InProgressTimeout is the limit of UnchangedFor for "in progress".
	InProgressTimeout time.Duration
}

// Decide returns what a caller with the fingerprint gets. A claim never expires
// into a new execution, because only its claimant can know that nothing was sent.
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

// phase is the progress of a claim in its claimant.
type phase int

const (
	phaseClaiming  phase = iota // the claim write is in progress
	phaseClaimed                // the row is written, nothing was sent
	phaseSent                   // bytes may have reached a backend server
	phaseReleasing              // nothing was sent and nothing will be
	phaseRecording              // the outcome is known and not yet stored
)

// mayStart reports whether the first byte may be sent. The deadline counts from
// before the claim write on the claimant's monotonic clock.
func mayStart(p phase, now, deadline time.Time) bool {
	return p == phaseClaimed && now.Before(deadline)
}

// mayRelease reports whether the claim may be given up as not run.
func mayRelease(p phase) bool {
	return p == phaseClaimed || p == phaseReleasing
}

// decideOwn is Decide for a row that this process is working on.
func decideOwn(f, own Fingerprint, p phase, hasOutcome bool) Decision {
	if f != own {
		return DecisionKeyReused
	}
	if p != phaseRecording {
		return DecisionInProgress
	}
	if hasOutcome {
		return DecisionStoredResponse
	}
	return DecisionOutcomeUnknown
}

// writeFate is what reading a row back says about an earlier write to it.
type writeFate int

const (
	fateApplied  writeFate = iota // the row carries one of our change ids
	fatePending                   // the row is as it was before; send again
	fateConflict                  // somebody else has written the row
)

// fateOf compares a row with a conditional write whose change ids are known.
// fatePending allows the write to be sent again, because the earlier one, if it
// still arrives, then fails its condition.
func fateOf(row tablestore.Row, ifVersion int64, changeIDs []string) writeFate {
	for _, id := range changeIDs {
		if row.ChangeID == id {
			return fateApplied
		}
	}
	if row.Version == ifVersion {
		return fatePending
	}
	return fateConflict
}
