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

// inProgressRetryAfter is when a caller should ask again for the outcome of work
// that is in progress.
const inProgressRetryAfter = time.Second

// claimer lets the data path use the claim service.
type claimer struct {
	service *claimService
	log     *slog.Logger
}

// Begin implements forward.Claimer.
func (c *claimer) Begin(ctx context.Context, req forward.ClaimRequest) (forward.Claim, *forward.StoredResponse, *problem.Document) {
	got, prior, err := c.service.store.Begin(ctx, claims.Request{
		Customer:       req.Customer,
		Route:          req.Route,
		IdempotencyKey: req.IdempotencyKey,
		Fingerprint:    claims.FingerprintOf(req.Method, req.Path, req.Body),
	})
	if err != nil {
		return nil, nil, claimRefusal(err)
	}
	if prior != nil {
		stored, refusal := priorResponse(prior)
		return nil, stored, refusal
	}
	return &claim{claim: got, log: c.log}, nil, nil
}

func claimRefusal(err error) *problem.Document {
	var (
		reused     *claims.KeyReusedError
		invalid    *claims.InvalidRequestError
		unreadable *claims.PriorUnreadableError
	)
	switch {
	case errors.As(err, &reused):
		return problem.New(problem.TypeIdempotencyMismatch, http.StatusUnprocessableEntity, problem.RanNo, "the idempotency key was used for a different request")
	case errors.As(err, &invalid):
		return problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.RanNo, "%v", invalid)
	case errors.As(err, &unreadable):
		return problem.New(problem.TypeClaimOutcomeUnknown, http.StatusServiceUnavailable, problem.RanUnknown, "an earlier request with this idempotency key exists and its outcome cannot be read now").WithRetryAfter(inProgressRetryAfter)
	default:
		return problem.New(problem.TypeClaimUnavailable, http.StatusServiceUnavailable, problem.RanNo, "work that must run at most once cannot be recorded now").WithRetryAfter(inProgressRetryAfter)
	}
}

func priorResponse(prior *claims.Prior) (*forward.StoredResponse, *problem.Document) {
	switch prior.Decision {
	case claims.DecideStored:
		return &forward.StoredResponse{Status: prior.Outcome.Status, Header: prior.Outcome.Header, Body: prior.Outcome.Body}, nil
	case claims.DecideInProgress:
		return nil, problem.New(problem.TypeClaimInProgress, http.StatusConflict, problem.RanUnknown, "an earlier request with this idempotency key is in progress").WithRetryAfter(inProgressRetryAfter)
	default:
		return nil, problem.New(problem.TypeClaimOutcomeUnknown, http.StatusConflict, problem.RanUnknown, "an earlier request with this idempotency key may have run and its outcome is not known")
	}
}

// claim lets the data path use a claims.Claim.
type claim struct {
	claim *claims.Claim
	log   *slog.Logger
}

// MayStart implements forward.Claim.
func (c *claim) MayStart() bool { return c.claim.MayStart(time.Now()) }

// MarkSent implements forward.Claim.
func (c *claim) MarkSent() error {
	if err := c.claim.MarkSent(time.Now()); err != nil {
		return &forward.ClaimExpiredError{Err: err}
	}
	return nil
}

// Release implements forward.Claim.
func (c *claim) Release(ctx context.Context) {
	if err := c.claim.Release(ctx); err != nil {
		c.log.Warn("claim release is pending", "error", err)
	}
}

// Complete implements forward.Claim.
func (c *claim) Complete(ctx context.Context, resp forward.StoredResponse) {
	err := c.claim.Complete(ctx, claims.Outcome{Status: resp.Status, Header: resp.Header, Body: resp.Body})
	if err != nil {
		c.log.Warn("claim outcome is not stored yet", "error", err)
	}
}

// Abandon implements forward.Claim.
func (c *claim) Abandon(ctx context.Context) {
	if err := c.claim.Abandon(ctx); err != nil {
		c.log.Warn("claim end is not stored yet", "error", err)
	}
}
