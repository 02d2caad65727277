// Package valuemem divides a bounded amount of memory among the long values that a router holds at the same time.
//
// A value takes memory as it arrives, so that a peer that sends it slowly holds no more than it has sent. Each value states
// beforehand how much it may need. Dijkstra's banker's algorithm ("Cooperating sequential processes", 1965) then keeps values that
// hold a part of their memory each from waiting for one another forever: memory is granted only while there is an order in which
// all values can still become complete, each with what is free then.
package valuemem

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Budget is the memory for long values, in bytes. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	capacity int64
	free     int64
	promised int64 // sum of the claims' limits
	claims   map[*Claim]struct{}
	waiting  []*waiter // in the order in which they began to wait
	summary  Summary
}

// Claim is the memory of one value. Its methods must not be called concurrently.
type Claim struct {
	budget *Budget
	limit  int64 // the most that the value may need
	held   int64
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
	Waiting     int64 `json:"waiting"`         // values that wait for memory now
	Waits       int64 `json:"waits"`           // waits that have ended since the start
	GivenUp     int64 `json:"given_up"`        // of these, waits that ended without memory
	LongestWait int64 `json:"longest_wait_ms"` // the longest wait that has ended, in milliseconds
}

// New returns a Budget of capacity bytes.
func New(capacity int64) *Budget {
	return &Budget{capacity: capacity, free: capacity, claims: map[*Claim]struct{}{}}
}

// NewClaim returns a claim for a value that needs at most limit bytes, which must not exceed the capacity. The claim holds nothing
// yet. It must be released.
func (b *Budget) NewClaim(limit int64) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Claim{budget: b, limit: limit}
	b.claims[c] = struct{}{}
	b.promised += limit
	return c
}

// Held returns how many bytes the claim holds.
func (c *Claim) Held() int64 { return c.held }

// Acquire acquires size more bytes, up to the claim's limit. If they can't be granted it waits until they can or ctx is done, and
// returns the error of ctx. waited is how long that took.
func (c *Claim) Acquire(ctx context.Context, size int64) (waited time.Duration, err error) {
	b := c.budget
	b.mu.Lock()
	if b.isSafe(c, size) {
		b.grant(c, size)
		b.mu.Unlock()
		return 0, nil
	}
	w := &waiter{c, size, make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	started := time.Now()
	select {
	case <-w.granted:
	case <-ctx.Done():
		err = b.stopWaiting(w, ctx)
	}
	waited = time.Since(started)
	b.recordWait(waited, err != nil)
	return waited, err
}

// Complete states that the value is complete and needs no more than it holds.
func (c *Claim) Complete() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.promised -= c.limit - c.held
	c.limit = c.held
	b.grantWaiting()
}

// Release frees all that the claim holds and ends the claim. Further calls do nothing.
func (c *Claim) Release() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.claims[c]; !open {
		return
	}
	delete(b.claims, c)
	b.free += c.held
	b.promised -= c.limit
	c.held, c.limit = 0, 0
	b.grantWaiting()
}

// Summary returns the present figures.
func (b *Budget) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	summary := b.summary
	summary.Capacity, summary.Held, summary.Waiting = b.capacity, b.capacity-b.free, int64(len(b.waiting))
	return summary
}

// Used reports whether memory is held, or values have waited for it.
func (b *Budget) Used() bool {
	summary := b.Summary()
	return summary.Held > 0 || summary.Waiting > 0 || summary.Waits > 0
}

// isSafe reports whether a claim may hold size more bytes: they are free, and all claims can still become complete one after
// another. b.mu is held.
func (b *Budget) isSafe(claim *Claim, size int64) bool {
	if size > b.free {
		return false
	}
	if b.promised <= b.capacity {
		return true
	}
	type part struct{ held, missing int64 }
	var incomplete []part
	available := b.capacity // once the complete claims are released
	for c := range b.claims {
		p := part{c.held, c.limit - c.held}
		if c == claim {
			p = part{p.held + size, p.missing - size}
		}
		if p.missing > 0 {
			available -= p.held
			incomplete = append(incomplete, p)
		}
	}
	slices.SortFunc(incomplete, func(a, b part) int { return cmp.Compare(a.missing, b.missing) })
	for _, p := range incomplete {
		if p.missing > available {
			return false
		}
		available += p.held
	}
	return true
}

// grant gives a claim size more bytes. b.mu is held.
func (b *Budget) grant(c *Claim, size int64) {
	c.held += size
	b.free -= size
}

// grantWaiting gives memory to those that wait for it, as far as that is safe, in the order in which they began to wait. b.mu is
// held.
func (b *Budget) grantWaiting() {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) (granted bool) {
		if !b.isSafe(w.claim, w.size) {
			return false
		}
		b.grant(w.claim, w.size)
		close(w.granted)
		return true
	})
}

// stopWaiting ends a wait because ctx is done, and returns the error of ctx unless the memory has been granted meanwhile.
func (b *Budget) stopWaiting(w *waiter, ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.waiting)
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	if len(b.waiting) == before {
		return nil
	}
	return ctx.Err()
}

// recordWait records that a wait has ended.
func (b *Budget) recordWait(waited time.Duration, givenUp bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.summary.Waits++
	if givenUp {
		b.summary.GivenUp++
	}
	b.summary.LongestWait = max(b.summary.LongestWait, waited.Milliseconds())
}
