package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/retry"
)

// failure is a failed attempt.
type failure struct {
	problem *problem.Document
	// kind is 0 for refusals of this entry instance, which are never retried.
	kind retry.Failure
	// crashes says that the request is suspected of crashing servers.
	crashes bool
}

// reply is the response to a successful attempt. Its first bytes, or all of
// them, are held in memory.
type reply struct {
	server string
	resp   *http.Response
	body   io.Reader // of resp, paced
	held   []byte
	whole  bool // held is the entire body
	// finish ends the attempt and reports what Pick.Done does.
	finish func(error) bool
}

func (r *reply) status() int { return r.resp.StatusCode }

// try makes attempt n.
func (h *Handler) try(ctx context.Context, r *http.Request, x *exchange, n int) (*reply, *failure) {
	if refusal := h.authorize(x); refusal != nil {
		return nil, &failure{problem: refusal}
	}
	pick, refusal := h.Balancer.Pick(ctx, PickRequest{
		RequestID:   x.id,
		Customer:    x.customer,
		Route:       x.route,
		Fingerprint: x.fingerprint,
		AttemptIndex:     n,
		ExcludedServers:     x.tried,
		BodyBytes:   x.body.length,
	})
	if refusal != nil {
		refusal.Ran = x.ran()
		return nil, &failure{problem: refusal}
	}
	x.tried = append(x.tried, pick.Server.Name)
	if x.claim != nil && !x.claim.MayStart() {
		pick.Done(AttemptResult{})
		return nil, &failure{problem: claimLapsed(x)}
	}
	return h.send(ctx, r, x, pick)
}

// send sends one attempt and reads the start of its response.
func (h *Handler) send(ctx context.Context, r *http.Request, x *exchange, pick *PickedServer) (*reply, *failure) {
	started := time.Now()
	resp, sent, err := h.Transport.send(ctx, attempt{
		server:     pick.Server,
		method:     r.Method,
		path:       x.path,
		header:     backendHeader(r.Header, x.id),
		body:       paced(ctx, x.body.reader(), pick, true),
		length:     x.body.length,
		idempotent: x.route.Idempotent,
		requestID:  x.id,
		beforeSend: func() error { return x.claim.MarkSent() },
	})
	x.sent = x.sent || sent
	if err != nil {
		crashes := pick.Done(h.failedResult(ctx, x, sent, err, time.Since(started)))
		f := h.sendFailure(ctx, x, sent, err)
		f.crashes = crashes
		return nil, f
	}
	headerAfter := time.Since(started)
	rep := &reply{server: pick.Server.Name, resp: resp, body: paced(ctx, resp.Body, pick, false)}
	rep.finish = func(err error) bool {
		resp.Body.Close()
		return pick.Done(AttemptResult{MaybeSent: true, Status: resp.StatusCode, Err: err, CloseAnnounced: resp.Close, Latency: headerAfter})
	}
	if err := rep.hold(); err != nil {
		crashes := rep.finish(err)
		return nil, &failure{problem: incomplete(x, err), kind: retry.FailureResponseTruncated, crashes: crashes}
	}
	if isShed(resp.StatusCode) && x.route.Idempotent {
		rep.finish(nil)
		return nil, &failure{problem: problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, x.ran(), "the backend server shed the request").WithRetryAfter(time.Second), kind: retry.FailureShed}
	}
	if rep.whole {
		rep.finish(nil)
	}
	return rep, nil
}

// failedResult leaves the caller's own faults out of the evidence against a server.
func (h *Handler) failedResult(ctx context.Context, x *exchange, sent bool, err error, took time.Duration) AttemptResult {
	if x.body.err() != nil || errors.Is(ctx.Err(), context.Canceled) {
		return AttemptResult{MaybeSent: sent, Latency: took}
	}
	return AttemptResult{MaybeSent: sent, Err: err, Latency: took}
}

func (h *Handler) sendFailure(ctx context.Context, x *exchange, sent bool, err error) *failure {
	if bodyErr := x.body.err(); bodyErr != nil {
		return &failure{problem: callerProblem(bodyErr, x.ran())}
	}
	var lapsed *ClaimExpiredError
	if errors.As(err, &lapsed) {
		return &failure{problem: claimLapsed(x)}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &failure{problem: problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, x.ran(), "the deadline passed"), kind: retry.FailureTimeout}
	}
	return &failure{
		problem: problem.New(problem.TypeBackendFailed, http.StatusBadGateway, x.ran(), "the backend server failed: %s", describe(err)),
		kind:    failureKind(sent, err),
	}
}

// failureKind classifies the error of an attempt.
func failureKind(sent bool, err error) retry.Failure {
	switch {
	case !sent && isTimeout(err):
		return retry.FailureConnectTimeout
	case !sent:
		return retry.FailureConnectionRefused
	case isTimeout(err):
		return retry.FailureTimeout
	default:
		return retry.FailureConnectionReset
	}
}

func claimLapsed(x *exchange) *problem.Document {
	return problem.New(problem.TypeClaimUnavailable, http.StatusServiceUnavailable, x.ran(), "the claim lapsed before the request could be sent").WithRetryAfter(time.Second)
}

// describe returns the cause without addresses, which callers must not see.
func describe(err error) string {
	var (
		crossed     *ResponseMismatchError
		undelimited *UndelimitedResponseError
	)
	switch {
	case errors.As(err, &crossed):
		return "the response belongs to another request"
	case errors.As(err, &undelimited):
		return undelimited.Error()
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

func isShed(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func incomplete(x *exchange, err error) *problem.Document {
	return problem.New(problem.TypeAnswerIncomplete, http.StatusBadGateway, x.ran(), "the response ended early: %v", err)
}

// hold reads up to StreamBufferBytes of the response, so that a short broken response
// is found before the caller sees any of it.
func (r *reply) hold() error {
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, r.body, StreamBufferBytes)
	r.held = buf.Bytes()
	if err == io.EOF {
		r.whole = true
		return nil
	}
	return err
}

// ResponseTooLargeError reports a response that cannot be stored.
type ResponseTooLargeError struct{ MaxBytes int64 }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the response is larger than %d bytes", e.MaxBytes)
}

// readAll reads the rest of the response.
func (r *reply) readAll(limit int64) ([]byte, error) {
	if r.whole {
		return r.held, nil
	}
	rest, err := io.ReadAll(io.LimitReader(r.body, limit-int64(len(r.held))+1))
	if err == nil && int64(len(r.held)+len(rest)) > limit {
		err = &ResponseTooLargeError{MaxBytes: limit}
	}
	r.finish(err)
	return append(r.held, rest...), err
}
