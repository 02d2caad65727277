// Package valuemem divides a bounded amount of memory among the long values that a router holds at the same time.
package valuemem

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Budget is the memory for long values, in bytes. It is safe for concurrent use.
type Budget struct {
	capacity int64
	memory   *semaphore.Weighted

	mu      sync.Mutex
	summary Summary
}

// Summary tells how much of a Budget is in use, and how requests have waited for it. The JSON names are part of the operators'
// interface.
type Summary struct {
	Capacity    int64 `json:"capacity"`        // bytes
	Held        int64 `json:"held"`            // bytes
	Waiting     int64 `json:"waiting"`         // values that wait for memory now
	Waits       int64 `json:"waits"`           // waits that have ended since the start
	GivenUp     int64 `json:"given_up"`        // of these, waits that ended without memory
	LongestWait int64 `json:"longest_wait_ms"` // the longest wait that has ended, in milliseconds
}

// New returns a Budget of capacity bytes.
func New(capacity int64) *Budget {
	return &Budget{capacity: capacity, memory: semaphore.NewWeighted(capacity)}
}

// TryAcquire acquires size bytes if they are free, and reports whether it did.
func (b *Budget) TryAcquire(size int64) (acquired bool) {
	if !b.memory.TryAcquire(size) {
		return false
	}
	b.addHeld(size)
	return true
}

// Acquire acquires size bytes. If they are not free it waits until they are or ctx is done, and returns the error of ctx.
// waited is how long that took.
func (b *Budget) Acquire(ctx context.Context, size int64) (waited time.Duration, err error) {
	if b.TryAcquire(size) {
		return 0, nil
	}
	started := time.Now()
	b.mu.Lock()
	b.summary.Waiting++
	b.mu.Unlock()
	err = b.memory.Acquire(ctx, size)
	waited = time.Since(started)
	b.recordWait(waited, err != nil)
	if err == nil {
		b.addHeld(size)
	}
	return waited, err
}

// Release frees size bytes.
func (b *Budget) Release(size int64) {
	b.addHeld(-size)
	b.memory.Release(size)
}

// Summary returns the present figures.
func (b *Budget) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	summary := b.summary
	summary.Capacity = b.capacity
	return summary
}

// Used reports whether memory is held, or values have waited for it.
func (b *Budget) Used() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.summary.Held > 0 || b.summary.Waiting > 0 || b.summary.Waits > 0
}

// addHeld records that size more bytes are held.
func (b *Budget) addHeld(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.summary.Held += size
}

// recordWait records that a wait has ended.
func (b *Budget) recordWait(waited time.Duration, givenUp bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.summary.Waiting--
	b.summary.Waits++
	if givenUp {
		b.summary.GivenUp++
	}
	b.summary.LongestWait = max(b.summary.LongestWait, waited.Milliseconds())
}
