package retry

import (
	"sync"
	"time"
)

// Defaults and window of a budget.
const (
	// windowSeconds is the length of the sliding window of a budget in seconds,
	// with one bucket per second.
	windowSeconds = 10
	// DefaultBudgetFraction is the maximum number of retries per request in the window.
	DefaultBudgetFraction = 0.1
	// DefaultMinRetriesPerSecond is the number of retries per second that are allowed even
	// with few requests. Without it a service with few requests could not retry at
	// all.
	DefaultMinRetriesPerSecond = 1.0
	// idleTimeout is the time after which an unused budget is deleted.
	idleTimeout = time.Minute
)

type budgetKey struct{ customer, service string }

// Budgets holds one retry budget per customer and service. All methods are safe for
// concurrent use.
type Budgets struct {
	fraction            float64
	minRetriesPerSecond float64 // per customer and service

	mu      sync.Mutex
	origin  time.Time // time from which seconds are counted, set by the first call
	budgets map[budgetKey]*budget
}

// NewBudgets returns budgets that allow retries up to the given fraction of the
// requests, and at least minRetriesPerSecond. Values that are not positive mean the
// defaults.
func NewBudgets(fraction, minRetriesPerSecond float64) *Budgets {
	if fraction <= 0 {
		fraction = DefaultBudgetFraction
	}
	if minRetriesPerSecond <= 0 {
		minRetriesPerSecond = DefaultMinRetriesPerSecond
	}
	return &Budgets{fraction: fraction, minRetriesPerSecond: minRetriesPerSecond, budgets: make(map[budgetKey]*budget)}
}

// RecordRequest counts the first attempt of a request.
func (b *Budgets) RecordRequest(customer, service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetFor(customer, service, now).bucketAt(b.secondSinceOrigin(now)).requests++
}

// TakeRetry takes one retry from the budget. It reports whether the budget allowed it.
func (b *Budgets) TakeRetry(customer, service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	customerBudget := b.budgetFor(customer, service, now)
	currentBucket := customerBudget.bucketAt(b.secondSinceOrigin(now))
	requests, retries := customerBudget.totals()
	maxRetries := max(b.minRetriesPerSecond*windowSeconds, b.fraction*float64(requests))
	if float64(retries+1) > maxRetries {
		return false
	}
	currentBucket.retries++
	return true
}

// RemoveIdle deletes budgets that have not been used for idleTimeout. It must be called
// periodically to bound the memory.
func (b *Budgets) RemoveIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, customerBudget := range b.budgets {
		if now.Sub(customerBudget.lastUsed) >= idleTimeout {
			delete(b.budgets, key)
		}
	}
}

func (b *Budgets) budgetFor(customer, service string, now time.Time) *budget {
	key := budgetKey{customer, service}
	customerBudget, ok := b.budgets[key]
	if !ok {
		customerBudget = &budget{}
		b.budgets[key] = customerBudget
	}
	customerBudget.lastUsed = now
	return customerBudget
}

// secondSinceOrigin returns the whole seconds from the origin to now.
func (b *Budgets) secondSinceOrigin(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / time.Second)
}

// budget counts requests and retries in a sliding window of one-second buckets.
type budget struct {
	lastUsed     time.Time
	newestSecond int64
	buckets      [windowSeconds]bucket
}

type bucket struct{ requests, retries int }

// bucketAt returns the bucket of a second and clears the buckets that have left the
// window. Seconds before the newest one use the newest bucket.
func (b *budget) bucketAt(second int64) *bucket {
	for range min(second-b.newestSecond, windowSeconds) {
		b.newestSecond++
		b.buckets[b.newestSecond%windowSeconds] = bucket{}
	}
	b.newestSecond = max(b.newestSecond, second)
	return &b.buckets[b.newestSecond%windowSeconds]
}

func (b *budget) totals() (requests, retries int) {
	for _, counts := range b.buckets {
		requests += counts.requests
		retries += counts.retries
	}
	return requests, retries
}
