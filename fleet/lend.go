package fleet

import (
	"context"
	"math"
)

// thousandths is the unit of the tokens that instances lend each other: in a large
// fleet the part of a small customer is less than one request.
const thousandths = 1000

// Lend implements peer.Knowledge. The limit is a customer's name.
func (v *View) Lend(customer string, tokens uint32) (lent, left uint32) {
	given, rest := v.knowledge.Lend(customer, float64(tokens)/thousandths)
	return uint32(given * thousandths), uint32(max(0, rest) * thousandths)
}

// TokenBorrower borrows tokens from an instance. It is implemented by peer.Service.
type TokenBorrower interface {
	Borrow(ctx context.Context, address, limit string, tokens uint32) (lent, left uint32, err error)
}

// QuotaLenders finds instances that lend tokens. It implements gateway.Lenders.
type QuotaLenders struct {
	*View
	Borrower TokenBorrower
}

// Addresses implements gateway.Lenders.
func (l *QuotaLenders) Addresses(customer string, rate, burst float64) (near, far []string) {
	self := l.self
	for _, in := range holders(l.possible(), customer, rate, burst) {
		switch {
		case in.CallerAddress == self.CallerAddress:
		case in.Region == self.Region:
			near = append(near, in.PeerAddress)
		default:
			far = append(far, in.PeerAddress)
		}
	}
	return near, far
}

// Borrow implements gateway.Lenders. What is asked for is rounded up: a request that
// lacks a thousandth of a token could not be admitted.
func (l *QuotaLenders) Borrow(ctx context.Context, address, customer string, tokens float64) (lent, left float64, err error) {
	given, rest, err := l.Borrower.Borrow(ctx, address, customer, uint32(math.Ceil(tokens*thousandths)))
	return float64(given) / thousandths, float64(rest) / thousandths, err
}
