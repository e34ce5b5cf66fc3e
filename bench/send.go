package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/jacinthrack/jacinthrack/caller"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// send sends one arrival and records how it ended.
func (r *runner) send(ctx context.Context, a arrival) {
	due := r.startedAt.Add(a.dueAt)
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.plan.Timeout.Std()))
	defer cancel()
	entitled := r.recorder.recordSent(a, time.Since(r.startedAt))
	var o requestResult
	if a.customerIndex == lookupCustomer {
		o = r.sendLookup(ctx, a)
	} else {
		o = r.sendRequest(ctx, a)
	}
	o.arrival = a
	o.entitled = entitled
	o.latency = time.Since(due)
	r.recorder.recordFinished(o, time.Since(r.startedAt))
}

func (r *runner) sendRequest(ctx context.Context, a arrival) requestResult {
	nonce := strconv.Itoa(a.sequence)
	resp, err := r.callers[a.customerIndex].Do(ctx, r.newRequest(ctx, a, nonce))
	if err != nil {
		return classifyError(err)
	}
	switch {
	case resp.Status >= http.StatusBadRequest:
		return requestResult{outcome: outcomeBadStatus, mayHaveRun: true, failureKind: "status " + strconv.Itoa(resp.Status)}
	case r.plan.CheckAnswers && responseNonce(resp.Body) != nonce:
		return requestResult{outcome: outcomeMismatched, mayHaveRun: true, failureKind: "answer of another request"}
	default:
		return requestResult{outcome: outcomeOK, mayHaveRun: true}
	}
}

func (r *runner) newRequest(ctx context.Context, a arrival, nonce string) *caller.Request {
	kind := r.plan.Mix[a.kindIndex]
	body := r.requestBodies[a.kindIndex]
	request := &caller.Request{
		Method:     kind.Method,
		Route:      kind.Route,
		Path:       kind.Path,
		Idempotent: kind.Idempotent,
		Header:     http.Header{backend.HeaderNonce: {nonce}},
		Body:       body,
	}
	if upload := kind.UploadTime.Std(); upload > 0 && len(body) > 0 {
		request.OpenBodySize = int64(len(body))
		request.OpenBody = func() (io.ReadCloser, error) { return newPacedReader(ctx, body, upload), nil }
	}
	return request
}

func responseNonce(body []byte) string {
	var answer backend.Answer
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.Nonce
}

// classifyError classifies the error of a request.
func classifyError(err error) requestResult {
	o := requestResult{outcome: outcomeFailed, mayHaveRun: true, failureKind: "transport"}
	var failed *caller.RequestError
	if errors.As(err, &failed) {
		o.mayHaveRun = failed.Ran != problem.RanNo
		if failed.Reason != caller.ReasonAttemptsExhausted {
			o.failureKind = string(failed.Reason)
		}
	}
	p, ok := caller.Problem(err)
	if !ok {
		return o
	}
	o.failureKind = string(p.Type)
	o.outcome = outcomeRejected
	if p.Type == problem.TypeRateExceeded {
		o.outcome = outcomeRateRejected
	}
	return o
}

// sendLookup asks the entry instances in turn for clients spread over the address
// space.
func (r *runner) sendLookup(ctx context.Context, a arrival) requestResult {
	entry := r.plan.Entry[a.sequence%len(r.plan.Entry)]
	query := url.Values{lookup.QueryClient: {lookupClientAddress(a.sequence).String()}}
	status, body, err := r.get(ctx, "http://"+entry.String()+lookup.Path+"?"+query.Encode())
	switch {
	case err != nil:
		return requestResult{outcome: outcomeFailed, failureKind: "look-up transport"}
	case status != http.StatusOK:
		return requestResult{outcome: outcomeRejected, failureKind: "look-up status " + strconv.Itoa(status)}
	case !hasInstances(body):
		return requestResult{outcome: outcomeMismatched, failureKind: "look-up without instances"}
	default:
		return requestResult{outcome: outcomeOK}
	}
}

// lookupClientAddress returns the nth client: multiples of an odd number visit the whole
// address space before they repeat.
func lookupClientAddress(n int) netip.Addr {
	v := uint32(n) * 2654435761
	return netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
}

func hasInstances(body []byte) bool {
	var answer lookup.Answer
	return json.Unmarshal(body, &answer) == nil && len(answer.Instances) > 0
}

// maxResponseBytes bounds the answers of look-ups, load endpoints and the control
// API, of which the server list is the largest at about 1 KB for each server.
const maxResponseBytes = 4 << 20

func (r *runner) get(ctx context.Context, target string) (int, []byte, error) {
	return r.roundTrip(ctx, http.MethodGet, target, nil)
}

func (r *runner) roundTrip(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("make request: %w", err)
	}
	resp, err := r.transport.RoundTrip(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	return resp.StatusCode, answer, nil
}

func newRequestBody(n int) []byte { return bytes.Repeat([]byte("x"), n) }

// uploadChunks is the number of parts in which a slow body is sent.
const uploadChunks = 16

// pacedReader reads a body evenly over a time.
type pacedReader struct {
	ctx   context.Context
	remaining  []byte
	chunkBytes  int
	chunkInterval time.Duration
}

func newPacedReader(ctx context.Context, body []byte, total time.Duration) *pacedReader {
	step := max(len(body)/uploadChunks, 1)
	parts := (len(body) + step - 1) / step
	return &pacedReader{ctx: ctx, remaining: body, chunkBytes: step, chunkInterval: total / time.Duration(parts)}
}

func (s *pacedReader) Read(p []byte) (int, error) {
	if len(s.remaining) == 0 {
		return 0, io.EOF
	}
	if err := sleepUntil(s.ctx, time.Now().Add(s.chunkInterval)); err != nil {
		return 0, err
	}
	n := copy(p, s.remaining[:min(s.chunkBytes, len(s.remaining))])
	s.remaining = s.remaining[n:]
	return n, nil
}

func (s *pacedReader) Close() error { return nil }
