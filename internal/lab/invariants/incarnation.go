package invariants

import "time"

// A router's process is checked against what it has received, requested and accepted itself. Nothing of an
// earlier process counts for or against the next one, except the server starts that the router has learned of
// (recordStart).

// ProcessKilled records that a router's process was ended from outside without notice. The requests that it held need
// no answer.
func (c *Checker) ProcessKilled(now time.Duration, router int) {
	c.ProcessPaused(now, router, false)
	c.resetIncarnation(router)
}

// ProcessStarted records that a router's process starts, however the previous one ended. The requests that the
// previous process accepted and did not answer still need an answer.
func (c *Checker) ProcessStarted(router int) {
	requests := c.routers[router].requests
	c.resetIncarnation(router)
	c.routers[router].requests = requests
}

// resetIncarnation drops the state that belongs to one process of a router.
func (c *Checker) resetIncarnation(router int) {
	unreachable := c.routers[router].service.unreachable // a condition of the network, not of the process
	c.routers[router] = routerState{service: recentService{unreachable: unreachable}, requests: map[uint32]*requestState{},
		leavingSince: map[int]time.Duration{}, drainedSince: map[int]time.Duration{}, everListed: map[int]bool{}}
}
