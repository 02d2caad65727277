package standin

import (
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

// Not every request that is refused, failed, lost or late is its router's doing. Here is what else explains one: what was done to its
// router, what its servers did, that the caches had no room, or that its client waited too short a time. What is left counts against
// the routers.

const (
	loadWindow   = time.Second            // over which the load of the caches is taken
	fullLoad     = 0.9                    // of what they can do: beyond it nearly all of them are at work
	ownTime      = 100 * time.Millisecond // that a router may take for a request beside its calls
	leastWorks   = 3.0                    // a client that waits no longer than so many mean pieces of work may get no answer
	slowCallPart = 0.5                    // of its class's aim, from which a call is slow
)

// load is the work on reads that clients have asked for of late.
type load struct {
	from         time.Duration // when the present window began
	now, earlier float64       // work of this window and the one before
}

// add counts work that is asked for.
func (l *load) add(now time.Duration, work float64) {
	l.turn(now)
	l.now += work
}

// turn begins the window of a time.
func (l *load) turn(now time.Duration) {
	switch passed := now - l.from; {
	case passed >= 2*loadWindow:
		l.from, l.earlier, l.now = now, 0, 0
	case passed >= loadWindow:
		l.from, l.earlier, l.now = l.from+loadWindow, l.now, 0
	}
}

// rate is the load over a window's length, as far as the present window has gone and the rest of it from the one before, in
// standard-core seconds a second.
func (l *load) rate(now time.Duration) float64 {
	l.turn(now)
	gone := float64(now-l.from) / float64(loadWindow)
	return (l.now + l.earlier*(1-gone)) / loadWindow.Seconds()
}

// cachesFull tells whether what clients ask for leaves the caches no room. e.mu is held.
func (e *Engine) cachesFull() bool {
	now, can := e.World.Now(), 0.0
	for _, c := range e.World.Caches {
		if c.AcceptsWork() {
			can += c.Capacity(now)
		}
	}
	return e.asked.rate(now) > fullLoad*can
}

// callTimes sums up the calls of a request.
type callTimes struct {
	spent  time.Duration // at servers
	slow   bool          // one took long
	failed bool          // one ended otherwise than with a value or a miss
	missed bool
}

// ended counts the end of a call.
func (t *callTimes) ended(status hoptiller.Status, took, aim time.Duration) {
	t.spent += took
	t.slow = t.slow || took > time.Duration(slowCallPart*float64(aim))
	t.failed = t.failed || status != hoptiller.OK && status != hoptiller.Miss
	t.missed = t.missed || status == hoptiller.Miss
}

// cause is what explains that a request is refused, failed or lost, or takes as long as it did.
type cause uint8

const (
	routerAlone cause = iota // nothing but its router
	momentAlone              // trouble at the time, of which nothing shows that it met the request
	ownTrouble               // what was done to the request, its calls or its router
)

// causeOf tells what explains a request's end. It is asked before the request is over for the rules. e.mu is held.
func (e *Engine) causeOf(r *request) cause {
	now, n := e.World.Now(), e.nodes[r.try.Router]
	class := &e.day.Classes[r.try.Op.Class]
	for call, came := range r.sent { // those that are still out
		if _, ended := r.ended[call]; !ended {
			r.calling.ended(hoptiller.OK, now-came, class.Aim.D())
		}
	}
	switch {
	case r.life != n.life || n.lost(r): // its process has ended
		return ownTrouble
	case e.Check.ExcusedDelay(now, n.index, r.number) > 0: // stood still, or was held back by a relay
		return ownTrouble
	case r.calling.slow || r.calling.failed:
		return ownTrouble
	case r.try.Remaining < time.Duration(leastWorks*float64(class.Work)):
		return ownTrouble
	case r.calling.missed && e.World.Origin.Load() > fullLoad:
		return ownTrouble
	case n.disturbances > 0: // what is refused at once has met nothing of it, but the requests before it have
		return momentAlone
	case e.cachesFull():
		return momentAlone
	}
	return routerAlone
}

// blame counts a request that is over against its router, unless it was answered as fast as its calls allowed or something else explains
// its end. e.mu is held.
func (e *Engine) blame(r *request, end model.Final) {
	if r.try.Op.Disconnected {
		return
	}
	took := e.World.Now() - r.try.At
	late := took > e.day.Classes[r.try.Op.Class].Aim.D()
	if end == model.Value && (!late || took-r.calling.spent <= ownTime) {
		return
	}
	switch e.causeOf(r) {
	case routerAlone:
		e.Tally.RequestUnexplained(e.World.Now())
	case momentAlone:
		e.Tally.RequestExplainedByTiming(e.World.Now())
	}
}
