package dispatch

import "time"

// chooseServer returns the server of the lowest cost, or nil if the request should wait for that
// server, even if another one has a free slot: it can be worth waiting for a server that has
// the object in its cache. anyEligible reports whether the request may be sent to any server.
func (d *Dispatcher) chooseServer(r *Request, now time.Time) (best *Server, anyEligible bool) {
	open := d.openRegions(r, now)
	best = d.cheapest(r, now, func(s *Server) bool { return open[s.Region] })
	if best != nil && d.startable(r, best, now) {
		return best, true
	}
	if best != nil && open[d.locality.Region] {
		return nil, true
	}
	// The bound on region shifts does not apply to the second choice. If no server in the open
	// regions is eligible, all regions are tried. If the request should wait for the best server
	// there, only the region of this instance is tried, which is not open here.
	beyondBound := d.cheapest(r, now, func(s *Server) bool { return best == nil || s.Region == d.locality.Region })
	if beyondBound != nil && d.startable(r, beyondBound, now) {
		return beyondBound, true
	}
	return nil, best != nil || beyondBound != nil
}

// openRegions returns, for each region, whether the bound on region shifts lets a request run
// there. The bound does not apply to requests that are restricted to regions. The map is
// reused by the next call.
func (d *Dispatcher) openRegions(r *Request, now time.Time) map[string]bool {
	clear(d.openByRegion)
	for _, region := range d.locality.RegionByZone {
		if _, known := d.openByRegion[region]; !known {
			d.openByRegion[region] = r.RegionRestricted || d.regionShift.allows(region, now)
		}
	}
	return d.openByRegion
}

// cheapest returns the server of the lowest cost among the eligible servers that the filter
// accepts, or nil if there is none. A server that limits its rate or has just ended a pause, and
// must not get a request yet, is returned only if there is no other.
func (d *Dispatcher) cheapest(r *Request, now time.Time, accept func(*Server) bool) *Server {
	pool := d.services[r.Service]
	if pool == nil {
		return nil
	}
	if pool.limitsRates(now) || pool.resumes() {
		best := d.lowestCost(r, pool, now, func(s *Server) bool {
			return accept(s) && !d.awaitsRateToken(s, now) && !s.awaitsResumption()
		})
		if best != nil {
			return best
		}
	}
	return d.lowestCost(r, pool, now, accept)
}

// lowestCost returns the server of the lowest cost among the eligible servers of a pool that the
// filter accepts, or nil if there is none.
func (d *Dispatcher) lowestCost(r *Request, pool *servicePool, now time.Time, accept func(*Server) bool) *Server {
	mean := pool.meanServiceTime()
	order := &affinityOrder{}
	if r.ObjectHash != 0 {
		order = d.affinityOrderOf(r, pool, now)
	}
	var best *Server
	bestCost := 0.0
	for _, s := range pool.servers {
		if !d.eligible(r, s, now) || !accept(s) {
			continue
		}
		if cost := d.cost(r, s, order.rank(s), mean, now); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}
