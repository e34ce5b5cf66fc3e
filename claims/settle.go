package claims

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// Delays between background retries. The first fits a lost reply, the last keeps
// the retries of a whole outage below one call per claim and five seconds.
const (
	firstRetryDelay = 100 * time.Millisecond
	lastRetryDelay  = 5 * time.Second
)

// retryDelay returns the delay before retry n (from 0) with a jitter of half of
// it. jitter is in [0, 1).
func retryDelay(n int, jitter float64) time.Duration {
	delay := lastRetryDelay
	if n < 6 {
		delay = min(firstRetryDelay<<n, lastRetryDelay)
	}
	return delay/2 + time.Duration(jitter*float64(delay/2))
}

// settlement is the final write of a claim's row.
type settlement struct {
	claim *Claim
	state State
	// uncertain holds change ids of earlier attempts whose reply was lost.
	uncertain []string
	// object is set when the outcome is in the object store.
	object *ObjectRef
}

// settle writes the final state of the row. It returns the result of the first
// attempt; later attempts run in the background.
func (s *Store) settle(ctx context.Context, c *Claim, state State) error {
	bytes := 0
	if state == StateDone {
		bytes = c.outcome.Size()
	}
	limit := s.reserve(bytes)
	first := make(chan error, 1)
	st := &settlement{claim: c, state: state}
	go func() {
		defer s.leave(c)
		if limit != nil {
			first <- s.settleOnce(st)
			return
		}
		defer s.unreserve(bytes)
		s.retry(c, func() error { return s.settleOnce(st) }, first)
	}()
	select {
	case err := <-first:
		return settleError(err, limit)
	case <-ctx.Done():
		return &UpdatePendingError{Err: ctx.Err()}
	}
}

// settleError returns the error of settle for the first attempt's error.
func settleError(err, limit error) error {
	if err == nil || permanent(err) {
		return err
	}
	if limit != nil {
		return limit
	}
	return &UpdatePendingError{Err: err}
}

// permanent reports whether trying again cannot help.
func permanent(err error) bool {
	var lost *RowChangedError
	return errors.As(err, &lost)
}

// retry calls attempt until it succeeds, fails for good, or the time is over. It
// sends the result of the first attempt to first.
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
		if permanent(err) || time.Now().Add(delay).After(giveUp) || !s.sleep(delay) {
			s.config.Logger.Error("claim row not updated", "row", c.key, "attempts", n+1, "error", err)
			return
		}
	}
}

// sleep waits for d. It returns false when the store stops.
func (s *Store) sleep(d time.Duration) bool {
	return sleep.For(s.ctx, d) == nil
}

// settleOnce tries the final write once.
func (s *Store) settleOnce(st *settlement) error {
	record, err := s.finalRecord(st)
	if err != nil {
		return err
	}
	rw := newRowWrite(st.claim.write(record, st.claim.rowVersion()), st.uncertain)
	res, _, err := s.writer.do(s.ctx, rw)
	if err != nil {
		return err
	}
	st.uncertain = res.uncertain
	if res.err != nil {
		return res.err
	}
	if res.fate == fateConflict {
		return &RowChangedError{RowKey: st.claim.key}
	}
	return nil
}

// finalRecord returns the row content, after storing a large outcome as an
// object. The object exists before the row names it.
func (s *Store) finalRecord(st *settlement) (Record, error) {
	c := st.claim
	record := s.record(c, st.state, c.claimedAt)
	if st.state != StateDone {
		return record, nil
	}
	if c.outcome.Size() <= MaxInlineResponseBytes {
		record.Response = c.outcome
		return record, nil
	}
	if st.object == nil {
		ref, err := s.putOutcome(c)
		if err != nil {
			return Record{}, err
		}
		st.object = &ref
	}
	record.ResponseObject = st.object
	return record, nil
}

// putOutcome stores the outcome under a name that holds its hash, so that a
// repeated Put after a lost reply writes the same content.
func (s *Store) putOutcome(c *Claim) (ObjectRef, error) {
	data := mustMarshal(c.outcome)
	sum := hexSum(data)
	ref := ObjectRef{Name: c.key + "/" + sum, SHA256: sum}
	ctx, cancel := context.WithTimeout(s.ctx, s.config.CallTimeout)
	defer cancel()
	if err := s.objects.Put(ctx, ref.Name, data); err != nil {
		return ObjectRef{}, err
	}
	return ref, nil
}

// fence ends a claim whose write may still be applied: it writes a released row,
// so that the delayed write fails its condition. Nothing was sent under c.
func (s *Store) fence(c *Claim, uncertain []string) {
	defer s.leave(c)
	first := make(chan error, 1)
	s.retry(c, func() error { return s.fenceOnce(c, uncertain) }, first)
}

func (s *Store) fenceOnce(c *Claim, uncertain []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.CallTimeout)
	defer cancel()
	row, err := s.table.Read(ctx, c.key)
	if err != nil {
		return err
	}
	if fateOf(row, c.rowVersion(), uncertain) == fateConflict {
		return nil
	}
	record := s.record(c, StateReleased, c.claimedAt)
	res, _, err := s.writer.do(s.ctx, newRowWrite(c.write(record, row.Version), nil))
	if err != nil {
		return err
	}
	if res.err != nil {
		return res.err
	}
	if res.fate == fateConflict {
		return &StateError{Operation: "release", Reason: "the delayed claim write arrived"}
	}
	return nil
}
