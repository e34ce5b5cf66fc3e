package limits

import (
	"math"
	"time"
)

// A loan moves tokens from the bucket of one holder to a request that waits at
// another one. It lets a customer whose callers all use one instance have its
// whole burst there, without waiting for shares to move.
//
// Tokens are never in two places: the lender takes them from its bucket and keeps
// the room that they filled empty until nobody can use them any more. The borrower
// uses them before LoanTerm has passed on its own clock, counted from before it
// asked, and drops what is left. A lost reply loses tokens and never adds any.

// LoanTerm is how long borrowed tokens may be used, counted by the borrower from
// before it asked. It covers a round trip to the farthest region.
const LoanTerm = 250 * time.Millisecond

// loanHold is how long the lender keeps the room of lent tokens empty. The margin
// covers clocks that run at different speeds.
const loanHold = LoanTerm + LoanTerm/10

// loan is an amount that the lender must not earn again before until.
type loan struct {
	tokens float64
	until  time.Time
}

// lent returns the tokens of the loans that are still held at the time now.
func (b *Bucket) lent(now time.Time) float64 {
	sum := 0.0
	for _, l := range b.loans {
		if now.Before(l.until) {
			sum += l.tokens
		}
	}
	return sum
}

// room returns the most tokens that the bucket may have at the time now.
func (b *Bucket) room(now time.Time) float64 {
	return math.Max(0, b.share.Burst.Requests()-b.lent(now))
}

// nextRelease returns the first time after the last Advance and before now at
// which a loan ends.
func (b *Bucket) nextRelease(now time.Time) (time.Time, bool) {
	first := now
	for _, l := range b.loans {
		if l.until.After(b.last) && l.until.Before(first) {
			first = l.until
		}
	}
	return first, first.Before(now)
}

func (b *Bucket) forgetLoans(now time.Time) {
	kept := b.loans[:0]
	for _, l := range b.loans {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	b.loans = kept
}

// Lend takes up to want whole tokens for a borrower and returns their number.
func (b *Bucket) Lend(want float64, now time.Time) float64 {
	b.Advance(now)
	tokens := math.Floor(math.Min(want, b.tokens))
	if !(tokens > 0) {
		return 0
	}
	b.tokens -= tokens
	b.loans = append(b.loans, loan{tokens: tokens, until: now.Add(loanHold)})
	return tokens
}

// Lend lends up to want whole tokens to another holder of the same limit. left is
// the number of tokens that stay. The holder lends nothing while a write that
// reduces its share waits for earlier loans to end.
func (h *ShareHolder) Lend(want float64, now time.Time) (tokens, left float64) {
	h.expire(now)
	if h.closed || h.lendPaused {
		return 0, 0
	}
	tokens = h.bucket.Lend(want, now)
	return tokens, h.bucket.Tokens()
}

// holdsBack reports whether a write that leaves the holder with the burst must
// wait, because lent tokens would have no room left.
func (h *ShareHolder) holdsBack(burst MicroRequests, now time.Time) bool {
	h.lendPaused = h.bucket.lent(now) > burst.Requests()
	return h.lendPaused
}

// Lend lends up to want whole tokens of a limit to another process, see
// Holder.Lend.
func (m *Manager) Lend(name string, want float64, now time.Time) (tokens, left float64) {
	s := (*m.slots.Load())[name]
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Lend(want, now)
}

// Lend lends tokens in the direct mode. In the zone mode, instances have their
// shares from a keeper, and lend nothing.
func (s *ModeSwitch) Lend(name string, want float64, now time.Time) (tokens, left float64) {
	manager, direct := s.Current().(*Manager)
	if !direct {
		return 0, 0
	}
	return manager.Lend(name, want, now)
}
