package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/claims"
	"github.com/jacinthrack/jacinthrack/forward"
	"github.com/jacinthrack/jacinthrack/problem"
)

// claimRetryAfter is the Retry-After time for a request whose idempotency key belongs to
// a request in progress, or whose claim cannot be written or read at present.
const claimRetryAfter = time.Second

// claimerAdapter implements forward.Claimer with the claim service.
type claimerAdapter struct {
	service *claimService
	log     *slog.Logger
}

// Begin implements forward.Claimer.
func (c *claimerAdapter) Begin(ctx context.Context, req forward.ClaimRequest) (forward.Claim, *forward.StoredResponse, *problem.Document) {
	claimed, prior, err := c.service.store.Begin(ctx, claims.Request{
		Customer:       req.Customer,
		Route:          req.Route,
		IdempotencyKey: req.IdempotencyKey,
		Fingerprint:    claims.FingerprintOf(req.Method, req.Path, req.Body),
	})
	if err != nil {
		return nil, nil, claimErrorProblem(err)
	}
	if prior != nil {
		stored, rejection := priorClaimResponse(prior)
		return nil, stored, rejection
	}
	return &claimAdapter{claim: claimed, log: c.log}, nil, nil
}

// claimErrorProblem returns the problem document for an error of claims.Store.Begin.
func claimErrorProblem(err error) *problem.Document {
	var (
		reused     *claims.KeyReusedError
		invalid    *claims.InvalidRequestError
		unreadable *claims.PriorClaimUnreadableError
	)
	switch {
	case errors.As(err, &reused):
		return problem.New(problem.TypeIdempotencyKeyReused, http.StatusUnprocessableEntity, problem.DidNotRun, "the idempotency key was used for a different request")
	case errors.As(err, &invalid):
		return problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "%v", invalid)
	case errors.As(err, &unreadable):
		return problem.New(problem.TypeClaimOutcomeUnknown, http.StatusServiceUnavailable, problem.MayHaveRun, "an earlier request with this idempotency key exists and its outcome cannot be read now").WithRetryAfter(claimRetryAfter)
	default:
		return problem.New(problem.TypeClaimStoreUnavailable, http.StatusServiceUnavailable, problem.DidNotRun, "work that must run at most once cannot be recorded now").WithRetryAfter(claimRetryAfter)
	}
}

// priorClaimResponse returns the stored response of an earlier request with the same
// idempotency key, or a problem document if there is none.
func priorClaimResponse(prior *claims.PriorClaim) (*forward.StoredResponse, *problem.Document) {
	switch prior.Decision {
	case claims.DecisionStoredResponse:
		return &forward.StoredResponse{Status: prior.Response.Status, Header: prior.Response.Header, Body: prior.Response.Body}, nil
	case claims.DecisionInProgress:
		return nil, problem.New(problem.TypeClaimInProgress, http.StatusConflict, problem.MayHaveRun, "an earlier request with this idempotency key is in progress").WithRetryAfter(claimRetryAfter)
	default:
		return nil, problem.New(problem.TypeClaimOutcomeUnknown, http.StatusConflict, problem.MayHaveRun, "an earlier request with this idempotency key may have run and its outcome is not known")
	}
}

// claimAdapter implements forward.Claim with a claims.Claim.
type claimAdapter struct {
	claim *claims.Claim
	log   *slog.Logger
}

// MayStart implements forward.Claim.
func (c *claimAdapter) MayStart() bool { return c.claim.MayStart(time.Now()) }

// MarkSent implements forward.Claim.
func (c *claimAdapter) MarkSent() error {
	if err := c.claim.MarkSent(time.Now()); err != nil {
		return &forward.ClaimExpiredError{Err: err}
	}
	return nil
}

// Release implements forward.Claim.
func (c *claimAdapter) Release(ctx context.Context) {
	if err := c.claim.Release(ctx); err != nil {
		c.log.Warn("releasing a claim failed", "error", err)
	}
}

// Complete implements forward.Claim.
func (c *claimAdapter) Complete(ctx context.Context, resp forward.StoredResponse) {
	err := c.claim.Complete(ctx, claims.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body})
	if err != nil {
		c.log.Warn("storing the outcome of a claim failed", "error", err)
	}
}

// Abandon implements forward.Claim.
func (c *claimAdapter) Abandon(ctx context.Context) {
	if err := c.claim.Abandon(ctx); err != nil {
		c.log.Warn("ending a claim without an outcome failed", "error", err)
	}
}
