package fleet

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// members returns instances over zones, two zones a region.
func members(n, zones int) []Instance {
	list := make([]Instance, 0, n)
	for i := range n {
		zone := i % zones
		list = append(list, Instance{Zone: fmt.Sprintf("z%d", zone), Region: fmt.Sprintf("r%d", zone/2), CallerAddress: fmt.Sprintf("c%d", i), PeerAddress: fmt.Sprintf("p%d", i)})
	}
	return list
}

// viewOf returns what one of the members sees.
func viewOf(all []Instance, i int) *View {
	v := New(all[i], &fake{}, maxAge)
	v.SetRegistered(all)
	return v
}

// The parts of a quota must add up to the whole at any size and rate, and each zone
// must hold one if the burst allows, so that none depends on another at once.
func TestPartsOfAQuotaAddUp(t *testing.T) {
	for _, c := range []struct {
		instances, zones int
		rate, burst      float64
		holders          int
	}{
		{1, 1, 0, 0, 1},
		{7, 6, 5, 30, 6},
		{7, 6, 5, 2, 2},
		{7, 6, 500, 500, 7},
		{32, 6, 5, 30, 6},
		{32, 9, 50, 50, 25},
		{300, 24, 5, 30, 24},
		{300, 24, 400, 400, 200},
	} {
		t.Run(fmt.Sprintf("%d instances, %d zones, rate %v, burst %v", c.instances, c.zones, c.rate, c.burst), func(t *testing.T) {
			all := members(c.instances, c.zones)
			sum, count, zones := 0.0, 0, make(map[string]bool)
			for i, in := range all {
				share := viewOf(all, i).LocalShare("acme", c.rate, c.burst)
				sum += share
				if share > 0 {
					count++
					zones[in.Zone] = true
				}
			}
			must.InDelta(t, 1, sum, 1e-9)
			must.Eq(t, c.holders, count)
			must.Eq(t, min(c.zones, c.holders), len(zones))
		})
	}
}

// Lenders are exactly the other holders, so that no call goes to an instance that has
// nothing, and customers do not all have the same ones.
func TestLendersAreTheHolders(t *testing.T) {
	all := members(32, 6)
	used := make(map[string]bool)
	for _, customer := range []string{"a", "b", "c", "d", "e", "f"} {
		for i := range all {
			l := &QuotaLenders{View: viewOf(all, i)}
			near, far := l.Addresses(customer, 5, 30)
			for _, address := range append(near, far...) {
				used[address] = true
				for j, in := range all {
					if in.PeerAddress == address {
						must.Positive(t, viewOf(all, j).LocalShare(customer, 5, 30))
					}
				}
			}
			holds := 0
			if l.LocalShare(customer, 5, 30) > 0 {
				holds = 1
			}
			must.Eq(t, 6, len(near)+len(far)+holds)
		}
	}
	must.Greater(t, 12, len(used))
}
