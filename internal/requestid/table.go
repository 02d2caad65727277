// Package requestid remembers the ids of requests that must not run twice: of those that are being served, and for some time of
// those that may have run. The processes of an upgrade share a table, since a client whose connection to one of them has ended may
// send its request again to the other.
package requestid

import (
	"hash/fnv"
	"sync/atomic"
	"time"
)

const (
	bucketCount = 2048
	bucketSize  = 16

	// A slot holds the upper bits of an id's hash and, in its lower expiryBits, when it expires, in units of tick. It is 0 if it is free.
	expiryBits = 24
	expiryMask = 1<<expiryBits - 1
	tick       = 100 * time.Millisecond

	tableSize = bucketCount * bucketSize * 8 // bytes
)

// Table is a set of ids that expire. It takes the same memory however many ids there are; if there are too many, the one that
// expires first is forgotten. Its methods may be called concurrently, also by processes that share it. They take the time on a
// clock that all those processes read.
type Table struct {
	slots []uint64
}

// New returns an empty table of this process.
func New() *Table { return &Table{make([]uint64, bucketCount*bucketSize)} }

// Claim adds an id until a time, and reports whether the table did not hold it. If two calls at the same time claim an id, one of
// them or neither succeeds.
func (t *Table) Claim(id string, now, until time.Duration) (claimed bool) {
	bucket, tag := t.find(id)
	entry := tag | expiry(until)
	own := -1
	for own < 0 {
		victim, old, held := scan(bucket, tag, now)
		if held {
			return false
		}
		if atomic.CompareAndSwapUint64(&bucket[victim], old, entry) {
			own = victim
		}
	}
	for i := range bucket { // another process may have claimed the id since the scan
		if i != own && holds(atomic.LoadUint64(&bucket[i]), tag, now) {
			atomic.CompareAndSwapUint64(&bucket[own], entry, 0)
			return false
		}
	}
	return true
}

// Extend sets the time until which an id that was claimed is kept.
func (t *Table) Extend(id string, until time.Duration) {
	t.replace(id, func(tag uint64) uint64 { return tag | expiry(until) })
}

// Release removes an id that was claimed: its request has not run.
func (t *Table) Release(id string) {
	t.replace(id, func(uint64) uint64 { return 0 })
}

// replace replaces the entry of an id, if there is one.
func (t *Table) replace(id string, entry func(tag uint64) uint64) {
	bucket, tag := t.find(id)
	for i := range bucket {
		if old := atomic.LoadUint64(&bucket[i]); old != 0 && old&^expiryMask == tag {
			atomic.CompareAndSwapUint64(&bucket[i], old, entry(tag))
		}
	}
}

// find returns the bucket of an id, and the upper bits of its entry, which are not 0.
func (t *Table) find(id string) (bucket []uint64, tag uint64) {
	h := fnv.New64a()
	h.Write([]byte(id))
	sum := h.Sum64()
	first := int(sum%bucketCount) * bucketSize
	return t.slots[first : first+bucketSize], max(sum&^expiryMask, expiryMask+1)
}

// scan reports whether a bucket holds a tag, and returns the slot to use for a new entry, with its content: one that is free or
// expired, else the one that expires first.
func scan(bucket []uint64, tag uint64, now time.Duration) (victim int, content uint64, held bool) {
	least := int64(-1)
	for i := range bucket {
		entry := atomic.LoadUint64(&bucket[i])
		if holds(entry, tag, now) {
			return 0, 0, true
		}
		if left := timeLeft(entry, now); least < 0 || left < least {
			victim, content, least = i, entry, left
		}
	}
	return victim, content, false
}

// holds reports whether an entry is that of a tag and has not expired.
func holds(entry, tag uint64, now time.Duration) bool {
	return entry&^expiryMask == tag && timeLeft(entry, now) > 0
}

// timeLeft returns in how many ticks an entry expires: 0 if it has expired or is free. Times are compared as serial numbers, since
// an entry holds only their lower bits.
func timeLeft(entry uint64, now time.Duration) int64 {
	if entry == 0 {
		return 0
	}
	if left := (entry - uint64(now/tick)) & expiryMask; left <= expiryMask/2 {
		return int64(left)
	}
	return 0
}

// expiry returns the lower bits of an entry that expires at a time, rounded up.
func expiry(until time.Duration) uint64 { return uint64(until/tick+1) & expiryMask }
