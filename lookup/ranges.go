package lookup

import (
	"math/bits"
	"slices"
)

// rangeTable4 contains the disjoint ranges of IPv4 addresses, sorted by start.
// starts[0] is 0, so every address is in a range.
type rangeTable4 struct {
	starts []uint32
	values []rangeValue
	// bucketStarts is an index over the starts, which narrows the binary search
	// to a few ranges. Addresses with the same top bits form a bucket;
	// bucketStarts[b] is the number of starts in the buckets below b.
	bucketStarts []uint32
	// bucketShift is the number of low bits that are cut off an address to get
	// its bucket.
	bucketShift uint8
}

// maxBucketBits is the maximum number of top bits that bucketStarts is indexed by. It
// bounds bucketStarts to 256 KiB, which fits in a second-level cache.
const maxBucketBits = 16

func newRangeTable4(ranges []addrRange) rangeTable4 {
	r := rangeTable4{
		starts: make([]uint32, len(ranges)),
		values: make([]rangeValue, len(ranges)),
	}
	for i, ar := range ranges {
		r.starts[i] = uint32(ar.start.hi >> 32)
		r.values[i] = ar.value
	}
	r.buildBuckets()
	return r
}

func (r *rangeTable4) buildBuckets() {
	bucketBits := min(bits.Len(uint(len(r.starts))), maxBucketBits)
	r.bucketShift = uint8(32 - bucketBits)
	r.bucketStarts = make([]uint32, 1<<bucketBits+1)
	for _, start := range r.starts {
		r.bucketStarts[start>>r.bucketShift+1]++
	}
	for b := 1; b < len(r.bucketStarts); b++ {
		r.bucketStarts[b] += r.bucketStarts[b-1]
	}
}

// find returns the index of the range that contains addr.
func (r *rangeTable4) find(addr uint32) int {
	bucket := addr >> r.bucketShift
	// The search begins one range before the bucket'ar first start, because that
	// range may extend into the bucket. It exists unless the bucket begins at
	// address 0, since starts[0] is 0.
	low := int(max(r.bucketStarts[bucket], 1)) - 1
	n := int(r.bucketStarts[bucket+1]) - low
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

func (r *rangeTable4) rangeAt(i int) addrRange {
	return addrRange{start: alignedAddr{hi: uint64(r.starts[i]) << 32}, value: r.values[i]}
}

// replace returns a copy of the table with the given ranges instead of those at the
// indexes from low up to, but not including, high.
func (r *rangeTable4) replace(low, high int, ranges []addrRange) rangeTable4 {
	newStarts := make([]uint32, len(ranges))
	for i, ar := range ranges {
		newStarts[i] = uint32(ar.start.hi >> 32)
	}
	next := rangeTable4{
		starts: slices.Concat(r.starts[:low], newStarts, r.starts[high:]),
		values: slices.Concat(r.values[:low], valuesOf(ranges), r.values[high:]),
	}
	next.buildBuckets()
	return next
}

func (r *rangeTable4) sizeBytes() int {
	return 4 * (len(r.starts) + len(r.values) + len(r.bucketStarts))
}

// rangeTable6 contains the disjoint ranges of IPv6 addresses, like rangeTable4 but
// without an index over the starts: allocated IPv6 addresses differ little in their
// leading bits, so buckets would not narrow the search.
type rangeTable6 struct {
	starts []alignedAddr
	values []rangeValue
}

func newRangeTable6(ranges []addrRange) rangeTable6 {
	r := rangeTable6{
		starts: make([]alignedAddr, len(ranges)),
		values: valuesOf(ranges),
	}
	for i, ar := range ranges {
		r.starts[i] = ar.start
	}
	return r
}

// find returns the index of the range that contains addr.
func (r *rangeTable6) find(addr alignedAddr) int {
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

func (r *rangeTable6) rangeAt(i int) addrRange {
	return addrRange{start: r.starts[i], value: r.values[i]}
}

// replace returns a copy of the table with the given ranges instead of those at the
// indexes from low up to, but not including, high.
func (r *rangeTable6) replace(low, high int, ranges []addrRange) rangeTable6 {
	replacement := newRangeTable6(ranges)
	return rangeTable6{
		starts: slices.Concat(r.starts[:low], replacement.starts, r.starts[high:]),
		values: slices.Concat(r.values[:low], replacement.values, r.values[high:]),
	}
}

func (r *rangeTable6) sizeBytes() int { return 16*len(r.starts) + 4*len(r.values) }

func valuesOf(ranges []addrRange) []rangeValue {
	values := make([]rangeValue, len(ranges))
	for i, ar := range ranges {
		values[i] = ar.value
	}
	return values
}
