package invariants

import (
	"maps"
	"slices"
	"time"
)

// A router counts as not serving if it rejects everything, at least minIdleRequests requests in a row, for
// idleDuration without an attempt in between, while other routers serve. One router in idleAllowedOneIn may do
// so.
const (
	idleDuration     = 4 * time.Second
	minIdleRequests  = 15
	idleAllowedOneIn = 10
	// othersServedWithin is the longest time since the last request that another router served for which the
	// others still count as serving. When no router serves, as while the origin is stopped, a single router is
	// not to blame.
	othersServedWithin = time.Second
)

// recentService tracks what a router has done for its clients recently.
type recentService struct {
	lastServed     time.Duration // when the router last served a request
	hasServed      bool
	rejections     int // requests rejected without an attempt since the last attempt or served request
	firstRejection time.Duration

	unreachable bool // no cache server can observe an attempt of this router
}

// attemptSeen ends a series of rejections.
func (s *recentService) attemptSeen() { s.rejections = 0 }

// requestServed records a served request.
func (s *recentService) requestServed(now time.Duration) {
	s.lastServed, s.hasServed, s.rejections = now, true, 0
}

// requestRejected records a request that got its final answer without an attempt, and reports whether the
// router now counts as not serving.
func (s *recentService) requestRejected(now time.Duration) bool {
	if s.rejections++; s.rejections == 1 {
		s.firstRejection = now
	}
	return s.rejections >= minIdleRequests && now-s.firstRejection >= idleDuration
}

// RouterUnreachable records that a relay starts or stops resetting all connections of a router to cache
// servers. The router makes attempts meanwhile, but no server observes them.
func (c *Checker) RouterUnreachable(router int, unreachable bool) {
	service := &c.routers[router].service
	service.unreachable = unreachable
	service.attemptSeen()
}

// recordRejection records a final answer to a request without an observed attempt.
func (c *Checker) recordRejection(now time.Duration, router int) {
	if c.routers[router].service.unreachable {
		return
	}
	if !c.routers[router].service.requestRejected(now) || !c.othersServe(now, router) {
		return
	}
	if _, recorded := c.idleSince[router]; !recorded {
		c.idleSince[router] = now
	}
}

// othersServe reports whether any other router serves.
func (c *Checker) othersServe(now time.Duration, router int) bool {
	for i := range c.routers {
		if s := &c.routers[i].service; i != router && s.hasServed && now-s.lastServed <= othersServedWithin {
			return true
		}
	}
	return false
}

// checkServing adds violations if too many routers did not serve during the day.
func (c *Checker) checkServing() {
	allowed := len(c.routers) / idleAllowedOneIn
	if len(c.idleSince) <= allowed {
		return
	}
	for _, router := range slices.Sorted(maps.Keys(c.idleSince)) {
		c.addViolation(Serving, c.idleSince[router], router, 0,
			"it turns away all that it gets for %v on end while others serve, as %d of %d routers do; %d may",
			idleDuration, len(c.idleSince), len(c.routers), allowed)
	}
}
