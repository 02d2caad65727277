// Package valuemem divides a bounded amount of memory among the long values that a router holds at the same time. A value takes memory
// as it arrives, so that a peer that sends it slowly holds no more than it has sent.
package valuemem

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Budget is the memory for long values, in bytes. It is safe for concurrent use.
type Budget struct {
	OnWaited func(Wait) // called with each wait that has ended; may be nil, and must be set before the first claim

	capacity int64

	mu          sync.Mutex
	ledger      ledger
	waiting     []*waiter // in the order in which they began to wait
	waits       int64
	givenUp     int64
	longestWait time.Duration
}

// Claim is the memory of one value. Its methods must not be called concurrently.
type Claim struct {
	budget  *Budget
	request string // id of the request that the value belongs to
	limit   int64  // the most that the value may need
	held    int64
}

// Wait is a wait for memory that has ended.
type Wait struct {
	Request  string // id of the request that the value belongs to
	Held     int64  // bytes that the value held before
	Limit    int64  // bytes that the value may need
	Duration time.Duration
	Acquired bool
}

// waiter is a claim that waits for memory.
type waiter struct {
	claim   *Claim
	size    int64
	granted chan struct{} // closed once the claim holds size more bytes
}

// Summary tells how much of a Budget is in use, and how values have waited for it. The JSON names are part of the operators'
// interface.
type Summary struct {
	Capacity    int64 `json:"capacity"`        // bytes
	Held        int64 `json:"held"`            // bytes
	Waiting     int   `json:"waiting"`         // values that wait for memory now
	Waits       int64 `json:"waits"`           // waits that have ended since the start
	GivenUp     int64 `json:"given_up"`        // of these, waits that ended without memory
	LongestWait int64 `json:"longest_wait_ms"` // the longest wait that has ended, in milliseconds
}

// New returns a Budget of capacity bytes.
func New(capacity int64) *Budget {
	return &Budget{capacity: capacity, ledger: ledger{free: capacity}}
}

// NewClaim returns a claim for a value of a request, given by its id, that needs at most limit bytes. limit must not exceed the
// capacity. The claim holds nothing yet. It must be released.
func (b *Budget) NewClaim(request string, limit int64) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Claim{budget: b, request: request, limit: limit}
	b.ledger.add(c)
	return c
}

// Held returns how many bytes the claim holds.
func (c *Claim) Held() int64 { return c.held }

// TryAcquire acquires size more bytes, up to the claim's limit, if that needs no wait. It reports whether it did.
func (c *Claim) TryAcquire(size int64) (acquired bool) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryGrant(c, size)
}

// Acquire acquires size more bytes, up to the claim's limit. If they can't be granted it waits until they can or ctx is done, and
// returns the error of ctx. waited is how long that took.
func (c *Claim) Acquire(ctx context.Context, size int64) (waited time.Duration, err error) {
	b := c.budget
	b.mu.Lock()
	if b.tryGrant(c, size) {
		b.mu.Unlock()
		return 0, nil
	}
	w := &waiter{c, size, make(chan struct{})}
	b.waiting = append(b.waiting, w)
	wait := Wait{Request: c.request, Held: c.held, Limit: c.limit}
	b.mu.Unlock()
	started := time.Now()
	select {
	case <-w.granted:
	case <-ctx.Done():
		err = b.stopWaiting(ctx, w)
	}
	wait.Duration, wait.Acquired = time.Since(started), err == nil
	b.recordWait(wait)
	return wait.Duration, err
}

// Complete states that the value is complete and needs no more than it holds.
func (c *Claim) Complete() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.complete(c)
	b.grantWaiting()
}

// Release frees all that the claim holds and ends the claim. Further calls do nothing.
func (c *Claim) Release() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger.remove(c) {
		b.grantWaiting()
	}
}

// Summary returns the present figures.
func (b *Budget) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Summary{Capacity: b.capacity, Held: b.capacity - b.ledger.free, Waiting: len(b.waiting), Waits: b.waits,
		GivenUp: b.givenUp, LongestWait: b.longestWait.Milliseconds()}
}

// IsZero reports whether no memory is held and no value has ever waited for it.
func (s Summary) IsZero() bool { return s.Held == 0 && s.Waiting == 0 && s.Waits == 0 }

// tryGrant gives a claim size more bytes if it may hold them now, and reports whether it did. b.mu is held.
func (b *Budget) tryGrant(c *Claim, size int64) (granted bool) {
	if !b.ledger.mayGrant(c, size) {
		return false
	}
	b.ledger.grant(c, size)
	return true
}

// grantWaiting gives memory to those that wait for it and may hold it now, in the order in which they began to wait. b.mu is held.
func (b *Budget) grantWaiting() {
	var waiting []*waiter
	for _, w := range b.waiting {
		if b.tryGrant(w.claim, w.size) {
			close(w.granted)
		} else {
			waiting = append(waiting, w)
		}
	}
	b.waiting = waiting
}

// stopWaiting ends a wait because ctx is done, and returns the error of ctx unless the memory has been granted meanwhile.
func (b *Budget) stopWaiting(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.Index(b.waiting, w)
	if at < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return ctx.Err()
}

// recordWait records a wait that has ended.
func (b *Budget) recordWait(wait Wait) {
	b.mu.Lock()
	b.waits++
	if !wait.Acquired {
		b.givenUp++
	}
	b.longestWait = max(b.longestWait, wait.Duration)
	b.mu.Unlock()
	if b.OnWaited != nil {
		b.OnWaited(wait)
	}
}
