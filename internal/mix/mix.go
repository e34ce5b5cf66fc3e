// Package mix provides the bit mixer that rendezvous hashing applies to hashes.
package mix

// Bits applies the splitmix64 finalizer: every bit of the result depends on every bit of
// x. The function must not change between releases, because the instances of a fleet must
// compute the same hashes.
func Bits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
