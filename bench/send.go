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
func (r *run) send(ctx context.Context, a arrival) {
	due := r.start.Add(a.at)
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.plan.Timeout.Std()))
	defer cancel()
	entitled := r.recorder.sent(a, time.Since(r.start))
	var o observation
	if a.customer == lookupStream {
		o = r.sendLookup(ctx, a)
	} else {
		o = r.sendRequest(ctx, a)
	}
	o.arrival = a
	o.entitled = entitled
	o.latency = time.Since(due)
	r.recorder.finished(o, time.Since(r.start))
}

func (r *run) sendRequest(ctx context.Context, a arrival) observation {
	nonce := strconv.Itoa(a.number)
	resp, err := r.callers[a.customer].Do(ctx, r.request(ctx, a, nonce))
	if err != nil {
		return observationOf(err)
	}
	switch {
	case resp.Status >= http.StatusBadRequest:
		return observation{verdict: verdictBadStatus, ran: true, problem: "status " + strconv.Itoa(resp.Status)}
	case r.plan.CheckResponses && nonceOf(resp.Body) != nonce:
		return observation{verdict: verdictMismatched, ran: true, problem: "answer of another request"}
	default:
		return observation{verdict: verdictOK, ran: true}
	}
}

func (r *run) request(ctx context.Context, a arrival, nonce string) *caller.Request {
	kind := r.plan.Mix[a.kind]
	body := r.bodies[a.kind]
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
		request.OpenBody = func() (io.ReadCloser, error) { return newSlowReader(ctx, body, upload), nil }
	}
	return request
}

func nonceOf(body []byte) string {
	var answer backend.Answer
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.Nonce
}

// observationOf classifies the error of a request.
func observationOf(err error) observation {
	o := observation{verdict: verdictFailed, ran: true, problem: "transport"}
	var failed *caller.RequestError
	if errors.As(err, &failed) {
		o.ran = failed.Ran != problem.DidNotRun
		if failed.Reason != caller.ReasonAttemptsExhausted {
			o.problem = string(failed.Reason)
		}
	}
	p, ok := caller.Problem(err)
	if !ok {
		return o
	}
	o.problem = string(p.Type)
	o.verdict = verdictRefused
	if p.Type == problem.TypeRateExceeded {
		o.verdict = verdictRateRefused
	}
	return o
}

// sendLookup asks the entry instances in turn for clients spread over the address
// space.
func (r *run) sendLookup(ctx context.Context, a arrival) observation {
	entry := r.plan.EntryInstances[a.number%len(r.plan.EntryInstances)]
	query := url.Values{lookup.ParamClient: {lookupClient(a.number).String()}}
	status, body, err := r.get(ctx, "http://"+entry.String()+lookup.EndpointPath+"?"+query.Encode())
	switch {
	case err != nil:
		return observation{verdict: verdictFailed, problem: "look-up transport"}
	case status != http.StatusOK:
		return observation{verdict: verdictRefused, problem: "look-up status " + strconv.Itoa(status)}
	case !hasInstances(body):
		return observation{verdict: verdictMismatched, problem: "look-up without instances"}
	default:
		return observation{verdict: verdictOK}
	}
}

// lookupClient returns the nth client: multiples of an odd number visit the whole
// address space before they repeat.
func lookupClient(n int) netip.Addr {
	v := uint32(n) * 2654435761
	return netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
}

func hasInstances(body []byte) bool {
	var answer lookup.Answer
	return json.Unmarshal(body, &answer) == nil && len(answer.Instances) > 0
}

// maxBodyBytes bounds the answers of look-ups, load endpoints and the control
// API, of which the server list is the largest at about 1 KB for each server.
const maxBodyBytes = 4 << 20

func (r *run) get(ctx context.Context, target string) (int, []byte, error) {
	return r.exchange(ctx, http.MethodGet, target, nil)
}

func (r *run) exchange(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("make request: %w", err)
	}
	resp, err := r.http.RoundTrip(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	return resp.StatusCode, answer, nil
}

func bodyOf(n int) []byte { return bytes.Repeat([]byte("x"), n) }

// uploadSteps is the number of parts in which a slow body is sent.
const uploadSteps = 16

// slowReader reads a body evenly over a time.
type slowReader struct {
	ctx   context.Context
	rest  []byte
	step  int
	pause time.Duration
}

func newSlowReader(ctx context.Context, body []byte, total time.Duration) *slowReader {
	step := max(len(body)/uploadSteps, 1)
	parts := (len(body) + step - 1) / step
	return &slowReader{ctx: ctx, rest: body, step: step, pause: total / time.Duration(parts)}
}

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		return 0, io.EOF
	}
	if err := sleepUntil(s.ctx, time.Now().Add(s.pause)); err != nil {
		return 0, err
	}
	n := copy(p, s.rest[:min(s.step, len(s.rest))])
	s.rest = s.rest[n:]
	return n, nil
}

func (s *slowReader) Close() error { return nil }
