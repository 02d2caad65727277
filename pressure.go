package hoptiller

// Pressure measures load beyond what the whole fleet can sustain. It follows the fraction of bad outcomes
// over all servers: 0 under normal load; 1 when all requests over their tenant's share are refused; up to
// maxPressure, when nearly all reads are refused. A router that lets nothing through learns nothing, so some
// reads always go on as trials. After pressure has reached its maximum, it falls with the number of good
// trials, like a circuit breaker that closes, and not with time.

import (
	"fmt"
	"math"
	"time"
)

const (
	// A fraction of bad outcomes over all servers up to maxBadFraction is tolerated.
	maxBadFraction = 0.06
	// While reads are refused, a fraction up to maxBadFractionShedding is tolerated.
	maxBadFractionShedding = 0.48
	// Pressure rises by pressureGain per second for each unit of the bad fraction beyond what is tolerated.
	pressureGain = 2.5
	maxPressure  = 1.95 // one read in twenty goes on

	trialInterval     = time.Second // a read goes on if none has for this long
	trialStep         = 0.1         // a trial without a bad outcome lowers pressure by this
	trialOutcomes     = 4           // the fraction of bad outcomes is averaged over this many trials
	trialsEndPressure = 1.5         // below this pressure, time counts again
)

// trials is the state of the reads that are let through while nearly all are refused.
type trials struct {
	active     bool          // pressure reached its maximum and has not yet fallen below trialsEndPressure
	lastAt     time.Duration // when a read was last let through
	goodSentAt time.Duration // when the latest attempt that ended well was sent
}

// refusesOnArrival reports whether a request is refused on arrival. Pressure never refuses writes within
// their tenant's share.
func (r *Router) refusesOnArrival(q *request) bool {
	return r.refusesRead(q) || q.overShare && r.random() < r.pressure
}

// refusesRead reports whether a read is refused because of pressure. Some reads always go on.
func (r *Router) refusesRead(q *request) bool {
	refuse := r.random() < r.pressure-1 && !q.Write
	trialDue := r.trials.active && r.now-r.trials.lastAt >= trialInterval
	if refuse && !trialDue {
		return true
	}
	if !q.Write {
		r.trials.lastAt = r.now
	}
	return false
}

// learnTrial applies the outcome of a read while trials determine pressure. The value bad is 0 for a good
// outcome, 1 for a bad one, or between. Attempts sent before a trial that ended well say nothing about the
// present.
func (r *Router) learnTrial(t *attempt, bad float64) {
	if bad == 0 {
		r.trials.goodSentAt = max(r.trials.goodSentAt, t.sentAt)
	} else if t.sentAt < r.trials.goodSentAt {
		return
	}
	r.overloadFraction += (bad - r.overloadFraction) / trialOutcomes
	r.pressure = min(maxPressure, r.pressure+trialStep*(bad-maxBadFractionShedding)/maxBadFractionShedding)
	r.trials.active = r.pressure > trialsEndPressure
}

// updatePressure updates pressure after elapsed seconds.
func (r *Router) updatePressure(elapsed float64) {
	tolerated := maxBadFraction
	if r.pressure > 1 {
		tolerated = maxBadFractionShedding
	}
	change := pressureGain * min(elapsed, 1) * (r.overloadFraction - tolerated)
	if r.trials.active {
		change = min(change, 0)
	}
	r.pressure = max(0, min(maxPressure, r.pressure+change))
	r.trials.active = r.pressure >= maxPressure || r.trials.active && r.pressure > trialsEndPressure
	if r.pressure > 0.5 {
		r.log("pressure", fmt.Sprintf(
			"%.0f%% of outcomes bad: refusing %.0f%% of requests over their share and %.0f%% of reads",
			100*r.overloadFraction, 100*min(1, r.pressure), 100*max(0, r.pressure-1)))
	}
	r.overloadFraction *= math.Exp(-elapsed / 5)
}

// learnPressure protects the whole fleet against overload. One of hundreds of routers sees too little of any
// one server to notice an overload there. So learnPressure averages the outcomes over all servers,
// and if too many are bad, a fraction of the traffic is refused on arrival, first the traffic over the
// tenants' shares. It also counts the outcomes of each server, for its health.
func (r *Router) learnPressure(q *request, t *attempt, o *Outcome) {
	s, failed := t.target, o.Status == ServerError || o.Status == Reset || o.Status == ConnectFailed
	bad := boolToFloat(t.cancelled || failed || o.Status == TurnedAway || o.Status == Unconfirmed ||
		o.Latency.Seconds() > badLatencyFraction*q.class.Aim.Seconds())
	if t.failed {
		bad = r.retryHelpFraction // the server is likely to blame for this fraction of errors
	}
	if s.unlisted && (t.cancelled || failed || o.Status == Timeout) {
		s.Phase = Removed
		r.rebuildReady()
	}
	if q.Write || bad == 0 && o.Status != OK && o.Status != Miss {
		return // a write is the origin's work
	}
	if !r.settings.CacheAside && o.Status != Reset && o.Status != ConnectFailed {
		lost := o.Status != OK && o.Status != Miss || o.Latency > q.class.Aim
		r.learnGate(q.needsFetch, t.sentAt, boolToFloat(lost))
	}
	if !s.origin {
		r.pathBadFraction[s.Zone] += (bad - r.pathBadFraction[s.Zone]) / pathOutcomes
	}
	pathOK := r.pathHealth(s.Zone) >= 1
	switch {
	case q.needsFetch || s.origin || failed || !pathOK:
	case r.trials.active:
		r.learnTrial(t, bad)
	default:
		r.overloadFraction += (bad - r.overloadFraction) / min(64, max(8, r.answerRate))
	}
	if s.origin || !pathOK {
		return
	}
	pastWeight := math.Exp(-(r.now - s.outcomesAt).Seconds() / healthDecay)
	pastWeight *= min(1, maxHealthOutcomes/(1+s.outcomes))
	s.outcomes, s.badOutcomes, s.outcomesAt = 1+pastWeight*s.outcomes, bad+pastWeight*s.badOutcomes, r.now
	if h := r.health(s); bad > 0 && h < 0.3 {
		r.log("sick", fmt.Sprintf("server %08x: %.0f of %.0f outcomes bad, keeps %.0f%% of its weight",
			s.ID, s.badOutcomes, s.outcomes, 100*h))
	}
	r.badFraction += (bad - r.badFraction) / min(64, max(8, r.answerRate))
}
