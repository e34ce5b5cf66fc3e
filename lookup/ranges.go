package lookup

import (
	"math/bits"
	"slices"
)

// ranges4 holds the disjoint ranges of IPv4 addresses, sorted by start. starts[0]
// is 0, so every address is in a range.
type ranges4 struct {
	starts  []uint32
	entries []entry
	// index[h] is the number of starts whose top bits are less than h. It
	// narrows the search to a few entries.
	index []uint32
	shift uint8
}

// maxIndexBits bounds the index to 256 KiB, which fits in a second-level cache.
const maxIndexBits = 16

func newRanges4(spans []span) ranges4 {
	r := ranges4{
		starts:  make([]uint32, len(spans)),
		entries: make([]entry, len(spans)),
	}
	for i, s := range spans {
		r.starts[i] = uint32(s.start.hi >> 32)
		r.entries[i] = s.entry
	}
	r.buildIndex()
	return r
}

func (r *ranges4) buildIndex() {
	indexBits := min(bits.Len(uint(len(r.starts))), maxIndexBits)
	r.shift = uint8(32 - indexBits)
	r.index = make([]uint32, 1<<indexBits+1)
	for _, start := range r.starts {
		r.index[start>>r.shift+1]++
	}
	for h := 1; h < len(r.index); h++ {
		r.index[h] += r.index[h-1]
	}
}

// find returns the position of the range that contains addr.
func (r *ranges4) find(addr uint32) int {
	h := addr >> r.shift
	// The range before the first start in this part of the index may reach into
	// it; starts[0] is 0, so there is one unless the part begins at 0.
	low := int(max(r.index[h], 1)) - 1
	n := int(r.index[h+1]) - low
	// The loop has no unpredictable branch: the assignment compiles to a
	// conditional move.
	for n > 1 {
		half := n / 2
		next := low + half
		if r.starts[next] <= addr {
			low = next
		}
		n -= half
	}
	return low
}

func (r *ranges4) span(i int) span {
	return span{start: u128{hi: uint64(r.starts[i]) << 32}, entry: r.entries[i]}
}

// replace returns a copy in which spans stand for the ranges from low up to high.
func (r *ranges4) replace(low, high int, spans []span) ranges4 {
	part := make([]uint32, len(spans))
	for i, s := range spans {
		part[i] = uint32(s.start.hi >> 32)
	}
	next := ranges4{
		starts:  slices.Concat(r.starts[:low], part, r.starts[high:]),
		entries: slices.Concat(r.entries[:low], entriesOf(spans), r.entries[high:]),
	}
	next.buildIndex()
	return next
}

func (r *ranges4) bytes() int { return 4 * (len(r.starts) + len(r.entries) + len(r.index)) }

// ranges6 holds the disjoint ranges of IPv6 addresses like ranges4. Allocated
// IPv6 space shares few leading bits, so an index over them would not narrow the
// search.
type ranges6 struct {
	starts  []u128
	entries []entry
}

func newRanges6(spans []span) ranges6 {
	r := ranges6{
		starts:  make([]u128, len(spans)),
		entries: entriesOf(spans),
	}
	for i, s := range spans {
		r.starts[i] = s.start
	}
	return r
}

// find returns the position of the range that contains addr.
func (r *ranges6) find(addr u128) int {
	low, n := 0, len(r.starts)
	for n > 1 {
		half := n / 2
		next := low + half
		if !addr.less(r.starts[next]) {
			low = next
		}
		n -= half
	}
	return low
}

func (r *ranges6) span(i int) span { return span{start: r.starts[i], entry: r.entries[i]} }

// replace returns a copy in which spans stand for the ranges from low up to high.
func (r *ranges6) replace(low, high int, spans []span) ranges6 {
	part := newRanges6(spans)
	return ranges6{
		starts:  slices.Concat(r.starts[:low], part.starts, r.starts[high:]),
		entries: slices.Concat(r.entries[:low], part.entries, r.entries[high:]),
	}
}

func (r *ranges6) bytes() int { return 16*len(r.starts) + 4*len(r.entries) }

func entriesOf(spans []span) []entry {
	entries := make([]entry, len(spans))
	for i, s := range spans {
		entries[i] = s.entry
	}
	return entries
}
