package view

import (
	"math/bits"
	"time"
)

const (
	// Period is the time between two probes of one router.
	Period = 300 * time.Millisecond

	// A probe asks by itself, and by two others, three times, and ends after 1.2 s: at 10% loss it fails by chance once in
	// 100,000, so that a fleet of 1,000 is not kept busy with contradictions; SWIM's single round would fail 25 times a second
	// there. And a router that stands still for a second is not even suspected.
	helpers = 2

	lookupTime = 400 * time.Millisecond // for one that is not taken to live, and for others' sake
	lookupTurn = 4                      // one probe in so many goes to a router that is not taken to live

	joinContacts = 3 // routers that one that knows of nobody asks at a time: some of them may be down

	// A suspect has so long to contradict, the less the more have found it silent (Lifeguard, section IV.B). It is not
	// shorter than what the word takes to come to it and its answer to come to all.
	suspectLeast = 4 * time.Second
	suspectMost  = 9 * time.Second
	enough       = 3 // accusers at which it is shortest, as far as they can be told apart

	mostHealth = 4 // at which all times are twice as long
	stallLeast = 500 * time.Millisecond
)

// steps are the times between what a probe does: asks by itself; has others ask; does both; both again; and fails.
var steps = [...]time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond}

const (
	forNobody = -1 // a probe of this router's own
	forLookup = -2 // nothing follows from silence
)

// probe is a question that is open.
type probe struct {
	target int
	seq    uint32
	due    time.Duration // of the next step
	step   int
	asker  int    // for whom, or forNobody or forLookup
	itsSeq uint32 // the asker's
}

// scaled lengthens a time for a router that reaches few: it may be its own fault (Lifeguard, section IV.A).
func (v *View) scaled(d time.Duration) time.Duration {
	return d + d*time.Duration(v.health)/mostHealth
}

func (v *View) worse() { v.health = min(mostHealth, v.health+1) }

// clock takes the time. Where it went on without this router, all that waits was waited for by nobody: what others did
// in between is not known, and silence shows nothing.
func (v *View) clock(now time.Duration) {
	if gap := now - v.Next(); gap > stallLeast {
		v.counts.Stalls++
		v.worse()
		v.probes = v.probes[:0]
		for i := range v.members {
			if m := &v.members[i]; m.State == Suspect {
				m.suspectedAt += gap
			}
		}
		v.next = now
	}
	v.now = now
}

// Tick does what is due.
func (v *View) Tick(now time.Duration) {
	v.clock(now)
	if v.leaving {
		v.next = now + Period
		return
	}
	v.step()
	if now < v.next {
		return
	}
	v.next = max(v.next+Period, now)
	v.repairs, v.churn = mostRepairs, v.churn*churnKept
	v.forgetSights()
	if v.suspects > 0 {
		v.judge()
	}
	if v.isAlone() {
		for _, to := range v.some(joinContacts, func(int) bool { return true }) {
			v.ask(to, false)
		}
	} else if to, mine, ok := v.target(); ok {
		v.ask(to, mine)
	}
	if v.news.hasEager() > fullNews { // more than the probes carry: a third of the fleet comes, half of it goes
		for _, to := range v.some(extraNews, func(i int) bool { return v.members[i].Here() }) {
			v.send(news, to, 0, 0)
		}
	}
}

// isAlone tells whether this router takes no other one to live, as at its start.
func (v *View) isAlone() bool {
	for i := range v.members {
		if i != v.self && v.members[i].Here() {
			return false
		}
	}
	return true
}

// judge takes those for dead that have not contradicted in time.
func (v *View) judge() {
	here := 0
	for i := range v.members {
		if v.members[i].Here() {
			here++
		}
	}
	// As many accusers as there can be, the suspect and the first accuser aside, make the time shortest.
	need := min(enough-1, here-2)
	for i := range v.members {
		m := &v.members[i]
		if !m.Known() || m.State != Suspect || i == v.self {
			continue
		}
		wait := suspectLeast
		if more := bits.OnesCount8(m.accusers) - 1; more < need {
			wait = suspectMost - (suspectMost-suspectLeast)*time.Duration(more)/time.Duration(need)
		}
		if v.now-m.suspectedAt >= v.scaled(wait) {
			v.set(i, Member{State: Dead, Phase: m.Phase, Inc: m.Inc})
		}
	}
}

// target draws whom to probe next: all that are taken to live in an order drawn anew each time, so that each comes
// once in a round (SWIM, section 4.3), and one in lookupTurn of the others, so that halves find each other again.
func (v *View) target() (to int, mine, ok bool) {
	v.turn++
	if v.turn%lookupTurn != 0 {
		for refilled := false; ; {
			for len(v.order) > 0 {
				i := int(v.order[len(v.order)-1])
				v.order = v.order[:len(v.order)-1]
				if v.members[i].Here() {
					return i, true, true
				}
			}
			if refilled {
				break
			}
			refilled = true
			for i := range v.members {
				if i != v.self && v.members[i].Here() {
					v.order = append(v.order, uint16(i))
				}
			}
			for i := len(v.order) - 1; i > 0; i-- {
				j := v.intn(i + 1)
				v.order[i], v.order[j] = v.order[j], v.order[i]
			}
		}
	}
	if gone := v.some(1, func(i int) bool { return !v.members[i].Here() }); len(gone) > 0 {
		return gone[0], false, true
	}
	if v.turn%lookupTurn == 0 && v.of > 1 {
		return v.target()
	}
	return 0, false, false
}

// ask begins a probe.
func (v *View) ask(to int, mine bool) {
	p := probe{target: to, asker: forLookup, due: v.now + v.scaled(lookupTime)}
	if mine {
		p.asker, p.due = forNobody, v.now+v.scaled(steps[0])
	}
	v.seq++
	p.seq = v.seq
	v.ping(&p)
	v.probes = append(v.probes, p)
}

func (v *View) ping(p *probe) {
	about := p.target
	if p.asker >= 0 {
		about = p.asker
	}
	if m := &v.members[p.target]; m.State != Alive {
		v.send(ping, p.target, p.seq, about, p.target) // so that it can contradict at once (Lifeguard's buddy system)
		return
	}
	v.send(ping, p.target, p.seq, about)
}

// step takes open probes on.
func (v *View) step() {
	var silent []int
	kept := v.probes[:0]
	for _, p := range v.probes {
		if v.now >= p.due {
			if p.asker != forNobody {
				continue
			}
			if p.step++; p.step == len(steps) {
				silent = append(silent, p.target)
				continue
			}
			if p.step > 1 {
				v.ping(&p)
			}
			for _, by := range v.some(helpers, func(i int) bool { return i != p.target && v.members[i].Here() && v.members[i].State == Alive }) {
				v.send(ask, by, p.seq, p.target)
			}
			p.due = v.now + v.scaled(steps[p.step])
		}
		kept = append(kept, p)
	}
	v.probes = kept
	for _, who := range silent {
		v.failed(who)
	}
}

// failed accuses a router that nobody has reached.
func (v *View) failed(who int) {
	v.counts.ProbesFailed++
	v.worse()
	m := &v.members[who]
	switch {
	case !m.Here():
	case m.State == Alive:
		after := Member{State: Suspect, Phase: m.Phase, Inc: m.Inc, accusers: v.mark(), suspectedAt: v.now}
		v.set(who, after)
	default:
		v.accuse(m, uint16(who), v.mark())
	}
}

// mark is what this router sets among a suspect's accusers. Four can be told apart at the most: what is set by several counts
// once, so that the number of marks is never more than that of accusers, in whatever order and however often it is told.
func (v *View) mark() uint8 { return 1 << (v.self % 4) }

// accuse adds accusers of a suspect.
func (v *View) accuse(m *Member, who uint16, accusers uint8) {
	if m.accusers|accusers == m.accusers {
		return
	}
	m.accusers |= accusers
	m.gen++
	v.news.push(who, m)
}

// join takes what another one says of a suspect that this router suspects as well.
func (v *View) join(m *Member, c *claim) {
	m.suspectedAt = min(m.suspectedAt, v.now-c.age)
	v.accuse(m, c.who, c.accusers)
}

// answer does what a datagram asks for, after all that it says was taken in.
func (v *View) answer(m *message) {
	from := int(m.from)
	switch m.kind {
	case ping:
		var needs []int
		if !v.members[from].Here() || v.members[from].State == Suspect {
			needs = []int{from}
		}
		v.write(ack, from, m.seq, v.self, v.differs(m), needs)
		v.tellJoining(from)
	case ask:
		if about := int(m.about); about < v.of && about != v.self && about != from {
			v.seq++
			p := probe{target: about, seq: v.seq, asker: from, itsSeq: m.seq, due: v.now + lookupTime}
			v.ping(&p)
			v.probes = append(v.probes, p)
		}
	case ack:
		v.acknowledged(m)
		if len(m.bits) > 0 && int(m.of) == v.of {
			v.repair(from, m.seq, m.bits)
		}
	}
	v.payDebts()
}

// acknowledged ends the probe that an answer is for.
func (v *View) acknowledged(m *message) {
	for i := range v.probes {
		p := v.probes[i]
		if p.seq != m.seq || p.target != int(m.about) {
			continue
		}
		v.probes = append(v.probes[:i], v.probes[i+1:]...)
		switch {
		case p.asker >= 0:
			v.send(ack, p.asker, p.itsSeq, p.target)
		case p.asker == forNobody:
			v.health = max(0, v.health-1)
		}
		return
	}
}
