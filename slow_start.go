package hoptiller

// Slow start: what a server gets between its start and the end of the stated warm-up. A server that has
// just started has an empty cache and a part of its capacity; sent more than it stands, by all instances
// together, it falls over. Its weight in the ranking fades in, and beside that what is sent to it is
// bounded (coldRoom). Times and parts come from the settings (Cold, ColdFrom, Fall, OverloadFactor); rates
// are requests a second.

import (
	"cmp"
	"math"
	"time"
)

// warmth is the part of its capacity that a server has at the least: the stated warm-up.
func (r *Router) warmth(s *server) float64 { return r.set.ColdFrom + (1-r.set.ColdFrom)*r.fade(s) }

// fade tells how far a server is in its stated warm-up: near zero at its start, 1 when that is over.
func (r *Router) fade(s *server) float64 {
	started, _, known := r.startKnown(s)
	return r.fadeSince(started, known)
}

// listedFade is the part of its weight that a server counts with, by its listed start: keys don't move for
// one that is only presumed.
func (r *Router) listedFade(s *server) float64 { return r.fadeSince(s.coldSince, s.Started != 0) }

func (r *Router) fadeSince(started time.Duration, known bool) float64 {
	age := r.now - started
	if !known || r.set.Cold <= 0 || age >= r.set.Cold {
		return 1
	}
	return max(0.01, float64(age)/float64(r.set.Cold))
}

// mostDiscoveryLag is how long after a process has started its list entry may come at the latest, while
// others come.
const mostDiscoveryLag = 6 * time.Second

// StartInterval bounds when a process has started whose start is listed now and was not in the list
// before. A listed start is the wall-clock time of another machine, which may be hours off or be stepped.
// It counts only where it lies between the two lists, by this instance's own clock: else all that is
// known is that the process started between them.
func StartInterval(listBefore, now, listed time.Duration) (from, to time.Duration) {
	from = listBefore - mostDiscoveryLag
	if listed >= from && listed <= now {
		return listed, listed
	}
	return from, now
}

// startOf is when a server's process started, at the latest, as its start is listed now. One that a whole
// list names for the first time may have run for long, as after a move to another discovery: its start
// counts, but never as one to come.
func (r *Router) startOf(s *server, e *Server, kind ListKind) time.Duration {
	listedBefore := s.window != 0
	if !listedBefore && (kind != ListDelta || r.former.had(e)) {
		return min(e.Started, r.now)
	}
	_, to := StartInterval(r.listedAt, r.now, e.Started)
	return to
}

// formerStarts are the listed starts of servers that have left the list, by id: one that comes back with
// the start that it had has not started anew.
type formerStarts map[uint32]time.Duration

// mostFormer bounds them.
const mostFormer = 4096

// keep remembers a server that leaves the list.
func (f formerStarts) keep(s *server) {
	if len(f) >= mostFormer {
		clear(f)
	}
	f[s.ID] = s.Started
}

// had tells whether a server left the list with the start that it has now.
func (f formerStarts) had(e *Server) bool {
	started, known := f[e.ID]
	return known && started == e.Started
}

// coldRoom bounds what all instances together send a cold server, whatever the ranking says. This
// instance's part of what the server can do then is a rate; what is asked beyond it is thinned out by
// chance, which is right in the mean for any number of instances. What is asked is counted, or taken from
// the server's part of the weight that is up, so that a mass failure is met at once; what is not at home
// there comes from others in trouble, and may be all of the traffic.
func (r *Router) coldRoom(q *request, s *server, home bool) bool {
	if r.fade(s) >= 1 {
		return true
	}
	unit := r.unit * s.Weight * r.near(s.Zone)
	rate := max(r.warmth(s)*unit*max(1, r.set.OverloadFactor/2.5), 1/r.balancers())
	room := max(1, rate*r.fallWindow().Seconds()/4)
	s.asked = 1 + s.asked*math.Exp(-(r.now-s.askedAt).Seconds()*rate/room)
	s.askedAt = r.now
	expected := r.arrivals / rate // what this instance sees too rarely to count
	if home {                     // a key seen but once may be a hot one all the same
		expected *= max(s.weight/max(r.upWeight, 1e-9), float64(r.keys[q.Key])/float64(max(r.reads, 8)))
	}
	room *= max(0, 1-float64(r.sentBeforeNews(s))/(rate*r.fallWindow().Seconds()))
	return r.chance()*max(s.asked, expected) < room
}

// fallWindow is the time over which what a cold server gets is summed.
func (r *Router) fallWindow() time.Duration { return max(r.set.Fall, time.Second) }

// sentBeforeNews counts own attempts since a server's start, within the fall window, that were sent before
// the start was listed: as to a warm server, but the cold one has got them.
func (r *Router) sentBeforeNews(s *server) (n int) {
	started, told, _ := r.startKnown(s)
	from := max(started, r.now-r.fallWindow())
	for _, at := range s.sent {
		if at >= from && at < told {
			n++
		}
	}
	return n
}

// learnUnit keeps what a unit of warm weight is seen to carry, for the cold budget; until something is
// seen, the tenants' allowance over the fleet stands in.
func (r *Router) learnUnit(span, part float64) {
	warm, all, allowed := 0.0, 0.0, 0.0
	for _, s := range r.caches {
		w := s.Weight * r.near(s.Zone)
		if all += w; r.fade(s) >= 1 {
			warm += w
		}
	}
	for i := range r.set.Tenants {
		allowed += r.tenantRate(i)
	}
	r.warm = cmp.Or(r.warm, warm)
	if r.warm += (warm - r.warm) * part; warm > 0 { // many may vanish at once, with what they carried
		r.unit = max(r.carried/r.warm, r.unit*(1-span/30))
	}
	r.unit = max(r.unit, allowed/max(all, 1e-9)/2)
}
