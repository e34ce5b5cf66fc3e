package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/ingress"
	"github.com/jacinthrack/jacinthrack/internal/boottime"
	"github.com/jacinthrack/jacinthrack/routes"
)

// testDialect uses the headers Id and Key and a fixed timeout of one second.
type testDialect struct{}

func (testDialect) RequestID(h http.Header) string                            { return h.Get("Id") }
func (testDialect) RequestIDHeader() string                                   { return "Id" }
func (testDialect) APIKey(h http.Header) string                               { return h.Get("Key") }
func (testDialect) AffinityKey(http.Header) string                            { return "" }
func (testDialect) Timeout(http.Header) (time.Duration, bool)                 { return time.Second, true }
func (testDialect) RewriteRequest(http.Header, string, string, time.Duration) {}
func (testDialect) ParseResponse(int, http.Header) ResponseInfo               { return ResponseInfo{} }

// newGateway returns a gateway without servers in a fleet of 2 instances. The customer acme has
// the key k, a rate of 2 requests per second and a burst of 4.
func newGateway(t *testing.T) *Gateway {
	t.Helper()
	g := New(Options{
		Locality: dispatch.Locality{Zone: "a", Region: "r1", RegionByZone: map[string]string{"a": "r1"}}, Dialect: testDialect{},
		Policy: Policy{MaxKeyAge: 3 * time.Second, MaxDenialAge: 2 * time.Second}, Log: slog.New(slog.DiscardHandler), InitialBurstFraction: 1,
	})
	g.SetMemberCount(2)
	must.True(t, g.SetConfig(testConfig(5)))
	return g
}

// testConfig returns a configuration with a public route, /open/, and a route that needs a key.
func testConfig(version int64) *routes.Config {
	hosts := map[string][]*routes.Route{"h": {
		{Name: "open", Prefix: "/open/", Public: true, Targets: []routes.Target{{Service: "s", Weight: 1}}},
		{Name: "keyed", Prefix: "/", Targets: []routes.Target{{Service: "s", Weight: 1}}},
	}}
	customers := []*routes.Customer{{Name: "acme", APIKeys: []string{"k"}, Rate: 2, Burst: 4}}
	return routes.NewConfig(version, routes.RequestLimits{}, []*routes.Service{{Name: "s"}}, customers, hosts)
}

// handleRequest passes a GET request to the gateway.
func handleRequest(ctx context.Context, g *Gateway, path, key string) *ingress.Response {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://h"+path, nil)
	if err != nil {
		panic(err) // cannot happen: the arguments are constants
	}
	request.RequestURI = path
	request.Header.Set("Key", key)
	return g.Handle(ctx, &ingress.Request{Request: request, ArrivalTime: time.Now()})
}

// ago returns the instant d before now.
func ago(d time.Duration) boottime.Instant { return boottime.Now().Add(-d) }

// The configuration age decides whether a request with an unknown route or key is rejected
// finally (401) or temporarily (503), and whether keys are accepted at all.
func TestRejectionByConfigurationAge(t *testing.T) {
	for _, c := range []struct {
		name      string
		age       time.Duration
		path, key string
		status    int
	}{
		{"unknown key", 0, "/x", "nobody", http.StatusUnauthorized},
		{"unknown key, configuration may be out of date", 2500 * time.Millisecond, "/x", "nobody", http.StatusServiceUnavailable},
		{"known key, configuration too old", 4 * time.Second, "/x", "k", http.StatusServiceUnavailable},
		{"known key, no server", 0, "/x", "k", http.StatusServiceUnavailable},
		{"public route, configuration of any age", time.Hour, "/open/x", "", http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGateway(t)
			g.ConfirmConfig(ago(c.age))
			must.Eq(t, c.status, handleRequest(t.Context(), g, c.path, c.key).Status)
		})
	}
}

// A configuration must not be replaced by an older one, nor by one of the same version, for
// example when updates arrive out of order.
func TestSetConfigRejectsOlderVersions(t *testing.T) {
	g := newGateway(t)
	must.False(t, g.SetConfig(testConfig(4)))
	must.False(t, g.SetConfig(testConfig(5)))
	must.Eq(t, 5, g.ConfigVersion())
	must.True(t, g.SetConfig(testConfig(9)))
	must.Eq(t, 9, g.ConfigVersion())
}

// Confirmations may arrive in any order; a late confirmation of an older instant must not raise
// the configuration age.
func TestConfigAgeIgnoresOlderConfirmations(t *testing.T) {
	g := newGateway(t)
	g.ConfirmConfig(ago(time.Second))
	g.ConfirmConfig(ago(time.Minute))
	must.Less(t, 30*time.Second, g.ConfigAge())
}

// Guards against withdrawn keys at an instance that starts after the store has returned from an older
// copy, and reads a configuration from it that the other instances have replaced.
func TestConfigurationThatOthersHaveReplacedIsNotConfirmed(t *testing.T) {
	g := newGateway(t) // with configuration 5
	status := func() int { return handleRequest(t.Context(), g, "/x", "nobody").Status }
	g.ConfirmConfig(ago(0))
	g.AnnounceConfig(5)
	g.ConfirmConfig(ago(0))
	g.AnnounceConfig(7)
	g.ConfirmConfig(ago(time.Second))
	must.Eq(t, http.StatusUnauthorized, status(), must.Sprint("the store was read before the announcement"))
	g.ConfirmConfig(ago(0))
	must.Eq(t, http.StatusServiceUnavailable, status())
	must.True(t, g.SetConfig(testConfig(7)))
	g.ConfirmConfig(ago(0))
	must.Eq(t, http.StatusUnauthorized, status())
}

// Requests that arrive at the very end of a shutdown must be rejected with a status that lets the
// caller retry at another instance.
func TestRejectsRequestsAtTheEndOfShutdown(t *testing.T) {
	g := newGateway(t)
	g.ConfirmConfig(ago(0))
	g.RejectRequests()
	must.Eq(t, http.StatusServiceUnavailable, handleRequest(t.Context(), g, "/x", "k").Status)
}

// The log line of a request must show the time spent borrowing a quota token separately. Borrowing
// can take a third of a second, which would look like the time of a slow server.
func TestRequestLogShowsQuotaWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		g := newGateway(t)
		g.log = slog.New(slog.NewJSONHandler(&out, nil))
		g.ConfirmConfig(ago(0))
		g.SetLenders(&fakeLender{delay: 70 * time.Millisecond})
		handleRequest(t.Context(), g, "/open/x", "")
		must.StrContains(t, out.String(), `"quota_wait_ms":0`)
		g.Lend("acme", 2)
		handleRequest(t.Context(), g, "/x", "k")
		must.StrContains(t, out.String(), `"quota_wait_ms":70`)
	})
}

// fakeLender is another instance that lends tokens, at the address p1.
type fakeLender struct {
	balance float64
	delay   time.Duration
}

func (l *fakeLender) LocalShare(string, float64, float64) float64 { return 0.5 }

func (l *fakeLender) Addresses(string, float64, float64) (regional, remote []string) {
	return []string{"p1"}, nil
}

func (l *fakeLender) Borrow(_ context.Context, _, _ string, tokens float64) (lent, remaining float64, err error) {
	time.Sleep(l.delay)
	lent = min(tokens, l.balance)
	l.balance -= lent
	return lent, l.balance, nil
}

// A customer within its rate must be admitted even if its callers all use one instance, whose
// bucket has only a share of the quota. Once no instance has tokens, it must be rejected.
func TestBorrowsTokensFromOtherInstances(t *testing.T) {
	g := newGateway(t)
	g.ConfirmConfig(ago(0))
	g.SetLenders(&fakeLender{balance: 3})
	g.mu.Lock()
	g.quotas.Lend("acme", 1, time.Now()) // leaves one of this instance's two tokens
	g.mu.Unlock()
	admitted := 0
	for range 10 {
		g.mu.Lock()
		ok, _ := g.quotas.TakeToken("acme", time.Now())
		g.mu.Unlock()
		if ok || g.borrower.borrowAndTake(t.Context(), "acme") {
			admitted++
		}
	}
	must.Eq(t, 4, admitted)
}
