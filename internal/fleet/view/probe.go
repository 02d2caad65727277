package view

import (
	"math/bits"
	"time"
)

const (
	// ProbeInterval is the time between two probes that a router starts.
	ProbeInterval = 300 * time.Millisecond

	// indirectProbers is the number of other routers that are asked to ping a target on behalf of a probe. A probe pings
	// the target itself and through two others, three times, and ends after 1.2 s. At 10% loss it fails by chance once in
	// 100,000, so that a fleet of 1,000 is not kept busy with refutations; SWIM's single round would fail 25 times a
	// second there. A router that pauses for a second doesn't even become a suspect.
	indirectProbers = 2

	// A lookup is a probe of a router that is not assumed to be alive. One probe in lookupInterval is a lookup. The timeout
	// applies to lookups and to pings on behalf of other routers.
	lookupTimeout  = 400 * time.Millisecond
	lookupInterval = 4

	joinContacts = 3 // number of routers that a router without known peers contacts at a time; some of them may be down

	// A suspect is declared dead if it does not refute the suspicion within a time between these two. The time is shorter
	// the more routers accuse the suspect (Lifeguard, section IV.B). Even the shortest one leaves enough time for the
	// suspicion to reach the suspect and for its refutation to reach all routers.
	minSuspicionTime = 4 * time.Second
	maxSuspicionTime = 9 * time.Second
	enoughAccusers   = 3 // number of distinguishable accusers at which the time is shortest

	maxHealthScore = 4                      // at this score all timeouts are twice as long
	minStall       = 500 * time.Millisecond // a longer delay of Tick is a stall
)

// probeSteps are the durations of the steps of a probe. The first step pings the target, the second one asks other routers to
// ping it, the third and the fourth do both. Then the probe fails.
var probeSteps = [...]time.Duration{
	200 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond,
}

// Values of probe.requester for probes that no other router has requested.
const (
	ownProbe    = -1 // the target becomes a suspect if it doesn't answer
	lookupProbe = -2 // a missing answer has no consequences
)

// probe is a ping whose answer is outstanding.
type probe struct {
	target       int
	seq          uint32
	dueAt        time.Duration // time of the next step, or of the end of a probe without steps
	step         int
	requester    int    // the router that requested the probe, or ownProbe or lookupProbe
	requesterSeq uint32 // sequence number of the request
}

// scaledByHealth lengthens a timeout when this router gets few answers, because that may be its own fault (Lifeguard,
// section IV.A).
func (v *View) scaledByHealth(d time.Duration) time.Duration {
	return d + d*time.Duration(v.healthScore)/maxHealthScore
}

func (v *View) raiseHealthScore() { v.healthScore = min(maxHealthScore, v.healthScore+1) }

// advanceClock sets the current time. If Tick is overdue by more than minStall, this process has stalled: it knows nothing
// of what the others did meanwhile, and a missing answer proves nothing. The view then drops all probes and extends the time of
// all suspects by the length of the stall.
func (v *View) advanceClock(now time.Duration) {
	if gap := now - v.NextTick(); gap > minStall {
		v.counts.Stalls++
		v.raiseHealthScore()
		v.probes = v.probes[:0]
		for i := range v.members {
			if m := &v.members[i]; m.State == Suspect {
				m.suspectedAt += gap
			}
		}
		v.nextProbeAt = now
	}
	v.now = now
}

// Tick advances the clock and does everything that is due. It is to be called at the time that NextTick returns.
func (v *View) Tick(now time.Duration) {
	v.advanceClock(now)
	if v.leaving {
		v.nextProbeAt = now + ProbeInterval
		return
	}
	v.advanceProbes()
	if now < v.nextProbeAt {
		return
	}
	v.nextProbeAt = max(v.nextProbeAt+ProbeInterval, now)
	v.repairBudget, v.recentChanges = maxRepairs, v.recentChanges*recentChangesDecay
	v.dropExpiredObservations()
	if v.suspectCount > 0 {
		v.declareDead()
	}
	if v.isAlone() {
		for _, to := range v.pickOthers(joinContacts, func(int) bool { return true }) {
			v.startProbe(to, false)
		}
	} else if to, assumedAlive, ok := v.nextTarget(); ok {
		v.startProbe(to, assumedAlive)
	}
	// The probes can't carry all eager updates when, for example, a third of the fleet joins or half of it fails.
	if v.updates.eagerCount() > claimsPerDatagram {
		for _, to := range v.pickOthers(extraUpdates, func(i int) bool { return v.members[i].AssumedAlive() }) {
			v.send(kindUpdate, to, 0, 0)
		}
	}
}

// isAlone reports whether this router assumes no other router to be alive, as at its start.
func (v *View) isAlone() bool {
	for i := range v.members {
		if i != v.self && v.members[i].AssumedAlive() {
			return false
		}
	}
	return true
}

// declareDead declares those suspects dead that have not refuted the suspicion in time.
func (v *View) declareDead() {
	assumedAlive := 0
	for i := range v.members {
		if v.members[i].AssumedAlive() {
			assumedAlive++
		}
	}
	// The suspicion time is shortest once this many routers accuse the suspect besides the first accuser. In a small fleet these
	// are all routers but the suspect and the first accuser.
	needed := min(enoughAccusers-1, assumedAlive-2)
	for i := range v.members {
		m := &v.members[i]
		if !m.Known() || m.State != Suspect || i == v.self {
			continue
		}
		suspicionTime := minSuspicionTime
		if further := bits.OnesCount8(m.accusers) - 1; further < needed {
			suspicionTime = maxSuspicionTime - (maxSuspicionTime-minSuspicionTime)*time.Duration(further)/time.Duration(needed)
		}
		if v.now-m.suspectedAt >= v.scaledByHealth(suspicionTime) {
			v.setMember(i, Member{State: Dead, Phase: m.Phase, Incarnation: m.Incarnation})
		}
	}
}

// nextTarget returns the router to probe next and whether that router is assumed to be alive. Routers that are assumed to
// be alive come once per round, in an order that is drawn anew for each round (SWIM, section 4.3). One probe in
// lookupInterval goes to a random one of the other routers, so that the halves of a partitioned fleet find each other
// again.
func (v *View) nextTarget() (to int, assumedAlive, ok bool) {
	v.probeCount++
	if v.probeCount%lookupInterval != 0 {
		for refilled := false; ; {
			for len(v.probeOrder) > 0 {
				i := int(v.probeOrder[len(v.probeOrder)-1])
				v.probeOrder = v.probeOrder[:len(v.probeOrder)-1]
				if v.members[i].AssumedAlive() {
					return i, true, true
				}
			}
			if refilled {
				break
			}
			refilled = true
			for i := range v.members {
				if i != v.self && v.members[i].AssumedAlive() {
					v.probeOrder = append(v.probeOrder, uint16(i))
				}
			}
			for i := len(v.probeOrder) - 1; i > 0; i-- {
				j := v.randomInt(i + 1)
				v.probeOrder[i], v.probeOrder[j] = v.probeOrder[j], v.probeOrder[i]
			}
		}
	}
	if absent := v.pickOthers(1, func(i int) bool { return !v.members[i].AssumedAlive() }); len(absent) > 0 {
		return absent[0], false, true
	}
	if v.probeCount%lookupInterval == 0 && v.routerCount > 1 {
		return v.nextTarget()
	}
	return 0, false, false
}

// startProbe starts a probe of a router, or a lookup if the router is not assumed to be alive.
func (v *View) startProbe(to int, assumedAlive bool) {
	p := probe{target: to, requester: lookupProbe, dueAt: v.now + v.scaledByHealth(lookupTimeout)}
	if assumedAlive {
		p.requester, p.dueAt = ownProbe, v.now+v.scaledByHealth(probeSteps[0])
	}
	v.lastSeq++
	p.seq = v.lastSeq
	v.ping(&p)
	v.probes = append(v.probes, p)
}

func (v *View) ping(p *probe) {
	subject := p.target
	if p.requester >= 0 {
		subject = p.requester
	}
	if m := &v.members[p.target]; m.State != Alive {
		// The ping carries the claim about its target, so that the target can refute it at once (Lifeguard's buddy system).
		v.send(kindPing, p.target, p.seq, subject, p.target)
		return
	}
	v.send(kindPing, p.target, p.seq, subject)
}

// advanceProbes starts the next step of each probe for which it is due, and ends the probes that have no further step.
func (v *View) advanceProbes() {
	var failed []int
	remaining := v.probes[:0]
	for _, p := range v.probes {
		if v.now >= p.dueAt {
			if p.requester != ownProbe {
				continue
			}
			if p.step++; p.step == len(probeSteps) {
				failed = append(failed, p.target)
				continue
			}
			if p.step > 1 {
				v.ping(&p)
			}
			for _, prober := range v.pickOthers(indirectProbers, func(i int) bool {
				return i != p.target && v.members[i].AssumedAlive() && v.members[i].State == Alive
			}) {
				v.send(kindPingRequest, prober, p.seq, p.target)
			}
			p.dueAt = v.now + v.scaledByHealth(probeSteps[p.step])
		}
		remaining = append(remaining, p)
	}
	v.probes = remaining
	for _, router := range failed {
		v.suspect(router)
	}
}

// suspect handles a failed probe of a router. The router becomes a suspect; if it is one already, this router joins its
// accusers.
func (v *View) suspect(router int) {
	v.counts.ProbesFailed++
	v.raiseHealthScore()
	m := &v.members[router]
	switch {
	case !m.AssumedAlive():
	case m.State == Alive:
		after := Member{State: Suspect, Phase: m.Phase, Incarnation: m.Incarnation, accusers: v.accuserBit(), suspectedAt: v.now}
		v.setMember(router, after)
	default:
		v.addAccusers(m, uint16(router), v.accuserBit())
	}
}

// accuserBit returns the bit that stands for this router among the accusers of a suspect. There are four bits. Routers
// that share a bit count as one accuser, so that the number of bits is never greater than the number of accusers,
// regardless of the order in which accusations arrive and how often they are repeated.
func (v *View) accuserBit() uint8 { return 1 << (v.self % 4) }

// addAccusers adds accusers to a suspect, and queues an update if any of them is new.
func (v *View) addAccusers(m *Member, router uint16, accusers uint8) {
	if m.accusers|accusers == m.accusers {
		return
	}
	m.accusers |= accusers
	m.generation++
	v.updates.push(router, m)
}

// mergeSuspicion merges another router's claim about a suspect into what this router knows about the same suspicion.
func (v *View) mergeSuspicion(m *Member, c *claim) {
	m.suspectedAt = min(m.suspectedAt, v.now-c.suspicionAge)
	v.addAccusers(m, c.router, c.accusers)
}

// respond does what a datagram asks for, after its contents have been handled.
func (v *View) respond(m *message) {
	from := int(m.from)
	switch m.kind {
	case kindPing:
		var required []int
		if !v.members[from].AssumedAlive() || v.members[from].State == Suspect {
			required = []int{from}
		}
		v.sendDatagram(kindAck, from, m.seq, v.self, v.wantsComparison(m), required)
		v.sendRecentObservations(from)
	case kindPingRequest:
		if target := int(m.subject); target < v.routerCount && target != v.self && target != from {
			v.lastSeq++
			p := probe{target: target, seq: v.lastSeq, requester: from, requesterSeq: m.seq, dueAt: v.now + lookupTimeout}
			v.ping(&p)
			v.probes = append(v.probes, p)
		}
	case kindAck:
		v.handleAck(m)
		if len(m.comparison) > 0 && int(m.routerCount) == v.routerCount {
			v.sendRepairs(from, m.seq, m.comparison)
		}
	}
	v.sendCorrections()
}

// handleAck ends the probe that an ack answers, and passes the ack on if another router requested the probe.
func (v *View) handleAck(m *message) {
	for i := range v.probes {
		p := v.probes[i]
		if p.seq != m.seq || p.target != int(m.subject) {
			continue
		}
		v.probes = append(v.probes[:i], v.probes[i+1:]...)
		switch {
		case p.requester >= 0:
			v.send(kindAck, p.requester, p.requesterSeq, p.target)
		case p.requester == ownProbe:
			v.healthScore = max(0, v.healthScore-1)
		}
		return
	}
}
