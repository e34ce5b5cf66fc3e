package fleet

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"sort"
	"time"

	"github.com/jacinthrack/jacinthrack/peer"
)

// RelayOpener opens connections to backend servers through the instance at a peer address. It is
// implemented by peer.Service.
type RelayOpener interface {
	OpenRelay(ctx context.Context, peerAddress, serverID, serverAddress string) (net.Conn, error)
}

// Relays finds instances that relay connections to backend servers. It implements gateway.Relays.
type Relays struct {
	*View
	RelayOpener
}

// RelayAddresses implements gateway.Relays. It returns the peer addresses of the instances that are
// alive, ready and not isolated: those of the server's zone, then of its region and, unless the
// instance must be in that region, of this region and of the others. Among equals the order depends
// on the server, so that the relayed connections are spread.
func (r *Relays) RelayAddresses(serverID, zone, region string, sameRegion bool) []string {
	distance := func(in Instance) int {
		switch {
		case in.Zone == zone:
			return 0
		case in.Region == region:
			return 1
		case in.Region == r.self.Region:
			return 2
		}
		return 3
	}
	var candidates []Instance
	for _, s := range r.aliveAndReady(time.Now()) {
		if !s.isolated && (!sameRegion || distance(s.instance) <= 1) {
			candidates = append(candidates, s.instance)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if distance(a) != distance(b) {
			return distance(a) < distance(b)
		}
		return relayRank(a, serverID) < relayRank(b, serverID)
	})
	addresses := make([]string, 0, len(candidates))
	for _, in := range candidates {
		addresses = append(addresses, in.PeerAddress)
	}
	return addresses
}

// OpenRelay implements gateway.Relays.
func (r *Relays) OpenRelay(ctx context.Context, peerAddress, serverID, serverAddress string) (net.Conn, error) {
	conn, err := r.RelayOpener.OpenRelay(ctx, peerAddress, serverID, serverAddress)
	var relayErr *peer.RelayError
	if errors.As(err, &relayErr) && relayErr.PeerUnusable() {
		r.markIsolated(peerAddress)
	}
	if err != nil {
		return nil, err
	}
	return &relayedConn{Conn: conn, relays: r, peerAddress: peerAddress}, nil
}

// markIsolated records that an instance does not relay, until it is seen again.
func (v *View) markIsolated(peerAddress string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for address, s := range v.sightingByAddress {
		if s.instance.PeerAddress == peerAddress {
			s.isolated = true
			v.sightingByAddress[address] = s
		}
	}
}

// relayedConn is a connection through another instance. It implements upstream.KeptConn.
type relayedConn struct {
	net.Conn
	relays      *Relays
	peerAddress string
}

// Usable implements upstream.KeptConn: an instance that is stopping still relays the requests in
// flight, and must not get others.
func (c *relayedConn) Usable() bool {
	for _, s := range c.relays.aliveAndReady(time.Now()) {
		if s.instance.PeerAddress == c.peerAddress {
			return !s.isolated
		}
	}
	return false
}

// relayRank orders instances at the same distance differently for each server.
func relayRank(in Instance, serverID string) uint64 {
	h := fnv.New64a()
	// Writing to a hash returns no error.
	_, _ = h.Write([]byte(in.PeerAddress + " " + serverID))
	return h.Sum64()
}
