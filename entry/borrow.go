package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/peer"
)

// Bounds of borrowing.
const (
	// borrowPeers bounds the instances that are asked one after the other.
	borrowPeers = 3
	// borrowPause is the time without borrowing after nobody had tokens. It bounds
	// the calls that a customer far above its rate causes, and is short, because
	// the other instances go on earning tokens meanwhile.
	borrowPause = 20 * time.Millisecond
	// leftAge is the time after which what an instance had left is out of date.
	leftAge = 100 * time.Millisecond
	// borrowMax bounds the tokens of one call.
	borrowMax = 256
)

// borrower holds customers to their rates. A request that finds no token here
// waits for one that another instance lends. It implements forward.RateLimiter.
type borrower struct {
	limiter *limiter
	members *membership
	peers   *peer.Service

	mu     sync.Mutex
	limits map[string]*loans
}

// loans is the borrowing for one limit.
type loans struct {
	waiting []chan bool
	running bool
	pauseTo time.Time
	lenders map[string]lender
}

// lender is what is known of an instance that was asked.
type lender struct {
	left  uint32 // tokens that it had then
	asked time.Time
}

func newBorrower(l *limiter, members *membership, peers *peer.Service) *borrower {
	return &borrower{limiter: l, members: members, peers: peers, limits: make(map[string]*loans)}
}

// Allow implements forward.RateLimiter.
func (b *borrower) Allow(ctx context.Context, customer string) (bool, time.Duration) {
	name := customerLimit(customer)
	decision := b.limiter.Allow(name, requestCost, time.Now())
	if decision.Allowed {
		return true, 0
	}
	if decision.Reason == limits.ReasonUnknownLimit || b.limiter.Mode() != limits.ModeDirect {
		return false, decision.RetryAfter
	}
	return b.borrow(ctx, name), decision.RetryAfter
}

// borrow waits for a token from another instance.
func (b *borrower) borrow(ctx context.Context, name string) bool {
	answer, ok := b.join(name)
	if !ok {
		return false
	}
	select {
	case got := <-answer:
		return got
	case <-ctx.Done():
		// A token that arrives later is dropped, not used twice.
		return false
	}
}

// join adds a request to the next call, and starts the calls if none is running.
func (b *borrower) join(name string) (<-chan bool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.limits[name]
	if !ok {
		l = &loans{lenders: make(map[string]lender)}
		b.limits[name] = l
	}
	if time.Now().Before(l.pauseTo) || len(l.waiting) >= borrowMax {
		return nil, false
	}
	answer := make(chan bool, 1)
	l.waiting = append(l.waiting, answer)
	if !l.running {
		l.running = true
		go b.run(name, l)
	}
	return answer, true
}

// run borrows for all waiting requests until none waits.
func (b *borrower) run(name string, l *loans) {
	for {
		batch := b.take(l)
		if len(batch) == 0 {
			return
		}
		got := b.ask(name, l, uint32(len(batch)))
		if got == 0 {
			b.pause(l)
		}
		for i, answer := range batch {
			answer <- i < got
		}
	}
}

// take returns the waiting requests, or ends the run.
func (b *borrower) take(l *loans) []chan bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := l.waiting
	l.waiting = nil
	l.running = len(batch) > 0
	return batch
}

func (b *borrower) pause(l *loans) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.pauseTo = time.Now().Add(borrowPause)
}

// ask borrows from the instances that had most when last asked. Tokens that
// arrive after the loan term are dropped.
func (b *borrower) ask(name string, l *loans, want uint32) int {
	asked := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), asked.Add(limits.LoanTerm))
	defer cancel()
	got := uint32(0)
	for _, in := range b.lenders(l) {
		lent, left, err := b.peers.Borrow(ctx, in.Address, name, want-got)
		b.note(l, in.Name, left)
		if time.Since(asked) >= limits.LoanTerm {
			return 0
		}
		if err == nil {
			got += lent
		}
		if got >= want {
			break
		}
	}
	return int(got)
}

func (b *borrower) note(l *loans, instance string, left uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.lenders[instance] = lender{left: left, asked: time.Now()}
}

// lenders returns the instances to ask, best first. One that was not asked lately
// has earned tokens since then and comes first, the longest one before the others.
func (b *borrower) lenders(l *loans) []peer.Instance {
	instances := b.members.Instances()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	sort.SliceStable(instances, func(i, j int) bool {
		x, y := l.lenders[instances[i].Name], l.lenders[instances[j].Name]
		oldX, oldY := now.Sub(x.asked) > leftAge, now.Sub(y.asked) > leftAge
		switch {
		case oldX != oldY:
			return oldX
		case oldX:
			return x.asked.Before(y.asked)
		default:
			return x.left > y.left
		}
	})
	return instances[:min(len(instances), borrowPeers)]
}
