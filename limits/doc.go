// Package limits enforces rate limits, each a rate and a burst, on the requests of all
// entry instances together.
//
// A limit is divided into shares. A ledger, stored in one table row per limit, records
// the share of each holder. A holder admits requests from a token bucket with the rate
// and burst of its share and does no I/O per request. In any interval of length t the
// holders together admit at most burst + rate·t, because:
//
//   - The shares in a row never sum to more than the limit (or, after the limit was
//     lowered, to more than the sum before), and rows change only by conditional
//     writes.
//   - A holder reduces its bucket before it sends the write that reduces its share. It
//     raises its bucket only after it has confirmed that the write was applied.
//   - A holder stops using a share when its term ends on the holder's own clock, counted
//     from before the write that renewed it. Other holders reclaim the share only after
//     they have seen its renewal counter unchanged for longer than that.
//   - A share that moves to another holder starts there without tokens. Only the process
//     that creates the row starts with a full bucket.
//
// So the tokens of all holders together never exceed those of a single bucket with the
// whole limit.
//
// A share has two parts. The floor has a long term, so that a holder that cannot reach
// the table goes on admitting from it. The lease has a short term and follows demand.
//
// In a small fleet each instance is a holder (Manager) and may lend tokens for a request
// that waits at another instance (Lend). In a large fleet the availability zones are the
// holders: an allocator divides its zone's share among the instances of the zone
// (ZoneGrants, Allocator, ZoneMember, ZoneManager). ModeSwitch changes between the two
// modes.
//
// The package does not know what a limit is for: that of a customer, or the maximum of a
// region shift. It does not import gRPC.
package limits
