package lookup

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/gaissmai/bart"
	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/config"
)

// benchSizes are numbers of client blocks; the last is the target scale.
var benchSizes = []int{1_000, 30_000, 230_000}

// benchBlocks returns n distinct blocks, of which 7 in 8 are IPv4, with the mix
// of lengths that client blocks have, some inside others.
func benchBlocks(n int) ([]config.Site, []config.ClientBlock) {
	sites := testSites(42)
	rng := rand.New(rand.NewPCG(1, 2))
	seen := make(map[netip.Prefix]bool, n)
	blocks := make([]config.ClientBlock, 0, n)
	for len(blocks) < n {
		p := benchPrefix(rng)
		if seen[p] {
			continue
		}
		seen[p] = true
		blocks = append(blocks, config.ClientBlock{Prefix: p, Site: sites[rng.IntN(len(sites))].Name})
	}
	return sites, blocks
}

func benchPrefix(rng *rand.Rand) netip.Prefix {
	var addr netip.Addr
	length := 16 + rng.IntN(9) // 16 to 24
	if rng.IntN(8) > 0 {
		addr = netip.AddrFrom4([4]byte{byte(1 + rng.IntN(223)), byte(rng.Uint32()), byte(rng.Uint32()), 0})
	} else {
		addr = netip.AddrFrom16([16]byte{0x20 | byte(rng.IntN(16)), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())})
		length = 32 + rng.IntN(17) // 32 to 48
	}
	p, _ := addr.Prefix(length)
	return p
}

func benchClients(blocks []config.ClientBlock) []netip.Addr {
	rng := rand.New(rand.NewPCG(3, 4))
	clients := make([]netip.Addr, 1<<16)
	for i := range clients {
		addr := blocks[rng.IntN(len(blocks))].Prefix.Addr()
		if addr.Is4() {
			a := addr.As4()
			a[3] = byte(rng.Uint32())
			clients[i] = netip.AddrFrom4(a)
			continue
		}
		a := addr.As16()
		a[15] = byte(rng.Uint32())
		clients[i] = netip.AddrFrom16(a)
	}
	return clients
}

func benchTable(tb testing.TB, n int) (*Table, []netip.Addr) {
	tb.Helper()
	sites, blocks := benchBlocks(n)
	table, err := NewTable(sites, blocks)
	must.NoError(tb, err)
	return table, benchClients(blocks)
}

func forSizes(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) { run(b, n) })
	}
}

func perSecond(b *testing.B) {
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

var sink entry

func BenchmarkLookupRanges(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		table, clients := benchTable(b, n)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			match, _ := table.Lookup(clients[i&(len(clients)-1)])
			sink = entry(match.Site)
			i++
		}
		perSecond(b)
	})
}

// BenchmarkLookupBart looks up in the library's fastest table, with the block
// computed from the stored length as in Table.Lookup.
func BenchmarkLookupBart(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		table, clients := benchTable(b, n)
		_, blocks := benchBlocks(n)
		tree := newBart(table, blocks)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			client := clients[i&(len(clients)-1)]
			e, _ := tree.Lookup(client)
			block, _ := client.Prefix(int(e.bits()))
			sink = e + entry(block.Bits())
			i++
		}
		perSecond(b)
	})
}

func BenchmarkLookupBartTable(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		table, clients := benchTable(b, n)
		_, blocks := benchBlocks(n)
		tree := newBartTable(table, blocks)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			client := clients[i&(len(clients)-1)]
			e, _ := tree.Lookup(client)
			block, _ := client.Prefix(int(e.bits()))
			sink = e + entry(block.Bits())
			i++
		}
		perSecond(b)
	})
}

func newBartTable(t *Table, blocks []config.ClientBlock) *bart.Table[entry] {
	tree := new(bart.Table[entry])
	for _, b := range blocks {
		tree.Insert(b.Prefix, newEntry(t.index[b.Site], uint8(b.Prefix.Bits())))
	}
	return tree
}

func benchBuild(b *testing.B, build func(sites []config.Site, blocks []config.ClientBlock) any) {
	forSizes(b, func(b *testing.B, n int) {
		sites, blocks := benchBlocks(n)
		before := heapBytes()
		kept := build(sites, blocks)
		size := float64(heapBytes() - before)
		runtime.KeepAlive(kept)
		for b.Loop() {
			build(sites, blocks)
		}
		b.ReportMetric(size/float64(n), "B/block")
	})
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkBuildRanges(b *testing.B) {
	benchBuild(b, func(sites []config.Site, blocks []config.ClientBlock) any {
		table, _ := NewTable(sites, blocks)
		return table
	})
}

func BenchmarkBuildBart(b *testing.B) {
	benchBuild(b, func(sites []config.Site, blocks []config.ClientBlock) any {
		index, _ := indexSites(sites)
		return newBart(&Table{index: index}, blocks)
	})
}

func BenchmarkBuildBartTable(b *testing.B) {
	benchBuild(b, func(sites []config.Site, blocks []config.ClientBlock) any {
		index, _ := indexSites(sites)
		return newBartTable(&Table{index: index}, blocks)
	})
}

func BenchmarkUpdateRanges(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		table, _ := benchTable(b, n)
		_, blocks := benchBlocks(n)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			if _, err := table.WithChange(BlockChange{Prefix: blocks[i%n].Prefix, Site: "s0"}); err != nil {
				b.Fatal(err)
			}
			i++
		}
	})
}

func BenchmarkUpdateBart(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		table, _ := benchTable(b, n)
		_, blocks := benchBlocks(n)
		tree := newBart(table, blocks)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			p := blocks[i%n].Prefix
			tree.InsertPersist(p, newEntry(0, uint8(p.Bits())))
			i++
		}
	})
}

// BenchmarkShard reports the bytes that one changed block transfers, if blocks
// are split into 256 shards by hash and each shard is a JSON list.
func BenchmarkShard(b *testing.B) {
	const shards = 256
	forSizes(b, func(b *testing.B, n int) {
		_, blocks := benchBlocks(n)
		var shard []config.ClientBlock
		for _, block := range blocks {
			if hashBlock(block.Prefix)%shards == 0 {
				shard = append(shard, block)
			}
		}
		var data []byte
		var packed bytes.Buffer
		for b.Loop() {
			data, _ = json.Marshal(shard)
			packed.Reset()
			zip := gzip.NewWriter(&packed)
			_, _ = zip.Write(data)
			_ = zip.Close()
		}
		b.ReportMetric(float64(len(data)), "B/shard")
		b.ReportMetric(float64(packed.Len()), "gzipped-B/shard")
	})
}
