package config

import (
	"net/netip"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// load parses an example deployment.
func load(t *testing.T, name string) *Document {
	t.Helper()
	data, err := os.ReadFile("../examples/" + name + "/config.json")
	must.NoError(t, err)
	doc, err := Parse(data)
	must.NoError(t, err)
	return doc
}

// Guards against examples that do not have the sizes on the design page, which
// the benchmarks and the demo rely on.
func TestExamples(t *testing.T) {
	cases := []struct {
		name                 string
		mostServers          int
		leastSlots, maxSlots int
		connections          int
		port                 uint16
		heavy, light         func(Policy) float64
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
			doc := load(t, c.name)
			data, err := doc.Marshal()
			must.NoError(t, err)
			again, err := Parse(data)
			must.NoError(t, err)
			must.SliceEmpty(t, Diff(doc, again), must.Sprint("canonical form"))
			must.Len(t, 3, doc.Regions)
			must.Len(t, 6, doc.Zones)
			must.Len(t, 3, doc.Links)
			must.Len(t, 4, doc.Services)
			must.Len(t, 8, doc.Customers)
			must.Len(t, 6, doc.Sites)
			must.Greater(t, c.light(doc.Policy), c.heavy(doc.Policy))
			for _, l := range doc.Links {
				must.Eq(t, int64(4e9), l.BitsPerSecond)
			}
			index := NewIndex(doc)
			for _, s := range doc.Services {
				must.Between(t, 12, len(index.ServersOfService(s.Name)), c.mostServers)
			}
			for _, s := range doc.BackendServers {
				address := netip.MustParseAddrPort(s.Address)
				must.True(t, address.Addr().IsLoopback())
				must.Between(t, c.port, address.Port(), c.port+999)
				must.Between(t, c.leastSlots, s.Slots, c.maxSlots)
				must.Between(t, c.connections-10, s.Connections, c.connections+10)
			}
			classes := map[string]int{}
			for _, r := range doc.Routes {
				classes[string(r.Access)]++
				classes[r.Labels["class"]]++
			}
			must.Eq(t, 1, classes["open"])
			must.Positive(t, classes["order"])
			must.Positive(t, classes["upload"])
		})
	}
}
