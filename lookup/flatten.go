package lookup

// span is the start of a range of addresses with one entry. The range ends where
// the next one starts.
type span struct {
	start u128
	entry entry
}

// flatten returns the disjoint ranges of sorted blocks, in which each address
// has the entry of the longest block that contains it. The first range starts at
// the zero address. Neighbours with the same entry are one range, even if they
// belong to different blocks: the block follows from address and length.
func flatten(blocks []block) []span {
	// Each block adds at most two ranges: its own and the one after it.
	f := flattener{spans: make([]span, 0, 2*len(blocks)+1)}
	f.emit(u128{}, gap)
	for _, b := range blocks {
		f.closeBefore(b.start)
		f.emit(b.start, b.entry)
		f.open = append(f.open, b)
	}
	f.closeAll()
	return f.spans
}

// flattener holds the blocks that contain the current address, outermost first.
type flattener struct {
	spans []span
	open  []block
}

// closeBefore ends the open blocks that end before start.
func (f *flattener) closeBefore(start u128) {
	for len(f.open) > 0 {
		last := f.open[len(f.open)-1].last()
		if last.compare(start) >= 0 {
			return
		}
		f.closeInnermost(last)
	}
}

func (f *flattener) closeAll() {
	for len(f.open) > 0 {
		f.closeInnermost(f.open[len(f.open)-1].last())
	}
}

func (f *flattener) closeInnermost(last u128) {
	f.open = f.open[:len(f.open)-1]
	after, ok := last.next()
	if !ok {
		return
	}
	outer := gap
	if len(f.open) > 0 {
		outer = f.open[len(f.open)-1].entry
	}
	f.emit(after, outer)
}

func (f *flattener) emit(start u128, e entry) { f.spans = appendSpan(f.spans, span{start, e}) }

// appendSpan appends s. It replaces a range that would be empty and merges
// neighbours with the same entry.
func appendSpan(spans []span, s span) []span {
	if n := len(spans); n > 0 && spans[n-1].start == s.start {
		spans = spans[:n-1]
	}
	if n := len(spans); n > 0 && spans[n-1].entry == s.entry {
		return spans
	}
	return append(spans, s)
}
