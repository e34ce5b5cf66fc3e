package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// placeObjects returns the first servers of many objects by region, each seen from an instance
// of the region whose callers ask for it, and the number of objects of each server.
func placeObjects(serversByZone map[string]int, bodyBytes int) (inOwnRegion, inOwnZone float64, byServer map[string]int) {
	regionByZone := map[string]string{"a": "r1", "b": "r1", "c": "r2", "d": "r2", "e": "r3", "f": "r3"}
	const objectsPerZone = 2000
	byServer = make(map[string]int)
	for zone, region := range regionByZone {
		pool := &servicePool{}
		locality := Locality{Zone: zone, Region: region, RegionByZone: regionByZone}
		dispatcher := NewDispatcher(locality, nil)
		for z, n := range serversByZone {
			for i := range n {
				s := newServer(testServer(fmt.Sprintf("%s%d", z, i), z), regionByZone[z])
				pool.servers = append(pool.servers, s)
			}
		}
		pool.homeShares = homeSharesOf(pool.servers, locality)
		rng := rand.New(rand.NewPCG(1, uint64(zone[0])))
		for range objectsPerZone {
			r := &Request{ObjectHash: rng.Uint64(), BodyBytes: bodyBytes}
			first := dispatcher.affinityOrderOf(r, pool, start).servers[0]
			byServer[first.ID]++
			if first.Region == region {
				inOwnRegion++
			}
			if first.Zone == zone {
				inOwnZone++
			}
		}
	}
	total := float64(len(regionByZone) * objectsPerZone)
	return inOwnRegion / total, inOwnZone / total, byServer
}

// With regions of equal traffic and very different numbers of servers, most objects are
// handled in the region of their callers, and no server gets far more than the mean: the small
// region's servers would drown under all objects of their region.
func TestObjectsStayInTheirRegionAsFarAsItsServersCarryThem(t *testing.T) {
	inRegion, _, byServer := placeObjects(map[string]int{"a": 1, "b": 1, "c": 5, "d": 5, "e": 5, "f": 5}, 0)
	// The small region has 2 of 22 servers, so that it keeps 3*2/22 of its objects.
	must.InDelta(t, (1+1+3*2.0/22)/3, inRegion, 0.03)
	mean := 6 * 2000.0 / 22
	for id, n := range byServer {
		must.Less(t, 1.3*mean, float64(n), must.Sprint("server ", id))
	}
}

// Large bodies stay in the zone, where the servers suffice.
func TestLargeBodiesStayInTheirZone(t *testing.T) {
	even := map[string]int{"a": 3, "b": 3, "c": 3, "d": 3, "e": 3, "f": 3}
	_, inZone, _ := placeObjects(even, largeBodyBytes)
	must.Eq(t, 1, inZone)
	inRegion, inZone, _ := placeObjects(even, 0)
	must.Eq(t, 1, inRegion)
	must.InDelta(t, 0.5, inZone, 0.05)
}

// Evacuated and draining servers take in no objects.
func TestHomeSharesCountOnlyServersThatTakeRequests(t *testing.T) {
	locality := Locality{Zone: "a", Region: "r1", RegionByZone: map[string]string{"a": "r1", "c": "r2"}}
	local, evacuated, draining, remote := newServer(testServer("s0", "a"), "r1"), newServer(testServer("s1", "a"), "r1"), newServer(testServer("s2", "a"), "r1"), newServer(testServer("s3", "c"), "r2")
	evacuated.Evacuated, draining.Ready = true, false
	must.Eq(t, homeShares{zone: 1, region: 1}, homeSharesOf([]*Server{local, evacuated, draining, remote}, locality))
	must.Eq(t, homeShares{}, homeSharesOf([]*Server{evacuated, draining}, locality))
}
