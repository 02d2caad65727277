// Package connlimit works out one router's part of the connections that slot caches accept from all routers. It
// does no I/O and hears nothing from the others: the bound must hold however the load is spread over them.
package connlimit

import (
	"cmp"
	"time"
)

const (
	// tableCores is how many connections a slot cache accepts for each of its cores where nobody states it, leastCores
	// how many cores the smallest has. No setting tells that; the first deployment's brief does (70 to 84 connections,
	// 5 and 6 cores), which is the tightest known: elsewhere a cache accepts forty times as many, and an operator's
	// file says so (places).
	tableCores = 14
	leastCores = 5
	// busyCores is what calls in work and in the waiting room take of tableCores: one a core, and a queue.
	busyCores = 2
	// usualLoad is the part of its cores that a cache is sized to have busy: the brief's days have 0.21 to 0.65.
	usualLoad = 0.5
	// memory is the number of calls over which their mean time is kept.
	memory = 64
)

// Kept is how many idle connections to one slot cache each of so many routers may keep as long as the cache
// does: what its table, with so many places for each core (0: not stated), has beside busy ones. Of 14 a core that is
// none over 60 routers, and no cache can have one of each.
func Kept(routers, places int) int { return spare(places) * leastCores / max(routers, 1) }

// spare is how many places for each core are not for busy connections.
func spare(places int) int { return max(cmp.Or(places, tableCores)-busyCores, 0) }

// Calls is the mean time of a router's calls.
type Calls struct {
	n    int
	mean time.Duration
}

// Ended takes the time that a call took.
func (c *Calls) Ended(took time.Duration) {
	c.n = min(c.n+1, memory)
	c.mean += (took - c.mean) / time.Duration(c.n)
}

// Idle is how long connections beyond those Kept may stay idle. However many routers there are and however
// uneven their load, the connections that all of them have open to a cache are those on which a call ended within
// that time. A cache's cores together end no more than one call a core within the time of a call, and as a rule half
// of them are busy, so that the table suffices for twice as many times the call as it holds connections a core. In a
// burst it may be full, which shows in failed connects.
func (c *Calls) Idle(places int) time.Duration {
	return time.Duration(float64(spare(places)) / usualLoad * float64(c.mean))
}
