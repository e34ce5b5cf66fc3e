package headroom

import (
	"math"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Parameters of link budgets.
const (
	// usableLinkFraction is the fraction of a link's bandwidth for requests and responses.
	// The rest is for digests, connection setup and packet headers.
	usableLinkFraction = 0.9
	// linkBurstTime is the time at the full rate that a budget can save up: its burst is
	// the rate times linkBurstTime.
	linkBurstTime = 250 * time.Millisecond
	bitsPerByte   = 8
)

// Direction is the direction of a transfer as seen from this entry instance.
type Direction uint8

// Directions.
const (
	// Outbound is the direction of requests and uploads to the other region.
	Outbound Direction = iota
	// Inbound is the direction of responses from the other region.
	Inbound
)

// LinkBudgets holds this instance's share of the bandwidth of the links between its region
// and others, as one byte budget per link and direction. All methods are safe for
// concurrent use.
type LinkBudgets struct {
	mu      sync.Mutex
	buckets map[string]*[2]byteBucket // by other region, then by Direction
}

// NewLinkBudgets returns the budgets of an entry instance in the region from.
// sharerCount returns the number of live entry instances that share the link to another
// region, that is, those at both ends. Each gets the same share.
func NewLinkBudgets(from string, links []config.Link, sharerCount func(other string) int) *LinkBudgets {
	l := &LinkBudgets{buckets: make(map[string]*[2]byteBucket)}
	l.SetLinks(from, links, sharerCount)
	return l
}

// SetLinks replaces the links, for example when the number of instances changes. The
// balance of each budget is kept if it is negative, and otherwise up to the new burst.
func (l *LinkBudgets) SetLinks(from string, links []config.Link, sharerCount func(other string) int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.buckets
	l.buckets = make(map[string]*[2]byteBucket)
	for _, link := range links {
		other, ok := otherEnd(link, from)
		if !ok {
			continue
		}
		rate := float64(link.BitsPerSecond) / bitsPerByte * usableLinkFraction / float64(max(1, sharerCount(other)))
		pair := &[2]byteBucket{}
		if existing := old[other]; existing != nil {
			*pair = *existing
		}
		pair[Outbound].setRate(rate)
		pair[Inbound].setRate(rate)
		l.buckets[other] = pair
	}
}

// otherEnd returns the region that the link connects with from, or false if the link does
// not end in from.
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

// StartDelay returns the time after which a transfer of the given size, in bytes or 0 when
// unknown, may start; 0 means now. It returns a *RefusedError if there is no link to the
// other region.
func (l *LinkBudgets) StartDelay(other string, d Direction, bytes int64, now time.Time) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := l.buckets[other]
	if pair == nil {
		return 0, &RefusedError{Cause: CauseNoLink, Region: other}
	}
	return pair[d].startDelay(bytes, now), nil
}

// Charge deducts bytes that were sent or received from the budget and returns the time to
// wait before the next chunk is transferred. A chunk may take the budget below zero. Without
// a link it charges nothing and returns 0.
func (l *LinkBudgets) Charge(other string, d Direction, bytes int64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := l.buckets[other]
	if pair == nil {
		return 0
	}
	return pair[d].charge(bytes, now)
}

// byteBucket is a token bucket of bytes whose balance may be negative.
type byteBucket struct {
	rate       float64 // bytes per second
	balance    float64 // bytes, may be negative
	refilledAt time.Time
}

// burst returns the largest balance, in bytes.
func (b *byteBucket) burst() float64 { return b.rate * linkBurstTime.Seconds() }

// setRate sets the rate, in bytes per second. A new bucket starts with a full burst.
func (b *byteBucket) setRate(rate float64) {
	isNew := b.rate == 0
	b.rate = rate
	b.balance = math.Min(b.balance, b.burst())
	if isNew {
		b.balance = b.burst()
	}
}

// refill adds the bytes that the rate yields for the time since the last refill.
func (b *byteBucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.balance = math.Min(b.burst(), b.balance+elapsed*b.rate)
}

// startDelay returns the time until a transfer may start: until the balance covers the
// whole transfer, or the burst if the transfer is larger than that. Larger transfers are
// paced by charge.
func (b *byteBucket) startDelay(bytes int64, now time.Time) time.Duration {
	b.refill(now)
	needed := math.Max(1, math.Min(float64(bytes), b.burst()))
	return b.timeUntilAvailable(needed)
}

// charge deducts bytes and returns the time until the balance is no longer negative.
func (b *byteBucket) charge(bytes int64, now time.Time) time.Duration {
	b.refill(now)
	b.balance -= float64(bytes)
	return b.timeUntilAvailable(0)
}

// timeUntilAvailable returns the time until the balance is at least the given number of bytes.
func (b *byteBucket) timeUntilAvailable(bytes float64) time.Duration {
	if b.balance >= bytes || b.rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil((bytes - b.balance) / b.rate * float64(time.Second)))
}
