package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against the overload of a region when all its instances see the same free slots
// in old reports and use them at once, and against an instance that cannot use its static
// share.
func TestConcurrentBurstOfInstances(t *testing.T) {
	policy := config.Policy{MaxUtilization: 0.75}
	rapid.Check(t, func(rt *rapid.T) {
		servers := rapid.IntRange(1, 8).Draw(rt, "servers")
		var names []string
		for i := range rapid.IntRange(1, 5).Draw(rt, "instances") {
			names = append(names, fmt.Sprint("entry-", i))
		}
		fill := func(p *Placer, now time.Time) (placed int) {
			in := Inputs{States: allServing{}, Policy: policy}
			for p.Place(Request{Service: "svc"}, in, newRand(), now).Server != "" {
				placed++
			}
			return placed
		}
		total, usableSlots := 0, servers*3 // each server has 4 slots, 3 at a maximum utilization of 0.75
		for _, name := range names {
			placer := NewPlacer(Instance{Name: name, Zone: "a", Region: "r"})
			for s := range servers {
				server := config.BackendServer{Name: fmt.Sprint("s", s), Service: "svc", Zone: "a", Slots: 4, Connections: 99}
				placer.SetServer(server, "r", names)
				for _, other := range names {
					placer.StorePeerUsage(other, server.Name, 0, 0, epoch)
				}
			}
			total += fill(placer, epoch)
		}
		if total > servers*4 {
			rt.Fatalf("region has %d in-flight requests in %d slots", total, servers*4)
		}
		// The static shares of all instances add up to the usable slots.
		must.GreaterEq(rt, usableSlots, total)
	})
}

// Guards against rounding down the load of each server, which adds up to more requests
// than the region has free slots.
func TestRoundingErrorsDoNotAddUp(t *testing.T) {
	v := View{Zone: "a", Region: "r", Policy: allSlots}
	for i := range 4 {
		v.Candidates = append(v.Candidates, Candidate{
			Server: fmt.Sprint("s", i), Zone: "a", Region: "r", Slots: 4, MaxConnections: 9, Weight: 1,
			InFlight: 3, PeerUsage: []PeerUsage{{StaticShare: 1, Age: 500 * time.Millisecond}},
		})
	}
	placed := 0
	for range 4 {
		d := Choose(Request{}, v, newRand())
		for i := range v.Candidates {
			if v.Candidates[i].Server == d.Server {
				v.Candidates[i].InFlight++
				placed++
			}
		}
	}
	must.Eq(t, 2, placed) // the 4 servers have 0.7 free slots each, 2.8 in total
}
