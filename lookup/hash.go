package lookup

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/internal/mix"
)

// hashBlock returns the hash of a client block for rendezvous hashing. It must be the
// same in all entry instances of a fleet, also across releases.
func hashBlock(p netip.Prefix) uint64 {
	addr := alignAddr(p.Addr())
	family := uint64(p.Addr().BitLen())
	h := mix.Bits(addr.hi + family<<8 + uint64(p.Bits()))
	return mix.Bits(h ^ addr.lo)
}

// hashName returns the hash of the name of an entry instance or availability zone.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// score returns the rendezvous score of an instance or zone for a block, both given
// by their hashes. The highest score comes first.
func score(blockHash, nameHash uint64) uint64 { return mix.Bits(blockHash ^ nameHash) }
