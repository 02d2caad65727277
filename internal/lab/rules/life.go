package rules

import "time"

// A router's process is held to what it was told, what it has asked and what it has taken itself. Nothing of a former process
// counts for or against the next one, but for the starts of servers that were told (startTold).

// Killed tells that a router's process is ended from outside without notice: nothing is owed for what it held.
func (c *Checker) Killed(now time.Duration, router int) {
	c.Paused(now, router, false)
	c.forgetLife(router)
}

// Begins tells that a router's process starts, whatever ended the one before. What that one took and did not answer is still owed.
func (c *Checker) Begins(router int) {
	taken := c.routers[router].requests
	c.forgetLife(router)
	c.routers[router].requests = taken
}

// forgetLife forgets what a router's process held.
func (c *Checker) forgetLife(router int) {
	unreachable := c.routers[router].service.unreachable // by the network, not by the process
	c.routers[router] = routerState{service: service{unreachable: unreachable}, requests: map[uint32]*request{}, left: map[int]time.Duration{}, aside: map[int]time.Duration{}, named: map[int]bool{}}
}
