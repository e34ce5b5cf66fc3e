package lookup

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// alignedAddr is an IP address, left-aligned in 128 bits: an IPv4 address uses the
// top 32 bits and the other bits are zero. Prefix lengths count from the top bit in
// both address families, so the same code builds the IPv4 and the IPv6 table.
type alignedAddr struct{ hi, lo uint64 }

// alignAddr converts an address. An IPv4-mapped address counts as IPv6.
func alignAddr(addr netip.Addr) alignedAddr {
	if addr.Is4() {
		a := addr.As4()
		return alignedAddr{hi: uint64(binary.BigEndian.Uint32(a[:])) << 32}
	}
	a := addr.As16()
	return alignedAddr{hi: binary.BigEndian.Uint64(a[:8]), lo: binary.BigEndian.Uint64(a[8:])}
}

func (a alignedAddr) compare(b alignedAddr) int {
	if c := cmp.Compare(a.hi, b.hi); c != 0 {
		return c
	}
	return cmp.Compare(a.lo, b.lo)
}

// less reports whether a is below b. It has no branch on the high half, which would
// be unpredictable in a binary search.
func (a alignedAddr) less(b alignedAddr) bool {
	_, borrow := bits.Sub64(a.lo, b.lo, 0)
	_, borrow = bits.Sub64(a.hi, b.hi, borrow)
	return borrow != 0
}

// lastInPrefix returns the last address of the prefix that starts at a and has the
// given length in bits.
func (a alignedAddr) lastInPrefix(length uint8) alignedAddr {
	// A shift by 64 or more yields 0 in Go, so no length needs a special case.
	if length <= 64 {
		return alignedAddr{hi: a.hi | ^uint64(0)>>length, lo: ^uint64(0)}
	}
	return alignedAddr{hi: a.hi, lo: a.lo | ^uint64(0)>>(length-64)}
}

// next returns the address after a, or false if a is the last one.
func (a alignedAddr) next() (alignedAddr, bool) {
	a.lo++
	if a.lo == 0 {
		a.hi++
	}
	return a, a != alignedAddr{}
}
