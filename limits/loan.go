package limits

import (
	"math"
	"time"
)

// Loans.
//
// A loan moves tokens from the bucket of one holder (the lender) to requests that wait
// at another instance (the borrower). A customer whose callers all use one instance can
// thus use its whole burst there, without waiting until shares are reassigned.
//
// No token can be used twice. The lender removes lent tokens from its bucket and lowers
// the bucket's capacity by their number until the loan has ended. The borrower uses them
// only until LoanTerm has passed on its own clock, counted from before it sent its
// request, and then discards the rest. If a reply is lost, its tokens are lost too.

// LoanTerm is how long borrowed tokens may be used, counted by the borrower from before
// it sent the request. It covers a round trip to the farthest region.
const LoanTerm = 250 * time.Millisecond

// lenderLoanTerm is how long lent tokens lower the capacity of the lender's bucket. It
// exceeds LoanTerm by a tenth because the clocks of lender and borrower may run at
// different speeds.
const lenderLoanTerm = LoanTerm + LoanTerm/10

// loan is a number of lent tokens that the lender's bucket must not refill before
// endsAt.
type loan struct {
	tokens float64 // requests
	endsAt time.Time
}

// lentTokens returns the tokens of the loans that have not ended at the time now, in
// requests.
func (b *Bucket) lentTokens(now time.Time) float64 {
	sum := 0.0
	for _, l := range b.loans {
		if now.Before(l.endsAt) {
			sum += l.tokens
		}
	}
	return sum
}

// tokenCapacity returns the most tokens that the bucket may have at the time now, in
// requests: the burst less the tokens lent.
func (b *Bucket) tokenCapacity(now time.Time) float64 {
	return math.Max(0, b.share.Burst.Requests()-b.lentTokens(now))
}

// nextLoanEnd returns the earliest end of a loan after the last Advance and before now.
// If there is none, it returns now and false.
func (b *Bucket) nextLoanEnd(now time.Time) (time.Time, bool) {
	earliest := now
	for _, l := range b.loans {
		if l.endsAt.After(b.advancedAt) && l.endsAt.Before(earliest) {
			earliest = l.endsAt
		}
	}
	return earliest, earliest.Before(now)
}

// dropEndedLoans removes the loans that have ended at the time now.
func (b *Bucket) dropEndedLoans(now time.Time) {
	kept := b.loans[:0]
	for _, l := range b.loans {
		if now.Before(l.endsAt) {
			kept = append(kept, l)
		}
	}
	b.loans = kept
}

// Lend removes up to maxTokens whole tokens for a borrower and returns their number.
func (b *Bucket) Lend(maxTokens float64, now time.Time) float64 {
	b.Advance(now)
	tokens := math.Floor(math.Min(maxTokens, b.tokens))
	if !(tokens > 0) {
		return 0
	}
	b.tokens -= tokens
	b.loans = append(b.loans, loan{tokens: tokens, endsAt: now.Add(lenderLoanTerm)})
	return tokens
}

// Lend lends up to maxTokens whole tokens to another instance and returns their number and
// the tokens that remain in the bucket. The holder lends nothing while a write that
// reduces its share waits for earlier loans to end.
func (h *ShareHolder) Lend(maxTokens float64, now time.Time) (tokens, remaining float64) {
	h.expireShares(now)
	if h.closed || h.lendingPaused {
		return 0, 0
	}
	tokens = h.bucket.Lend(maxTokens, now)
	return tokens, h.bucket.Tokens()
}

// pauseLendingForLoans reports whether a write that reduces the holder's share to the given
// burst must wait, because more tokens are lent than that burst. It also sets lendingPaused
// to that, so that the holder lends nothing while the write must wait.
func (h *ShareHolder) pauseLendingForLoans(burst MicroRequests, now time.Time) bool {
	h.lendingPaused = h.bucket.lentTokens(now) > burst.Requests()
	return h.lendingPaused
}

// Lend lends up to maxTokens whole tokens of the named limit to another instance, see
// ShareHolder.Lend. It lends nothing if the limit is unknown.
func (m *Manager) Lend(name string, maxTokens float64, now time.Time) (tokens, remaining float64) {
	h := (*m.holders.Load())[name]
	if h == nil {
		return 0, 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Lend(maxTokens, now)
}

// Lend lends tokens in the direct mode, see Manager.Lend. In the zone mode, instances
// get their shares from an allocator and lend nothing.
func (s *ModeSwitch) Lend(name string, maxTokens float64, now time.Time) (tokens, remaining float64) {
	manager, direct := s.Current().(*Manager)
	if !direct {
		return 0, 0
	}
	return manager.Lend(name, maxTokens, now)
}
