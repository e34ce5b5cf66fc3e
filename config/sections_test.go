package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/internal/proptest"
)

// TestMain runs the property tests with a fixed seed.
func TestMain(m *testing.M) {
	proptest.Main(m)
}

func fetchFromMap(sections map[Hash][]byte) FetchFunc {
	return func(h Hash) ([]byte, error) { return sections[h], nil }
}

// Checks that a document is unchanged after Split and Join, that its sections do not
// depend on the order of client blocks, and that Join detects a modified section.
func TestSplitAndJoinPreserveDocument(t *testing.T) {
	base := loadExample(t, "abyssinia")
	rapid.Check(t, func(t *rapid.T) {
		doc := *base
		doc.ClientBlocks = nil
		numbers := rapid.SliceOfNDistinct(rapid.Uint16(), 100, 300, rapid.ID).Draw(t, "blocks")
		for _, n := range numbers {
			prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(n >> 8), byte(n)}), 24)
			doc.ClientBlocks = append(doc.ClientBlocks, ClientBlock{Prefix: prefix, Site: doc.Sites[n%2].Name})
		}
		m, sections, err := Split(&doc)
		must.NoError(t, err)
		joined, err := Join(m, fetchFromMap(sections))
		must.NoError(t, err)
		must.SliceEmpty(t, Diff(&doc, joined))

		rand.New(rand.NewPCG(1, 2)).Shuffle(len(doc.ClientBlocks), func(i, j int) {
			doc.ClientBlocks[i], doc.ClientBlocks[j] = doc.ClientBlocks[j], doc.ClientBlocks[i]
		})
		shuffled, _, err := Split(&doc)
		must.NoError(t, err)
		must.True(t, m == shuffled)

		damaged := rapid.SampledFrom(m.SectionHashes()).Draw(t, "damaged")
		sections[damaged] = append([]byte{' '}, sections[damaged]...)
		_, err = Join(m, fetchFromMap(sections))
		var mismatch *HashMismatchError
		must.True(t, errors.As(err, &mismatch))
		must.Eq(t, damaged, mismatch.Want)
	})
}

// Checks that a change of one client block changes one shard only, and that Join
// rejects a client block in the wrong shard.
func TestOneChangedBlockChangesOneShard(t *testing.T) {
	doc := loadExample(t, "boateng")
	before, _, err := Split(doc)
	must.NoError(t, err)
	doc.ClientBlocks[3].Site = doc.Sites[5].Name
	after, sections, err := Split(doc)
	must.NoError(t, err)
	must.Eq(t, before.Base, after.Base)
	changed := 0
	for i := range after.Shards {
		if after.Shards[i] != before.Shards[i] {
			changed++
		}
	}
	must.Eq(t, 1, changed)
	encoded, err := after.Encode()
	must.NoError(t, err)
	decoded, err := ParseManifest(encoded, HashOf(encoded))
	must.NoError(t, err)
	must.Eq(t, after, decoded)

	shard := ShardOf(doc.ClientBlocks[3].Prefix)
	after.Shards[shard], after.Shards[(shard+1)%ShardCount] = Hash{}, after.Shards[shard]
	_, err = Join(after, fetchFromMap(sections))
	var misplaced *SectionError
	must.True(t, errors.As(err, &misplaced), must.Sprint("Join accepted a client block in the wrong shard"))
}

// Checks that Diff reports every difference, identifies list elements by name, and
// ignores the order of elements.
func TestDiffReportsPathOldAndNewValue(t *testing.T) {
	before, after := loadExample(t, "boateng"), loadExample(t, "boateng")
	must.SliceEmpty(t, Diff(before, after))
	after.Routes[0], after.Routes[1] = after.Routes[1], after.Routes[0]
	must.SliceEmpty(t, Diff(before, after))
	after.Routes[0].Deadline *= 2
	after.BackendServers[0].Labels["tier"] = "canary"
	after.BackendServers[0].Labels["draining"] = "true"
	after.Customers = after.Customers[:7]
	after.ClientBlocks[0].Site = after.Sites[5].Name
	after.Links[0].From, after.Links[0].To = after.Links[0].To, after.Links[0].From
	after.Policy.RefusalWeight = 5
	after.Regions = append(after.Regions, Region{Name: "volta"})
	must.Eq(t, []string{
		`$.regions["volta"]:  -> {"name":"volta"}`,
		`$.links["accra/kumasi"].from: "accra" -> "kumasi"`,
		`$.links["accra/kumasi"].to: "kumasi" -> "accra"`,
		`$.backend_servers["stock-01"].labels.draining:  -> "true"`,
		`$.backend_servers["stock-01"].labels.tier: "stable" -> "canary"`,
		`$.customers["yapei-crossing"]: {"name":"yapei-crossing","labels":{"kind":"ferry","size":"small"},"rate_per_second":40,"burst":100,"weight":1} -> `,
		`$.routes["pole-length-check"].deadline: "2s" -> "4s"`,
		`$.client_blocks["10.32.0.0/20"].site: "accra-a-site" -> "tamale-b-site"`,
		`$.policy.refusal_weight: 3 -> 5`,
	}, changeLines(Diff(before, after)))
}

func changeLines(changes []Change) (list []string) {
	for _, c := range changes {
		list = append(list, fmt.Sprintf("%s: %s -> %s", c.Path, c.Old, c.New))
	}
	return list
}

// Checks that the index finds elements of every kind, finds a link in both directions,
// and is not changed when a caller modifies a returned value.
func TestIndexFindsElements(t *testing.T) {
	x := NewIndex(loadExample(t, "boateng"))
	route, ok := x.Route("cutting-booking")
	must.True(t, ok)
	must.Eq(t, "bookings", route.Service)
	must.Len(t, 1, x.ShiftsOfRoute(route.Name))
	route.Service = "stock"
	route, _ = x.Route("cutting-booking")
	must.Eq(t, "bookings", route.Service)
	customer, ok := x.Customer("accra-boat-club")
	must.True(t, ok && customer.Burst == 700)
	server, ok := x.Server("bookings-02")
	must.True(t, ok && server.Zone == "accra-b")
	service, ok := x.Service("stock")
	must.True(t, ok && service.HealthPath == "/healthz")
	region, ok := x.RegionOfZone("kumasi-b")
	must.True(t, ok && region == "kumasi")
	must.Eq(t, []string{"kumasi-a", "kumasi-b"}, x.ZonesOfRegion("kumasi"))
	forward, _ := x.Link("accra", "tamale")
	reverse, ok := x.Link("tamale", "accra")
	must.True(t, ok && forward == reverse)
	zone, ok := x.ZoneOfSite("tamale-a-site")
	must.True(t, ok && zone == "tamale-a")
	_, ok = x.Route("none")
	must.False(t, ok)
	must.SliceEmpty(t, x.ServersOfService("none"))
}
