package claims

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Claim is the right to run one request. Every claim must end in Release,
// Complete or Abandon. It is safe for concurrent use.
type Claim struct {
	store       *Store
	key         string
	fingerprint Fingerprint

	mu        sync.Mutex
	phase     phase
	deadline  time.Time // for the first byte, on the monotonic clock
	version   int64     // of the claim row; while claiming, the condition
	claimedAt time.Time // wall clock, for retention
	outcome   *Response  // with phaseRecording, when known
}

func (c *Claim) prepare(deadline time.Time, ifVersion int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	c.version = ifVersion
	c.claimedAt = deadline.Add(-c.store.config.StartTimeout)
}

func (c *Claim) granted(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseClaimed
	c.version = version
}

// Deadline returns the time before which the first byte must be sent.
func (c *Claim) Deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

// MayStart reports whether the request may be sent. It may be asked again for
// another backend server as long as nothing was sent.
func (c *Claim) MayStart(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return mayStart(c.phase, now, c.deadline)
}

// MarkSent records that the first byte is about to be sent. It must be called
// before the byte is written, and on *StartNotAllowedError nothing may be sent. At most
// one call succeeds, and Release fails from then on.
func (c *Claim) MarkSent(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClaimed {
		return &StartNotAllowedError{Reason: "the claim was already used"}
	}
	if !mayStart(c.phase, now, c.deadline) {
		return &StartNotAllowedError{Reason: "its start deadline has passed"}
	}
	c.phase = phaseSent
	return nil
}

// Release gives up the claim so that the key can be used again. It returns
// *StateError after MarkSent, and *UpdatePendingError while the platform does not
// confirm the release; either way nothing will be sent under this claim unless
// MarkSent succeeded before. Further calls do nothing.
func (c *Claim) Release(ctx context.Context) error {
	c.mu.Lock()
	if !mayRelease(c.phase) {
		c.mu.Unlock()
		return &StateError{Operation: "release", Reason: "the request may have been sent"}
	}
	started := c.phase == phaseReleasing
	c.phase = phaseReleasing
	c.mu.Unlock()
	if started {
		return nil
	}
	return c.store.settle(ctx, c, StateReleased)
}

// Complete stores the complete response of the backend server. It returns
// *StateError without MarkSent, *UpdatePendingError when the first attempt failed and
// is retried in the background, *PendingResponseLimitError when it is not retried, and
// *RowChangedError when the row was changed by somebody else. The response is valid in
// all cases but *StateError.
func (c *Claim) Complete(ctx context.Context, outcome Response) error {
	return c.finish(ctx, &outcome, StateDone)
}

// Abandon ends a claim without an outcome. It releases the claim when nothing
// was sent, and otherwise records that the outcome will not be known. It does
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

func (c *Claim) finish(ctx context.Context, outcome *Response, state State) error {
	c.mu.Lock()
	if c.phase != phaseSent {
		c.mu.Unlock()
		return &StateError{Operation: "complete", Reason: "the request was not sent or is already complete"}
	}
	c.phase = phaseRecording
	c.outcome = outcome
	c.mu.Unlock()
	return c.store.settle(ctx, c, state)
}

// prior answers another request of this process with the same key.
func (c *Claim) prior(f Fingerprint) (*PriorClaim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decision := decideOwn(f, c.fingerprint, c.phase, c.outcome != nil)
	switch decision {
	case DecisionKeyReused:
		return nil, &KeyReusedError{RowKey: c.key}
	case DecisionStoredResponse:
		return &PriorClaim{Decision: decision, Response: c.outcome}, nil
	}
	return &PriorClaim{Decision: decision}, nil
}

// wasSent reports whether bytes may have reached a backend server.
func (c *Claim) wasSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseSent || c.phase == phaseRecording
}

// rowVersion returns the version that the next write of the row must find.
func (c *Claim) rowVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// write returns the conditional write of a record to the claim's row.
func (c *Claim) write(r Record, ifVersion int64) tablestore.Write {
	return tablestore.Write{Key: c.key, Value: r.Encode(), IfVersion: ifVersion}
}
