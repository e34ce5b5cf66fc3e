package gateway

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/quota"
)

// Limits on borrowing tokens from other instances.
const (
	// maxRegionalLenders and maxRemoteLenders are the maximum numbers of instances in this
	// region and in other regions that a borrowing round calls. They suffice for all quota
	// holders of a small customer, one per availability zone, with six zones in three
	// regions.
	maxRegionalLenders = 3
	maxRemoteLenders   = 4
	// borrowTimeout limits one call. The round trip between regions takes 40 ms.
	borrowTimeout = 120 * time.Millisecond
	// borrowBackoff is the time without borrowing for a customer after a round that did
	// not serve all of its waiting requests. It limits the number of calls caused by a
	// customer far above its rate.
	borrowBackoff = 100 * time.Millisecond
	// balanceMaxAge is the age above which a balance reported by a lender is ignored.
	// failureMaxAge is the age above which a failed call no longer ranks a lender last.
	balanceMaxAge = 300 * time.Millisecond
	failureMaxAge = 2 * time.Second
)

// Lenders finds the quota holders of a customer, the instances that have a share of its
// quota, and borrows tokens from them.
type Lenders interface {
	// LocalShare returns this instance's share of a customer's quota, from 0 to 1. rate is in
	// requests per second and burst in requests, both for the whole fleet.
	LocalShare(customer string, rate, burst float64) float64
	// Addresses returns the peer addresses of the other quota holders in this region and
	// in other regions.
	Addresses(customer string, rate, burst float64) (regional, remote []string)
	// Borrow asks the instance at an address for tokens of a customer. It returns the
	// tokens lent and the tokens that remain at the lender.
	Borrow(ctx context.Context, address, customer string, tokens float64) (lent, remaining float64, err error)
}

// quotaBorrower borrows tokens from other instances for requests that find none at this
// one. Each customer has at most one borrowing round at a time, which serves all of its
// waiting requests.
type quotaBorrower struct {
	gateway *Gateway
	lenders Lenders

	mu         sync.Mutex
	byCustomer map[string]*customerBorrowing
}

// customerBorrowing is the state of borrowing for one customer.
type customerBorrowing struct {
	waiters      []chan bool // each receives whether the request got a token
	backoffUntil time.Time
	balances     map[string]lenderBalance // by address
}

// lenderBalance is the result of the last call to a lender.
type lenderBalance struct {
	tokens   float64 // that remained at the lender
	failed   bool    // the call returned an error
	calledAt time.Time
}

// borrowAndTake borrows a token of a customer and takes it for one request. It reports whether
// that succeeded before the context ended.
func (b *quotaBorrower) borrowAndTake(ctx context.Context, customer string) bool {
	if b.lenders == nil {
		return false
	}
	granted := make(chan bool, 1)
	b.mu.Lock()
	borrowing := b.byCustomer[customer]
	if borrowing == nil {
		borrowing = &customerBorrowing{balances: make(map[string]lenderBalance)}
		b.byCustomer[customer] = borrowing
	}
	if time.Now().Before(borrowing.backoffUntil) {
		b.mu.Unlock()
		return false
	}
	borrowing.waiters = append(borrowing.waiters, granted)
	if len(borrowing.waiters) == 1 {
		go b.borrowRound(customer, borrowing)
	}
	b.mu.Unlock()
	select {
	case ok := <-granted:
		return ok
	case <-ctx.Done():
		return false
	}
}

// borrowRound calls lenders one after the other until all waiting requests are served or
// every selected lender was called. It makes no calls at the same time, since each lender
// lends whole tokens and surplus tokens would stay unused at this instance.
func (b *quotaBorrower) borrowRound(customer string, borrowing *customerBorrowing) {
	limit := b.quotaLimit(customer)
	regional, remote := b.lenders.Addresses(customer, limit.Rate, limit.Burst+limit.Slack)
	selected := append(b.orderLenders(borrowing, regional)[:min(maxRegionalLenders, len(regional))], b.orderLenders(borrowing, remote)[:min(maxRemoteLenders, len(remote))]...)
	for _, address := range selected {
		b.borrowFrom(customer, borrowing, address)
		if b.serveWaiters(customer, borrowing, false) {
			return
		}
	}
	b.serveWaiters(customer, borrowing, true)
}

// quotaLimit returns the quota of a customer, or the zero limit if the configuration no
// longer contains the customer.
func (b *quotaBorrower) quotaLimit(customer string) quota.Limit {
	g := b.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.Config().Customer(customer); c != nil {
		return g.quotaLimit(c)
	}
	return quota.Limit{}
}

// orderLenders sorts lenders by descending balance, in random order among equals. A lender
// without a recent result counts as having assumedBalance; lenders whose last call failed
// recently come last.
func (b *quotaBorrower) orderLenders(borrowing *customerBorrowing, addresses []string) []string {
	g := b.gateway
	g.mu.Lock()
	g.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	g.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	score := func(address string) float64 {
		balance, found := borrowing.balances[address]
		age := time.Since(balance.calledAt)
		switch {
		case found && balance.failed && age < failureMaxAge:
			return -1
		case found && !balance.failed && age < balanceMaxAge:
			return balance.tokens
		}
		return assumedBalance
	}
	sort.SliceStable(addresses, func(i, j int) bool { return score(addresses[i]) > score(addresses[j]) })
	return addresses
}

// assumedBalance is the balance, in tokens, assumed for a lender without a recent result.
const assumedBalance = 0.5

// borrowFrom calls one lender for the tokens that the waiting requests need, adds what it
// lends to this instance's bucket and records its balance.
func (b *quotaBorrower) borrowFrom(customer string, borrowing *customerBorrowing, address string) {
	b.mu.Lock()
	waiting := len(borrowing.waiters)
	b.mu.Unlock()
	g := b.gateway
	g.mu.Lock()
	// Shortfall covers the first waiting request; each further one needs a whole token.
	needed := g.quotas.Shortfall(customer, time.Now()) + float64(max(waiting, 1)-1)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	lent, remaining, err := b.lenders.Borrow(ctx, address, customer, needed)
	if err != nil {
		g.log.Debug("borrow quota tokens failed", "customer", customer, "instance", address, "error", err)
	}
	b.mu.Lock()
	borrowing.balances[address] = lenderBalance{tokens: remaining, failed: err != nil, calledAt: time.Now()}
	b.mu.Unlock()
	if lent > 0 {
		g.mu.Lock()
		g.quotas.AddBorrowed(customer, lent, time.Now())
		g.mu.Unlock()
	}
}

// serveWaiters gives tokens to waiting requests in the order of their arrival while there
// are any. At the end of a round it tells the remaining ones that there is no token. It
// reports whether no request is waiting any more.
func (b *quotaBorrower) serveWaiters(customer string, borrowing *customerBorrowing, endOfRound bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(borrowing.waiters) > 0 {
		ok, _ := g.quotas.TakeToken(customer, time.Now())
		if !ok && !endOfRound {
			return false
		}
		if !ok {
			borrowing.backoffUntil = time.Now().Add(borrowBackoff)
		}
		borrowing.waiters[0] <- ok
		borrowing.waiters = borrowing.waiters[1:]
	}
	return true
}

// Lend takes up to the given number of a customer's tokens from this instance's bucket for
// another instance. It returns the tokens lent and the tokens that remain here.
func (g *Gateway) Lend(customer string, tokens float64) (lent, remaining float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotas.Lend(customer, tokens, time.Now())
}
