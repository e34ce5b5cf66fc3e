package claims

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Claim is the exclusive permission to send one request to a backend server. Every
// claim must end with Release, Complete or Abandon. It is safe for concurrent use.
type Claim struct {
	store       *Store
	rowKey      string
	fingerprint Fingerprint

	mu            sync.Mutex
	phase         phase
	startDeadline time.Time // the first byte must be sent before; monotonic clock
	version       int64     // row version that the next write of the row requires
	claimedAt     time.Time // wall clock, for the retention time
	response      *Response // set in phaseRecording, except after Abandon
}

// startWrite sets the start deadline and the condition of the claim write that is
// about to be sent.
func (c *Claim) startWrite(deadline time.Time, ifVersion int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startDeadline = deadline
	c.version = ifVersion
	c.claimedAt = deadline.Add(-c.store.config.StartTimeout)
}

// markClaimed records that the claim row was written with the version.
func (c *Claim) markClaimed(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseClaimed
	c.version = version
}

// Deadline returns the time before which the first byte must be sent to a backend
// server.
func (c *Claim) Deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startDeadline
}

// MayStart reports whether the request may be sent to a backend server at the time
// now. As long as MarkSent was not called, the request may be tried at another
// backend server after another call of MayStart.
func (c *Claim) MayStart(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return mayStart(c.phase, now, c.startDeadline)
}

// MarkSent records that the first byte is about to be sent to a backend server. It
// must be called before the byte is written. If it returns *StartNotAllowedError, nothing may
// be sent. At most one call succeeds; after it, Release fails.
func (c *Claim) MarkSent(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClaimed {
		return &StartNotAllowedError{Reason: "the claim was already used or released"}
	}
	if !mayStart(c.phase, now, c.startDeadline) {
		return &StartNotAllowedError{Reason: "the start deadline of the claim has passed"}
	}
	c.phase = phaseSent
	return nil
}

// Release gives up the claim so that the idempotency key can be claimed again. It
// returns *StateError after a successful MarkSent, *UpdatePendingError if the release is
// not yet stored and the write continues in the background, and *RowChangedError if
// another writer has changed the row. Unless MarkSent succeeded before, nothing is
// sent under this claim, whatever Release returns. Further calls do nothing.
func (c *Claim) Release(ctx context.Context) error {
	c.mu.Lock()
	if !mayRelease(c.phase) {
		c.mu.Unlock()
		return &StateError{Operation: "release claim", Reason: "the request may have been sent to a backend server"}
	}
	started := c.phase == phaseReleasing
	c.phase = phaseReleasing
	c.mu.Unlock()
	if started {
		return nil
	}
	return c.store.writeFinalState(ctx, c, StateReleased)
}

// Complete stores the complete response of the backend server. It returns
// *StateError if MarkSent has not succeeded or the claim has already ended,
// *UpdatePendingError if the response is not yet stored and the write continues in the
// background, *PendingResponseLimitError if the first attempt failed and is not retried, and
// *RowChangedError if another writer has changed the row. Unless the error is *StateError,
// the response is valid and may be sent to the caller.
func (c *Claim) Complete(ctx context.Context, response Response) error {
	return c.finish(ctx, &response, StateDone)
}

// Abandon ends a claim for which no response will be stored. If nothing was sent,
// it releases the claim; otherwise it records that the outcome is unknown. It does
// nothing after Release or Complete, so that it can be deferred. Its errors are
// those of Release and Complete.
func (c *Claim) Abandon(ctx context.Context) error {
	c.mu.Lock()
	phase := c.phase
	c.mu.Unlock()
	switch phase {
	case phaseClaimed:
		return c.Release(ctx)
	case phaseSent:
		return c.finish(ctx, nil, StateUnknown)
	}
	return nil
}

// finish ends a sent claim with a final state. response is nil if it is not known.
func (c *Claim) finish(ctx context.Context, response *Response, state State) error {
	c.mu.Lock()
	if c.phase != phaseSent {
		c.mu.Unlock()
		return &StateError{Operation: "complete", Reason: "the request was not sent or its claim has already ended"}
	}
	c.phase = phaseRecording
	c.response = response
	c.mu.Unlock()
	return c.store.writeFinalState(ctx, c, state)
}

// priorClaim returns the result for another request with the same idempotency key
// that has arrived at this process. It returns *KeyReusedError if the fingerprint
// differs.
func (c *Claim) priorClaim(f Fingerprint) (*PriorClaim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decision := decideActive(f, c.fingerprint, c.phase, c.response != nil)
	switch decision {
	case DecisionKeyReused:
		return nil, &KeyReusedError{RowKey: c.rowKey}
	case DecisionStoredResponse:
		return &PriorClaim{Decision: decision, Response: c.response}, nil
	}
	return &PriorClaim{Decision: decision}, nil
}

// mayHaveBeenSent reports whether bytes may have reached a backend server.
func (c *Claim) mayHaveBeenSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseSent || c.phase == phaseRecording
}

// rowVersion returns the row version that the next write of the row requires.
func (c *Claim) rowVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// conditionalWrite returns a write of r to the claim's row, on condition that the
// row has the version ifVersion.
func (c *Claim) conditionalWrite(r Record, ifVersion int64) tablestore.Write {
	return tablestore.Write{Key: c.rowKey, Value: r.Encode(), IfVersion: ifVersion}
}
