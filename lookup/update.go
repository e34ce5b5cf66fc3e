package lookup

import (
	"cmp"
	"net/netip"
	"slices"
)

// BlockChange sets or removes one client block.
type BlockChange struct {
	Prefix netip.Prefix
	// Site is the name of the new site of the block. If it is empty, the block is
	// removed.
	Site string
}

// WithChange returns a copy of the table with one block added, changed or removed, and
// leaves t as it is. It returns *BlockError, also if the block to remove is not in the
// table, or *UnknownSiteError: a table with a new site has to be made by NewTable. The
// cost is a copy of the arrays of one address family.
func (t *Table) WithChange(c BlockChange) (*Table, error) {
	if err := checkPrefix(c.Prefix); err != nil {
		return nil, err
	}
	if c.Site == "" {
		return t.remove(c.Prefix)
	}
	b, err := t.siteIDs.newBlock(c.Prefix, c.Site)
	if err != nil {
		return nil, err
	}
	next := t.withReplacedBlock(c.Prefix, &b)
	next.updateRanges(c.Prefix, func(v rangeValue) rangeValue {
		if v == noBlock || v.prefixLen() <= b.value.prefixLen() {
			return b.value
		}
		return v
	})
	return next, nil
}

// remove returns a copy of the table without the block p, or a *BlockError if the table
// does not contain it.
func (t *Table) remove(p netip.Prefix) (*Table, error) {
	if _, found := t.findExact(p); !found {
		return nil, &BlockError{Prefix: p, Reason: "not in the table"}
	}
	outerValue := t.enclosingValue(p)
	next := t.withReplacedBlock(p, nil)
	next.updateRanges(p, func(v rangeValue) rangeValue {
		if v != noBlock && int(v.prefixLen()) == p.Bits() {
			return outerValue
		}
		return v
	})
	return next, nil
}

// enclosingValue returns the value of the longest block that contains p and is not p
// itself, or noBlock.
func (t *Table) enclosingValue(p netip.Prefix) rangeValue {
	for length := p.Bits() - 1; length >= 0; length-- {
		// The length fits the family, so Prefix cannot fail.
		candidate, _ := p.Addr().Prefix(length)
		if b, found := t.findExact(candidate); found {
			return b.value
		}
	}
	return noBlock
}

// findExact returns the block with the prefix p, or false.
func (t *Table) findExact(p netip.Prefix) (clientBlock, bool) {
	if p.Addr().Is4() {
		if i, found := t.searchBlocks4(p); found {
			return t.blocks4[i].unpack(), true
		}
		return clientBlock{}, false
	}
	if i, found := t.searchBlocks6(p); found {
		return t.blocks6[i], true
	}
	return clientBlock{}, false
}

// searchBlocks4 returns the index of the block p in blocks4, or where to insert it
// and false. It compares address and prefix length, without the 16 bits of the site.
func (t *Table) searchBlocks4(p netip.Prefix) (int, bool) {
	key := packBlock4(searchKey(p)) >> 16
	return slices.BinarySearchFunc(t.blocks4, key, func(b, key packedBlock4) int {
		return cmp.Compare(b>>16, key)
	})
}

// searchBlocks6 returns the index of the block p in blocks6, or where to insert it
// and false.
func (t *Table) searchBlocks6(p netip.Prefix) (int, bool) {
	return slices.BinarySearchFunc(t.blocks6, searchKey(p), compareBlocks)
}

// searchKey returns a block with the prefix p for searches, which ignore its site.
func searchKey(p netip.Prefix) clientBlock {
	return clientBlock{start: alignAddr(p.Addr()), value: newRangeValue(0, uint8(p.Bits()))}
}

// withReplacedBlock returns a copy of t whose list of blocks has b instead of the
// block p, or neither if b is nil. The ranges are still those of t.
func (t *Table) withReplacedBlock(p netip.Prefix, b *clientBlock) *Table {
	next := *t
	if p.Addr().Is4() {
		i, found := t.searchBlocks4(p)
		var inserted []packedBlock4
		if b != nil {
			inserted = []packedBlock4{packBlock4(*b)}
		}
		next.blocks4 = splice(t.blocks4, i, found, inserted)
		return &next
	}
	i, found := t.searchBlocks6(p)
	var inserted []clientBlock
	if b != nil {
		inserted = []clientBlock{*b}
	}
	next.blocks6 = splice(t.blocks6, i, found, inserted)
	return &next
}

// splice returns a copy of list with the elements of inserted at index i. If replace
// is set, they replace the element at i.
func splice[T any](list []T, i int, replace bool, inserted []T) []T {
	after := i
	if replace {
		after++
	}
	return slices.Concat(list[:i], inserted, list[after:])
}

// updateRanges replaces the values of all addresses in p by the results of newValue. It
// replaces the slices of t's range table, not their contents.
func (t *Table) updateRanges(p netip.Prefix, newValue func(rangeValue) rangeValue) {
	first := alignAddr(p.Addr())
	last := first.lastInPrefix(uint8(p.Bits()))
	if p.Addr().Is4() {
		firstRange := t.ranges4.find(uint32(first.hi >> 32))
		lastRange := t.ranges4.find(uint32(last.hi >> 32))
		window := newRangeWindow(firstRange, lastRange, len(t.ranges4.starts), t.ranges4.rangeAt)
		t.ranges4 = t.ranges4.replace(window.low, window.high, window.updated(first, last, newValue))
		return
	}
	firstRange, lastRange := t.ranges6.find(first), t.ranges6.find(last)
	window := newRangeWindow(firstRange, lastRange, len(t.ranges6.starts), t.ranges6.rangeAt)
	t.ranges6 = t.ranges6.replace(window.low, window.high, window.updated(first, last, newValue))
}

// rangeWindow contains the ranges that a change of a block can affect: those that
// overlap the block and one adjacent range on each side, which they may merge with.
type rangeWindow struct {
	low, high int // indexes of the first range and of the one after the last
	ranges    []addrRange
}

// newRangeWindow returns the window for a block that overlaps the ranges from index
// first to index last, both included, in a table of count ranges.
func newRangeWindow(first, last, count int, rangeAt func(int) addrRange) rangeWindow {
	w := rangeWindow{low: max(first-1, 0), high: min(last+2, count)}
	for i := w.low; i < w.high; i++ {
		w.ranges = append(w.ranges, rangeAt(i))
	}
	return w
}

// updated returns the ranges of the window after the values of all addresses from
// first to last have been replaced by the results of newValue.
func (w rangeWindow) updated(first, last alignedAddr, newValue func(rangeValue) rangeValue) []addrRange {
	var out []addrRange
	after, hasAfter := last.next()
	for i, ar := range w.ranges {
		if w.endsBefore(i, first) || ar.start.compare(last) > 0 {
			out = appendRange(out, ar)
			continue
		}
		start := ar.start
		if start.compare(first) < 0 {
			out = appendRange(out, ar)
			start = first
		}
		out = appendRange(out, addrRange{start: start, value: newValue(ar.value)})
		if hasAfter && !w.endsBefore(i, after) {
			out = appendRange(out, addrRange{start: after, value: ar.value})
		}
	}
	return out
}

// endsBefore reports whether the range at index i of the window ends before addr. The
// last range of the window counts as endless.
func (w rangeWindow) endsBefore(i int, addr alignedAddr) bool {
	return i+1 < len(w.ranges) && w.ranges[i+1].start.compare(addr) <= 0
}
