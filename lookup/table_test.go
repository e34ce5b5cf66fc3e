package lookup

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/gaissmai/bart"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/config"
)

func testSites(n int) []config.Site {
	sites := make([]config.Site, n)
	for i := range sites {
		sites[i] = config.Site{Name: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i)}
	}
	return sites
}

// drawAddr draws an address from a small set, so that blocks are often nested or adjacent
// and reach both ends of the address space.
func drawAddr(t *rapid.T, label string) netip.Addr {
	octet := rapid.SampledFrom([]byte{0, 1, 2, 127, 128, 254, 255})
	if rapid.Bool().Draw(t, label+" is IPv4") {
		var a [4]byte
		for i := range a {
			a[i] = octet.Draw(t, label)
		}
		return netip.AddrFrom4(a)
	}
	var a [16]byte
	for _, i := range []int{0, 1, 7, 8, 9, 15} {
		a[i] = octet.Draw(t, label)
	}
	a[0] |= 0x20 // never IPv4-mapped
	return netip.AddrFrom16(a)
}

func drawPrefix(t *rapid.T, label string) netip.Prefix {
	addr := drawAddr(t, label)
	p, err := addr.Prefix(rapid.IntRange(0, addr.BitLen()).Draw(t, label+" length"))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// drawBlocks draws client blocks as a map from prefixes to names of sites.
func drawBlocks(t *rapid.T, sites []config.Site) map[netip.Prefix]string {
	blocks := make(map[netip.Prefix]string)
	p := drawPrefix(t, "block")
	for range rapid.IntRange(0, 40).Draw(t, "blocks") {
		blocks[p] = rapid.SampledFrom(sites).Draw(t, "site").Name
		p = drawRelated(t, p)
	}
	return blocks
}

// drawRelated draws a prefix of any length that contains the first address of p, the last
// one or the one after it, or an unrelated prefix.
func drawRelated(t *rapid.T, p netip.Prefix) netip.Prefix {
	edge := rapid.SampledFrom([]netip.Addr{p.Addr(), lastAddr(p), lastAddr(p).Next(), {}}).Draw(t, "edge")
	if !edge.IsValid() {
		return drawPrefix(t, "block")
	}
	related, err := edge.Prefix(rapid.IntRange(0, edge.BitLen()).Draw(t, "length"))
	if err != nil {
		t.Fatal(err)
	}
	return related
}

func blockList(blocks map[netip.Prefix]string) []config.ClientBlock {
	var out []config.ClientBlock
	for p, site := range blocks {
		out = append(out, config.ClientBlock{Prefix: p, Site: site})
	}
	return out
}

// checkTable compares look-ups with a linear search through all blocks. It looks up the
// first and last address of each block, their neighbours outside the block, and addrs.
func checkTable(t *rapid.T, table *Table, blocks map[netip.Prefix]string, addrs ...netip.Addr) {
	for p := range blocks {
		last := lastAddr(p)
		addrs = append(addrs, p.Addr(), last, p.Addr().Prev(), last.Next())
	}
	for _, addr := range addrs {
		if !addr.IsValid() {
			continue
		}
		// Table.Lookup treats an IPv4-mapped address as IPv4.
		want, wantOK := longestPrefix(blocks, addr.Unmap())
		got, ok := table.Lookup(addr)
		if ok != wantOK || ok && (got.Block != want || table.Site(got.Site).Name != blocks[want]) {
			t.Fatalf("lookup of %s: got %v %v, want block %v %v", addr, got, ok, want, wantOK)
		}
	}
	if table.Len() != len(blocks) {
		t.Fatalf("table has %d blocks, want %d", table.Len(), len(blocks))
	}
}

// lastAddr returns the last address of p.
func lastAddr(p netip.Prefix) netip.Addr {
	bytes := p.Addr().AsSlice()
	for i := p.Bits(); i < 8*len(bytes); i++ {
		bytes[i/8] |= 0x80 >> (i % 8)
	}
	addr, _ := netip.AddrFromSlice(bytes)
	return addr
}

// longestPrefix returns the longest of the blocks that contain addr, or false.
func longestPrefix(blocks map[netip.Prefix]string, addr netip.Addr) (netip.Prefix, bool) {
	var found []netip.Prefix
	for p := range blocks {
		if p.Contains(addr) {
			found = append(found, p)
		}
	}
	if len(found) == 0 {
		return netip.Prefix{}, false
	}
	return slices.MaxFunc(found, func(a, b netip.Prefix) int { return a.Bits() - b.Bits() }), true
}

// A look-up must find the longest block that contains the client, and no block if none
// does, also next to the edges of blocks and at the ends of the address space.
func TestLookupFindsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sites := testSites(3)
		blocks := drawBlocks(t, sites)
		table, err := NewTable(sites, blockList(blocks))
		if err != nil {
			t.Fatal(err)
		}
		checkTable(t, table, blocks, drawAddr(t, "client"))
	})
}

// A table after an update must be the same as a table built from the changed blocks, for
// example when the removal of a block leaves its addresses to an outer block.
func TestWithChangeEqualsNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sites := testSites(3)
		blocks := drawBlocks(t, sites)
		table, err := NewTable(sites, blockList(blocks))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			c := drawChange(t, blocks, sites)
			if c.Site == "" {
				delete(blocks, c.Prefix)
			} else {
				blocks[c.Prefix] = c.Site
			}
			before := table
			if table, err = table.WithChange(c); err != nil {
				t.Fatal(err)
			}
			if before == table {
				t.Fatal("Update returned the same table instead of a copy")
			}
			rebuilt, err := NewTable(sites, blockList(blocks))
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(table.ranges4.starts, rebuilt.ranges4.starts) || !slices.Equal(table.ranges4.values, rebuilt.ranges4.values) {
				t.Fatalf("IPv4 ranges after change %v differ from those of a rebuilt table", c)
			}
			if !slices.Equal(table.ranges6.starts, rebuilt.ranges6.starts) || !slices.Equal(table.ranges6.values, rebuilt.ranges6.values) {
				t.Fatalf("IPv6 ranges after change %v differ from those of a rebuilt table", c)
			}
			checkTable(t, table, blocks)
		}
	})
}

// drawChange draws a new block, or a new site or the removal of one of the given blocks.
func drawChange(t *rapid.T, blocks map[netip.Prefix]string, sites []config.Site) BlockChange {
	if len(blocks) == 0 || rapid.Bool().Draw(t, "new") {
		return BlockChange{Prefix: drawPrefix(t, "change"), Site: rapid.SampledFrom(sites).Draw(t, "site").Name}
	}
	prefixes := make([]netip.Prefix, 0, len(blocks))
	for p := range blocks {
		prefixes = append(prefixes, p)
	}
	slices.SortFunc(prefixes, netip.Prefix.Compare)
	site := rapid.SampledFrom([]string{"", "s0", "s1", "s2"}).Draw(t, "new site")
	return BlockChange{Prefix: rapid.SampledFrom(prefixes).Draw(t, "change"), Site: site}
}

// A table must reject blocks that it cannot represent or that would never match, and
// sites that are defined twice.
func TestNewTableRejectsInvalidBlocks(t *testing.T) {
	cases := []struct {
		name   string
		prefix netip.Prefix
		site   string
		want   any
	}{
		{"zero prefix", netip.Prefix{}, "s0", new(*BlockError)},
		{"host bits", netip.MustParsePrefix("10.1.0.0/8"), "s0", new(*BlockError)},
		{"IPv4-mapped", netip.MustParsePrefix("::ffff:10.0.0.0/104"), "s0", new(*BlockError)},
		{"defined twice", netip.MustParsePrefix("192.0.2.0/24"), "s0", new(*BlockError)},
		{"unknown site", netip.MustParsePrefix("10.0.0.0/8"), "s9", new(*UnknownSiteError)},
	}
	for _, tc := range cases {
		blocks := []config.ClientBlock{{Prefix: netip.MustParsePrefix("192.0.2.0/24"), Site: "s1"}, {Prefix: tc.prefix, Site: tc.site}}
		_, err := NewTable(testSites(2), blocks)
		must.True(t, errors.As(err, tc.want), must.Sprint(tc.name))
	}
	_, err := NewTable(append(testSites(1), testSites(1)...), nil)
	must.True(t, errors.As(err, new(*InvalidSitesError)))
	table, err := NewTable(testSites(1), nil)
	must.NoError(t, err)
	_, err = table.WithChange(BlockChange{Prefix: netip.MustParsePrefix("10.0.0.0/8")})
	must.True(t, errors.As(err, new(*BlockError)))
}

// The address of an IPv4 client that connected over an IPv6 socket is IPv4-mapped and must
// be looked up as IPv4. An invalid address must not cause a panic.
func TestLookupSpecialAddresses(t *testing.T) {
	table, err := NewTable(testSites(1), []config.ClientBlock{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: "s0"}})
	must.NoError(t, err)
	match, ok := table.Lookup(netip.MustParseAddr("::ffff:10.1.2.3"))
	must.True(t, ok)
	must.EqOp(t, netip.MustParsePrefix("10.0.0.0/8"), match.Block)
	_, ok = table.Lookup(netip.Addr{})
	must.False(t, ok)
}

// A look-up must not allocate memory.
func TestLookupDoesNotAllocate(t *testing.T) {
	table, clients := benchTable(t, 1000)
	must.Zero(t, testing.AllocsPerRun(1000, func() { table.Lookup(clients[0]) }))
}

// Tables of realistic size must agree with those of the bart library. The other tests
// compare only small tables, with a linear search.
func TestLookupAgreesWithBart(t *testing.T) {
	sites, blocks := benchBlocks(30_000)
	table, err := NewTable(sites, blocks)
	must.NoError(t, err)
	bartTable := newBartFast(table, blocks)
	for _, client := range benchClients(blocks) {
		want, wantOK := bartTable.Lookup(client)
		match, ok := table.Lookup(client)
		must.EqOp(t, wantOK, ok)
		if ok {
			must.EqOp(t, want, newRangeValue(match.Site, uint8(match.Block.Bits())))
		}
	}
}

// newBartFast returns the table of the bart library for the blocks, with the site IDs of t.
func newBartFast(t *Table, blocks []config.ClientBlock) *bart.Fast[rangeValue] {
	tree := new(bart.Fast[rangeValue])
	for _, b := range blocks {
		tree.Insert(b.Prefix, newRangeValue(t.siteIDs[b.Site], uint8(b.Prefix.Bits())))
	}
	return tree
}
