package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/peer"
)

// Bounds of borrowing tokens from other instances.
const (
	// maxLendersPerRound bounds the instances that one round calls, one after the other.
	maxLendersPerRound = 3
	// borrowPause is the pause after a round that obtained no token. It bounds the calls
	// that a customer far above its rate causes. It is short, because the buckets of
	// the other instances keep refilling meanwhile.
	borrowPause = 20 * time.Millisecond
	// lenderStateMaxAge is the age at which a lender's reported number of remaining
	// tokens is out of date.
	lenderStateMaxAge = 100 * time.Millisecond
	// maxBorrowWaiters bounds the waiting requests of one limit, hence the tokens that
	// one round borrows.
	maxBorrowWaiters = 256
)

// borrowingRateLimiter enforces the fleet-wide rates of customers. A request that finds
// no token at this instance waits for one that is borrowed from another instance. It
// implements forward.RateLimiter.
type borrowingRateLimiter struct {
	limiter    *limitService
	membership *membershipService
	peers      *peer.Service

	mu               sync.Mutex
	borrowingByLimit map[string]*limitBorrowing
}

// limitBorrowing is the state of borrowing tokens of one limit.
type limitBorrowing struct {
	waiters      []chan bool // of waiting requests; each receives whether it got a token
	active       bool        // borrowForWaiters is running
	pausedUntil  time.Time
	lenderByName map[string]lenderState // by instance name
}

// lenderState is the result of the last call to a lender.
type lenderState struct {
	tokensLeft uint32 // that it had after lending; 0 if the call failed
	askedAt    time.Time
}

func newBorrowingRateLimiter(l *limitService, membership *membershipService, peers *peer.Service) *borrowingRateLimiter {
	return &borrowingRateLimiter{limiter: l, membership: membership, peers: peers, borrowingByLimit: make(map[string]*limitBorrowing)}
}

// Allow implements forward.RateLimiter.
func (b *borrowingRateLimiter) Allow(ctx context.Context, customer string) (bool, time.Duration) {
	name := customerLimitName(customer)
	decision := b.limiter.Allow(name, requestCost, time.Now())
	if decision.Allowed {
		return true, 0
	}
	if decision.Reason == limits.ReasonUnknownLimit || b.limiter.Mode() != limits.ModeDirect {
		return false, decision.RetryAfter
	}
	return b.borrow(ctx, name), decision.RetryAfter
}

// borrow waits for a token of the named limit from another instance and reports
// whether it got one.
func (b *borrowingRateLimiter) borrow(ctx context.Context, name string) bool {
	result, ok := b.addWaiter(name)
	if !ok {
		return false
	}
	select {
	case granted := <-result:
		return granted
	case <-ctx.Done():
		// A token that arrives later is dropped, so that it cannot be used twice.
		return false
	}
}

// addWaiter adds a request to the next round of borrowing and starts the rounds if they
// are not active. It returns false during a pause and when too many requests wait.
func (b *borrowingRateLimiter) addWaiter(name string) (<-chan bool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.borrowingByLimit[name]
	if !ok {
		l = &limitBorrowing{lenderByName: make(map[string]lenderState)}
		b.borrowingByLimit[name] = l
	}
	if time.Now().Before(l.pausedUntil) || len(l.waiters) >= maxBorrowWaiters {
		return nil, false
	}
	result := make(chan bool, 1)
	l.waiters = append(l.waiters, result)
	if !l.active {
		l.active = true
		go b.borrowForWaiters(name, l)
	}
	return result, true
}

// borrowForWaiters runs rounds of borrowing, each for all requests that are waiting,
// until none waits.
func (b *borrowingRateLimiter) borrowForWaiters(name string, l *limitBorrowing) {
	for {
		batch := b.takeWaiters(l)
		if len(batch) == 0 {
			return
		}
		borrowed := b.borrowFromLenders(name, l, uint32(len(batch)))
		if borrowed == 0 {
			b.pauseBorrowing(l)
		}
		for i, result := range batch {
			result <- i < borrowed
		}
	}
}

// takeWaiters removes and returns the waiting requests. If there are none, it marks
// borrowing as no longer active.
func (b *borrowingRateLimiter) takeWaiters(l *limitBorrowing) []chan bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := l.waiters
	l.waiters = nil
	l.active = len(batch) > 0
	return batch
}

func (b *borrowingRateLimiter) pauseBorrowing(l *limitBorrowing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.pausedUntil = time.Now().Add(borrowPause)
}

// borrowFromLenders borrows up to want tokens from the most promising lenders and
// returns their number. It drops all of them if the loan term ends during the calls.
func (b *borrowingRateLimiter) borrowFromLenders(name string, l *limitBorrowing, want uint32) int {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(limits.LoanTerm))
	defer cancel()
	borrowed := uint32(0)
	for _, in := range b.selectLenders(l) {
		lent, left, err := b.peers.Borrow(ctx, in.Address, name, want-borrowed)
		b.recordLender(l, in.Name, left)
		if time.Since(startedAt) >= limits.LoanTerm {
			return 0
		}
		if err == nil {
			borrowed += lent
		}
		if borrowed >= want {
			break
		}
	}
	return int(borrowed)
}

func (b *borrowingRateLimiter) recordLender(l *limitBorrowing, instance string, left uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.lenderByName[instance] = lenderState{tokensLeft: left, askedAt: time.Now()}
}

// selectLenders returns the instances to call, most promising first. Instances whose
// state is out of date come first, the one called longest ago before the others, since
// their buckets have refilled since then. The rest follow by remaining tokens.
func (b *borrowingRateLimiter) selectLenders(l *limitBorrowing) []peer.Instance {
	instances := b.membership.Instances()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	sort.SliceStable(instances, func(i, j int) bool {
		x, y := l.lenderByName[instances[i].Name], l.lenderByName[instances[j].Name]
		staleX, staleY := now.Sub(x.askedAt) > lenderStateMaxAge, now.Sub(y.askedAt) > lenderStateMaxAge
		switch {
		case staleX != staleY:
			return staleX
		case staleX:
			return x.askedAt.Before(y.askedAt)
		default:
			return x.tokensLeft > y.tokensLeft
		}
	})
	return instances[:min(len(instances), maxLendersPerRound)]
}
