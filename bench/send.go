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
	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// send sends the request of an arrival and records its result. The timeout and the
// latency count from the time the request was due.
func (r *runner) send(ctx context.Context, a arrival) {
	due := r.startedAt.Add(a.dueAt)
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.plan.Timeout.Std()))
	defer cancel()
	entitled := r.recorder.recordSent(a, time.Since(r.startedAt))
	var result requestResult
	if a.customerIndex == lookupCustomer {
		result = r.sendLookup(ctx, a)
	} else {
		result = r.sendRequest(ctx, a)
	}
	result.arrival = a
	result.entitled = entitled
	result.latency = time.Since(due)
	r.recorder.recordFinished(result, time.Since(r.startedAt))
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
	case r.plan.CheckResponses && responseNonce(resp.Body) != nonce:
		return requestResult{outcome: outcomeMismatched, mayHaveRun: true, failureKind: "answer of another request"}
	default:
		return requestResult{outcome: outcomeOK, mayHaveRun: true}
	}
}

// newRequest returns a request of the arrival's kind that carries a nonce.
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

// responseNonce returns the nonce that the backend stand-in copied into a response
// body, or "" if there is none.
func responseNonce(body []byte) string {
	var answer backend.Answer
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.Nonce
}

// classifyError returns the result of a request that failed with an error.
func classifyError(err error) requestResult {
	result := requestResult{outcome: outcomeFailed, mayHaveRun: true, failureKind: "transport"}
	var failed *caller.RequestError
	if errors.As(err, &failed) {
		result.mayHaveRun = failed.Ran != problem.DidNotRun
		if failed.Reason != caller.ReasonAttemptsExhausted {
			result.failureKind = string(failed.Reason)
		}
	}
	p, ok := caller.Problem(err)
	if !ok {
		return result
	}
	result.failureKind = string(p.Type)
	result.outcome = outcomeRejected
	if p.Type == problem.TypeRateExceeded {
		result.outcome = outcomeRateRejected
	}
	return result
}

// sendLookup sends a look-up to the entry instances in turn, each for another client
// of the IPv4 address space.
func (r *runner) sendLookup(ctx context.Context, a arrival) requestResult {
	instance := r.plan.EntryInstances[a.sequence%len(r.plan.EntryInstances)]
	query := url.Values{lookup.ParamClient: {lookupClientAddress(a.sequence).String()}}
	status, body, err := r.get(ctx, "http://"+instance.String()+lookup.EndpointPath+"?"+query.Encode())
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

// lookupClientAddress returns the client address of the nth arrival. Multiples of an
// odd number modulo 2^32 visit every IPv4 address before they repeat.
func lookupClientAddress(n int) netip.Addr {
	v := uint32(n) * 2654435761
	return netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
}

// hasInstances reports whether body is a look-up answer that names an entry instance.
func hasInstances(body []byte) bool {
	var answer lookup.Answer
	return json.Unmarshal(body, &answer) == nil && len(answer.Instances) > 0
}

// maxResponseBytes bounds the response bodies of look-ups, load endpoints and the
// control API. The largest is the control API's server list with about 1 KB for each
// server.
const maxResponseBytes = 4 << 20

func (r *runner) get(ctx context.Context, target string) (int, []byte, error) {
	return r.roundTrip(ctx, http.MethodGet, target, nil)
}

// roundTrip sends a request and returns the status and body of the response.
func (r *runner) roundTrip(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build HTTP request: %w", err)
	}
	resp, err := r.transport.RoundTrip(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	defer resp.Body.Close()
	if err := responsecheck.Check(resp); err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	return resp.StatusCode, responseBody, nil
}

func newRequestBody(n int) []byte { return bytes.Repeat([]byte("x"), n) }

// uploadChunks is the number of chunks in which a request body with an upload time is
// sent.
const uploadChunks = 16

// pacedReader returns a request body in chunks at a constant interval, to simulate a
// slow upload.
type pacedReader struct {
	ctx           context.Context
	remaining     []byte
	chunkBytes    int
	chunkInterval time.Duration
}

func newPacedReader(ctx context.Context, body []byte, uploadTime time.Duration) *pacedReader {
	chunk := max(len(body)/uploadChunks, 1)
	chunks := (len(body) + chunk - 1) / chunk
	return &pacedReader{ctx: ctx, remaining: body, chunkBytes: chunk, chunkInterval: uploadTime / time.Duration(chunks)}
}

func (r *pacedReader) Read(p []byte) (int, error) {
	if len(r.remaining) == 0 {
		return 0, io.EOF
	}
	if err := sleepUntil(r.ctx, time.Now().Add(r.chunkInterval)); err != nil {
		return 0, err
	}
	n := copy(p, r.remaining[:min(r.chunkBytes, len(r.remaining))])
	r.remaining = r.remaining[n:]
	return n, nil
}

func (r *pacedReader) Close() error { return nil }
