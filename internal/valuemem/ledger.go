package valuemem

import (
	"cmp"
	"slices"
)

// ledger decides which claims may hold more memory. It has neither locks nor a clock.
//
// It grants memory by Dijkstra's banker's algorithm ("Cooperating sequential processes", 1965): only while there is an order in which
// all claims can become complete, each with what is free then. Otherwise values that hold a part of their memory each could wait
// for one another forever.
type ledger struct {
	free   int64
	claims []*Claim // ascending by what they miss
}

// missing returns how much the claim may still need.
func (c *Claim) missing() int64 { return c.limit - c.held }

// add opens a claim.
func (l *ledger) add(c *Claim) {
	at, _ := slices.BinarySearchFunc(l.claims, c, func(a, b *Claim) int { return cmp.Compare(a.missing(), b.missing()) })
	l.claims = slices.Insert(l.claims, at, c)
}

// remove ends a claim and frees what it holds. It reports whether the claim was open.
func (l *ledger) remove(c *Claim) (open bool) {
	at := slices.Index(l.claims, c)
	if at < 0 {
		return false
	}
	l.claims = slices.Delete(l.claims, at, at+1)
	l.free += c.held
	c.held, c.limit = 0, 0
	return true
}

// mayGrant reports whether a claim may hold size more bytes: they are free, and all claims can still become complete one after
// another, the ones that miss least first.
func (l *ledger) mayGrant(claim *Claim, size int64) bool {
	if size > l.free {
		return false
	}
	available, missingThen, counted := l.free-size, claim.missing()-size, false
	for _, c := range l.claims {
		if !counted && missingThen <= c.missing() { // the claim's place in the order once it holds size more
			if missingThen > available {
				return false
			}
			available += claim.held + size
			counted = true
		}
		if c == claim {
			continue
		}
		if c.missing() > available {
			return false
		}
		available += c.held
	}
	return true
}

// grant gives a claim size more bytes.
func (l *ledger) grant(c *Claim, size int64) {
	l.change(c, func() {
		c.held += size
		l.free -= size
	})
}

// complete lowers a claim's limit to what it holds.
func (l *ledger) complete(c *Claim) { l.change(c, func() { c.limit = c.held }) }

// change changes an open claim and keeps the claims in order.
func (l *ledger) change(c *Claim, apply func()) {
	at := slices.Index(l.claims, c)
	l.claims = slices.Delete(l.claims, at, at+1)
	apply()
	l.add(c)
}
