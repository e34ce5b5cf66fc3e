package retry

import (
	"sync"
	"time"
)

// Shape of a budget.
const (
	// windowSlots one-second slots make up the window in which a budget counts.
	windowSlots = 10
	// DefaultBudgetFraction is the share of requests that may be retries.
	DefaultBudgetFraction = 0.1
	// DefaultMinRetriesPerSecond is the number of retries per second that are always allowed.
	// Without it a service with few requests could not retry at all.
	DefaultMinRetriesPerSecond = 1.0
	// idleAfter is the time after which an unused budget is forgotten.
	idleAfter = time.Minute
)

type budgetKey struct{ customer, service string }

// Budgets holds the retry budgets by customer and service. All methods are safe for
// concurrent use.
type Budgets struct {
	fraction float64
	floor    float64 // retries per second

	mu      sync.Mutex
	start   time.Time // origin of the slots, set by the first call
	budgets map[budgetKey]*budget
}

// NewBudgets returns budgets that allow retries up to the given fraction of the
// requests and at least floor per second. Zero values mean the defaults.
func NewBudgets(fraction, floor float64) *Budgets {
	if fraction <= 0 {
		fraction = DefaultBudgetFraction
	}
	if floor <= 0 {
		floor = DefaultMinRetriesPerSecond
	}
	return &Budgets{fraction: fraction, floor: floor, budgets: make(map[budgetKey]*budget)}
}

// RecordRequest counts a first attempt.
func (b *Budgets) RecordRequest(customer, service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(customer, service, now).slot(b.second(now)).requests++
}

// TakeRetry takes one retry from the budget and reports whether there was one.
func (b *Budgets) TakeRetry(customer, service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.get(customer, service, now)
	current := entry.slot(b.second(now))
	requests, retries := entry.sums()
	allowed := max(b.floor*windowSlots, b.fraction*float64(requests))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

// RemoveIdle forgets budgets without requests for a minute. The adapter calls it now
// and then to bound the memory.
func (b *Budgets) RemoveIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, entry := range b.budgets {
		if now.Sub(entry.used) >= idleAfter {
			delete(b.budgets, key)
		}
	}
}

func (b *Budgets) get(customer, service string, now time.Time) *budget {
	key := budgetKey{customer, service}
	entry, ok := b.budgets[key]
	if !ok {
		entry = &budget{}
		b.budgets[key] = entry
	}
	entry.used = now
	return entry
}

// second returns the number of the one-second slot of now.
func (b *Budgets) second(now time.Time) int64 {
	if b.start.IsZero() {
		b.start = now
	}
	return int64(now.Sub(b.start) / time.Second)
}

// budget counts requests and retries in a sliding window of one-second slots.
type budget struct {
	used   time.Time
	newest int64
	slots  [windowSlots]slot
}

type slot struct{ requests, retries int }

// slot returns the slot of a second and clears those that left the window. A
// second before the newest counts as the newest.
func (b *budget) slot(second int64) *slot {
	for range min(second-b.newest, windowSlots) {
		b.newest++
		b.slots[b.newest%windowSlots] = slot{}
	}
	b.newest = max(b.newest, second)
	return &b.slots[b.newest%windowSlots]
}

func (b *budget) sums() (requests, retries int) {
	for _, s := range b.slots {
		requests += s.requests
		retries += s.retries
	}
	return requests, retries
}
