package lookup

import (
	"encoding/binary"
	"net/netip"
	"unsafe"
)

// packedBlock4 is an IPv4 client block in 8 bytes: from the top bit, 32 bits of
// address, 16 of prefix length and 16 of site. Packed blocks sort numerically in the
// order of compareBlocks.
type packedBlock4 uint64

// clientBlockBytes is the size of an unpacked block in memory.
const clientBlockBytes = int(unsafe.Sizeof(clientBlock{}))

func packBlock4(b clientBlock) packedBlock4 {
	return packedBlock4(b.start.hi) | packedBlock4(b.value.prefixLen())<<16 | packedBlock4(b.value.site())
}

func (p packedBlock4) unpack() clientBlock {
	return clientBlock{
		start: alignedAddr{hi: uint64(p) &^ (1<<32 - 1)},
		value: newRangeValue(SiteID(p), uint8(p>>16)),
	}
}

// samePrefix reports whether p and q have the same address and prefix length. Their
// sites may differ.
func (p packedBlock4) samePrefix(q packedBlock4) bool { return p>>16 == q>>16 }

func unpackBlocks4(packed []packedBlock4) []clientBlock {
	blocks := make([]clientBlock, len(packed))
	for i, p := range packed {
		blocks[i] = p.unpack()
	}
	return blocks
}

// prefix returns the prefix of the block, which is an IPv4 block if is4 is set.
func (b clientBlock) prefix(is4 bool) netip.Prefix {
	if is4 {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(b.start.hi>>32))
		return netip.PrefixFrom(netip.AddrFrom4(a), int(b.value.prefixLen()))
	}
	var a [16]byte
	binary.BigEndian.PutUint64(a[:8], b.start.hi)
	binary.BigEndian.PutUint64(a[8:], b.start.lo)
	return netip.PrefixFrom(netip.AddrFrom16(a), int(b.value.prefixLen()))
}
