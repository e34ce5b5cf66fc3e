package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// maxClaimAttempts is the maximum number of claim writes of one Begin. It bounds the
// time of a Begin while other callers claim and release the same key in turn.
const maxClaimAttempts = 4

// PriorClaim describes the earlier claim with the idempotency key of a request.
type PriorClaim struct {
	// Decision is DecisionStoredResponse, DecisionInProgress or DecisionOutcomeUnknown.
	Decision Decision
	// Response is the stored response if Decision is DecisionStoredResponse. It must not be
	// modified.
	Response *Response
}

// Begin claims the request. It returns a Claim if the request may be sent, or a
// PriorClaim if an earlier request with the same idempotency key and fingerprint
// exists. If it returns an error, this request did not run and will not run:
//
//   - *InvalidRequestError: the customer, the route or the key is missing.
//   - *ClaimNotWrittenError: no claim was written.
//   - *KeyReusedError: the key was used for a request with another fingerprint.
//   - *PriorClaimUnreadableError: this process has seen an earlier claim with the key,
//     whose request may have run, but the claim or the response cannot be read at
//     present.
//
// If ctx ends, Begin returns *ClaimNotWrittenError or *PriorClaimUnreadableError; a
// claim row that was written nevertheless is released in the background.
func (s *Store) Begin(ctx context.Context, req Request) (*Claim, *PriorClaim, error) {
	if err := req.Validate(); err != nil {
		return nil, nil, err
	}
	c, existing, err := s.addActive(req)
	if err != nil {
		return nil, nil, s.beginError(req.RowKey(), err)
	}
	if existing != nil {
		prior, err := existing.priorClaim(req.Fingerprint)
		return nil, prior, err
	}
	return s.claimRow(ctx, c)
}

// claimRow writes the claim row of c if the row is absent or released, and otherwise
// returns the earlier claim.
func (s *Store) claimRow(ctx context.Context, c *Claim) (*Claim, *PriorClaim, error) {
	var ifVersion int64
	for range maxClaimAttempts {
		row, err := s.tryClaim(ctx, c, ifVersion)
		if err != nil {
			return nil, nil, err
		}
		if row == nil {
			return c, nil, nil
		}
		prior, released, err := s.decideRow(ctx, c.fingerprint, *row)
		if !released {
			s.removeActive(c)
			return nil, prior, err
		}
		ifVersion = row.Version
	}
	s.removeActive(c)
	return nil, nil, &ClaimNotWrittenError{Err: &StateError{Operation: "write claim", Reason: "the row was claimed and released by other requests during every attempt"}}
}

// tryClaim writes the claim row once, on condition that its version is ifVersion. It
// returns nil if the row was written, or else the conflicting row. If it returns an
// error, c was removed from the active claims or is being released in the background.
func (s *Store) tryClaim(ctx context.Context, c *Claim, ifVersion int64) (*tablestore.Row, error) {
	started := time.Now()
	c.startWrite(started.Add(s.config.StartTimeout), ifVersion)
	value := s.newRecord(c, StateClaimed, started).Encode()
	rw := newRowWrite(tablestore.Write{Key: c.rowKey, Value: value, IfVersion: ifVersion}, nil)
	res, inFlight, err := s.writer.submit(ctx, rw)
	if inFlight {
		go s.releaseCancelled(c, rw)
		return nil, s.beginError(c.rowKey, err)
	}
	if err != nil {
		s.removeActive(c)
		return nil, s.beginError(c.rowKey, err)
	}
	return s.handleClaimResult(c, res)
}

// handleClaimResult returns the results of tryClaim for the result of its write.
func (s *Store) handleClaimResult(c *Claim, res writeResult) (*tablestore.Row, error) {
	if res.err != nil {
		s.discardFailedClaim(c, res)
		if res.conflictUnreadable {
			return nil, &PriorClaimUnreadableError{Err: res.err}
		}
		return nil, s.beginError(c.rowKey, res.err)
	}
	if res.status == writeConflict {
		return &res.row, nil
	}
	c.markClaimed(res.row.Version)
	return nil, nil
}

// beginError returns the error of a Begin that wrote no claim. If this process has seen
// an earlier claim on the row, the error must say that an earlier request may have run.
func (s *Store) beginError(key string, err error) error {
	if s.hasObserved(key) {
		return &PriorClaimUnreadableError{Err: err}
	}
	return &ClaimNotWrittenError{Err: err}
}

// discardFailedClaim removes a claim whose write failed from the active claims. If the
// write may still be applied, the row is fenced first, in the background.
func (s *Store) discardFailedClaim(c *Claim, res writeResult) {
	if len(res.uncertainChangeIDs) == 0 {
		s.removeActive(c)
		return
	}
	go s.fence(c, res.uncertainChangeIDs)
}

// releaseCancelled waits for the claim write of a Begin that was cancelled while the
// write was in flight, and releases the claim if the row was written.
func (s *Store) releaseCancelled(c *Claim, rw *rowWrite) {
	var res writeResult
	select {
	case res = <-rw.done:
	case <-s.ctx.Done():
		s.removeActive(c)
		return
	}
	switch {
	case res.err != nil:
		s.discardFailedClaim(c, res)
	case res.status == writeConflict:
		s.removeActive(c)
	default:
		c.markClaimed(res.row.Version)
		_ = c.Release(s.ctx)
	}
}

// newRecord returns the record of c in a state, without a response. claimedAt is the
// wall clock time of the claim.
func (s *Store) newRecord(c *Claim, state State, claimedAt time.Time) Record {
	return Record{
		State:       state,
		Fingerprint: c.fingerprint,
		Claimant:    s.config.Self,
		ClaimedAt:   claimedAt.Unix(),
	}
}

// decideRow returns the result of a Begin for a row that another claim wrote. released
// reports that the row was released or removed and may be claimed.
func (s *Store) decideRow(ctx context.Context, f Fingerprint, row tablestore.Row) (prior *PriorClaim, released bool, err error) {
	if row.Version == 0 {
		return nil, true, nil
	}
	record, err := DecodeRecord(row.Value)
	if err != nil {
		return nil, false, &PriorClaimUnreadableError{Err: err}
	}
	decision := Decide(f, record, s.observeRow(row, record))
	switch decision {
	case DecisionMayClaim:
		s.removeObservation(row.Key)
		return nil, true, nil
	case DecisionKeyReused:
		return nil, false, &KeyReusedError{RowKey: row.Key}
	case DecisionStoredResponse:
		prior, err = s.loadStoredResponse(ctx, record)
		return prior, false, err
	}
	return &PriorClaim{Decision: decision}, false, nil
}

// observeRow returns what this process knows about a row, and records that the row was
// seen unless it was released.
func (s *Store) observeRow(row tablestore.Row, record Record) RowObservation {
	o := RowObservation{InProgressTimeout: s.config.InProgressTimeout}
	if record.State == StateReleased {
		return o
	}
	o.UnchangedFor = s.observedUnchangedFor(row, time.Now())
	if record.Claimant == s.config.Self {
		// This process has finished the claim, or addActive would have found it.
		o.ClaimantLiveness = ClaimantGone
		return o
	}
	o.ClaimantLiveness = s.config.Liveness(record.Claimant)
	return o
}

// loadStoredResponse returns the stored response of a record in StateDone. It returns
// *PriorClaimUnreadableError.
func (s *Store) loadStoredResponse(ctx context.Context, record Record) (*PriorClaim, error) {
	if record.Response != nil {
		return &PriorClaim{Decision: DecisionStoredResponse, Response: record.Response}, nil
	}
	data, err := s.objects.Get(ctx, record.ResponseObject.Name)
	if err != nil {
		return nil, &PriorClaimUnreadableError{Err: err}
	}
	if !record.ResponseObject.matches(data) {
		return nil, &PriorClaimUnreadableError{Err: &FormatError{What: "response object: SHA-256 differs from that in the claim row"}}
	}
	var response Response
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, &PriorClaimUnreadableError{Err: &FormatError{What: "response object", Err: err}}
	}
	return &PriorClaim{Decision: DecisionStoredResponse, Response: &response}, nil
}
