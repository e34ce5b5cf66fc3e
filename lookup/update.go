package lookup

import (
	"cmp"
	"net/netip"
	"slices"
)

// BlockChange sets or removes one client block.
type BlockChange struct {
	Prefix netip.Prefix
	// Site is the new site of the block. Empty removes the block.
	Site string
}

// WithChange returns a table with one changed block. The receiver stays valid. It
// returns *BlockError, also for the removal of an absent block, or
// *UnknownSiteError: new sites need Build. The cost is a copy of the arrays of
// one family.
func (t *Table) WithChange(c BlockChange) (*Table, error) {
	if err := checkPrefix(c.Prefix); err != nil {
		return nil, err
	}
	if c.Site == "" {
		return t.remove(c.Prefix)
	}
	b, err := t.index.block(c.Prefix, c.Site)
	if err != nil {
		return nil, err
	}
	next := t.withBlock(c.Prefix, &b)
	next.patch(c.Prefix, func(e entry) entry {
		if e == gap || e.bits() <= b.entry.bits() {
			return b.entry
		}
		return e
	})
	return next, nil
}

func (t *Table) remove(p netip.Prefix) (*Table, error) {
	if _, found := t.exact(p); !found {
		return nil, &BlockError{Prefix: p, Reason: "not in the table"}
	}
	outer := t.outer(p)
	next := t.withBlock(p, nil)
	next.patch(p, func(e entry) entry {
		if e != gap && int(e.bits()) == p.Bits() {
			return outer
		}
		return e
	})
	return next, nil
}

// outer returns the entry of the longest block that contains p and is not p.
func (t *Table) outer(p netip.Prefix) entry {
	for bits := p.Bits() - 1; bits >= 0; bits-- {
		// The length fits the family, so Prefix cannot fail.
		candidate, _ := p.Addr().Prefix(bits)
		if b, found := t.exact(candidate); found {
			return b.entry
		}
	}
	return gap
}

// exact returns the block with exactly this prefix.
func (t *Table) exact(p netip.Prefix) (block, bool) {
	if p.Addr().Is4() {
		if i, found := t.search4(p); found {
			return t.blocks4[i].block(), true
		}
		return block{}, false
	}
	if i, found := t.search6(p); found {
		return t.blocks6[i], true
	}
	return block{}, false
}

func (t *Table) search4(p netip.Prefix) (int, bool) {
	want := pack(probe(p)) >> 16
	return slices.BinarySearchFunc(t.blocks4, want, func(b, want packed4) int {
		return cmp.Compare(b>>16, want)
	})
}

func (t *Table) search6(p netip.Prefix) (int, bool) {
	return slices.BinarySearchFunc(t.blocks6, probe(p), compareBlocks)
}

// probe returns a block with the prefix and no particular site.
func probe(p netip.Prefix) block {
	return block{start: fromAddr(p.Addr()), entry: newEntry(0, uint8(p.Bits()))}
}

// withBlock returns a copy of t whose block list has b in place of the block p,
// or no such block if b is nil. The ranges are still those of t.
func (t *Table) withBlock(p netip.Prefix, b *block) *Table {
	next := *t
	if p.Addr().Is4() {
		i, found := t.search4(p)
		var with []packed4
		if b != nil {
			with = []packed4{pack(*b)}
		}
		next.blocks4 = spliced(t.blocks4, i, found, with)
		return &next
	}
	i, found := t.search6(p)
	var with []block
	if b != nil {
		with = []block{*b}
	}
	next.blocks6 = spliced(t.blocks6, i, found, with)
	return &next
}

// spliced returns a copy of list with the given elements at i, in place of the
// element there if it is to be replaced.
func spliced[T any](list []T, i int, replace bool, with []T) []T {
	after := i
	if replace {
		after++
	}
	return slices.Concat(list[:i], with, list[after:])
}

// patch applies change to the entries of all addresses in p.
func (t *Table) patch(p netip.Prefix, change func(entry) entry) {
	first := fromAddr(p.Addr())
	last := first.last(uint8(p.Bits()))
	if p.Addr().Is4() {
		low := t.ranges4.find(uint32(first.hi >> 32))
		high := t.ranges4.find(uint32(last.hi >> 32))
		window := collect(low, high, len(t.ranges4.starts), t.ranges4.span)
		t.ranges4 = t.ranges4.replace(window.low, window.high, window.patched(first, last, change))
		return
	}
	low, high := t.ranges6.find(first), t.ranges6.find(last)
	window := collect(low, high, len(t.ranges6.starts), t.ranges6.span)
	t.ranges6 = t.ranges6.replace(window.low, window.high, window.patched(first, last, change))
}

// window is the part of the ranges that a change can affect: those that overlap
// the block and one neighbour on each side, with which they may merge.
type window struct {
	low, high int // positions of the replaced ranges, high excluded
	spans     []span
}

func collect(low, high, count int, at func(int) span) window {
	w := window{low: max(low-1, 0), high: min(high+2, count)}
	for i := w.low; i < w.high; i++ {
		w.spans = append(w.spans, at(i))
	}
	return w
}

// patched returns the window's ranges after change was applied from first to
// last.
func (w window) patched(first, last u128, change func(entry) entry) []span {
	var out []span
	after, hasAfter := last.next()
	for i, s := range w.spans {
		if w.endsBefore(i, first) || s.start.compare(last) > 0 {
			out = appendSpan(out, s)
			continue
		}
		start := s.start
		if start.compare(first) < 0 {
			out = appendSpan(out, s)
			start = first
		}
		out = appendSpan(out, span{start: start, entry: change(s.entry)})
		if hasAfter && !w.endsBefore(i, after) {
			out = appendSpan(out, span{start: after, entry: s.entry})
		}
	}
	return out
}

// endsBefore reports whether the ith range ends before addr. The last range of
// the window counts as open.
func (w window) endsBefore(i int, addr u128) bool {
	return i+1 < len(w.spans) && w.spans[i+1].start.compare(addr) <= 0
}
