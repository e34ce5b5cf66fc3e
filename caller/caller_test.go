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

// fleet plays entry instances behind a RoundTripper, so that timers can run in a
// synctest bubble. Instance n has the name "n" and the address 127.0.0.1:n.
type fleet struct {
	mu      sync.Mutex
	list    []string
	maxAge  string
	lookups int
	// lookupTime is the duration of a look-up.
	lookupTime time.Duration
	// serve answers the nth request to an instance; nil means 200.
	serve func(instance string, nth int) (*http.Response, error)
	seen  []*http.Request
}

var errDial = &net.OpError{Op: "dial", Net: "tcp", Err: io.ErrClosedPipe}

func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == lookup.Path {
		f.lookups++
		answer, err := f.lookupAnswer()
		pause := f.lookupTime
		f.mu.Unlock()
		time.Sleep(pause)
		f.mu.Lock()
		return answer, err
	}
	f.seen = append(f.seen, r)
	instance := r.URL.Port()
	if f.serve == nil {
		return respond(http.StatusOK, "text/plain", instance), nil
	}
	return f.serve(instance, len(f.seen))
}

func (f *fleet) lookupAnswer() (*http.Response, error) {
	if len(f.list) == 0 {
		return nil, errDial
	}
	answer := lookup.Answer{Version: "1"}
	for _, name := range f.list {
		answer.Instances = append(answer.Instances, lookup.Instance{Name: name, Address: "127.0.0.1:" + name, Zone: "z"})
	}
	body, err := json.Marshal(answer)
	resp := respond(http.StatusOK, "application/json", string(body))
	resp.Header.Set("Cache-Control", f.maxAge)
	return resp, err
}

func (f *fleet) setList(list ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = list
}

func (f *fleet) instances() []string {
	var out []string
	for _, r := range f.seen {
		out = append(out, r.URL.Port())
	}
	return out
}

func respond(status int, media, body string) *http.Response {
	w := httptest.NewRecorder()
	w.Header().Set("Content-Type", media)
	w.WriteHeader(status)
	_, _ = w.WriteString(body)
	return w.Result()
}

func refuse(t problem.Type, ran problem.Ran, retryAfter time.Duration) *http.Response {
	w := httptest.NewRecorder()
	problem.New(t, http.StatusServiceUnavailable, ran, "test").WithRetryAfter(retryAfter).Write(w)
	return w.Result()
}

const testKey = "jr_id_secret"

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

// Guards against failures that end a request although another instance could
// answer it, against resends that another instance would refuse as well, and
// against instances that are down or draining being tried first again.
func TestFailover(t *testing.T) {
	get, post := &Request{Route: "r"}, &Request{Route: "r", Method: http.MethodPost}
	cases := []struct {
		name    string
		request *Request
		first   func() (*http.Response, error)
		want    []string // instances of the request and of one after it
	}{
		{"down", post, func() (*http.Response, error) { return nil, errDial }, []string{"1", "2", "2"}},
		{"draining", get, func() (*http.Response, error) { return refuse(problem.TypeDraining, problem.RanNo, 0), nil }, []string{"1", "2", "2"}},
		{"overloaded", post, func() (*http.Response, error) { return refuse(problem.TypeOverloaded, problem.RanNo, time.Hour), nil }, []string{"1", "2", "1"}},
		{"lost", post, func() (*http.Response, error) { return nil, io.ErrUnexpectedEOF }, []string{"1", "2", "1"}},
		{"failed, may have run, idempotent", get, func() (*http.Response, error) { return refuse(problem.TypeBackendFailed, problem.RanUnknown, 0), nil }, []string{"1", "2", "1"}},
		{"failed, may have run", post, func() (*http.Response, error) { return refuse(problem.TypeBackendFailed, problem.RanUnknown, 0), nil }, []string{"1", "1"}},
		{"outcome unknown", post, func() (*http.Response, error) {
			return refuse(problem.TypeClaimOutcomeUnknown, problem.RanUnknown, 0), nil
		}, []string{"1", "1"}},
		{"key invalid", get, func() (*http.Response, error) { return refuse(problem.TypeKeyInvalid, problem.RanNo, 0), nil }, []string{"1", "1"}},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{list: []string{"1", "2"}, maxAge: "max-age=5"}
			f.serve = func(instance string, nth int) (*http.Response, error) {
				if nth == 1 {
					return tc.first()
				}
				return respond(http.StatusOK, "text/plain", instance), nil
			}
			client := newTestClient(t, f)
			_, err := client.Do(t.Context(), tc.request)
			must.EqOp(t, len(tc.want) == 2, err != nil, must.Sprint(tc.name))
			_, err = client.Do(t.Context(), tc.request)
			must.NoError(t, err)
			must.Eq(t, tc.want, f.instances(), must.Sprint(tc.name))
			must.EqOp(t, 1, f.lookups)
		})
	}
}

// Guards against traffic that an expired answer steers, when the look-up fails
// or gives another list.
func TestCacheEndsWithMaxAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{list: []string{"1"}, maxAge: "public, max-age=5"}
		client := newTestClient(t, f)
		do := func() error {
			_, err := client.Do(t.Context(), &Request{Route: "r"})
			return err
		}
		must.NoError(t, do())
		// A failed look-up in the background leaves the answer usable.
		time.Sleep(5*time.Second - time.Nanosecond)
		f.setList()
		must.NoError(t, do())
		must.Eq(t, []string{"1", "1"}, f.instances())
		synctest.Wait()
		f.setList("2")
		time.Sleep(time.Nanosecond)
		must.NoError(t, do())
		must.Eq(t, []string{"1", "1", "2"}, f.instances())
		time.Sleep(5 * time.Second)
		f.setList()
		err := do()
		must.True(t, errors.As(err, new(*LookupError)))
		var failed *RequestError
		must.True(t, errors.As(err, &failed))
		must.EqOp(t, ReasonLookupFailed, failed.Reason)
		must.EqOp(t, problem.RanNo, failed.Ran)
		must.Len(t, 3, f.seen)
	})
}

// Guards against requests that wait for a look-up although the cached answer is
// usable, and against a fleet that is asked for each of them.
func TestCacheIsRefreshedInTheBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{list: []string{"1"}, maxAge: "max-age=8"}
		client := newTestClient(t, f)
		for range 24 {
			started := time.Now()
			_, err := client.Instances(t.Context())
			must.NoError(t, err)
			must.EqOp(t, 0, time.Since(started))
			time.Sleep(time.Second)
			// From the second look-up on, an answer takes a second.
			f.mu.Lock()
			f.lookupTime = time.Second
			f.mu.Unlock()
		}
		must.EqOp(t, 4, f.lookups)
	})
}

// Guards against callers that press a refusing fleet before its Retry-After, and
// against waits that cannot end within the deadline.
func TestRetryAfter(t *testing.T) {
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
		{"in progress", problem.TypeClaimInProgress, time.Minute, 0, 3 * time.Second, "", 2},
		{"too long", problem.TypeRateExceeded, 2 * time.Second, 0, 0, ReasonDeadline, 1},
		{"longer than allowed", problem.TypeRateExceeded, time.Minute, time.Second, 0, ReasonDeadline, 1},
		{"all overloaded", problem.TypeOverloaded, time.Minute, 0, 3 * time.Second, "", 3},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{list: []string{"1", "2"}, maxAge: "max-age=60"}
			started := time.Now()
			f.serve = func(instance string, nth int) (*http.Response, error) {
				if time.Since(started) < 3*time.Second {
					return refuse(tc.problem, problem.RanNo, 3*time.Second), nil
				}
				return respond(http.StatusOK, "text/plain", ""), nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
			defer cancel()
			client := newTestClient(t, f)
			client.options.MaxWait = tc.maxWait
			_, err := client.Do(ctx, &Request{Route: "r", Method: http.MethodPost})
			must.EqOp(t, tc.wantSent, len(f.seen), must.Sprint(tc.name))
			must.EqOp(t, tc.wantElapsed, time.Since(started), must.Sprint(tc.name))
			if tc.wantErr == "" {
				must.NoError(t, err)
				return
			}
			var failed *RequestError
			must.True(t, errors.As(err, &failed))
			must.EqOp(t, tc.wantErr, failed.Reason)
			must.EqOp(t, problem.RanNo, failed.Ran)
			p, ok := Problem(err)
			must.True(t, ok)
			must.EqOp(t, tc.problem, p.Type)
		})
	}
}

// Guards against endless attempts, against an instance known to be down tried
// before others, against "not run" after an attempt that may
// have run, and against errors that show the key.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{list: []string{"1", "2"}, maxAge: "max-age=60"}
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
		must.EqOp(t, problem.RanUnknown, failed.Ran)
		must.Eq(t, []string{"1", "2", "2"}, f.instances())
		must.StrNotContains(t, err.Error(), testKey)
		key := f.seen[0].Header.Get(HeaderIdempotencyKey)
		must.NotEqOp(t, "", key)
		for _, r := range f.seen {
			must.EqOp(t, key, r.Header.Get(HeaderIdempotencyKey))
			must.EqOp(t, testKey, r.Header.Get(HeaderKey))
		}
		must.EqOp(t, key, failed.IdempotencyKey)
		must.EqOp(t, fmt.Sprint(DefaultTimeout.Milliseconds()), f.seen[0].Header.Get(HeaderTimeout))
	})
}
