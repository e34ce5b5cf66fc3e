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

// benchBlockCounts are the numbers of client blocks that benchmarks run with. The last is
// the target scale.
var benchBlockCounts = []int{1_000, 30_000, 230_000}

// benchBlocks returns n distinct blocks, of which 7 in 8 are IPv4. Their prefix lengths
// are mixed like those of real client blocks, and some blocks are inside others.
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

// benchPrefix returns the random prefix of a client block.
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

// benchClients returns random client addresses in the given blocks.
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

// runForBlockCounts runs a benchmark with each number of client blocks.
func runForBlockCounts(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range benchBlockCounts {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) { run(b, n) })
	}
}

func reportLookupRate(b *testing.B) {
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

// sink receives results so that the compiler does not remove the measured code.
var sink rangeValue

func BenchmarkLookupRanges(b *testing.B) {
	runForBlockCounts(b, func(b *testing.B, n int) {
		table, clients := benchTable(b, n)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			match, _ := table.Lookup(clients[i&(len(clients)-1)])
			sink = rangeValue(match.Site)
			i++
		}
		reportLookupRate(b)
	})
}

// BenchmarkLookupBart measures look-ups in bart.Fast, the fastest table of the bart
// library, with the block computed from the stored prefix length as in Table.Lookup.
func BenchmarkLookupBart(b *testing.B) {
	runForBlockCounts(b, func(b *testing.B, n int) {
		table, clients := benchTable(b, n)
		_, blocks := benchBlocks(n)
		tree := newBartFast(table, blocks)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			client := clients[i&(len(clients)-1)]
			value, _ := tree.Lookup(client)
			block, _ := client.Prefix(int(value.prefixLen()))
			sink = value + rangeValue(block.Bits())
			i++
		}
		reportLookupRate(b)
	})
}

// BenchmarkLookupBartTable is BenchmarkLookupBart for bart.Table.
func BenchmarkLookupBartTable(b *testing.B) {
	runForBlockCounts(b, func(b *testing.B, n int) {
		table, clients := benchTable(b, n)
		_, blocks := benchBlocks(n)
		tree := newBartTable(table, blocks)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			client := clients[i&(len(clients)-1)]
			value, _ := tree.Lookup(client)
			block, _ := client.Prefix(int(value.prefixLen()))
			sink = value + rangeValue(block.Bits())
			i++
		}
		reportLookupRate(b)
	})
}

func newBartTable(t *Table, blocks []config.ClientBlock) *bart.Table[rangeValue] {
	tree := new(bart.Table[rangeValue])
	for _, b := range blocks {
		tree.Insert(b.Prefix, newRangeValue(t.siteIDs[b.Site], uint8(b.Prefix.Bits())))
	}
	return tree
}

// benchBuild measures the time to build a table and the heap memory that it takes per
// block.
func benchBuild(b *testing.B, build func(sites []config.Site, blocks []config.ClientBlock) any) {
	runForBlockCounts(b, func(b *testing.B, n int) {
		sites, blocks := benchBlocks(n)
		before := liveHeapBytes()
		table := build(sites, blocks)
		size := float64(liveHeapBytes() - before)
		runtime.KeepAlive(table)
		for b.Loop() {
			build(sites, blocks)
		}
		b.ReportMetric(size/float64(n), "B/block")
	})
}

// liveHeapBytes collects garbage and returns the size of the remaining heap objects.
func liveHeapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkNewTableRanges(b *testing.B) {
	benchBuild(b, func(sites []config.Site, blocks []config.ClientBlock) any {
		table, _ := NewTable(sites, blocks)
		return table
	})
}

func BenchmarkNewTableBart(b *testing.B) {
	benchBuild(b, func(sites []config.Site, blocks []config.ClientBlock) any {
		index, _ := indexSites(sites)
		return newBartFast(&Table{siteIDs: index}, blocks)
	})
}

func BenchmarkNewTableBartTable(b *testing.B) {
	benchBuild(b, func(sites []config.Site, blocks []config.ClientBlock) any {
		index, _ := indexSites(sites)
		return newBartTable(&Table{siteIDs: index}, blocks)
	})
}

func BenchmarkWithChangeRanges(b *testing.B) {
	runForBlockCounts(b, func(b *testing.B, n int) {
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

func BenchmarkWithChangeBart(b *testing.B) {
	runForBlockCounts(b, func(b *testing.B, n int) {
		table, _ := benchTable(b, n)
		_, blocks := benchBlocks(n)
		tree := newBartFast(table, blocks)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			p := blocks[i%n].Prefix
			tree.InsertPersist(p, newRangeValue(0, uint8(p.Bits())))
			i++
		}
	})
}

// BenchmarkShardTransferSize reports the bytes that have to be transferred for one changed
// block if the blocks are split into 256 shards by hash, each of them a JSON list, and
// the whole shard is sent.
func BenchmarkShardTransferSize(b *testing.B) {
	const shards = 256
	runForBlockCounts(b, func(b *testing.B, n int) {
		_, blocks := benchBlocks(n)
		var shard []config.ClientBlock
		for _, block := range blocks {
			if hashBlock(block.Prefix)%shards == 0 {
				shard = append(shard, block)
			}
		}
		var data []byte
		var compressed bytes.Buffer
		for b.Loop() {
			data, _ = json.Marshal(shard)
			compressed.Reset()
			writer := gzip.NewWriter(&compressed)
			_, _ = writer.Write(data)
			_ = writer.Close()
		}
		b.ReportMetric(float64(len(data)), "B/shard")
		b.ReportMetric(float64(compressed.Len()), "gzipped-B/shard")
	})
}
