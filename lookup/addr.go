package lookup

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// u128 is an address, left-aligned: an IPv4 address uses the top 32 bits and the
// rest is zero. Prefix lengths then count from the top in both families, and one
// set of rules builds both tables.
type u128 struct{ hi, lo uint64 }

func fromAddr(addr netip.Addr) u128 {
	if addr.Is4() {
		a := addr.As4()
		return u128{hi: uint64(binary.BigEndian.Uint32(a[:])) << 32}
	}
	a := addr.As16()
	return u128{hi: binary.BigEndian.Uint64(a[:8]), lo: binary.BigEndian.Uint64(a[8:])}
}

func (a u128) compare(b u128) int {
	if c := cmp.Compare(a.hi, b.hi); c != 0 {
		return c
	}
	return cmp.Compare(a.lo, b.lo)
}

// less reports whether a is below b, without a branch on the high half.
func (a u128) less(b u128) bool {
	_, borrow := bits.Sub64(a.lo, b.lo, 0)
	_, borrow = bits.Sub64(a.hi, b.hi, borrow)
	return borrow != 0
}

// last returns the last address of the prefix of a with the given length.
func (a u128) last(length uint8) u128 {
	// A shift by 64 or more yields 0 in Go, so no length needs a special case.
	if length <= 64 {
		return u128{hi: a.hi | ^uint64(0)>>length, lo: ^uint64(0)}
	}
	return u128{hi: a.hi, lo: a.lo | ^uint64(0)>>(length-64)}
}

// next returns a+1 and false if a is the last address.
func (a u128) next() (u128, bool) {
	a.lo++
	if a.lo == 0 {
		a.hi++
	}
	return a, a != u128{}
}
