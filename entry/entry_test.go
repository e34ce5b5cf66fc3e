package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/forward"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
	standin "github.com/jacinthrack/jacinthrack/internal/standin/platform"
	"github.com/jacinthrack/jacinthrack/internal/testfleet"
	"github.com/jacinthrack/jacinthrack/operatorapi"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/selector"
)

// waitTimeout bounds each wait for an expected state. It asserts nothing about speed:
// passing tests reach the state much sooner.
const waitTimeout = 30 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// waitUntil waits until condition returns true, and fails the test after waitTimeout.
// state describes the condition in the failure message.
func waitUntil(t *testing.T, state string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", state)
}

func testDocument() *config.Document {
	doc := &config.Document{
		Regions:   []config.Region{{Name: "north"}, {Name: "south"}},
		Zones:     []config.Zone{{Name: "north-a", Region: "north"}, {Name: "north-b", Region: "north"}, {Name: "south-a", Region: "south"}},
		Links:     []config.Link{{From: "north", To: "south", BitsPerSecond: 4e9}},
		Services:  []config.Service{{Name: "stock", HealthPath: "/healthz"}, {Name: "orders"}},
		Customers: []config.Customer{{Name: "acme", RatePerSecond: 1000, Burst: 1000}, {Name: "small", RatePerSecond: 1, Burst: 5}},
		Routes: []config.Route{
			{Name: "check", Service: "stock", Methods: []string{"GET"}, Idempotent: true, Access: config.AccessKeyed, Deadline: config.Duration(5 * time.Second)},
			{Name: "public", Service: "stock", Methods: []string{"GET"}, Idempotent: true, Access: config.AccessOpen, Deadline: config.Duration(5 * time.Second)},
			{Name: "order", Service: "orders", Methods: []string{"POST"}, Access: config.AccessKeyed, Deadline: config.Duration(5 * time.Second)},
		},
		Sites:  []config.Site{{Name: "site-north", Zone: "north-a"}},
		Policy: config.Policy{LookupMaxAge: config.Duration(time.Second), QueueWait: config.Duration(time.Second)},
	}
	for _, service := range []string{"stock", "orders"} {
		for _, zone := range doc.Zones {
			for i := range 2 {
				doc.BackendServers = append(doc.BackendServers, config.BackendServer{
					Name: fmt.Sprintf("%s-%s-%d", service, zone.Name, i), Service: service, Zone: zone.Name,
					Slots: 8, Connections: 100, Labels: selector.Labels{"tier": "stable"},
				})
			}
		}
	}
	return doc
}

// keyedFleet is a running deployment with an API key of the customer "acme".
type keyedFleet struct {
	*testfleet.Fleet
	t     *testing.T
	key   string
	keyID string
}

func startFleet(t *testing.T) *keyedFleet {
	t.Helper()
	deployment, err := testfleet.Start(t.Context(), testfleet.Options{
		Document:      testDocument(),
		InstanceZones: []string{"north-a", "north-b", "south-a"},
		Log:           slog.New(slog.DiscardHandler),
	})
	must.NoError(t, err)
	t.Cleanup(deployment.Stop)
	f := &keyedFleet{Fleet: deployment, t: t}
	f.key, f.keyID = f.grantKey("acme")
	for i := range f.Instances {
		waitUntil(t, fmt.Sprintf("entry instance %d serving requests", i), func() bool {
			status, _, _ := f.get(i, "/r/check/x", f.key)
			return status == http.StatusOK
		})
	}
	return f
}

func (f *keyedFleet) grantKey(customer string) (key, id string) {
	f.t.Helper()
	granted, err := f.OperatorClient(0).Grant(f.t.Context(), operatorapi.GrantRequest{Customer: customer})
	must.NoError(f.t, err)
	return granted.Key, granted.KeyID
}

func (f *keyedFleet) get(index int, path, key string) (int, string, error) {
	return f.send(index, http.MethodGet, path, key, "")
}

// send sends a request to the entry instance with the index. It returns the status and body
// of the response, and status 0 if there was none.
func (f *keyedFleet) send(index int, method, path, key, idempotencyKey string) (int, string, error) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, f.CallerURL(index)+path, strings.NewReader(idempotencyKey))
	must.NoError(f.t, err)
	req.Header.Set(forward.HeaderKey, key)
	if idempotencyKey != "" {
		req.Header.Set(forward.HeaderIdempotencyKey, idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func decodeProblem(t *testing.T, body string) problem.Document {
	t.Helper()
	var d problem.Document
	must.NoError(t, json.Unmarshal([]byte(body), &d))
	return d
}

// After a withdrawal is reported to be in force, every instance rejects the key, both
// while the platform is up and while it is down. A withdrawal made during an outage is
// recorded on the platform afterwards.
func TestWithdrawnKeyIsRejectedByAllInstances(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down %t", down), func(t *testing.T) {
			f := startFleet(t)
			f.Platform.SetFault(standin.Fault{Down: down})
			resp, err := f.OperatorClient(1).Withdraw(t.Context(), operatorapi.WithdrawRequest{KeyID: f.keyID})
			must.NoError(t, err)
			must.True(t, resp.InForce, must.Sprintf("response %+v", resp))
			must.Eq(t, !down, resp.Recorded)
			for i := range f.Instances {
				status, body, err := f.get(i, "/r/check/x", f.key)
				must.NoError(t, err)
				must.Eq(t, http.StatusForbidden, status)
				must.Eq(t, problem.DidNotRun, decodeProblem(t, body).Ran)
			}
			f.Platform.SetFault(standin.Fault{})
			waitUntil(t, "withdrawal recorded on the platform", func() bool {
				list, err := f.OperatorClient(2).Keys(t.Context())
				return err == nil && len(list.Keys) == 1 && list.Keys[0].Withdrawn
			})
		})
	}
}

// An order that is sent through several instances at once with one idempotency key runs
// once, also while replies of the platform are lost.
func TestOrderRunsAtMostOnce(t *testing.T) {
	f := startFleet(t)
	for _, lose := range []bool{false, true} {
		f.Platform.SetFault(standin.Fault{LoseReply: lose})
		key := fmt.Sprintf("order-%t", lose)
		var served atomic.Int32
		var calls sync.WaitGroup
		for i := range 12 {
			calls.Go(func() {
				status, _, err := f.send(i%len(f.Instances), http.MethodPost, "/r/order/new", f.key, key)
				if err == nil && status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		calls.Wait()
		f.Platform.SetFault(standin.Fault{})
		waitUntil(t, "order answered with its stored response", func() bool {
			status, _, _ := f.send(2, http.MethodPost, "/r/order/new", f.key, key)
			return status == http.StatusOK
		})
		must.Eq(t, 1, f.Backends.Journal().Runs(key), must.Sprintf("%d calls were answered with status 200", served.Load()))
	}
}

// While the platform is down, a non-idempotent order, which cannot be recorded, is
// rejected as not run and indeed does not run. Idempotent requests are served, and
// publishing fails.
func TestPlatformOutageRejectsOrdersAndServesReads(t *testing.T) {
	f := startFleet(t)
	f.Platform.SetFault(standin.Fault{Down: true})
	status, body, err := f.send(0, http.MethodPost, "/r/order/new", f.key, "during-outage")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, problem.DidNotRun, decodeProblem(t, body).Ran)
	must.Eq(t, 0, f.Backends.Journal().Runs("during-outage"))

	status, _, err = f.get(0, "/r/check/x", f.key)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	_, err = f.OperatorClient(0).Publish(t.Context(), f.Document, 1)
	must.Error(t, err)
}

// Of two concurrent publishes based on the same generation, one succeeds and the other
// fails with a conflict, so that neither operator overwrites the other's change.
func TestConcurrentPublishHasOneConflict(t *testing.T) {
	f := startFleet(t)
	results := make([]error, 2)
	var calls sync.WaitGroup
	for i := range results {
		calls.Go(func() {
			doc := *f.Document
			doc.Policy.MaxUtilization = 0.5 + 0.1*float64(i)
			_, results[i] = f.OperatorClient(i).Publish(t.Context(), &doc, 1)
		})
	}
	calls.Wait()
	var conflicts int
	for _, err := range results {
		var document *problem.Document
		if err != nil {
			must.True(t, asProblem(err, &document))
			must.Eq(t, problem.TypeConflict, document.Type)
			must.NotNil(t, document.Extension)
			conflicts++
		}
	}
	must.Eq(t, 1, conflicts)
	for i := range f.Instances {
		waitUntil(t, "generation 2 in force", func() bool {
			s, err := f.OperatorClient(i).Status(t.Context())
			return err == nil && s.Generation == 2
		})
	}
}

func asProblem(err error, target **problem.Document) bool {
	document, ok := err.(*problem.Document)
	*target = document
	return ok
}

// A shutdown completes the requests in flight, and look-ups no longer name the
// instance afterwards.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	f := startFleet(t)
	for _, s := range f.Backends.Servers() {
		b := s.Behavior()
		b.SlowAnswer = config.Duration(3 * time.Second)
		s.SetBehavior(b)
	}
	type result struct {
		status int
		body   string
		err    error
	}
	results := make(chan result, 4)
	for range cap(results) {
		go func() {
			status, body, err := f.get(0, "/r/check/x", f.key)
			results <- result{status, body, err}
		}()
	}
	waitUntil(t, "all requests in flight", func() bool {
		return requestsInFlight(t, f.OperatorClient(0)) == cap(results)
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	must.NoError(t, f.Instances[0].Shutdown(ctx))
	f.Instances[0] = nil
	for range cap(results) {
		r := <-results
		must.NoError(t, r.err)
		must.Eq(t, http.StatusOK, r.status, must.Sprintf("body %s", r.body))
	}
	_, body, err := f.get(1, "/v1/lookup?client=127.0.0.1", "")
	must.NoError(t, err)
	must.StrNotContains(t, body, `"entry-0"`)
}

// requestsInFlight returns the number of the instance's requests in flight at backend
// servers.
func requestsInFlight(t *testing.T, operator *operatorapi.Client) int {
	t.Helper()
	status, err := operator.Status(t.Context())
	must.NoError(t, err)
	sum := 0
	for _, s := range status.Servers {
		sum += s.InFlight
	}
	return sum
}

// An instance that is replaced while the platform is down takes the newest
// configuration, the keys and their withdrawals, and the instance list from its peers.
func TestReplacementDuringOutageTakesStateFromPeers(t *testing.T) {
	f := startFleet(t)
	second, secondID := f.grantKey("acme")
	_, err := f.OperatorClient(0).SetLabels(t.Context(), operatorapi.LabelRequest{Kind: operatorapi.KindRoute, Name: "check", Set: map[string]string{"a": "b"}})
	must.NoError(t, err)
	f.Platform.SetFault(standin.Fault{Down: true})
	withdrawn, err := f.OperatorClient(0).Withdraw(t.Context(), operatorapi.WithdrawRequest{KeyID: secondID})
	must.NoError(t, err)
	must.True(t, withdrawn.InForce)

	f.Kill(2)
	_, err = f.StartInstance(t.Context(), 2)
	must.NoError(t, err)
	waitUntil(t, "newest configuration from a peer in force", func() bool {
		s, err := f.OperatorClient(2).Status(t.Context())
		return err == nil && s.Generation == 2
	})
	waitUntil(t, "open route served", func() bool {
		status, _, _ := f.get(2, "/r/public/x", "")
		return status == http.StatusOK
	})
	waitUntil(t, "withdrawn key rejected", func() bool {
		status, _, _ := f.get(2, "/r/check/x", second)
		must.NotEq(t, http.StatusOK, status)
		return status == http.StatusForbidden
	})
	waitUntil(t, "keyed route served with the instance list of a peer", func() bool {
		status, _, _ := f.get(2, "/r/check/x", f.key)
		return status == http.StatusOK || status == http.StatusTooManyRequests
	})
}

// A customer that sends requests through all instances is admitted for no more than one
// burst and rate in total, rather than one at each instance.
func TestBurstIsSharedByAllInstances(t *testing.T) {
	f := startFleet(t)
	key, _ := f.grantKey("small")
	var admitted atomic.Int32
	started := time.Now()
	var calls sync.WaitGroup
	for i := range 60 {
		calls.Go(func() {
			if status, _, err := f.get(i%len(f.Instances), "/r/check/x", key); err == nil && status == http.StatusOK {
				admitted.Add(1)
			}
		})
	}
	calls.Wait()
	// Burst 5, plus rate 1/s over the time that the requests took.
	maxAdmitted := 5 + int32(time.Since(started)/time.Second) + 1
	must.LessEq(t, maxAdmitted, admitted.Load())
}

// A zone that is cut off rejects keyed requests, since it may have missed withdrawals,
// and goes on serving open routes. The other zones go on and report it as not reached.
// After reconnection it applies the withdrawal and the configuration that it missed.
func TestZoneCutOffRejectsKeysAndCatchesUpAfterwards(t *testing.T) {
	f := startFleet(t)
	f.InstanceNetworks[2].Partition()
	waitUntil(t, "keyed route rejected in the zone that is cut off", func() bool {
		status, body, err := f.get(2, "/r/check/x", f.key)
		return err == nil && status == http.StatusServiceUnavailable && decodeProblem(t, body).Type == problem.TypeKeyDataStale
	})
	status, _, err := f.get(2, "/r/public/x", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	status, _, err = f.get(0, "/r/check/x", f.key)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)

	resp, err := f.OperatorClient(0).Withdraw(t.Context(), operatorapi.WithdrawRequest{KeyID: f.keyID})
	must.NoError(t, err)
	must.True(t, resp.InForce, must.Sprintf("response %+v", resp))
	must.Eq(t, []string{testfleet.InstanceName(2)}, resp.Propagation.NotReached)
	doc := *f.Document
	doc.Policy.MaxUtilization = 0.5
	published, err := f.OperatorClient(0).Publish(t.Context(), &doc, 1)
	must.NoError(t, err)
	must.Eq(t, []string{testfleet.InstanceName(2)}, published.Propagation.NotReached)

	f.InstanceNetworks[2].Heal()
	waitUntil(t, "withdrawal applied after reconnection", func() bool {
		status, _, err := f.get(2, "/r/check/x", f.key)
		must.True(t, err != nil || status != http.StatusOK)
		return status == http.StatusForbidden
	})
	waitUntil(t, "generation 2 in force after reconnection", func() bool {
		s, err := f.OperatorClient(2).Status(t.Context())
		return err == nil && s.Generation == 2
	})
}

// A request that crashes backend servers is quarantined: a caller that repeats it
// through all instances crashes only a few of them.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := startFleet(t)
	for i := range 30 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.CallerURL(i%len(f.Instances))+"/r/check/poison", nil)
		must.NoError(t, err)
		req.Header.Set(forward.HeaderKey, f.key)
		req.Header.Set(forward.HeaderIdempotencyKey, "poison")
		req.Header.Set(backend.HeaderCrash, "1")
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		resp.Body.Close()
	}
	crashes := f.Backends.Journal().Runs("poison")
	// Each instance stops sending the request after two crashes that it has seen or
	// been told of, even if no report from another instance arrives.
	must.LessEq(t, 2*len(f.Instances), crashes)
	must.Positive(t, crashes)
	// Crashed servers are down for half a second.
	waitUntil(t, "other requests served", func() bool {
		status, _, err := f.get(0, "/r/check/x", f.key)
		return err == nil && status == http.StatusOK
	})
}
