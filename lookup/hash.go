package lookup

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// mix is the finalizer of splitmix64: every bit of the result depends on every
// bit of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hashBlock returns the hash of a client block that rendezvous hashing uses. It
// must be the same in all entry instances of a fleet, also across releases.
func hashBlock(p netip.Prefix) uint64 {
	addr := fromAddr(p.Addr())
	family := uint64(p.Addr().BitLen())
	h := mix(addr.hi + family<<8 + uint64(p.Bits()))
	return mix(h ^ addr.lo)
}

// hashName returns the hash of an instance or zone.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// score is the rendezvous weight of an instance for a block. The instance with
// the highest score comes first.
func score(block, instance uint64) uint64 { return mix(block ^ instance) }
