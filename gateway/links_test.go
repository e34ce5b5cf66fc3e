package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/routes"
	"github.com/jacinthrack/jacinthrack/upstream"
)

// fakeRelays opens no connections. It records the calls of OpenRelay, as "peer server".
type fakeRelays struct {
	addresses  []string
	err        error
	silent     bool // OpenRelay returns only when its context ends
	sameRegion []bool
	opened     []string
}

func (f *fakeRelays) RelayAddresses(_, _, _ string, sameRegion bool) []string {
	f.sameRegion = append(f.sameRegion, sameRegion)
	return f.addresses
}

func (f *fakeRelays) OpenRelay(ctx context.Context, peerAddress, serverID, _ string) (net.Conn, error) {
	f.opened = append(f.opened, peerAddress+" "+serverID)
	if f.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, f.err
}

// newCutGateway returns a gateway that is isolated: no server can be reached. It lists the servers s0
// to s3.
func newCutGateway(t *testing.T) (*Gateway, *fakeRelays) {
	t.Helper()
	refuse := func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	g := New(Options{
		Locality: dispatch.Locality{Zone: "a", Region: "r1", RegionByZone: map[string]string{"a": "r1"}}, Dialect: testDialect{},
		Log: slog.New(slog.DiscardHandler), DialServer: refuse,
	})
	t.Cleanup(g.Stop)
	relays := &fakeRelays{addresses: []string{"p1", "p2", "p3"}}
	g.SetRelays(relays)
	var servers []routes.Server
	for i := range 4 {
		servers = append(servers, routes.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "s", Zone: "a", Slots: 4, Ready: true})
	}
	g.SetServers(servers, nil)
	g.links.mu.Lock()
	g.links.detector.RecordProbes(g.links.detector.Begin(), 3, 0)
	g.links.mu.Unlock()
	must.True(t, g.Isolated())
	return g, relays
}

// Guards against a server that counts as unreachable since one instance does not relay.
func TestRelayIsTriedThroughOtherInstances(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		opened []string
	}{
		"works":                    {nil, []string{"p1 s1"}},
		"instance does not answer": {&peer.RelayError{Peer: "p1", Err: errors.New("no answer")}, []string{"p1 s1", "p2 s1", "p3 s1"}},
	} {
		t.Run(name, func(t *testing.T) {
			g, relays := newCutGateway(t)
			relays.err = c.err
			_, err := g.links.open(t.Context(), upstream.Target{ServerID: "s1", Address: "10.0.0.1:80", Path: g.links.path(false)})
			must.Eq(t, c.err, err)
			must.Eq(t, c.opened, relays.opened)
		})
	}
}

// Guards against a request that is held while many instances do not answer.
func TestRequestIsNotHeldBySlowRelays(t *testing.T) {
	g, relays := newCutGateway(t)
	relays.silent = true
	_, err := g.links.open(t.Context(), upstream.Target{ServerID: "s1", Address: "10.0.0.1:80", Path: upstream.PathRelayed})
	must.Error(t, err)
	must.Eq(t, []string{"p1 s1", "p2 s1"}, relays.opened)
}

// Guards against requests that pass through an instance of a region in which they may not be
// processed.
func TestRestrictedRequestsAreRelayedInTheServersRegion(t *testing.T) {
	g, relays := newCutGateway(t)
	for _, restricted := range []bool{false, true} {
		_, err := g.links.open(t.Context(), upstream.Target{ServerID: "s1", Address: "10.0.0.1:80", Path: g.links.path(restricted)})
		must.NoError(t, err)
	}
	must.Eq(t, []bool{false, true}, relays.sameRegion)
}

// Guards against connections that go in circles between isolated instances, and against connections
// to addresses that are not servers.
func TestOnlyListedServersAreDialedForPeers(t *testing.T) {
	g, _ := newCutGateway(t)
	var refused *peer.CannotRelayError
	_, err := g.DialForPeer(t.Context(), "s1", "10.0.0.1:80")
	must.True(t, errors.As(err, &refused), must.Sprint("isolated"))
	g.links.mu.Lock()
	g.links.detector.RecordProbes(g.links.detector.Begin(), 3, 1)
	g.links.mu.Unlock()
	_, err = g.DialForPeer(t.Context(), "s1", "10.0.0.2:80")
	must.True(t, errors.As(err, &refused), must.Sprint("address of another server"))
	_, err = g.DialForPeer(t.Context(), "s1", "10.0.0.1:80")
	must.True(t, errors.Is(err, syscall.ECONNREFUSED))
}

// Guards against servers that get no requests for seconds, although other instances reach them, since
// they were out of reach before the loss of the links was noticed, and again after its end.
func TestServersAreUsedAgainWhenTheWayToThemChanges(t *testing.T) {
	for _, isolated := range []bool{true, false} {
		g, _ := newCutGateway(t)
		usable := func() bool {
			now := time.Now()
			g.mu.Lock()
			defer g.mu.Unlock()
			d, w := g.dispatcher.Submit(&dispatch.Request{Service: "s", Route: "r", ObjectiveAt: now.Add(time.Second), Deadline: now.Add(time.Second)}, now)
			if w != nil {
				g.dispatcher.RemoveWaiter(w)
			}
			return d.Verdict == dispatch.VerdictStart
		}
		g.mu.Lock()
		for i := range 4 {
			now := time.Now()
			r := &dispatch.Request{Service: "s", Route: "r", ObjectiveAt: now.Add(time.Second), Deadline: now.Add(time.Second)}
			d, _ := g.dispatcher.Submit(r, now)
			must.Eq(t, dispatch.VerdictStart, d.Verdict, must.Sprint(i))
			g.dispatcher.Finish(r, d.Server, dispatch.AttemptResult{Outcome: dispatch.OutcomeUnreachable}, now)
		}
		g.mu.Unlock()
		must.False(t, usable())
		g.handleIsolationChange(isolated, true)
		must.True(t, usable())
	}
}

// Guards against sound requests that count as crashing servers, since all connections were reset
// when this instance lost its links.
func TestLostLinksAreNoCrashOfAServer(t *testing.T) {
	for _, isolated := range []bool{true, false} {
		g, _ := newCutGateway(t)
		if !isolated {
			g.links.mu.Lock()
			g.links.detector.RecordProbes(g.links.detector.Begin(), 3, 1)
			g.links.mu.Unlock()
		}
		must.NoError(t, g.suspects.Begin(7, "s1", time.Now()))
		state := &requestState{route: &routes.Route{}, fingerprint: 7}
		g.handleSendError(t.Context(), state, reservedServer{id: "s1", address: "10.0.0.1:80"}, true, errors.New("connection reset"))
		must.Eq(t, isolated, g.suspects.Crashes(7, time.Now()) == 0)
	}
}
