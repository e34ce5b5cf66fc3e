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

// plain is a dialect with headers of its own.
type plain struct{}

func (plain) RequestID(h http.Header) string                     { return h.Get("Id") }
func (plain) RequestIDHeader() string                                   { return "Id" }
func (plain) APIKey(h http.Header) string                           { return h.Get("Key") }
func (plain) AffinityKey(http.Header) string                          { return "" }
func (plain) Timeout(http.Header) (time.Duration, bool)         { return time.Second, true }
func (plain) RewriteRequest(http.Header, string, string, time.Duration) {}
func (plain) ParseResponse(int, http.Header) ResponseInfo                    { return ResponseInfo{} }

// newGateway returns a gateway without servers. Customer acme has key k and a rate of
// 2 requests, over 2 instances.
func newGateway(t *testing.T) *Gateway {
	t.Helper()
	g := New(Options{
		Locality: dispatch.Locality{Zone: "a", Region: "r1", RegionByZone: map[string]string{"a": "r1"}}, Dialect: plain{},
		Policy: Policy{MaxKeyAge: 3 * time.Second, MaxDenialAge: 2 * time.Second}, Log: slog.New(slog.DiscardHandler), InitialBurstFraction: 1,
	})
	g.SetMemberCount(2)
	must.True(t, g.SetConfig(config(5)))
	return g
}

func config(version int64) *routes.Config {
	hosts := map[string][]*routes.Route{"h": {
		{Name: "open", Prefix: "/open/", Public: true, Targets: []routes.Target{{Service: "s", Weight: 1}}},
		{Name: "keyed", Prefix: "/", Targets: []routes.Target{{Service: "s", Weight: 1}}},
	}}
	customers := []*routes.Customer{{Name: "acme", APIKeys: []string{"k"}, Rate: 2, Burst: 4}}
	return routes.NewConfig(version, routes.RequestLimits{}, []*routes.Service{{Name: "s"}}, customers, hosts)
}

func handle(ctx context.Context, g *Gateway, path, key string) *ingress.Response {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://h"+path, nil)
	if err != nil {
		panic(err) // the arguments are constants
	}
	request.RequestURI = path
	request.Header.Set("Key", key)
	return g.Handle(ctx, &ingress.Request{Request: request, Arrived: time.Now()})
}

// ago is the instant d before now.
func ago(d time.Duration) boottime.Instant { return boottime.Now().Add(-d) }

// What is refused, and whether for good, by the age of the configuration.
func TestRefusalsByAge(t *testing.T) {
	for _, c := range []struct {
		name      string
		age       time.Duration
		path, key string
		status    int
	}{
		{"unknown key", 0, "/x", "nobody", http.StatusUnauthorized},
		{"unknown key, configuration may be outdated", 2500 * time.Millisecond, "/x", "nobody", http.StatusServiceUnavailable},
		{"known key, too old", 4 * time.Second, "/x", "k", http.StatusServiceUnavailable},
		{"no server", 0, "/x", "k", http.StatusServiceUnavailable},
		{"open route, however old", time.Hour, "/open/x", "", http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGateway(t)
			g.ConfirmConfig(ago(c.age))
			must.Eq(t, c.status, handle(t.Context(), g, c.path, c.key).Status)
		})
	}
}

// A configuration must never go back within a process.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g := newGateway(t)
	must.False(t, g.SetConfig(config(4)))
	must.False(t, g.SetConfig(config(5)))
	must.Eq(t, 5, g.ConfigVersion())
	must.True(t, g.SetConfig(config(9)))
	must.Eq(t, 9, g.ConfigVersion())
}

// Ages may only get newer, in whatever order confirmations come.
func TestConfirmationsInAnyOrder(t *testing.T) {
	g := newGateway(t)
	g.ConfirmConfig(ago(time.Second))
	g.ConfirmConfig(ago(time.Minute))
	must.Less(t, 30*time.Second, g.ConfigAge())
}

// Requests that come after the last moment of a shutdown must be refused as not run,
// with a status that the caller may repeat elsewhere.
func TestRefusesAtTheEndOfAShutdown(t *testing.T) {
	g := newGateway(t)
	g.ConfirmConfig(ago(0))
	g.RejectRequests()
	must.Eq(t, http.StatusServiceUnavailable, handle(t.Context(), g, "/x", "k").Status)
}

// The line of a request must show where its time went: collecting a token of the quota
// took a third of a second at times and could not be told from the servers' time.
func TestLineOfARequestShowsTheTimeForItsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		g := newGateway(t)
		g.log = slog.New(slog.NewJSONHandler(&out, nil))
		g.ConfirmConfig(ago(0))
		g.SetLenders(&lenders{delay: 70 * time.Millisecond})
		handle(t.Context(), g, "/open/x", "")
		must.StrContains(t, out.String(), `"charged_ms":0`)
		g.Lend("acme", 2)
		handle(t.Context(), g, "/x", "k")
		must.StrContains(t, out.String(), `"charged_ms":70`)
	})
}

// lenders is another instance with tokens.
type lenders struct {
	tokens float64
	delay  time.Duration
}

func (l *lenders) LocalShare(string, float64, float64) float64 { return 0.5 }

func (l *lenders) Addresses(string, float64, float64) (near, far []string) {
	return []string{"p1"}, nil
}

func (l *lenders) Borrow(_ context.Context, _, _ string, tokens float64) (lent, left float64, err error) {
	time.Sleep(l.delay)
	lent = min(tokens, l.tokens)
	l.tokens -= lent
	return lent, l.tokens, nil
}

// A customer within its rate must not be refused because its callers all use one
// instance, and must be refused once nobody has tokens.
func TestBorrowsTokensOfOtherInstances(t *testing.T) {
	g := newGateway(t)
	g.ConfirmConfig(ago(0))
	g.SetLenders(&lenders{tokens: 3})
	g.mu.Lock()
	g.quotas.Lend("acme", 1, time.Now()) // half of this instance's two tokens
	g.mu.Unlock()
	admitted := 0
	for range 10 {
		g.mu.Lock()
		ok, _ := g.quotas.TakeToken("acme", time.Now())
		g.mu.Unlock()
		if ok || g.loans.token(t.Context(), "acme") {
			admitted++
		}
	}
	must.Eq(t, 4, admitted)
}
