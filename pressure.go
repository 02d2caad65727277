package hoptiller

// Pressure: load that the whole fleet can't carry. It follows the part of bad outcomes over all servers, from
// 0 at ease to 1, where all traffic beyond the shares is turned away, and on to pressMost, where nearly all
// reads are. A router that lets nothing through learns nothing: some reads always go on, as trials, and where
// pressure has been at its most it comes down by their count, as a circuit breaker closes, and not by time.

import (
	"fmt"
	"math"
	"time"
)

const (
	badMost   = 0.06 // part of bad outcomes over all servers that is borne
	badReads  = 0.48 // and that is borne while reads are turned away
	pressGain = 2.5  // how fast pressure follows the part beyond, a second
	pressMost = 1.95 // one read of twenty goes on

	trialEvery  = time.Second // a read goes on if none has for so long
	trialStep   = 0.1         // what a good trial takes off pressure
	trialMemory = 4           // trials over which the part of bad outcomes is judged
	trialsEnd   = 1.5         // pressure under which time rules again
)

// trials is what a router knows of the reads that it lets through while it turns nearly all away.
type trials struct {
	on     bool          // pressure has been at its most, and has not come down since
	at     time.Duration // when a read was let through last
	goodAt time.Duration // when the latest attempt was sent that ended well
}

// turnsAway tells whether a request is refused on arrival. Writes never are for pressure within the shares.
func (r *Router) turnsAway(q *request) bool {
	return r.turnsReadAway(q) || q.low && r.chance() < r.pressure
}

// turnsReadAway tells whether a read is refused for pressure, of which some always go on.
func (r *Router) turnsReadAway(q *request) bool {
	away := r.chance() < r.pressure-1 && !q.Write
	due := r.trials.on && r.now-r.trials.at >= trialEvery
	if away && !due {
		return true
	}
	if !q.Write {
		r.trials.at = r.now
	}
	return false
}

// learnTrial takes the outcome of a read, bad or good in part, while trials decide on pressure. What was sent
// before a trial that ended well says nothing of how things are now.
func (r *Router) learnTrial(t *attempt, bad float64) {
	if bad == 0 {
		r.trials.goodAt = max(r.trials.goodAt, t.at)
	} else if t.at < r.trials.goodAt {
		return
	}
	r.bad += (bad - r.bad) / trialMemory
	r.pressure = min(pressMost, r.pressure+trialStep*(bad-badReads)/badReads)
	r.trials.on = r.pressure > trialsEnd
}

// followPressure brings pressure up to date after a span of seconds.
func (r *Router) followPressure(span float64) {
	borne := badMost
	if r.pressure > 1 {
		borne = badReads
	}
	change := pressGain * min(span, 1) * (r.bad - borne)
	if r.trials.on {
		change = min(change, 0)
	}
	r.pressure = max(0, min(pressMost, r.pressure+change))
	r.trials.on = r.pressure >= pressMost || r.trials.on && r.pressure > trialsEnd
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
		r.learnGate(q.fresh, t.at, one(lost))
	}
	if !s.origin {
		r.paths[s.Zone] += (bad - r.paths[s.Zone]) / pathOver
	}
	clear := r.path(s.Zone) >= 1
	switch {
	case q.fresh || s.origin || failed || !clear:
	case r.trials.on:
		r.learnTrial(t, bad)
	default:
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
