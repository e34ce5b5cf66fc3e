package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// maxTakeovers bounds the claims of one Begin on released rows, so that callers
// that release and claim the same key in turn cannot hold it forever.
const maxTakeovers = 4

// PriorClaim is the answer to a caller whose idempotency key is already claimed.
type PriorClaim struct {
	// Decision is DecisionStoredResponse, DecisionInProgress or DecisionOutcomeUnknown.
	Decision Decision
	// Response is the stored response with DecisionStoredResponse. It must not be changed.
	Response *Response
}

// Begin claims the request. It returns a Claim when the request may run, or a
// PriorClaim when an earlier request with the same key and content exists. On an
// error this request has not run and will not run:
//
//   - *InvalidRequestError: a part of the request's name is missing.
//   - *ClaimNotWrittenError: no claim could be written.
//   - *KeyReusedError: the key belongs to a different request.
//   - *PriorClaimUnreadableError: an earlier request is known to this process and may
//     have run, but its claim or outcome cannot be read now.
//
// A cancelled ctx yields *ClaimNotWrittenError; a claim row that was written anyway
// is released in the background.
func (s *Store) Begin(ctx context.Context, req Request) (*Claim, *PriorClaim, error) {
	if err := req.Validate(); err != nil {
		return nil, nil, err
	}
	c, existing, err := s.enter(req)
	if err != nil {
		return nil, nil, s.notClaimed(req.RowKey(), err)
	}
	if existing != nil {
		prior, err := existing.prior(req.Fingerprint)
		return nil, prior, err
	}
	return s.claimRow(ctx, c)
}

// claimRow writes the claim row of c, taking over released rows.
func (s *Store) claimRow(ctx context.Context, c *Claim) (*Claim, *PriorClaim, error) {
	var ifVersion int64
	for range maxTakeovers {
		row, err := s.tryClaim(ctx, c, ifVersion)
		if err != nil {
			return nil, nil, err
		}
		if row == nil {
			return c, nil, nil
		}
		prior, released, err := s.decideRow(ctx, c.fingerprint, *row)
		if !released {
			s.leave(c)
			return nil, prior, err
		}
		ifVersion = row.Version
	}
	s.leave(c)
	return nil, nil, &ClaimNotWrittenError{Err: &StateError{Operation: "claim", Reason: "too many claims on one key"}}
}

// tryClaim writes the claim row once. It returns the conflicting row, or nil
// when the claim is held. On an error c has left the store or is being released.
func (s *Store) tryClaim(ctx context.Context, c *Claim, ifVersion int64) (*tablestore.Row, error) {
	started := time.Now()
	c.prepare(started.Add(s.config.StartTimeout), ifVersion)
	value := s.record(c, StateClaimed, started).Encode()
	rw := newRowWrite(tablestore.Write{Key: c.key, Value: value, IfVersion: ifVersion}, nil)
	res, inFlight, err := s.writer.do(ctx, rw)
	if inFlight {
		go s.releaseLate(c, rw)
		return nil, s.notClaimed(c.key, err)
	}
	if err != nil {
		s.leave(c)
		return nil, s.notClaimed(c.key, err)
	}
	return s.claimResult(c, res)
}

func (s *Store) claimResult(c *Claim, res writeResult) (*tablestore.Row, error) {
	if res.err != nil {
		s.dropUnwritten(c, res)
		if res.conflict {
			return nil, &PriorClaimUnreadableError{Err: res.err}
		}
		return nil, s.notClaimed(c.key, res.err)
	}
	if res.fate == fateConflict {
		return &res.row, nil
	}
	c.granted(res.row.Version)
	return nil, nil
}

// notClaimed returns the error of a Begin that wrote no claim. When this process
// has seen an earlier claim on the key, the refusal must not read as if the order
// had never run.
func (s *Store) notClaimed(key string, err error) error {
	if s.hasSeen(key) {
		return &PriorClaimUnreadableError{Err: err}
	}
	return &ClaimNotWrittenError{Err: err}
}

// dropUnwritten gives up a claim whose write failed. A write that may still be
// applied is fenced off first.
func (s *Store) dropUnwritten(c *Claim, res writeResult) {
	if len(res.uncertain) == 0 {
		s.leave(c)
		return
	}
	go s.fence(c, res.uncertain)
}

// releaseLate releases a claim whose caller left while the write was in flight.
func (s *Store) releaseLate(c *Claim, rw *rowWrite) {
	var res writeResult
	select {
	case res = <-rw.done:
	case <-s.ctx.Done():
		s.leave(c)
		return
	}
	switch {
	case res.err != nil:
		s.dropUnwritten(c, res)
	case res.fate == fateConflict:
		s.leave(c)
	default:
		c.granted(res.row.Version)
		_ = c.Release(s.ctx)
	}
}

// record returns the row content of c in a state.
func (s *Store) record(c *Claim, state State, wall time.Time) Record {
	return Record{
		State:       state,
		Fingerprint: c.fingerprint,
		Claimant:    s.config.Self,
		ClaimedAt:   wall.Unix(),
	}
}

// decideRow decides about a row that somebody else wrote. released reports that
// the row may be claimed.
func (s *Store) decideRow(ctx context.Context, f Fingerprint, row tablestore.Row) (prior *PriorClaim, released bool, err error) {
	if row.Version == 0 {
		return nil, true, nil
	}
	record, err := DecodeRecord(row.Value)
	if err != nil {
		return nil, false, &PriorClaimUnreadableError{Err: err}
	}
	decision := Decide(f, record, s.observe(row, record))
	switch decision {
	case DecisionMayClaim:
		s.forget(row.Key)
		return nil, true, nil
	case DecisionKeyReused:
		return nil, false, &KeyReusedError{RowKey: row.Key}
	case DecisionStoredResponse:
		prior, err = s.stored(ctx, record)
		return prior, false, err
	}
	return &PriorClaim{Decision: decision}, false, nil
}

func (s *Store) observe(row tablestore.Row, record Record) RowObservation {
	o := RowObservation{InProgressTimeout: s.config.InProgressTimeout}
	if record.State == StateReleased {
		return o
	}
	o.UnchangedFor = s.unchangedFor(row, time.Now())
	if record.Claimant == s.config.Self {
		// This process no longer works on the row, or enter had found its claim.
		o.ClaimantLiveness = ClaimantGone
		return o
	}
	o.ClaimantLiveness = s.config.Liveness(record.Claimant)
	return o
}

// stored returns the stored outcome of a row.
func (s *Store) stored(ctx context.Context, record Record) (*PriorClaim, error) {
	if record.Response != nil {
		return &PriorClaim{Decision: DecisionStoredResponse, Response: record.Response}, nil
	}
	data, err := s.objects.Get(ctx, record.ResponseObject.Name)
	if err != nil {
		return nil, &PriorClaimUnreadableError{Err: err}
	}
	if !record.ResponseObject.matches(data) {
		return nil, &PriorClaimUnreadableError{Err: &FormatError{What: "outcome object"}}
	}
	var outcome Response
	if err := json.Unmarshal(data, &outcome); err != nil {
		return nil, &PriorClaimUnreadableError{Err: &FormatError{What: "outcome object", Err: err}}
	}
	return &PriorClaim{Decision: DecisionStoredResponse, Response: &outcome}, nil
}
