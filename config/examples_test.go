package config

import (
	"net/netip"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// loadExample parses the configuration of an example deployment.
func loadExample(t *testing.T, name string) *Document {
	t.Helper()
	data, err := os.ReadFile("../examples/" + name + "/config.json")
	must.NoError(t, err)
	doc, err := Parse(data)
	must.NoError(t, err)
	return doc
}

// Checks that the examples have the sizes given on the design page, which the
// benchmarks and the demo rely on.
func TestExamplesHaveDocumentedSizes(t *testing.T) {
	cases := []struct {
		name               string
		maxServers         int // per service
		minSlots, maxSlots int // per server
		connections        int // per server, plus or minus 10
		minPort            uint16
		// Lowest weight of the objectives that the example favours, and highest weight
		// of the others.
		lowestHeavyWeight, highestLightWeight func(Policy) float64
	}{
		{"abyssinia", 14, 3, 6, 330, 20000,
			func(p Policy) float64 { return min(p.LatencyWeight, p.DrainTimeWeight) },
			func(p Policy) float64 { return max(p.RefusalWeight, p.WorstCustomerWeight) }},
		{"boateng", 20, 3, 4, 390, 21000,
			func(p Policy) float64 { return min(p.RefusalWeight, p.WorstCustomerWeight) },
			func(p Policy) float64 { return max(p.LatencyWeight, p.DrainTimeWeight) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc := loadExample(t, c.name)
			data, err := doc.Marshal()
			must.NoError(t, err)
			reparsed, err := Parse(data)
			must.NoError(t, err)
			must.SliceEmpty(t, Diff(doc, reparsed), must.Sprint("the canonical form differs from the document"))
			must.Len(t, 3, doc.Regions)
			must.Len(t, 6, doc.Zones)
			must.Len(t, 3, doc.Links)
			must.Len(t, 4, doc.Services)
			must.Len(t, 8, doc.Customers)
			must.Len(t, 6, doc.Sites)
			must.Greater(t, c.highestLightWeight(doc.Policy), c.lowestHeavyWeight(doc.Policy))
			for _, l := range doc.Links {
				must.Eq(t, int64(4e9), l.BitsPerSecond)
			}
			index := NewIndex(doc)
			for _, s := range doc.Services {
				must.Between(t, 12, len(index.ServersOfService(s.Name)), c.maxServers)
			}
			for _, s := range doc.BackendServers {
				address := netip.MustParseAddrPort(s.Address)
				must.True(t, address.Addr().IsLoopback())
				must.Between(t, c.minPort, address.Port(), c.minPort+999)
				must.Between(t, c.minSlots, s.Slots, c.maxSlots)
				must.Between(t, c.connections-10, s.Connections, c.connections+10)
			}
			routeCounts := map[string]int{} // by access type and by class label
			for _, r := range doc.Routes {
				routeCounts[string(r.Access)]++
				routeCounts[r.Labels["class"]]++
			}
			must.Eq(t, 1, routeCounts["open"])
			must.Positive(t, routeCounts["order"])
			must.Positive(t, routeCounts["upload"])
		})
	}
}
