package hoptiller

// The gate: which part of the reads that need the origin is let through.

const (
	gateCut  = 0.2  // part of the gate that a bad fetch takes
	gateGain = 0.06 // and what a good one adds to it, of what it is
	gateMend = 0.01 // what the gate opens by itself, a second
)

// learnGate guards an origin behind the servers, which is slow for all once it is sent more than it can do,
// and then works on what nobody waits for any more: of what it has to fetch less is let through while fetches
// end badly, until they end well. What ends badly without it is no fault of its own.
func (r *Router) learnGate(fetch bool, x float64) {
	if !fetch {
		r.badKept += (x - r.badKept) / 16
		return
	}
	r.badFetch += (x - r.badFetch) / 8
	cut, gain := gateCut*(1-min(1, r.badKept/max(r.badFetch, 0.01))), gateGain
	gain = min(gain, 0.3*(r.now-r.fetchAt).Seconds())
	r.fetchAt = r.now
	r.gate = max(0.02, min(1, r.gate*(1-x*cut+(1-x)*gain)))
}
