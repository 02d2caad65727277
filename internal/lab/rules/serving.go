package rules

import (
	"maps"
	"slices"
	"time"
)

// A router serves nobody when it turns away all that it gets, idleLeast requests or more, for idleFor on end with no
// attempt in between, while others serve. One router in idleOneIn may.
const (
	idleFor   = 4 * time.Second
	idleLeast = 15
	idleOneIn = 10
	// othersWithin is how long ago another router has served a request, at the most, for others to serve now. Where
	// nobody serves, as while the origin has stopped, no router is to blame alone.
	othersWithin = time.Second
)

// service is what a router has done for its clients of late.
type service struct {
	served     time.Duration // when it served a request last
	hasServed  bool
	turnedAway int           // requests with no attempt, since the last attempt or service
	since      time.Duration // the first of them

	unreachable bool // no attempt of it is seen by any cache server
}

// attempts ends the time for which a router serves nobody.
func (s *service) attempts() { s.turnedAway = 0 }

// serves notes that a request is served.
func (s *service) serves(now time.Duration) { s.served, s.hasServed, s.turnedAway = now, true, 0 }

// turnsAway notes a request that got its final answer with no attempt, and tells whether the router serves nobody by now.
func (s *service) turnsAway(now time.Duration) bool {
	if s.turnedAway++; s.turnedAway == 1 {
		s.since = now
	}
	return s.turnedAway >= idleLeast && now-s.since >= idleFor
}

// Unreachable tells that a relay begins to reset all of a router's connections to cache servers, or that it ends doing so. Attempts are made
// meanwhile, and no server sees them.
func (c *Checker) Unreachable(router int, on bool) {
	s := &c.routers[router].service
	s.unreachable = on
	s.attempts()
}

// turnedAway takes a final answer to a request that no attempt was seen for.
func (c *Checker) turnedAway(now time.Duration, router int) {
	if c.routers[router].service.unreachable {
		return
	}
	if !c.routers[router].service.turnsAway(now) || !c.othersServe(now, router) {
		return
	}
	if _, known := c.idle[router]; !known {
		c.idle[router] = now
	}
}

// othersServe tells whether another router than this one serves.
func (c *Checker) othersServe(now time.Duration, router int) bool {
	for i := range c.routers {
		if s := &c.routers[i].service; i != router && s.hasServed && now-s.served <= othersWithin {
			return true
		}
	}
	return false
}

// judgeServing holds the whole day to the bound.
func (c *Checker) judgeServing() {
	most := len(c.routers) / idleOneIn
	if len(c.idle) <= most {
		return
	}
	for _, router := range slices.Sorted(maps.Keys(c.idle)) {
		c.breach(Serving, c.idle[router], router, 0, "it turns away all that it gets for %v on end while others serve, as %d of %d routers do; %d may",
			idleFor, len(c.idle), len(c.routers), most)
	}
}
