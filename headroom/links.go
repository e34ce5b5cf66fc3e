package headroom

import (
	"math"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Shape of link budgets.
const (
	// linkUsable is the share of a link for requests and responses. The rest is
	// for digests, connection setup and packet headers.
	linkUsable = 0.9
	// linkBurst is the time for which an unused budget accumulates.
	linkBurst   = 250 * time.Millisecond
	bitsPerByte = 8
)

// Direction is the direction of bytes as seen from the entry instance.
type Direction uint8

// Directions.
const (
	// Outbound: requests and uploads to the other region.
	Outbound Direction = iota
	// Inbound: responses from the other region.
	Inbound
)

// LinkBudgets holds this instance's share of the links between its region and others, as
// byte budgets in both directions. All methods are safe for concurrent use.
type LinkBudgets struct {
	mu      sync.Mutex
	buckets map[string]*[2]bucket // by other region
}

// NewLinkBudgets returns the budgets of an entry instance in region from. sharers gives
// the number of live entry instances that use the link to another region: those at
// both ends. Each gets the same share.
func NewLinkBudgets(from string, links []config.Link, sharers func(other string) int) *LinkBudgets {
	l := &LinkBudgets{buckets: make(map[string]*[2]bucket)}
	l.SetLinks(from, links, sharers)
	return l
}

// SetLinks replaces the links, for example when instances come or go. What is left or
// owed on a link is kept, up to the new burst.
func (l *LinkBudgets) SetLinks(from string, links []config.Link, sharers func(other string) int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.buckets
	l.buckets = make(map[string]*[2]bucket)
	for _, link := range links {
		other, ok := otherEnd(link, from)
		if !ok {
			continue
		}
		rate := float64(link.BitsPerSecond) / bitsPerByte * linkUsable / float64(max(1, sharers(other)))
		pair := &[2]bucket{}
		if known := old[other]; known != nil {
			*pair = *known
		}
		pair[Outbound].setRate(rate)
		pair[Inbound].setRate(rate)
		l.buckets[other] = pair
	}
}

func otherEnd(link config.Link, from string) (string, bool) {
	switch from {
	case link.From:
		return link.To, true
	case link.To:
		return link.From, true
	default:
		return "", false
	}
}

// StartDelay reports whether a transfer of the given size (bytes, 0 when unknown) may
// start now. If not, it returns the time after which it may.
func (l *LinkBudgets) StartDelay(other string, d Direction, bytes int64, now time.Time) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := l.buckets[other]
	if pair == nil {
		return 0, &RefusedError{Cause: CauseNoLink, Region: other}
	}
	return pair[d].fits(bytes, now), nil
}

// Charge takes bytes that were sent or received from the budget and returns the
// time to wait before the next piece. The budget may go below zero by one piece.
func (l *LinkBudgets) Charge(other string, d Direction, bytes int64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := l.buckets[other]
	if pair == nil {
		return 0
	}
	return pair[d].charge(bytes, now)
}

// bucket is a token bucket in bytes that may go below zero.
type bucket struct {
	rate    float64 // bytes per second
	tokens  float64
	updated time.Time
}

func (b *bucket) burst() float64 { return b.rate * linkBurst.Seconds() }

func (b *bucket) setRate(rate float64) {
	fresh := b.rate == 0
	b.rate = rate
	b.tokens = math.Min(b.tokens, b.burst())
	if fresh {
		b.tokens = b.burst()
	}
}

func (b *bucket) refill(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.tokens = math.Min(b.burst(), b.tokens+elapsed*b.rate)
}

// fits asks for the whole transfer, but never for more than the burst; longer
// transfers are paced by charge.
func (b *bucket) fits(bytes int64, now time.Time) time.Duration {
	b.refill(now)
	needed := math.Max(1, math.Min(float64(bytes), b.burst()))
	return b.until(needed)
}

func (b *bucket) charge(bytes int64, now time.Time) time.Duration {
	b.refill(now)
	b.tokens -= float64(bytes)
	return b.until(0)
}

// until returns the time until the bucket holds the tokens.
func (b *bucket) until(tokens float64) time.Duration {
	if b.tokens >= tokens || b.rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil((tokens - b.tokens) / b.rate * float64(time.Second)))
}
