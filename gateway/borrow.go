package gateway

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/quota"
)

// Bounds of borrowing.
const (
	// nearAsks and farAsks bound the instances of the region and of others that are
	// asked, one after the other: each lends a whole token, and what comes too much
	// would lie unused here. A small customer has a holder in each zone; with six
	// zones in three regions all of them are asked.
	nearAsks = 3
	farAsks  = 4
	// askTimeout bounds a call; regions are 40 ms apart and back.
	askTimeout = 120 * time.Millisecond
	// emptyPause is the time without borrowing after nobody had tokens. It bounds
	// the calls that a customer far above its rate causes.
	emptyPause = 100 * time.Millisecond
	// leftAge is the time after which what an instance had left is out of date, and
	// failedAge that after which an instance that did not answer is asked first again.
	leftAge   = 300 * time.Millisecond
	failedAge = 2 * time.Second
)

// Lenders are the instances that hold parts of quotas and lend tokens.
type Lenders interface {
	// LocalShare returns the part of a customer's quota that this instance holds.
	LocalShare(customer string, rate, burst float64) float64
	// Addresses returns the other instances that hold parts, in this region and
	// elsewhere.
	Addresses(customer string, rate, burst float64) (near, far []string)
	// Borrow asks an instance for tokens of a customer. left is what it has then.
	Borrow(ctx context.Context, address, customer string, tokens float64) (lent, left float64, err error)
}

// borrower gets tokens from other instances for requests that find none here. One
// round of calls at a time serves all requests of a customer.
type borrower struct {
	gateway *Gateway
	lenders Lenders

	mu        sync.Mutex
	customers map[string]*loans
}

// loans is the borrowing for one customer.
type loans struct {
	waiting []chan bool // answered with whether there is a token
	pauseTo time.Time
	left    map[string]remainder // by address
}

// remainder is what an instance had left when it was asked.
type remainder struct {
	tokens float64
	failed bool // it did not answer
	at     time.Time
}

// token waits for a token of a customer from another instance and takes it.
func (b *borrower) token(ctx context.Context, customer string) bool {
	if b.lenders == nil {
		return false
	}
	answer := make(chan bool, 1)
	b.mu.Lock()
	l := b.customers[customer]
	if l == nil {
		l = &loans{left: make(map[string]remainder)}
		b.customers[customer] = l
	}
	if time.Now().Before(l.pauseTo) {
		b.mu.Unlock()
		return false
	}
	l.waiting = append(l.waiting, answer)
	if len(l.waiting) == 1 {
		go b.round(customer, l)
	}
	b.mu.Unlock()
	select {
	case ok := <-answer:
		return ok
	case <-ctx.Done():
		return false
	}
}

// round asks instances until the waiting requests are served or nobody is left.
func (b *borrower) round(customer string, l *loans) {
	limit := b.limit(customer)
	near, far := b.lenders.Addresses(customer, limit.Rate, limit.Burst+limit.Slack)
	asked := append(b.order(l, near)[:min(nearAsks, len(near))], b.order(l, far)[:min(farAsks, len(far))]...)
	for _, address := range asked {
		b.ask(customer, l, address)
		if b.serve(customer, l, false) {
			return
		}
	}
	b.serve(customer, l, true)
}

// limit returns the quota of a customer, none if it has gone meanwhile.
func (b *borrower) limit(customer string) quota.Limit {
	g := b.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.Config().Customer(customer); c != nil {
		return g.limit(c)
	}
	return quota.Limit{}
}

// order puts the instances with the most tokens first, those of which nothing is
// known before those that have none, and those that did not answer last.
func (b *borrower) order(l *loans, addresses []string) []string {
	g := b.gateway
	g.mu.Lock()
	g.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	g.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	score := func(address string) float64 {
		r, asked := l.left[address]
		age := time.Since(r.at)
		switch {
		case asked && r.failed && age < failedAge:
			return -1
		case asked && !r.failed && age < leftAge:
			return r.tokens
		}
		return unknownLeft
	}
	sort.SliceStable(addresses, func(i, j int) bool { return score(addresses[i]) > score(addresses[j]) })
	return addresses
}

// unknownLeft is the tokens that an instance is taken to have that was not asked.
const unknownLeft = 0.5

func (b *borrower) ask(customer string, l *loans, address string) {
	b.mu.Lock()
	waiting := len(l.waiting)
	b.mu.Unlock()
	g := b.gateway
	g.mu.Lock()
	wanted := g.quotas.Shortfall(customer, time.Now()) + float64(max(waiting, 1)-1)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	lent, left, err := b.lenders.Borrow(ctx, address, customer, wanted)
	if err != nil {
		g.log.Debug("tokens were not borrowed", "customer", customer, "instance", address, "error", err)
	}
	b.mu.Lock()
	l.left[address] = remainder{tokens: left, failed: err != nil, at: time.Now()}
	b.mu.Unlock()
	if lent > 0 {
		g.mu.Lock()
		g.quotas.AddBorrowed(customer, lent, time.Now())
		g.mu.Unlock()
	}
}

// serve answers the waiting requests that there are tokens for, or all of them at the
// end of a round. It reports whether none is left.
func (b *borrower) serve(customer string, l *loans, last bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(l.waiting) > 0 {
		ok, _ := g.quotas.TakeToken(customer, time.Now())
		if !ok && !last {
			return false
		}
		if !ok {
			l.pauseTo = time.Now().Add(emptyPause)
		}
		l.waiting[0] <- ok
		l.waiting = l.waiting[1:]
	}
	return true
}

// Lend gives tokens of a customer to another instance.
func (g *Gateway) Lend(customer string, tokens float64) (lent, left float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotas.Lend(customer, tokens, time.Now())
}
