// Package connlimit computes one router's share of the connections that slot caches accept from all routers. It does no I/O and
// learns nothing from the other routers: the limit must hold however the load is spread over them.
package connlimit

import (
	"cmp"
	"time"
)

const (
	// defaultConnsPerCore is how many connections a slot cache accepts for each of its cores where no operator states it, and
	// minCores is the number of cores of the smallest slot cache. No setting gives these figures. They come from the brief of the
	// first deployment (70 to 84 connections, 5 and 6 cores), which has the lowest limits known: elsewhere a cache accepts forty
	// times as many connections, and the operator's file says so (places).
	defaultConnsPerCore = 14
	minCores            = 5
	// busyConnsPerCore is how many of the connections for each core are busy with calls that run or wait: one runs on the core,
	// and the rest is for the queue.
	busyConnsPerCore = 2
	// typicalUtilization is the fraction of its cores that a cache is sized to keep busy: 0.21 to 0.65 on the brief's days.
	typicalUtilization = 0.5
	// meanWindow is the number of calls over which the mean duration of calls is taken.
	meanWindow = 64
)

// MaxIdle returns how many idle connections to one slot cache each router may retain for as long as the cache retains them: its
// share of the cache's connections that are not busy. connsPerCore is how many connections the cache accepts for each core; 0
// means that it is not stated. With 14 per core the result is 0 for more than 60 routers, where the cache can't retain one
// connection from each.
func MaxIdle(routers, connsPerCore int) int {
	return idleConnsPerCore(connsPerCore) * minCores / max(routers, 1)
}

// idleConnsPerCore returns how many of the connections for each core are not busy.
func idleConnsPerCore(connsPerCore int) int {
	return max(cmp.Or(connsPerCore, defaultConnsPerCore)-busyConnsPerCore, 0)
}

// MeanCallDuration keeps the mean duration of a router's latest calls.
type MeanCallDuration struct {
	n    int // number of calls in the mean, up to meanWindow
	mean time.Duration
}

// Add adds the duration of a call that has ended.
func (c *MeanCallDuration) Add(duration time.Duration) {
	c.n = min(c.n+1, meanWindow)
	c.mean += (duration - c.mean) / time.Duration(c.n)
}

// IdleTimeout returns how long connections beyond the number that MaxIdle returns may stay idle. However many routers there are
// and however uneven their load is, the connections that all of them have open to a cache are those on which a call ended
// within that time. In the time of one call a cache ends at most one call for each core, and typically half of its cores are
// busy. The cache's connection limit therefore suffices for an idle time of twice the call's duration, times the number of
// connections for each core that are not busy. In a burst the limit may be reached, and connects fail.
func (c *MeanCallDuration) IdleTimeout(connsPerCore int) time.Duration {
	return time.Duration(float64(idleConnsPerCore(connsPerCore)) / typicalUtilization * float64(c.mean))
}
