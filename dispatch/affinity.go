package dispatch

import (
	"time"

	"github.com/jacinthrack/jacinthrack/internal/mix"
)

// affinityOrder holds the first servers in the affinity order of an object: those nearest to
// its home area first, and within the same distance by their rendezvous hashes. It is the
// same at all instances of a zone that have the same servers.
type affinityOrder struct {
	servers [affinityRanks]*Server
	keys    [affinityRanks]uint64 // sort keys of the servers, ascending
}

// affinityRanks is the number of servers with a rank of their own in an affinity order. All
// further servers have the same rank.
const affinityRanks = 4

// affinityOrderOf returns the affinity order of the request's object among the servers that
// the request may be sent to.
func (d *Dispatcher) affinityOrderOf(r *Request, pool *servicePool, now time.Time) *affinityOrder {
	var o affinityOrder
	home := pool.homeShares.homeAreaOf(r)
	for _, s := range pool.servers {
		if !d.eligible(r, s, now) {
			continue
		}
		// The distance takes the two highest bits, the hash the others.
		key := home.distance(s, d.locality)<<62 | mix.Bits(r.ObjectHash^s.idHash)>>2
		for i := range o.servers {
			if o.servers[i] == nil || key < o.keys[i] {
				o.servers[i], s = s, o.servers[i]
				o.keys[i], key = key, o.keys[i]
			}
			if s == nil {
				break
			}
		}
	}
	return &o
}

// rank returns the rank of a server, from 0. It is affinityRanks for all further servers.
func (o *affinityOrder) rank(s *Server) int {
	for i, other := range o.servers {
		if other == s {
			return i
		}
	}
	return affinityRanks
}
