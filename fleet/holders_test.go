package fleet

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// testMembers returns n instances spread evenly over zones, with two zones per region.
func testMembers(n, zones int) []Instance {
	list := make([]Instance, 0, n)
	for i := range n {
		zone := i % zones
		list = append(list, Instance{Zone: fmt.Sprintf("z%d", zone), Region: fmt.Sprintf("r%d", zone/2), CallerAddress: fmt.Sprintf("c%d", i), PeerAddress: fmt.Sprintf("p%d", i)})
	}
	return list
}

// viewOfMember returns the view of member i, with all members registered.
func viewOfMember(all []Instance, i int) *View {
	v := New(all[i], &fakeDataPath{}, testMaxConfigAge)
	v.SetRegistered(all)
	return v
}

// The shares of a quota must add up to one for any fleet size and rate. If the burst allows it,
// every zone must have a quota holder, so that a zone that is cut off from the others can still
// admit requests.
func TestQuotaSharesAddUpToOne(t *testing.T) {
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
			all := testMembers(c.instances, c.zones)
			sum, count, zones := 0.0, 0, make(map[string]bool)
			for i, in := range all {
				share := viewOfMember(all, i).LocalShare("acme", c.rate, c.burst)
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

// Lenders must be exactly the other quota holders, so that no call goes to an instance without
// tokens. Different customers must have different holders.
func TestLenderAddressesAreQuotaHolders(t *testing.T) {
	all := testMembers(32, 6)
	used := make(map[string]bool)
	for _, customer := range []string{"a", "b", "c", "d", "e", "f"} {
		for i := range all {
			l := &QuotaLenders{View: viewOfMember(all, i)}
			regional, remote := l.Addresses(customer, 5, 30)
			for _, address := range append(regional, remote...) {
				used[address] = true
				for j, in := range all {
					if in.PeerAddress == address {
						must.Positive(t, viewOfMember(all, j).LocalShare(customer, 5, 30))
					}
				}
			}
			self := 0
			if l.LocalShare(customer, 5, 30) > 0 {
				self = 1
			}
			must.Eq(t, 6, len(regional)+len(remote)+self)
		}
	}
	must.Greater(t, 12, len(used))
}
