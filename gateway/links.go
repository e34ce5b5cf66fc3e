package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/isolation"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/upstream"
)

// Probes and relayed connections.
const (
	// probedServers is the number of servers that a round probes, in different zones as far as
	// possible.
	probedServers = 3
	// probeInterval is the time between the ends of rounds while no server was reached.
	probeInterval = 400 * time.Millisecond
	// relayTimeout bounds the opening of a connection through one instance: the connection of that
	// instance to the server, and a round trip between regions.
	relayTimeout = 700 * time.Millisecond
	// maxRelayAttempts is the number of instances through which a connection is tried. In a large
	// fleet the news that an instance is isolated takes seconds; it refuses within a round trip.
	maxRelayAttempts = 5
	// maxSlowRelays is the number of attempts without an answer within relayTimeout after which the
	// request goes on without a connection to this server.
	maxSlowRelays = 2
)

// Relays finds other instances that relay connections to backend servers, and opens connections
// through them.
type Relays interface {
	// RelayAddresses returns the peer addresses of instances that can relay to a server in a zone
	// and region, the best ones first. With sameRegion they are in that region.
	RelayAddresses(serverID, zone, region string, sameRegion bool) []string
	// OpenRelay opens a connection to a server through an instance.
	OpenRelay(ctx context.Context, peerAddress, serverID, serverAddress string) (net.Conn, error)
}

// NoRelayError reports that no other instance can relay a connection.
type NoRelayError struct{}

func (*NoRelayError) Error() string { return "no other instance has a link to the backend servers" }

// serverLinks opens connections to backend servers, and watches whether this instance has lost its
// links to all of them. Then connections go through other instances.
type serverLinks struct {
	gateway *Gateway
	relays  Relays // nil for none
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	detector isolation.Detector
	probing  bool
}

// open opens a connection to a server for a request.
func (l *serverLinks) open(ctx context.Context, t upstream.Target) (net.Conn, error) {
	if t.Path != upstream.PathDirect {
		return l.openRelay(ctx, t)
	}
	attempt := l.begin()
	conn, err := l.dial(ctx, t.Address)
	if err != nil && ctx.Err() != nil {
		return nil, err // says nothing about the server
	}
	listed := 0 // used only with a failure
	if err != nil {
		listed = l.gateway.listedServerCount()
	}
	l.mu.Lock()
	suspected, changed := l.detector.RecordDial(attempt, t.ServerID, err == nil, listed)
	start := suspected && !l.probing
	l.probing = l.probing || start
	l.mu.Unlock()
	if changed {
		l.gateway.handleIsolationChange(false, false)
	}
	if start {
		go l.probe()
	}
	if err != nil {
		return nil, err
	}
	l.gateway.metrics.connections.Inc()
	return conn, nil
}

// openRelay opens a connection to a server through another instance.
func (l *serverLinks) openRelay(ctx context.Context, t upstream.Target) (net.Conn, error) {
	zone, region := l.gateway.serverPlace(t.ServerID)
	var lastErr error = &NoRelayError{}
	addresses := l.relays.RelayAddresses(t.ServerID, zone, region, t.Path == upstream.PathRelayedInRegion)
	slow := 0
	for _, address := range addresses[:min(len(addresses), maxRelayAttempts)] {
		relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		conn, err := l.relays.OpenRelay(relayCtx, address, t.ServerID, t.Address)
		if relayCtx.Err() != nil {
			slow++
		}
		cancel()
		if err == nil {
			return conn, nil
		}
		lastErr = err
		var relayErr *peer.RelayError
		if ctx.Err() != nil || slow >= maxSlowRelays || errors.As(err, &relayErr) && relayErr.ServerUnreachable() {
			break
		}
	}
	return nil, lastErr
}

// path returns the way on which a request is sent. A request that may be processed in some regions
// only does not pass through instances of others.
func (l *serverLinks) path(regionRestricted bool) upstream.Path {
	switch {
	case l.relays == nil || !l.isolated():
		return upstream.PathDirect
	case regionRestricted:
		return upstream.PathRelayedInRegion
	}
	return upstream.PathRelayed
}

func (l *serverLinks) begin() isolation.Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.Begin()
}

// isolated reports whether this instance has lost its links to all servers.
func (l *serverLinks) isolated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.Isolated()
}

// probe probes servers until one of them is reached or the gateway stops.
func (l *serverLinks) probe() {
	for {
		attempt := l.begin()
		probed, reached, silent := l.probeRound()
		l.mu.Lock()
		changed := l.detector.RecordProbes(attempt, probed, reached)
		isolated := l.detector.Isolated()
		l.probing = isolated
		l.mu.Unlock()
		if changed {
			l.gateway.handleIsolationChange(isolated, silent)
		}
		if !isolated {
			return
		}
		select {
		case <-time.After(probeInterval):
		case <-l.gateway.stop:
			return
		}
	}
}

// probeRound opens connections to some servers at the same time. silent is set if a server did not
// respond at all: then the kept connections are cut, too.
func (l *serverLinks) probeRound() (probed, reached int, silent bool) {
	addresses := l.gateway.probeAddresses(probedServers)
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() {
			conn, err := l.dial(context.Background(), address)
			if err == nil {
				conn.Close()
			}
			results <- err
		}()
	}
	for range addresses {
		err := <-results
		var timeout net.Error
		switch {
		case err == nil:
			reached++
		case errors.As(err, &timeout) && timeout.Timeout():
			silent = true
		}
	}
	return len(addresses), reached, silent
}

// handleIsolationChange takes the news that this instance has lost its links to all servers, or that a
// server was reached again. silent is as for probeRound.
func (g *Gateway) handleIsolationChange(isolated, silent bool) {
	if isolated {
		g.log.Warn("lost the links to all backend servers, connecting through other instances", "silent", silent)
	} else {
		g.log.Info("backend servers can be reached again")
	}
	if isolated && silent {
		g.upstream.CloseIdle(upstream.PathDirect)
	}
	if !isolated {
		g.upstream.CloseIdle(upstream.PathRelayed, upstream.PathRelayedInRegion)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// The failed attempts so far were failures of the links.
	g.dispatcher.ForgetUnreachable()
	g.startAllWaiters()
}

// DialForPeer implements peer.ServerDialer.
func (g *Gateway) DialForPeer(ctx context.Context, serverID, address string) (net.Conn, error) {
	if !g.hasServer(serverID, address) {
		return nil, &peer.CannotRelayError{Reason: "the server is not listed at this address"}
	}
	if g.Isolated() {
		return nil, &peer.CannotRelayError{Reason: "no link to the backend servers", Isolated: true}
	}
	return g.links.open(ctx, upstream.Target{ServerID: serverID, Address: address})
}

// hasServer reports whether a server is listed at an address.
func (g *Gateway) hasServer(id, address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.dispatcher.Server(id)
	return s != nil && s.Address == address
}

// serverPlace returns the zone and region of a server, "" if it is not listed.
func (g *Gateway) serverPlace(id string) (zone, region string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.dispatcher.Server(id); s != nil {
		return s.Zone, s.Region
	}
	return "", ""
}

// probeAddresses returns the addresses of up to count servers that may get requests.
func (g *Gateway) probeAddresses(count int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	servers := g.dispatcher.ServersAcrossZones(count)
	addresses := make([]string, 0, len(servers))
	for _, s := range servers {
		addresses = append(addresses, s.Address)
	}
	return addresses
}

// listedServerCount returns the number of servers that may get requests.
func (g *Gateway) listedServerCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.ListedServerCount()
}

// Isolated reports whether this instance has lost its links to all backend servers.
func (g *Gateway) Isolated() bool { return g.links.isolated() }
