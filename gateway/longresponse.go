package gateway

import (
	"io"
	"log/slog"
	"time"

	"github.com/jacinthrack/jacinthrack/ingress"
)

// longResponse reads the rest of a response that is too long to be buffered. It is read after
// Handle has returned, and it logs how the response ended.
type longResponse struct {
	io.ReadCloser
	gateway *Gateway
	state   *requestState
	length  int64 // size of the whole body in bytes, -1 if unknown
	bytes   int64 // read so far, including the buffered start
	readErr error // that ended reading
}

// streamResponse makes response log how its streamed body ends.
func (g *Gateway) streamResponse(state *requestState, response *ingress.Response) {
	response.RemainingBody = &longResponse{
		ReadCloser: response.RemainingBody, gateway: g, state: state, length: response.BodyLength, bytes: int64(len(response.Body)),
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
		slog.String("server", l.state.triedServers[len(l.state.triedServers)-1]), slog.Int64("bytes", l.bytes), slog.Int64("length", l.length),
		slog.Int64("duration_ms", time.Since(l.state.request.ArrivalTime).Milliseconds()), slog.String("reason", reason))
}

// outcome returns the value of the label "outcome", and the reason if the response is incomplete.
func (l *longResponse) outcome() (label, reason string) {
	switch {
	case l.readErr == io.EOF, l.length >= 0 && l.bytes >= l.length:
		return "ok", ""
	case l.readErr == nil:
		return "caller left", "the caller did not take the whole response"
	default:
		return "broken", l.readErr.Error()
	}
}
