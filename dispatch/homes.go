package dispatch

import "github.com/jacinthrack/jacinthrack/internal/mix"

// homeShares are the shares of the objects that an instance's zone and region take in, from 0
// to 1. The servers of the zone or region come first in the affinity orders of these objects.
//
// They keep traffic between regions low in fleets whose regions differ more in servers than in
// traffic: a region with fewer servers than its part of the fleet keeps as many objects as its
// servers can carry at the mean load of the fleet, and other regions take the rest. The shares
// depend only on the listed servers, so that the instances of a zone agree on them.
type homeShares struct{ zone, region float64 }

// homeSharesOf returns the shares for an instance at a locality. Zones and regions count
// as having equal traffic.
func homeSharesOf(servers []*Server, l Locality) homeShares {
	var inZone, inRegion, total int // slots
	for _, s := range servers {
		if !s.Ready || s.Evacuated {
			continue
		}
		total += s.Slots
		if s.Region == l.Region {
			inRegion += s.Slots
		}
		if s.Zone == l.Zone {
			inZone += s.Slots
		}
	}
	if total == 0 {
		return homeShares{}
	}
	regions := make(map[string]bool)
	for _, region := range l.RegionByZone {
		regions[region] = true
	}
	return homeShares{
		zone:   min(1, float64(inZone*len(l.RegionByZone))/float64(total)),
		region: min(1, float64(inRegion*len(regions))/float64(total)),
	}
}

// homeArea is where an object has its home, as seen from an instance.
type homeArea uint8

// Home areas.
const (
	areaRemote homeArea = iota // other regions
	areaRegion                 // the instance's region, including its zone
	areaZone                   // the instance's zone
)

// homeAreaOf returns the home area of the request's object. Only objects of requests with a
// large body have a home in the zone. Each zone of the region then has a copy of the object in
// the cache of a server; for small bodies, the traffic that this saves does not make up for
// the space in the caches.
func (h homeShares) homeAreaOf(r *Request) homeArea {
	// The golden ratio makes the draw independent of the hashes that order the servers.
	const goldenRatio = 0x9e3779b97f4a7c15
	draw := float64(mix.Bits(r.ObjectHash+goldenRatio)>>11) / (1 << 53) // in [0, 1)
	switch {
	case r.BodyBytes >= largeBodyBytes && draw < h.zone:
		return areaZone
	case draw < h.region:
		return areaRegion
	default:
		return areaRemote
	}
}

// distance returns how far a server is from an object's home area, from 0 to 2.
func (a homeArea) distance(s *Server, l Locality) uint64 {
	inRegion := s.Region == l.Region
	switch {
	case a == areaRemote && inRegion:
		return 1
	case a == areaRemote:
		return 0
	case !inRegion:
		return 2
	case a == areaZone && s.Zone != l.Zone:
		return 1
	default:
		return 0
	}
}
