package lookup

import (
	"encoding/binary"
	"net/netip"
	"unsafe"
)

// packed4 is an IPv4 block in 8 bytes: address, length and site, from the top.
// It sorts like the block.
type packed4 uint64

const blockBytes = int(unsafe.Sizeof(block{}))

func pack(b block) packed4 {
	return packed4(b.start.hi) | packed4(b.entry.bits())<<16 | packed4(b.entry.site())
}

func (p packed4) block() block {
	return block{
		start: u128{hi: uint64(p) &^ (1<<32 - 1)},
		entry: newEntry(SiteID(p), uint8(p>>16)),
	}
}

// samePrefix reports whether p and q differ in their sites at most.
func (p packed4) samePrefix(q packed4) bool { return p>>16 == q>>16 }

func unpack4(packed []packed4) []block {
	blocks := make([]block, len(packed))
	for i, p := range packed {
		blocks[i] = p.block()
	}
	return blocks
}

func (b block) prefix(is4 bool) netip.Prefix {
	if is4 {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(b.start.hi>>32))
		return netip.PrefixFrom(netip.AddrFrom4(a), int(b.entry.bits()))
	}
	var a [16]byte
	binary.BigEndian.PutUint64(a[:8], b.start.hi)
	binary.BigEndian.PutUint64(a[8:], b.start.lo)
	return netip.PrefixFrom(netip.AddrFrom16(a), int(b.entry.bits()))
}
