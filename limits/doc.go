// Package limits enforces rates and bursts that are counted over all entry
// instances together.
//
// A limit is divided into shares, which a ledger in one table row records. Each
// holder admits requests from a token bucket with its share and does no I/O for
// it. The total admitted in any interval of length t stays within burst + rate·t
// for these reasons:
//
//   - The shares in a row never sum to more than the limit (or, after the limit
//     was lowered, than what was held before), and rows change only by
//     conditional writes.
//   - A holder reduces its bucket before it sends the write that reduces its
//     share, and raises it only after it knows that the write was applied.
//   - A holder stops using a share by its own clock, counted from before the
//     write that renewed it. Others reclaim it only after they have seen its
//     renewal counter unchanged for longer than that.
//   - A share that moves starts without tokens. Only the process that creates
//     the row starts with a full bucket.
//
// So the tokens of all holders together never exceed those of one exact bucket.
//
// In a small fleet each instance is a holder (Manager) and may lend tokens to a
// request that waits at another one (Lend). In a large fleet the availability zones
// are the holders: a keeper divides its zone's shares among the instances (Zone,
// Keeper, Member, ZoneManager). Switch changes between the two.
//
// Only limits live here. What a limit is for, a customer or a shift, is up to the
// caller, and gRPC is not imported.
package limits
