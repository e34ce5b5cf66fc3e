package claims

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// Bounds of the delay between background retries. The minimum suits a lost reply. The
// maximum limits the retries during an outage to about one call per claim in five
// seconds.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// retryDelay returns the delay before retry n, counted from 0. The delay doubles with
// n up to maxRetryDelay. Its second half is multiplied by jitter, which is in [0, 1).
func retryDelay(n int, jitter float64) time.Duration {
	delay := maxRetryDelay
	if n < 6 {
		delay = min(minRetryDelay<<n, maxRetryDelay)
	}
	return delay/2 + time.Duration(jitter*float64(delay/2))
}

// finalUpdate is the write of the final state of a claim's row.
type finalUpdate struct {
	claim *Claim
	state State
	// uncertainChangeIDs are the change IDs of earlier attempts that may have been
	// applied or may still be applied.
	uncertainChangeIDs []string
	// responseObject is set after the response was written to the object store.
	responseObject *ObjectRef
}

// writeFinalState writes the final state of the row. It returns the result of the first
// attempt; further attempts run in the background. If too many bytes of responses are
// pending, there is only one attempt.
func (s *Store) writeFinalState(ctx context.Context, c *Claim, state State) error {
	size := 0
	if state == StateDone {
		size = c.response.Size()
	}
	limitErr := s.addPendingBytes(size)
	first := make(chan error, 1)
	u := &finalUpdate{claim: c, state: state}
	go func() {
		defer s.removeActive(c)
		if limitErr != nil {
			first <- s.tryFinalUpdate(u)
			return
		}
		defer s.subtractPendingBytes(size)
		s.retry(c, func() error { return s.tryFinalUpdate(u) }, first)
	}()
	select {
	case err := <-first:
		return finalUpdateError(err, limitErr)
	case <-ctx.Done():
		return &UpdatePendingError{Err: ctx.Err()}
	}
}

// finalUpdateError returns the error of writeFinalState for the error of the first
// attempt and the error of addPendingBytes.
func finalUpdateError(err, limitErr error) error {
	if err == nil || isPermanent(err) {
		return err
	}
	if limitErr != nil {
		return limitErr
	}
	return &UpdatePendingError{Err: err}
}

// isPermanent reports whether err rules out that a further attempt succeeds.
func isPermanent(err error) bool {
	var lost *RowChangedError
	return errors.As(err, &lost)
}

// retry calls attempt until it succeeds, fails permanently, Config.RetryTimeout has passed
// or the store stops. It sends the result of the first attempt to first.
func (s *Store) retry(c *Claim, attempt func() error, first chan<- error) {
	giveUp := time.Now().Add(s.config.RetryTimeout)
	for n := 0; ; n++ {
		err := attempt()
		if n == 0 {
			first <- err
		}
		if err == nil {
			return
		}
		delay := retryDelay(n, s.config.Jitter())
		if isPermanent(err) || time.Now().Add(delay).After(giveUp) || !s.sleep(delay) {
			s.config.Logger.Error("writing the final state of a claim row failed, no further attempt", "row", c.rowKey, "attempts", n+1, "error", err)
			return
		}
	}
}

// sleep waits for d. It returns false if the store stops first.
func (s *Store) sleep(d time.Duration) bool {
	return sleep.For(s.ctx, d) == nil
}

// tryFinalUpdate makes one attempt at the final write.
func (s *Store) tryFinalUpdate(u *finalUpdate) error {
	record, err := s.finalRecord(u)
	if err != nil {
		return err
	}
	rw := newRowWrite(u.claim.conditionalWrite(record, u.claim.rowVersion()), u.uncertainChangeIDs)
	res, _, err := s.writer.submit(s.ctx, rw)
	if err != nil {
		return err
	}
	u.uncertainChangeIDs = res.uncertainChangeIDs
	if res.err != nil {
		return res.err
	}
	if res.status == writeConflict {
		return &RowChangedError{RowKey: u.claim.rowKey}
	}
	return nil
}

// finalRecord returns the content of the final write. It writes a large response to
// the object store first, so that the object exists before the row refers to it.
func (s *Store) finalRecord(u *finalUpdate) (Record, error) {
	c := u.claim
	record := s.newRecord(c, u.state, c.claimedAt)
	if u.state != StateDone {
		return record, nil
	}
	if c.response.Size() <= MaxInlineResponseBytes {
		record.Response = c.response
		return record, nil
	}
	if u.responseObject == nil {
		ref, err := s.putResponse(c)
		if err != nil {
			return Record{}, err
		}
		u.responseObject = &ref
	}
	record.ResponseObject = u.responseObject
	return record, nil
}

// putResponse writes the response to the object store. The object name contains the
// hash of the content, so that a repeated Put after a lost reply writes the same
// content under the same name.
func (s *Store) putResponse(c *Claim) (ObjectRef, error) {
	data := mustMarshal(c.response)
	sum := hexSHA256(data)
	ref := ObjectRef{Name: c.rowKey + "/" + sum, SHA256: sum}
	ctx, cancel := context.WithTimeout(s.ctx, s.config.CallTimeout)
	defer cancel()
	if err := s.objects.Put(ctx, ref.Name, data); err != nil {
		return ObjectRef{}, err
	}
	return ref, nil
}

// fence ends a claim whose write may still be applied. It writes the row as released,
// so that the delayed write fails its condition. Nothing was sent under c.
func (s *Store) fence(c *Claim, uncertainChangeIDs []string) {
	defer s.removeActive(c)
	first := make(chan error, 1)
	s.retry(c, func() error { return s.fenceOnce(c, uncertainChangeIDs) }, first)
}

// fenceOnce makes one attempt at fence. It returns an error if the row changed between
// the read and the write.
func (s *Store) fenceOnce(c *Claim, uncertainChangeIDs []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.CallTimeout)
	defer cancel()
	row, err := s.table.Read(ctx, c.rowKey)
	if err != nil {
		return err
	}
	if writeStatusOf(row, c.rowVersion(), uncertainChangeIDs) == writeConflict {
		return nil
	}
	record := s.newRecord(c, StateReleased, c.claimedAt)
	res, _, err := s.writer.submit(s.ctx, newRowWrite(c.conditionalWrite(record, row.Version), nil))
	if err != nil {
		return err
	}
	if res.err != nil {
		return res.err
	}
	if res.status == writeConflict {
		return &StateError{Operation: "release claim", Reason: "the row changed after it was read, possibly by the delayed claim write"}
	}
	return nil
}
