package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/isolation"
)

// Probes of backend servers.
const (
	// probedServers is the number of servers that a round probes, in different zones as far as
	// possible.
	probedServers = 3
	// probeInterval is the time between the ends of rounds while no server was reached.
	probeInterval = 400 * time.Millisecond
)

// serverLinks opens connections to backend servers, and watches whether this instance has lost its
// links to all of them.
type serverLinks struct {
	gateway *Gateway
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	detector isolation.Detector
	probing  bool
}

// open opens a connection to a server for a request.
func (l *serverLinks) open(ctx context.Context, serverID, address string) (net.Conn, error) {
	attempt := l.begin()
	conn, err := l.dial(ctx, address)
	if err != nil && ctx.Err() != nil {
		return nil, err // says nothing about the server
	}
	listed := l.gateway.listedServerCount()
	l.mu.Lock()
	suspected, changed := l.detector.RecordDial(attempt, serverID, err == nil, listed)
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

// handleIsolationChange logs that this instance has lost its links to all servers, or that a server
// was reached again.
func (g *Gateway) handleIsolationChange(isolated, silent bool) {
	if isolated {
		g.log.Warn("lost the links to all backend servers", "silent", silent)
		return
	}
	g.log.Info("backend servers can be reached again")
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
