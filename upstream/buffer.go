package upstream

import (
	"sync"
	"sync/atomic"
)

// Sizes of buffers that need no reservation. They hold most responses.
const (
	unreservedBodyBytes = 16 << 10
	unreservedHeadBytes = 16 << 10
	// headMemoryFactor is the memory that a parsed head of short lines takes, as a multiple of
	// its size.
	headMemoryFactor = 3
)

// DefaultBufferBytes is the memory for buffered responses if the caller sets none.
const DefaultBufferBytes = 64 << 20

// bufferBudget bounds the memory of all responses that a Client buffers at a time.
type bufferBudget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// reserve reserves n bytes if they are free.
func (b *bufferBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Buffers is the memory that the responses to one request occupy. Its methods are safe for
// concurrent use.
type Buffers struct {
	budget *bufferBudget

	mu       sync.Mutex
	reserved int64 // bytes
	released bool
}

// NewBuffers returns the buffers of a request. Release must be called when the request has ended.
func (c *Client) NewBuffers() *Buffers { return &Buffers{budget: &c.buffers} }

// BufferedBytes returns the memory in bytes that the buffers of all requests occupy.
func (c *Client) BufferedBytes() int64 { return c.buffers.used.Load() }

// reserve reserves n bytes if they are free and the buffers are not released.
func (b *Buffers) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released || !b.budget.reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// Release frees the buffers.
func (b *Buffers) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.budget.used.Add(-b.reserved)
	b.reserved = 0
}
