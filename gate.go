package hoptiller

// The gate: which part of the reads that need the origin is let through.

import "time"

const (
	gateCut  = 0.2  // part of the gate that a bad fetch takes
	gateGain = 0.06 // and what a good one adds to it, of what it is
	gateMend = 0.01 // what the gate opens by itself, a second
)

// learnGate guards an origin behind the servers, which is slow for all once it is sent more than it can do,
// and then works on what nobody waits for any more: of what it has to fetch less is let through while fetches
// end badly, until they end well. What ends badly without it is no fault of its own.
func (r *Router) learnGate(fetch bool, sent time.Duration, x float64) {
	if !fetch {
		r.badKept += (x - r.badKept) / 16
		return
	}
	if r.reopenGate(sent, x) {
		return
	}
	r.badFetch += (x - r.badFetch) / 8
	cut, gain := gateCut*(1-min(1, r.badKept/max(r.badFetch, 0.01))), gateGain
	gain = min(gain, 0.3*(r.now-r.fetchAt).Seconds())
	r.fetchAt = r.now
	r.gate = max(0.02, min(1, r.gate*(1-x*cut+(1-x)*gain)))
}

// reopenGate opens the gate by count where fetches end well again after a run of bad ones, as a connection's
// slow start does: it is doubled up to what it was before but for one cut. It tells whether it did, or
// whether a fetch says nothing more, as it was sent before one that has ended well.
func (r *Router) reopenGate(sent time.Duration, x float64) (done bool) {
	most := r.gateBefore * (1 - gateCut)
	switch {
	case x > 0 && r.gate < most && sent < r.fetchedWell:
		return true
	case x > 0:
		if !r.gateFalling {
			r.gateFalling, r.gateBefore = true, r.gate
		}
		return false
	}
	r.gateFalling, r.fetchedWell = false, max(r.fetchedWell, sent)
	if r.gate >= most {
		return false
	}
	r.gate = min(most, 2*r.gate)
	return true
}
