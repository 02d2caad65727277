package hoptiller

// Slow start limits what a server gets between its start and the end of the configured warm-up. A server that
// has just started has an empty cache and only a fraction of its capacity. If all routers together send it
// more than it can handle, it collapses. Its weight in the ranking grows during the warm-up, and in addition
// the requests sent to it are limited (coldHasRoom). Times and fractions come from the settings (WarmUp,
// ColdCapacity, CollapseWindow, OverloadFactor). Rates are in requests per second.

import (
	"cmp"
	"math"
	"time"
)

// warmth returns the minimum fraction of its capacity that a server has, by the configured warm-up.
func (r *Router) warmth(s *server) float64 {
	return r.settings.ColdCapacity + (1-r.settings.ColdCapacity)*r.warmUpProgress(s)
}

// warmUpProgress returns how far a server is in its warm-up: near 0 at its start, 1 once it is over.
func (r *Router) warmUpProgress(s *server) float64 {
	started, _, known := r.knownStart(s)
	return r.progressSince(started, known)
}

// listedProgress returns the warm-up progress by the listed start alone. The ranking uses it, so that keys
// don't move because of a restart that is only inferred.
func (r *Router) listedProgress(s *server) float64 {
	return r.progressSince(s.latestStart, s.Started != 0)
}

func (r *Router) progressSince(started time.Duration, known bool) float64 {
	age := r.now - started
	if !known || r.settings.WarmUp <= 0 || age >= r.settings.WarmUp {
		return 1
	}
	return max(0.01, float64(age)/float64(r.settings.WarmUp))
}

// maxDiscoveryLag is the longest time between the start of a process and its list entry while other updates
// of the list arrive.
const maxDiscoveryLag = 6 * time.Second

// StartInterval returns the bounds of the time at which a process started. The list that arrived at the time
// now gives its start, and the previous list did not. A listed start is the wall-clock time of another
// machine, which may be hours off or be stepped. It counts only if it lies between the two lists by this
// router's own clock. Otherwise all that is known is that the process started between them.
func StartInterval(previousList, now, listed time.Duration) (from, to time.Duration) {
	from = previousList - maxDiscoveryLag
	if listed >= from && listed <= now {
		return listed, listed
	}
	return from, now
}

// latestStartOf returns the latest time at which a server's process can have started, given its list entry. A
// server that a complete list names for the first time may have run for long, for example after a switch to
// another discovery: its listed start counts, but never as later than now.
func (r *Router) latestStartOf(s *server, e *Server, kind ListKind) time.Duration {
	listedBefore := s.window != 0
	if !listedBefore && (kind != ListDelta || r.former.hasSameStart(e)) {
		return min(e.Started, r.now)
	}
	_, to := StartInterval(r.lastListAt, r.now, e.Started)
	return to
}

// formerStarts holds the listed starts of servers that have left the list, by id. A server that comes back
// with the same start has not restarted.
type formerStarts map[uint32]time.Duration

// maxFormerStarts is the number of entries at which formerStarts is cleared.
const maxFormerStarts = 4096

// add remembers the start of a server that leaves the list.
func (f formerStarts) add(s *server) {
	if len(f) >= maxFormerStarts {
		clear(f)
	}
	f[s.ID] = s.Started
}

// hasSameStart reports whether a server left the list with the start that it has now.
func (f formerStarts) hasSameStart(e *Server) bool {
	started, known := f[e.ID]
	return known && started == e.Started
}

// coldHasRoom limits what all routers together send to a cold server, whatever the ranking says. This
// router's limit is a rate, its share of what the server can handle. Requests beyond that rate pass over the
// server at random, which gives the right mean for any number of routers. The demand is the count of
// requests, or an estimate if that is higher, so that a mass failure takes effect at once. For keys with
// their home at this server the estimate follows the server's fraction of the ready weight or the key's
// fraction of the reads. Other keys come here because a server ranked before this one is full or has a fault,
// and they may be all of the traffic.
func (r *Router) coldHasRoom(q *request, s *server, isHome bool) bool {
	if r.warmUpProgress(s) >= 1 {
		return true
	}
	warmRate := r.ratePerWeight * s.Weight * r.zoneWeight(s.Zone)
	rate := max(r.warmth(s)*warmRate*max(1, r.settings.OverloadFactor/2.5), 1/r.routerCount())
	allowed := max(1, rate*r.collapseWindow().Seconds()/4)
	s.coldRequests = 1 + s.coldRequests*math.Exp(-(r.now-s.coldRequestsAt).Seconds()*rate/allowed)
	s.coldRequestsAt = r.now
	expected := r.arrivalRate / rate // an estimate, as this router may see too few requests to count
	if isHome {
		// A key that was seen only once may still be a hot one.
		expected *= max(s.weight/max(r.readyWeight, 1e-9),
			float64(r.keyReads[q.Key])/float64(max(r.readCount, 8)))
	}
	allowed *= max(0, 1-float64(r.sentBeforeListed(s))/(rate*r.collapseWindow().Seconds()))
	return r.random()*max(s.coldRequests, expected) < allowed
}

// collapseWindow returns the time over which the requests sent to a cold server are added up.
func (r *Router) collapseWindow() time.Duration { return max(r.settings.CollapseWindow, time.Second) }

// sentBeforeListed counts the own attempts within the collapse window that were sent after the server started
// and before that start was listed. They were sent as to a warm server, but the cold one got them.
func (r *Router) sentBeforeListed(s *server) (n int) {
	started, notified, _ := r.knownStart(s)
	from := max(started, r.now-r.collapseWindow())
	for _, at := range s.recentSends {
		if at >= from && at < notified {
			n++
		}
	}
	return n
}

// learnRatePerWeight updates how many hits per second a unit of warm weight serves, for the limit on cold
// servers. Until something has been observed, it uses the tenants' allowance spread over the fleet.
func (r *Router) learnRatePerWeight(elapsed, smoothing float64) {
	warmWeight, total, allowed := 0.0, 0.0, 0.0
	for _, s := range r.caches {
		w := s.Weight * r.zoneWeight(s.Zone)
		if total += w; r.warmUpProgress(s) >= 1 {
			warmWeight += w
		}
	}
	for i := range r.settings.Tenants {
		allowed += r.tenantRate(i)
	}
	r.warmWeight = cmp.Or(r.warmWeight, warmWeight)
	// Many servers may vanish at once, and with them what they served.
	if r.warmWeight += (warmWeight - r.warmWeight) * smoothing; warmWeight > 0 {
		r.ratePerWeight = max(r.servedRate/r.warmWeight, r.ratePerWeight*(1-elapsed/30))
	}
	r.ratePerWeight = max(r.ratePerWeight, allowed/max(total, 1e-9)/2)
}
