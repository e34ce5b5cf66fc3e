package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"github.com/jacinthrack/jacinthrack/ingress"
)

// longResponse reads the rest of a response that is too long to be buffered. It is read after
// Handle has returned, until the deadline of the request. Its Close ends the request and logs how
// the response ended.
type longResponse struct {
	io.ReadCloser
	gateway *Gateway
	ctx     context.Context // of the request
	cancel  context.CancelFunc
	state   *requestState
	length  int64 // size of the whole body in bytes, -1 if unknown
	bytes   int64 // read so far, including the buffered start
	readErr error // that ended reading
}

// streamResponse makes the end of a streamed response the end of its request. ctx is the context
// of the request.
func (g *Gateway) streamResponse(ctx context.Context, cancel context.CancelFunc, state *requestState, response *ingress.Response) {
	response.RemainingBody = &longResponse{
		ReadCloser: response.RemainingBody, gateway: g, ctx: ctx, cancel: cancel, state: state,
		length: response.BodyLength, bytes: int64(len(response.Body)),
	}
	response.Replacement = func() *ingress.Response {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil
		}
		return problemResponse(state, responseTimeoutProblem())
	}
}

// Read implements io.Reader.
func (l *longResponse) Read(p []byte) (int, error) {
	n, err := l.ReadCloser.Read(p)
	l.bytes += int64(n)
	if err != nil {
		l.readErr = err
	}
	return n, err
}

// Close implements io.Closer.
func (l *longResponse) Close() error {
	l.logEnd()
	l.cancel()
	return l.ReadCloser.Close()
}

// logEnd updates the metrics and writes the log line of the end of the response.
func (l *longResponse) logEnd() {
	outcome, reason := l.outcome()
	l.gateway.metrics.longResponses.WithLabelValues(outcome).Inc()
	if !l.gateway.requestLogLimiter.Allow() {
		l.gateway.metrics.unlogged.Inc()
		return
	}
	l.gateway.log.Info("finished a long response", slog.String("request_id", l.state.requestID), slog.String("outcome", outcome),
		slog.String("server", l.state.lastServer()), slog.Int64("bytes", l.bytes), slog.Int64("length", l.length),
		slog.Int64("duration_ms", time.Since(l.state.request.ArrivalTime).Milliseconds()), slog.String("reason", reason))
}

// outcome returns the value of the label "outcome", and the reason if the response is incomplete.
func (l *longResponse) outcome() (label, reason string) {
	err := l.readErr
	if err == nil {
		err = l.ctx.Err() // the response ended without a failed read
	}
	switch {
	case l.readErr == io.EOF, l.length >= 0 && l.bytes >= l.length:
		return "ok", ""
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout", "the response did not end in time"
	case err == nil, errors.Is(err, context.Canceled):
		return "caller left", "the caller did not take the whole response"
	default:
		return "broken", err.Error()
	}
}
