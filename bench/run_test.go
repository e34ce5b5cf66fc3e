package bench

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/caller"
	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// entryStub is an http.RoundTripper that answers look-ups and requests without a
// network, so that runs take virtual time only.
type entryStub struct {
	mu           sync.Mutex
	startedAt    time.Time
	requestCount int
	// serviceTime returns the time that a request takes if it arrives at the given
	// time of the run.
	serviceTime func(at time.Duration) time.Duration
	// rejects reports whether the nth request of the run is rejected as above the
	// rate of its key.
	rejects func(key string, at time.Duration, nth int) bool
	// responseNonce returns the nonce of the response to a request with a nonce.
	responseNonce func(nonce string) string
}

func newEntryStub() *entryStub {
	return &entryStub{
		startedAt:     time.Now(),
		serviceTime:   func(time.Duration) time.Duration { return 10 * time.Millisecond },
		rejects:       func(string, time.Duration, int) bool { return false },
		responseNonce: func(nonce string) string { return nonce },
	}
}

func (s *entryStub) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	if r.URL.Path == lookup.EndpointPath {
		w.Header().Set("Cache-Control", "max-age=5")
		_ = json.NewEncoder(w).Encode(lookup.Answer{Instances: []lookup.Instance{{Name: "e", Address: "127.0.0.1:1"}}})
		return w.Result(), nil
	}
	at := time.Since(s.startedAt)
	s.mu.Lock()
	s.requestCount++
	rejected := s.rejects(r.Header.Get(caller.HeaderKey), at, s.requestCount)
	s.mu.Unlock()
	if rejected {
		problem.New(problem.TypeRateExceeded, http.StatusTooManyRequests, problem.DidNotRun, "rate").WithRetryAfter(time.Second).Write(w)
		return w.Result(), nil
	}
	if err := sleepUntil(r.Context(), time.Now().Add(s.serviceTime(at))); err != nil {
		return nil, err
	}
	_ = json.NewEncoder(w).Encode(backend.Answer{Nonce: s.responseNonce(r.Header.Get(backend.HeaderNonce))})
	return w.Result(), nil
}

// runPlanAgainstStub runs testPlan after change has modified the plan and the stub.
func runPlanAgainstStub(t *testing.T, change func(*Plan, *entryStub)) *Result {
	t.Helper()
	stub := newEntryStub()
	p := testPlan()
	p.Transport = stub
	p.CheckResponses = true
	change(&p, stub)
	result, err := Run(t.Context(), p)
	must.NoError(t, err)
	return result
}

// limitByReferenceBuckets makes the stub limit the two customers exactly, by token
// buckets of the given rates per second.
func limitByReferenceBuckets(s *entryStub, within, above float64) {
	limiters := map[string]*tokenBucket{"jr_a_s": newTokenBucket(within, 5), "jr_b_s": newTokenBucket(above, 5)}
	s.rejects = func(key string, at time.Duration, _ int) bool {
		if limiters[key].take(at) {
			return false
		}
		limiters[key].refund(at)
		return true
	}
}

// An exact limiter has no wrong rejections, a limiter that rejects requests of a
// customer within its rate has only wrong ones, and a limiter that admits half of a
// customer's rate wrongly rejects the other half and not every further request.
func TestWronglyRejectedCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, func(_ *Plan, s *entryStub) { limitByReferenceBuckets(s, 20, 5) })
		above := result.Customers[1]
		must.Between(t, 240, above.RateRejected, 250)
		must.Between(t, 45, above.WronglyRejected, 55)
		must.EqOp(t, "above", result.WorstServed)
	})
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, func(_ *Plan, s *entryStub) { limitByReferenceBuckets(s, 20, 10) })
		within, above := result.Customers[0], result.Customers[1]
		must.EqOp(t, 100, within.OK)
		must.EqOp(t, 0, within.RateRejected)
		must.Between(t, 180, above.RateRejected, 200)
		must.EqOp(t, 0, result.Total.WronglyRejected)
		must.EqOp(t, 1, above.Served)
		must.LessEq(t, above.MaxAdmitted, float64(above.Admitted))
	})
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, func(p *Plan, s *entryStub) {
			p.Customers[1].LoadFactor = 0
			s.rejects = func(key string, _ time.Duration, nth int) bool { return nth%10 == 0 }
		})
		must.EqOp(t, 10, result.Customers[0].WronglyRejected)
		must.EqOp(t, 10, result.Problems[string(problem.TypeRateExceeded)])
		must.EqOp(t, "within", result.WorstServed)
		must.EqOp(t, 0.9, result.Customers[0].Served)
	})
}

// Guards against coordinated omission: while the fleet stalls, the generator goes on
// sending requests, and the latency of each counts from the time it was due.
func TestLatencyIncludesStall(t *testing.T) {
	stall := func(p *Plan, s *entryStub) {
		p.Customers = p.Customers[:1] // 10 requests/s
		s.serviceTime = func(at time.Duration) time.Duration {
			if at < 2*time.Second {
				return 2*time.Second - at
			}
			return time.Millisecond
		}
	}
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, stall)
		must.EqOp(t, 100, result.Total.OK)
		must.EqOp(t, 0, result.Generator.Dropped)
		must.Between(t, 1800*time.Millisecond, result.Total.Latency.Max.Std(), 2000*time.Millisecond+time.Millisecond)
		must.Between(t, 900*time.Millisecond, result.Total.Latency.P90.Std(), 1100*time.Millisecond)
		must.LessEq(t, 2*time.Millisecond, result.Total.Latency.P50.Std())
	})
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, func(p *Plan, s *entryStub) {
			stall(p, s)
			p.Lookups.RatePerSecond = 0
			p.MaxOutstanding = 5
		})
		must.EqOp(t, 15, result.Generator.Dropped)
		must.EqOp(t, 85, result.Total.OK)
	})
}

// The latency of a request includes the time by which the generator sent it late.
func TestLatencyStartsAtDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPlan().withDefaults()
		p.Transport = newEntryStub()
		r, err := newRun(p)
		must.NoError(t, err)
		r.startedAt = time.Now()
		time.Sleep(3 * time.Second)
		r.send(t.Context(), arrival{customerIndex: 0})
		result := r.recorder.result(time.Since(r.startedAt))
		must.Between(t, 3*time.Second, result.Total.Latency.Max.Std(), 3020*time.Millisecond)
		must.Between(t, 2990*time.Millisecond, result.Generator.Lag.Max.Std(), 3010*time.Millisecond)
	})
}

// Responses with the nonce of another request count as mismatched, requests of the
// warm-up are not counted, errors of events are reported, and MaxRequests and Timeout
// bound the run.
func TestRunCountsAndBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, func(_ *Plan, s *entryStub) { s.responseNonce = func(string) string { return "0" } })
		must.Positive(t, result.Total.MismatchedResponses)
		must.LessEq(t, 1, result.Total.OK)
	})
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, func(p *Plan, _ *entryStub) {
			p.Customers = p.Customers[:1]
			p.Warmup = 4 * second
			p.Events = []Event{{Name: "stop", At: time.Second, Action: func(context.Context) error { return io.EOF }}}
		})
		must.EqOp(t, 60, result.Total.Sent)
		must.EqOp(t, 300, result.Lookups.OK)
		must.EqOp(t, 100, result.Customers[0].Admitted)
		must.Eq(t, []EventResult{{Name: "stop", Error: "EOF"}}, result.Events)
	})
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, func(p *Plan, _ *entryStub) { p.MaxRequests = 7 })
		must.EqOp(t, 7, result.Total.Sent+result.Lookups.Sent)
		must.True(t, result.Generator.Truncated)
	})
	synctest.Test(t, func(t *testing.T) {
		result := runPlanAgainstStub(t, func(p *Plan, s *entryStub) {
			p.Timeout = second
			s.serviceTime = func(time.Duration) time.Duration { return time.Minute }
		})
		must.EqOp(t, result.Total.Sent, result.Total.Failed)
		must.EqOp(t, result.Total.Sent, result.Problems[string(caller.ReasonDeadline)])
	})
}

// startForwarder starts a minimal entry instance on a socket and returns its address. It
// forwards every request to one backend server and, as an entry instance does, removes
// the key.
func startForwarder(t *testing.T, server *backend.Server) netip.AddrPort {
	mux := http.NewServeMux()
	instance := httptest.NewServer(mux)
	t.Cleanup(instance.Close)
	address := instance.Listener.Addr().String()
	mux.HandleFunc(lookup.EndpointPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(lookup.Answer{Instances: []lookup.Instance{{Name: "e", Address: address}}})
	})
	mux.HandleFunc("/r/", func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+server.Address()+r.URL.Path, r.Body)
		must.NoError(t, err)
		out.Header = r.Header.Clone()
		out.Header.Del(caller.HeaderKey)
		resp, err := http.DefaultTransport.RoundTrip(out)
		if err != nil {
			problem.New(problem.TypeNoBackendServer, http.StatusServiceUnavailable, problem.DidNotRun, "no server").Write(w)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
	return netip.MustParseAddrPort(address)
}

// Headroom, drain, overhead, execution counts and the result table work with the
// backend stand-in on real sockets, not only with stubs.
func TestRunAgainstStandIn(t *testing.T) {
	fleet, err := backend.Start(backend.Options{Servers: []config.BackendServer{{Name: "b", Service: "s", Zone: "z", Address: "127.0.0.1:0", Slots: 64, Connections: 64}}})
	must.NoError(t, err)
	defer fleet.Close()
	server, err := fleet.Server("b")
	must.NoError(t, err)
	control := httptest.NewServer(fleet.Control())
	defer control.Close()
	p := testPlan()
	p.EntryInstances = []netip.AddrPort{startForwarder(t, server)}
	p.Duration = second / 2
	p.Customers[0].LoadFactor = 5
	p.Mix[1].UploadTime = second / 50
	p.CheckResponses = true
	p.BackendServers = fleet.BackendServers()
	p.SampleInterval = second / 20
	p.ControlAddress = strings.TrimPrefix(control.URL, "http://")
	p.Drain = &DrainPlan{Server: "b", At: second / 4, Announce: true, Notice: second * 60, WatchDuration: second / 4}
	p.Overhead = &OverheadPlan{Pairs: 5, Route: "stock", DirectAddress: server.Address(), DirectPath: "/x", Customer: "within"}
	result, err := Run(t.Context(), p)
	must.NoError(t, err)
	must.Positive(t, result.Total.OK)
	must.EqOp(t, result.Total.Sent, result.Total.OK, must.Sprint(result.Problems))
	must.Positive(t, result.Lookups.OK)
	must.Positive(t, result.Headroom.Samples)
	must.EqOp(t, "", result.Drain.Error)
	must.Positive(t, result.Drain.NewRequests)
	must.EqOp(t, 5, result.Overhead.Pairs)
	must.EqOp(t, result.Kinds[1].OK, result.Executions.Keys)
	must.EqOp(t, 0, result.Executions.KeyLeaks)
	must.SliceEmpty(t, result.Executions.Repeated)
	var out strings.Builder
	must.NoError(t, result.WriteTable(&out))
	t.Log("\n" + out.String())
	for _, want := range []string{"worst served", "exceeds its rate and burst", "headroom", "drain", "overhead", "executions", "generator"} {
		must.StrContains(t, out.String(), want)
	}
}
