package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/retry"
)

// attemptFailure describes a failed attempt.
type attemptFailure struct {
	problem *problem.Document
	// kind is 0 for failures that are never retried: rejections by this entry instance
	// and errors of the request body.
	kind retry.Failure
	// suspect says whether the request is suspected of crashing servers.
	suspect bool
}

// backendResponse is the response to a successful attempt. The start of its body, or all of
// it, is buffered.
type backendResponse struct {
	serverName string
	resp       *http.Response
	body       io.Reader // body of resp, paced by pacedBody
	buffered   []byte
	complete   bool // buffered is the entire body
	// finish closes the response, passes the result of the attempt to
	// PickedServer.Done and returns its value.
	finish func(error) bool
}

func (r *backendResponse) status() int { return r.resp.StatusCode }

// runAttempt makes attempt n, counted from 0: it checks the key again, picks a server,
// checks that the claim has not expired, and sends the request.
func (h *Handler) runAttempt(ctx context.Context, r *http.Request, state *requestState, n int) (*backendResponse, *attemptFailure) {
	if rejection := h.authorize(state); rejection != nil {
		return nil, &attemptFailure{problem: rejection}
	}
	pick, rejection := h.Balancer.Pick(ctx, PickRequest{
		RequestID:       state.requestID,
		Customer:        state.customer,
		Route:           state.route,
		Fingerprint:     state.fingerprint,
		AttemptIndex:    n,
		ExcludedServers: state.triedServers,
		BodyBytes:       state.body.contentLength,
	})
	if rejection != nil {
		rejection.Ran = state.ran()
		return nil, &attemptFailure{problem: rejection}
	}
	state.triedServers = append(state.triedServers, pick.Server.Name)
	if state.claim != nil && !state.claim.MayStart() {
		pick.Done(AttemptResult{})
		return nil, &attemptFailure{problem: claimExpiredProblem(state)}
	}
	return h.sendAttempt(ctx, r, state, pick)
}

// sendAttempt sends the request to the picked server and buffers the start of the
// response.
func (h *Handler) sendAttempt(ctx context.Context, r *http.Request, state *requestState, pick *PickedServer) (*backendResponse, *attemptFailure) {
	started := time.Now()
	resp, maybeSent, err := h.Transport.send(ctx, attempt{
		server:        pick.Server,
		method:        r.Method,
		path:          state.backendPath,
		header:        headerForBackend(r.Header, state.requestID),
		body:          pacedBody(ctx, state.body.reader(), pick, true),
		contentLength: state.body.contentLength,
		idempotent:    state.route.Idempotent,
		requestID:     state.requestID,
		beforeSend:    func() error { return state.claim.MarkSent() },
	})
	state.maybeSent = state.maybeSent || maybeSent
	if err != nil {
		suspect := pick.Done(h.failedAttemptResult(ctx, state, maybeSent, err, time.Since(started)))
		f := h.newAttemptFailure(ctx, state, maybeSent, err)
		f.suspect = suspect
		return nil, f
	}
	headerLatency := time.Since(started)
	response := &backendResponse{serverName: pick.Server.Name, resp: resp, body: pacedBody(ctx, resp.Body, pick, false)}
	response.finish = func(err error) bool {
		resp.Body.Close()
		return pick.Done(AttemptResult{MaybeSent: true, Status: resp.StatusCode, Err: err, CloseAnnounced: resp.Close, Latency: headerLatency})
	}
	if err := response.bufferStart(); err != nil {
		suspect := response.finish(err)
		return nil, &attemptFailure{problem: incompleteResponseProblem(state, err), kind: retry.FailureResponseTruncated, suspect: suspect}
	}
	if isShedStatus(resp.StatusCode) && state.route.Idempotent {
		response.finish(nil)
		return nil, &attemptFailure{problem: problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, state.ran(), "the backend server shed the request").WithRetryAfter(time.Second), kind: retry.FailureShed}
	}
	if response.complete {
		response.finish(nil)
	}
	return response, nil
}

// failedAttemptResult returns the result of a failed attempt for the Balancer. It has no
// Err if the caller caused the failure, so that it does not count against the server.
func (h *Handler) failedAttemptResult(ctx context.Context, state *requestState, maybeSent bool, err error, latency time.Duration) AttemptResult {
	if state.body.readErr() != nil || errors.Is(ctx.Err(), context.Canceled) {
		return AttemptResult{MaybeSent: maybeSent, Latency: latency}
	}
	return AttemptResult{MaybeSent: maybeSent, Err: err, Latency: latency}
}

// newAttemptFailure returns the problem document and the failure kind for the error of an
// attempt.
func (h *Handler) newAttemptFailure(ctx context.Context, state *requestState, maybeSent bool, err error) *attemptFailure {
	if bodyErr := state.body.readErr(); bodyErr != nil {
		return &attemptFailure{problem: callerBodyProblem(bodyErr, state.ran())}
	}
	var expired *ClaimExpiredError
	if errors.As(err, &expired) {
		return &attemptFailure{problem: claimExpiredProblem(state)}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &attemptFailure{problem: problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, state.ran(), "the deadline passed"), kind: retry.FailureTimeout}
	}
	return &attemptFailure{
		problem: problem.New(problem.TypeBackendFailed, http.StatusBadGateway, state.ran(), "the backend server failed: %s", describeForCaller(err)),
		kind:    retryFailureKind(maybeSent, err),
	}
}

// retryFailureKind returns the failure kind for the transport error of an attempt.
func retryFailureKind(maybeSent bool, err error) retry.Failure {
	switch {
	case !maybeSent && isTimeout(err):
		return retry.FailureConnectTimeout
	case !maybeSent:
		return retry.FailureConnectionRefused
	case isTimeout(err):
		return retry.FailureTimeout
	default:
		return retry.FailureConnectionReset
	}
}

// claimExpiredProblem returns the rejection for a claim that expired before the request
// was sent.
func claimExpiredProblem(state *requestState) *problem.Document {
	return problem.New(problem.TypeClaimStoreUnavailable, http.StatusServiceUnavailable, state.ran(), "the claim lapsed before the request could be sent").WithRetryAfter(time.Second)
}

// describeForCaller describes the error of an attempt without the addresses in its text,
// which callers must not see.
func describeForCaller(err error) string {
	var (
		mismatch      *ResponseMismatchError
		undelimited   *responsecheck.UndelimitedResponseError
		invalidStatus *responsecheck.InvalidStatusError
		invalidName   *responsecheck.InvalidFieldNameError
	)
	switch {
	case errors.As(err, &mismatch):
		return "the response belongs to another request"
	case errors.As(err, &undelimited):
		return undelimited.Error()
	case errors.As(err, &invalidStatus), errors.As(err, &invalidName):
		return "the response head is invalid"
	case isTimeout(err):
		return "timeout"
	default:
		return "connection failed"
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isShedStatus reports whether a backend server rejected the request due to overload.
func isShedStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// incompleteResponseProblem returns the rejection for a response that could not be read
// completely.
func incompleteResponseProblem(state *requestState, err error) *problem.Document {
	return problem.New(problem.TypeAnswerIncomplete, http.StatusBadGateway, state.ran(), "the response ended early: %v", err)
}

// bufferStart buffers up to StreamBufferBytes of the response, so that a truncated short
// response is detected before any of it is sent to the caller.
func (r *backendResponse) bufferStart() error {
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, r.body, StreamBufferBytes)
	r.buffered = buf.Bytes()
	if err == io.EOF {
		r.complete = true
		return nil
	}
	return err
}

// ResponseTooLargeError reports a response that has more than MaxBytes and therefore
// cannot be stored.
type ResponseTooLargeError struct{ MaxBytes int64 }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the response is larger than %d bytes", e.MaxBytes)
}

// readAll reads the rest of the response body and returns all of it. A body of more than
// limit bytes is an error.
func (r *backendResponse) readAll(limit int64) ([]byte, error) {
	if r.complete {
		return r.buffered, nil
	}
	rest, err := io.ReadAll(io.LimitReader(r.body, limit-int64(len(r.buffered))+1))
	if err == nil && int64(len(r.buffered)+len(rest)) > limit {
		err = &ResponseTooLargeError{MaxBytes: limit}
	}
	r.finish(err)
	return append(r.buffered, rest...), err
}
