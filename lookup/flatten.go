package lookup

// addrRange is a range of addresses with the same value. It ends where the next
// range starts.
type addrRange struct {
	start alignedAddr
	value rangeValue
}

// flatten turns blocks, which must be sorted, into disjoint ranges in which each
// address has the value of the longest block that contains it. The first range
// starts at the zero address. Adjacent ranges with the same value are merged even if
// they belong to different blocks: an address and a prefix length determine the
// block.
func flatten(blocks []clientBlock) []addrRange {
	// Each block adds at most two ranges: one at its start and one after its end.
	f := flattener{ranges: make([]addrRange, 0, 2*len(blocks)+1)}
	f.emit(alignedAddr{}, noBlock)
	for _, b := range blocks {
		f.closeEndingBefore(b.start)
		f.emit(b.start, b.value)
		f.enclosing = append(f.enclosing, b)
	}
	f.closeAll()
	return f.ranges
}

// flattener goes through sorted blocks and collects the ranges.
type flattener struct {
	ranges []addrRange
	// enclosing are the blocks that contain the current address, outermost first.
	enclosing []clientBlock
}

// closeEndingBefore closes the enclosing blocks that end before start.
func (f *flattener) closeEndingBefore(start alignedAddr) {
	for len(f.enclosing) > 0 {
		last := f.enclosing[len(f.enclosing)-1].lastAddr()
		if last.compare(start) >= 0 {
			return
		}
		f.closeInnermost(last)
	}
}

func (f *flattener) closeAll() {
	for len(f.enclosing) > 0 {
		f.closeInnermost(f.enclosing[len(f.enclosing)-1].lastAddr())
	}
}

// closeInnermost removes the innermost enclosing block, which ends at last, and
// starts a range of the next outer block after it.
func (f *flattener) closeInnermost(last alignedAddr) {
	f.enclosing = f.enclosing[:len(f.enclosing)-1]
	after, ok := last.next()
	if !ok {
		return
	}
	outerValue := noBlock
	if len(f.enclosing) > 0 {
		outerValue = f.enclosing[len(f.enclosing)-1].value
	}
	f.emit(after, outerValue)
}

func (f *flattener) emit(start alignedAddr, v rangeValue) {
	f.ranges = appendRange(f.ranges, addrRange{start, v})
}

// appendRange appends r to ranges. It replaces the last range if that has the same
// start, since it would be empty, and adds nothing if the last range has the same
// value.
func appendRange(ranges []addrRange, r addrRange) []addrRange {
	if n := len(ranges); n > 0 && ranges[n-1].start == r.start {
		ranges = ranges[:n-1]
	}
	if n := len(ranges); n > 0 && ranges[n-1].value == r.value {
		return ranges
	}
	return append(ranges, r)
}
