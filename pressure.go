package hoptiller

// Pressure: load that the whole fleet can't carry. It follows the part of bad outcomes over all servers, from
// 0 at ease to 1, where all traffic beyond the shares is turned away, and on to 2, where all reads are.

import (
	"fmt"
	"math"
)

const (
	badMost   = 0.06 // part of bad outcomes over all servers that is borne
	pressGain = 2.5  // how fast pressure follows the part beyond, a second
)

// turnsAway tells whether a request is refused on arrival. Writes never are for pressure within the shares.
func (r *Router) turnsAway(q *request) bool {
	return r.chance() < r.pressure-1 && !q.Write || q.low && r.chance() < r.pressure
}

// followPressure brings pressure up to date after a span of seconds.
func (r *Router) followPressure(span float64) {
	borne := badMost
	if r.pressure > 1 {
		borne *= 8
	}
	r.pressure = max(0, min(2, r.pressure+pressGain*min(span, 1)*(r.bad-borne)))
	if r.pressure > 0.5 {
		r.log("pressure", fmt.Sprintf("%.0f%% outcomes bad: %.0f%% over shares and %.0f%% of reads away",
			100*r.bad, 100*min(1, r.pressure), 100*max(0, r.pressure-1)))
	}
	r.bad *= math.Exp(-span / 5)
}

// learnPressure guards against overload of the whole fleet, which no instance of hundreds sees
// at any one server: bad outcomes of all servers are pooled, and a part of the traffic is turned
// away on arrival, that beyond the shares first. The server's own count is for its health.
func (r *Router) learnPressure(q *request, t *attempt, o *Outcome) {
	s, failed := t.to, o.Status == ServerError || o.Status == Reset || o.Status == ConnectFailed
	bad := one(t.withdrawn || failed || o.Status == Full || o.Latency.Seconds() > badAt*q.class.Aim.Seconds())
	if t.failed {
		bad = r.help // as far as the server was at fault
	}
	if s.unlisted && (t.withdrawn || failed || o.Status == Timeout) {
		s.Phase = Gone
		r.rebuild()
	}
	if q.Write || bad == 0 && o.Status != OK && o.Status != Miss {
		return // a write is the origin's work
	}
	if !r.set.Aside && o.Status != Reset && o.Status != ConnectFailed {
		lost := o.Status != OK && o.Status != Miss || o.Latency > q.class.Aim
		r.learnGate(q.fresh, one(lost))
	}
	if !s.origin {
		r.paths[s.Zone] += (bad - r.paths[s.Zone]) / pathOver
	}
	clear := r.path(s.Zone) >= 1
	if !q.fresh && !s.origin && !failed && clear {
		r.bad += (bad - r.bad) / min(64, max(8, r.rate))
	}
	if s.origin || !clear {
		return
	}
	old := math.Exp(-(r.now - s.seenAt).Seconds() / healthFade)
	old *= min(1, healthMost/(1+s.seen))
	s.seen, s.sick, s.seenAt = 1+old*s.seen, bad+old*s.sick, r.now
	if h := r.health(s); bad > 0 && h < 0.3 {
		r.log("sick", fmt.Sprintf("server %08x: %.0f of %.0f outcomes bad, keeps %.0f%% of its weight",
			s.ID, s.sick, s.seen, 100*h))
	}
	r.ill += (bad - r.ill) / min(64, max(8, r.rate))
}
