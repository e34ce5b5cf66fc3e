package fleet

import (
	"context"
	"math"
)

// tokenUnits is the number of units per token in calls between instances, which transfer
// thousandths of a token: in a large fleet an instance's share of a small customer's burst
// is less than one request.
const tokenUnits = 1000

// Lend implements peer.Handler. The limit is named by the customer; amounts are in
// thousandths of a token and rounded down, so that lending creates no tokens.
func (v *View) Lend(customer string, tokens uint32) (lent, remaining uint32) {
	lentTokens, remainingTokens := v.dataPath.Lend(customer, float64(tokens)/tokenUnits)
	return uint32(lentTokens * tokenUnits), uint32(max(0, remainingTokens) * tokenUnits)
}

// TokenBorrower borrows tokens of a fleet-wide limit from the instance at an address. Amounts are
// in thousandths of a token. It is implemented by peer.Service.
type TokenBorrower interface {
	Borrow(ctx context.Context, address, limit string, tokens uint32) (lent, remaining uint32, err error)
}

// QuotaLenders finds quota holders in the membership view and borrows tokens from them. It
// implements gateway.Lenders.
type QuotaLenders struct {
	*View
	Borrower TokenBorrower
}

// Addresses implements gateway.Lenders. It returns the peer addresses of the other quota
// holders.
func (l *QuotaLenders) Addresses(customer string, rate, burst float64) (regional, remote []string) {
	self := l.self
	for _, in := range quotaHolders(l.possibleMembers(), customer, rate, burst) {
		switch {
		case in.CallerAddress == self.CallerAddress:
		case in.Region == self.Region:
			regional = append(regional, in.PeerAddress)
		default:
			remote = append(remote, in.PeerAddress)
		}
	}
	return regional, remote
}

// Borrow implements gateway.Lenders. The requested amount is rounded up to thousandths of
// a token: a request that lacks a thousandth could not be admitted.
func (l *QuotaLenders) Borrow(ctx context.Context, address, customer string, tokens float64) (lent, remaining float64, err error) {
	lentUnits, remainingUnits, err := l.Borrower.Borrow(ctx, address, customer, uint32(math.Ceil(tokens*tokenUnits)))
	return float64(lentUnits) / tokenUnits, float64(remainingUnits) / tokenUnits, err
}
