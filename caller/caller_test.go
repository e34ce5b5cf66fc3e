package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// fakeFleet is a RoundTripper that responds like a fleet of entry instances. It uses no
// sockets, so tests can run it with the fake clock of a synctest bubble. The instance
// named "n" has the address 127.0.0.1:n.
type fakeFleet struct {
	mu      sync.Mutex
	listed  []string // names of the instances in look-up answers; if empty, look-ups fail
	maxAge  string   // Cache-Control of look-up answers
	lookups int      // look-ups received
	// lookupDuration is the time from a look-up to its answer.
	lookupDuration time.Duration
	// serve responds to the nth request to the fleet, counted from 1. Nil means a
	// response with status 200.
	serve    func(instance string, nth int) (*http.Response, error)
	requests []*http.Request // without look-ups
}

// errDial is the error of a round trip that could not connect.
var errDial = &net.OpError{Op: "dial", Net: "tcp", Err: io.ErrClosedPipe}

func (f *fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == lookup.EndpointPath {
		f.lookups++
		answer, err := f.lookupAnswer()
		duration := f.lookupDuration
		f.mu.Unlock()
		time.Sleep(duration)
		f.mu.Lock()
		return answer, err
	}
	f.requests = append(f.requests, r)
	instance := r.URL.Port()
	if f.serve == nil {
		return newResponse(http.StatusOK, "text/plain", instance), nil
	}
	return f.serve(instance, len(f.requests))
}

func (f *fakeFleet) lookupAnswer() (*http.Response, error) {
	if len(f.listed) == 0 {
		return nil, errDial
	}
	answer := lookup.Answer{Version: "1"}
	for _, name := range f.listed {
		answer.Instances = append(answer.Instances, lookup.Instance{Name: name, Address: "127.0.0.1:" + name, Zone: "z"})
	}
	body, err := json.Marshal(answer)
	resp := newResponse(http.StatusOK, "application/json", string(body))
	resp.Header.Set("Cache-Control", f.maxAge)
	return resp, err
}

func (f *fakeFleet) setListed(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = names
}

// requestedInstances returns the name of the instance that received each request.
func (f *fakeFleet) requestedInstances() []string {
	var out []string
	for _, r := range f.requests {
		out = append(out, r.URL.Port())
	}
	return out
}

func newResponse(status int, media, body string) *http.Response {
	w := httptest.NewRecorder()
	w.Header().Set("Content-Type", media)
	w.WriteHeader(status)
	_, _ = w.WriteString(body)
	return w.Result()
}

// reject returns a response with a problem document, as entry instances write it.
func reject(t problem.Type, ran problem.RunStatus, retryAfter time.Duration) *http.Response {
	w := httptest.NewRecorder()
	problem.New(t, http.StatusServiceUnavailable, ran, "test").WithRetryAfter(retryAfter).Write(w)
	return w.Result()
}

const testKey = "jr_id_secret"

// newTestClient returns a client with at most 3 attempts. Besides the given seeds it has
// 127.0.0.1:9, where nothing is expected to listen.
func newTestClient(t *testing.T, transport http.RoundTripper, seeds ...string) *Client {
	t.Helper()
	o := Options{Client: netip.MustParseAddr("127.0.0.1"), Key: testKey, Transport: transport, MaxAttempts: 3}
	for _, s := range append(seeds, "127.0.0.1:9") {
		o.Seeds = append(o.Seeds, netip.MustParseAddrPort(s))
	}
	client, err := New(o)
	must.NoError(t, err)
	return client
}

// Guards against requests that fail although another instance could serve them, against
// repeated attempts that another instance would reject as well, and against instances
// that are down or draining being tried first by the next request.
func TestFailoverByFailure(t *testing.T) {
	get, post := &Request{Route: "r"}, &Request{Route: "r", Method: http.MethodPost}
	cases := []struct {
		name    string
		request *Request
		first   func() (*http.Response, error)
		want    []string // instances tried by the request and by a second one
	}{
		{"down", post, func() (*http.Response, error) { return nil, errDial }, []string{"1", "2", "2"}},
		{"draining", get, func() (*http.Response, error) { return reject(problem.TypeDraining, problem.DidNotRun, 0), nil }, []string{"1", "2", "2"}},
		{"overloaded", post, func() (*http.Response, error) {
			return reject(problem.TypeOverloaded, problem.DidNotRun, time.Hour), nil
		}, []string{"1", "2", "1"}},
		{"response lost", post, func() (*http.Response, error) { return nil, io.ErrUnexpectedEOF }, []string{"1", "2", "1"}},
		{"backend failed, may have run, idempotent", get, func() (*http.Response, error) { return reject(problem.TypeBackendFailed, problem.MayHaveRun, 0), nil }, []string{"1", "2", "1"}},
		{"backend failed, may have run, not idempotent", post, func() (*http.Response, error) { return reject(problem.TypeBackendFailed, problem.MayHaveRun, 0), nil }, []string{"1", "1"}},
		{"claim outcome unknown", post, func() (*http.Response, error) {
			return reject(problem.TypeClaimOutcomeUnknown, problem.MayHaveRun, 0), nil
		}, []string{"1", "1"}},
		{"key invalid", get, func() (*http.Response, error) { return reject(problem.TypeKeyInvalid, problem.DidNotRun, 0), nil }, []string{"1", "1"}},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeFleet{listed: []string{"1", "2"}, maxAge: "max-age=5"}
			f.serve = func(instance string, nth int) (*http.Response, error) {
				if nth == 1 {
					return tc.first()
				}
				return newResponse(http.StatusOK, "text/plain", instance), nil
			}
			client := newTestClient(t, f)
			_, err := client.Do(t.Context(), tc.request)
			must.EqOp(t, len(tc.want) == 2, err != nil, must.Sprint(tc.name))
			_, err = client.Do(t.Context(), tc.request)
			must.NoError(t, err)
			must.Eq(t, tc.want, f.requestedInstances(), must.Sprint(tc.name))
			must.EqOp(t, 1, f.lookups)
		})
	}
}

// Guards against requests that use an expired look-up answer when the next look-up fails
// or returns other instances.
func TestExpiredLookupAnswerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{listed: []string{"1"}, maxAge: "public, max-age=5"}
		client := newTestClient(t, f)
		do := func() error {
			_, err := client.Do(t.Context(), &Request{Route: "r"})
			return err
		}
		must.NoError(t, do())
		// The cached answer stays usable when a look-up in the background fails.
		time.Sleep(5*time.Second - time.Nanosecond)
		f.setListed()
		must.NoError(t, do())
		must.Eq(t, []string{"1", "1"}, f.requestedInstances())
		synctest.Wait()
		f.setListed("2")
		time.Sleep(time.Nanosecond)
		must.NoError(t, do())
		must.Eq(t, []string{"1", "1", "2"}, f.requestedInstances())
		time.Sleep(5 * time.Second)
		f.setListed()
		err := do()
		must.True(t, errors.As(err, new(*LookupError)))
		var failed *RequestError
		must.True(t, errors.As(err, &failed))
		must.EqOp(t, ReasonLookupFailed, failed.Reason)
		must.EqOp(t, problem.DidNotRun, failed.Ran)
		must.Len(t, 3, f.requests)
	})
}

// Guards against requests that wait for a look-up although the cached answer has not
// expired, and against one look-up for each request.
func TestCacheIsRefreshedInTheBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{listed: []string{"1"}, maxAge: "max-age=8"}
		client := newTestClient(t, f)
		for range 24 {
			started := time.Now()
			_, err := client.Instances(t.Context())
			must.NoError(t, err)
			must.EqOp(t, 0, time.Since(started))
			time.Sleep(time.Second)
			// Look-ups after the first take one second.
			f.mu.Lock()
			f.lookupDuration = time.Second
			f.mu.Unlock()
		}
		must.EqOp(t, 4, f.lookups)
	})
}

// Guards against new attempts before the Retry-After of a rejection has passed, and
// against waits that cannot end within the deadline.
func TestRetryAfterIsObeyed(t *testing.T) {
	cases := []struct {
		name        string
		problem     problem.Type
		timeout     time.Duration
		maxWait     time.Duration
		wantElapsed time.Duration
		wantErr     FailureReason
		wantSent    int
	}{
		{"rate", problem.TypeRateExceeded, time.Minute, 0, 3 * time.Second, "", 2},
		{"claim in progress", problem.TypeClaimInProgress, time.Minute, 0, 3 * time.Second, "", 2},
		{"Retry-After beyond the deadline", problem.TypeRateExceeded, 2 * time.Second, 0, 0, ReasonDeadline, 1},
		{"Retry-After beyond MaxWait", problem.TypeRateExceeded, time.Minute, time.Second, 0, ReasonDeadline, 1},
		{"all instances overloaded", problem.TypeOverloaded, time.Minute, 0, 3 * time.Second, "", 3},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeFleet{listed: []string{"1", "2"}, maxAge: "max-age=60"}
			started := time.Now()
			f.serve = func(instance string, nth int) (*http.Response, error) {
				if time.Since(started) < 3*time.Second {
					return reject(tc.problem, problem.DidNotRun, 3*time.Second), nil
				}
				return newResponse(http.StatusOK, "text/plain", ""), nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
			defer cancel()
			client := newTestClient(t, f)
			client.options.MaxWait = tc.maxWait
			_, err := client.Do(ctx, &Request{Route: "r", Method: http.MethodPost})
			must.EqOp(t, tc.wantSent, len(f.requests), must.Sprint(tc.name))
			must.EqOp(t, tc.wantElapsed, time.Since(started), must.Sprint(tc.name))
			if tc.wantErr == "" {
				must.NoError(t, err)
				return
			}
			var failed *RequestError
			must.True(t, errors.As(err, &failed))
			must.EqOp(t, tc.wantErr, failed.Reason)
			must.EqOp(t, problem.DidNotRun, failed.Ran)
			p, ok := Problem(err)
			must.True(t, ok)
			must.EqOp(t, tc.problem, p.Type)
		})
	}
}

// Guards against more attempts than MaxAttempts, against trying an instance that is down
// before others, against DidNotRun in the error after an attempt that may have run, and
// against errors that contain the API key.
func TestMaxAttemptsIsObeyed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{listed: []string{"1", "2"}, maxAge: "max-age=60"}
		f.serve = func(_ string, nth int) (*http.Response, error) {
			if nth == 2 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, errDial
		}
		_, err := newTestClient(t, f).Do(t.Context(), &Request{Route: "r", Method: http.MethodPost})
		var failed *RequestError
		must.True(t, errors.As(err, &failed))
		must.EqOp(t, ReasonAttemptsExhausted, failed.Reason)
		must.EqOp(t, problem.MayHaveRun, failed.Ran)
		must.Eq(t, []string{"1", "2", "2"}, f.requestedInstances())
		must.StrNotContains(t, err.Error(), testKey)
		key := f.requests[0].Header.Get(HeaderIdempotencyKey)
		must.NotEqOp(t, "", key)
		for _, r := range f.requests {
			must.EqOp(t, key, r.Header.Get(HeaderIdempotencyKey))
			must.EqOp(t, testKey, r.Header.Get(HeaderKey))
		}
		must.EqOp(t, key, failed.IdempotencyKey)
		must.EqOp(t, fmt.Sprint(DefaultTimeout.Milliseconds()), f.requests[0].Header.Get(HeaderTimeout))
	})
}
