package hoptiller

// The gate limits the reads that may need the origin: it is the fraction of them that is let through.

import "time"

const (
	gateCut      = 0.2  // fraction of the gate that a bad fetch takes away
	gateGain     = 0.06 // fraction of the gate that a good fetch adds
	gateRecovery = 0.01 // what the gate opens by itself, per second
)

// learnGate protects an origin behind the cache servers. Once such an origin gets more than it can handle, it
// is slow for everyone and works on requests that nobody waits for any more. So while fetches end badly,
// fewer of the reads that may need a fetch are let through, until fetches end well. The more often cached
// reads end badly too, the less a bad fetch closes the gate, as the origin is not the cause then.
// The value bad is 1 for a bad outcome and 0 for a good one.
func (r *Router) learnGate(fetch bool, sent time.Duration, bad float64) {
	if !fetch {
		r.badCachedFraction += (bad - r.badCachedFraction) / 16
		return
	}
	if r.reopenGate(sent, bad) {
		return
	}
	r.badFetchFraction += (bad - r.badFetchFraction) / 8
	cut, gain := gateCut*(1-min(1, r.badCachedFraction/max(r.badFetchFraction, 0.01))), gateGain
	gain = min(gain, 0.3*(r.now-r.lastFetchAt).Seconds())
	r.lastFetchAt = r.now
	r.gate = max(0.02, min(1, r.gate*(1-bad*cut+(1-bad)*gain)))
}

// reopenGate opens the gate by the number of good fetches after a run of bad ones, like the slow start of a
// connection: each good fetch doubles it, up to its value before the run less one cut. It reports whether the
// fetch needs no further handling, because it opened the gate or because it was bad but sent before one that
// ended well.
func (r *Router) reopenGate(sent time.Duration, bad float64) (done bool) {
	target := r.gateBeforeRun * (1 - gateCut)
	switch {
	case bad > 0 && r.gate < target && sent < r.lastGoodFetchSentAt:
		return true
	case bad > 0:
		if !r.gateFalling {
			r.gateFalling, r.gateBeforeRun = true, r.gate
		}
		return false
	}
	r.gateFalling, r.lastGoodFetchSentAt = false, max(r.lastGoodFetchSentAt, sent)
	if r.gate >= target {
		return false
	}
	r.gate = min(target, 2*r.gate)
	return true
}
