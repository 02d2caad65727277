package view

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config says whose view it is.
type Config struct {
	Self  int           // number of this router
	Of    int           // routers that the configuration tells of, this one included; at most 65,535
	Start time.Time     // of this process, by the wall clock
	Seed  uint64        // for chance
	Now   time.Duration // by the viewer's own clock, which never steps
}

// Datagram is one that is to be sent.
type Datagram struct {
	To   int
	Body []byte
}

// Counts are what has happened since the start.
type Counts struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Bad                     uint64 // not read: spoilt, of another version, not understood
	Strange                 uint64 // whole, and not from or for whom it should be
	ProbesFailed            uint64
	Contradicted            uint64 // said of this router by others, and not so
	Stalls                  uint64 // of this router: its clock went on without it
}

// View is one router's view. It is not safe for use by several goroutines at once.
type View struct {
	self, of int
	now      time.Duration
	rng      rand.PCG
	members  []Member
	own      *Member
	twice    int           // how often another router spoke in this one's name while it lived
	outbid   time.Duration // when that was last contradicted

	sum uint32

	news    queue
	details []uint16 // of whom they are told next, in order
	sights  []sighting

	newSights []Sight // since they were last asked for

	probes    []probe
	order     []uint16 // of the members that are probed next
	next      time.Duration
	turn      uint32
	seq       uint32
	health    int           // 0 is best, see mostHealth
	repairs   int           // datagrams that may still be sent in repair in this period
	churn     float64       // changes, the older the less
	changed   time.Duration // when the last one was
	alike     int           // neighbours in a row that have said the same
	differing time.Duration // since when neighbours have said otherwise; 0: the last one said the same
	suspects  int
	toldAt    time.Duration // when own details were last renewed
	told      Details
	events    []Event
	out       []Datagram
	in        message
	counts    Counts
	leaving   bool
}

// Event is a change of the view.
type Event struct {
	Who    int
	Before Member
	After  Member
}

// New makes the view of a router that knows of nobody but itself.
func New(c Config) *View {
	v := &View{self: c.Self, of: c.Of, now: c.Now, rng: *rand.NewPCG(c.Seed, uint64(c.Self)), members: make([]Member, c.Of), next: c.Now}
	v.own = &v.members[c.Self]
	v.seq = uint32(v.rng.Uint64())
	v.set(c.Self, Member{Inc: Incarnation{Start: max(1, c.Start.UnixMilli())}, Phase: Starting})
	v.news.limit(c.Of)
	return v
}

// Members are all routers of the configuration, by number. The caller must not change them.
func (v *View) Members() []Member { return v.members }

// Counts are the figures since the start.
func (v *View) Counts() Counts { return v.counts }

// Health is 0 for a router that reaches whom it asks, and grows up to 4 with what it fails at.
func (v *View) Health() int { return v.health }

// Sum is the same for two views that say the same of all routers, up to suspicions.
func (v *View) Sum() uint32 { return v.sum }

// Twice tells how often another router has spoken in this one's name.
func (v *View) Twice() int { return v.twice }

// Events gives what has changed since it was last asked.
func (v *View) Events() []Event {
	e := v.events
	v.events = nil
	return e
}

// Out gives what is to be sent since it was last asked.
func (v *View) Out() []Datagram {
	o := v.out
	v.out = nil
	return o
}

// Next is when Tick is due.
func (v *View) Next() time.Duration {
	due := v.next
	for i := range v.probes {
		due = min(due, v.probes[i].due)
	}
	return due
}

func (v *View) intn(n int) int { return int(v.rng.Uint64() % uint64(n)) }

// set gives a member another state, incarnation or phase.
func (v *View) set(who int, m Member) {
	old := v.members[who]
	m.Details, m.detailsSent, m.detailsQueued, m.gen = old.Details, old.detailsSent, old.detailsQueued, old.gen+1
	if m.Inc.Start != old.Inc.Start { // another life tells anew
		m.Details = Details{}
	}
	if m.Since = old.Since; m.State != old.State || m.Inc.Start != old.Inc.Start {
		m.Since = v.now
	}
	m.print = fingerprint(who, &m)
	h := old.print ^ m.print
	v.sum ^= uint32(h)
	v.churn, v.changed, v.alike = v.churn+1, v.now, 0
	if was, is := old.Known() && old.State == Suspect, m.State == Suspect; was != is {
		if v.suspects--; is {
			v.suspects += 2
		}
	}
	v.members[who] = m
	v.news.push(uint16(who), &v.members[who])
	v.events = append(v.events, Event{who, old, m})
}

// fingerprint is what a member adds to the sum of a view. A suspicion passes; it is not in it.
func fingerprint(who int, m *Member) uint64 {
	if !m.Known() {
		return 0
	}
	state := m.State
	if state == Suspect {
		state = Alive
	}
	var b [12]byte
	binary.BigEndian.PutUint16(b[:], uint16(who))
	binary.BigEndian.PutUint64(b[2:], uint64(m.Inc.Start)<<16|uint64(m.Inc.Count))
	b[10], b[11] = byte(state), byte(m.Phase)
	return xxhash.Sum64(b[:])
}

// SetPhase says what this router does for clients from now on.
func (v *View) SetPhase(p Phase) {
	if v.own.Phase == p || v.leaving {
		return
	}
	m := *v.own
	m.Phase, m.Inc = p, m.Inc.next()
	v.set(v.self, m)
}

// farewells is to how many a router that ends says so by itself; they pass it on.
const farewells = 8

// Leave says that this router ends. What it gives to be sent is the last.
func (v *View) Leave(now time.Duration) {
	if v.leaving {
		return
	}
	v.now, v.leaving = now, true
	m := *v.own
	m.State, m.Phase, m.Inc = Left, Stopping, m.Inc.next()
	v.set(v.self, m)
	v.probes = nil
	for _, to := range v.some(farewells, func(i int) bool { return v.members[i].Here() }) {
		v.send(news, to, 0, 0)
	}
}

// some draws up to n others that a test finds good.
func (v *View) some(n int, good func(i int) bool) (list []int) {
	from := v.intn(v.of)
	step := 1 + 2*v.intn(max(1, v.of/2))
	for gcd(step, v.of) != 1 {
		step++
	}
	for k := range v.of {
		if i := (from + k*step) % v.of; i != v.self && good(i) {
			if list = append(list, i); len(list) == n {
				break
			}
		}
	}
	return list
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Receive takes a datagram that came from the address of a router. A negative number is an address that is none of
// the routers'.
func (v *View) Receive(now time.Duration, from int, b []byte) {
	v.clock(now)
	v.counts.Received++
	v.counts.ReceivedBytes += uint64(len(b))
	m := &v.in
	if err := parse(b, m); err != nil {
		v.counts.Bad++
		return
	}
	// A list of peers that is partly wrong must not make one router stand for another.
	if from != int(m.from) || int(m.to) != v.self || from >= v.of || from == v.self || from < 0 {
		v.counts.Strange++
		return
	}
	if v.leaving {
		return
	}
	v.hear(&claim{who: m.from, state: m.state, phase: m.phase, inc: m.inc})
	if m.inc.Compare(v.members[from].Inc) < 0 { // late, or of a life whose clock was set back: it must outbid its former one
		v.news.owe(m.from, m.from)
	}
	for i := range m.claims {
		if c := &m.claims[i]; int(c.who) < v.of {
			if isNew := v.hear(c); !isNew && m.kind == trade && c.inc.Compare(v.members[c.who].Inc) < 0 {
				v.news.owe(m.from, c.who)
			}
		}
	}
	for i := range m.details {
		v.hearDetail(&m.details[i])
	}
	for i := range m.sights {
		v.hearSight(&m.sights[i])
	}
	switch {
	case int(m.of) != v.of:
	case m.sum == v.sum:
		v.differing = 0
		if v.alike++; v.alike == enoughAlike { // as far as can be told all know what is told here
			v.news.settle(v.members)
		}
	default:
		if v.alike = 0; v.differing == 0 {
			v.differing = v.now
		}
	}
	v.answer(m)
}

// hear takes what is said of a router, by itself or by another one, and tells whether it was new.
func (v *View) hear(c *claim) (isNew bool) {
	if int(c.who) == v.self {
		return v.hearOfSelf(c)
	}
	m := &v.members[c.who]
	if c.inc.Start == 0 {
		return false
	}
	if !c.beats(m) {
		if c.state == Suspect && m.State == Suspect && c.inc == m.Inc {
			v.join(m, c)
		}
		if c.inc == m.Inc && c.state == m.State && m.heard < 255 {
			m.heard++
		}
		return false
	}
	after := Member{State: c.state, Phase: c.phase, Inc: c.inc}
	if c.state == Suspect {
		after.accusers, after.suspectedAt = c.accusers, v.now-c.age
	}
	v.set(int(c.who), after)
	return true
}

// outbidEvery bounds what two routers of one number, which contradict each other for ever, cost the fleet.
const outbidEvery = 10 * time.Second

// hearOfSelf contradicts what is not so, and outbids what was said in this router's name: by a former life, whose
// clock may have been ahead of this one's, or by another router that was given the same number.
func (v *View) hearOfSelf(c *claim) bool {
	d := c.inc.Compare(v.own.Inc)
	if d < 0 || d == 0 && c.state == Alive && c.phase == v.own.Phase {
		return false
	}
	if d > 0 && c.state <= Suspect {
		if v.told.Twice && v.now-v.outbid < outbidEvery {
			return false
		}
		v.outbid = v.now
		if v.twice++; v.twice >= 3 && !v.told.Twice { // a former life speaks no more: its word is outbid once, or twice if late
			v.told.Twice = true
			defer v.renew()
		}
	}
	v.counts.Contradicted++
	if c.state == Suspect {
		v.worse()
	}
	m := *v.own
	m.Inc = c.inc.next()
	if c.inc.Start != v.own.Inc.Start {
		m.Inc = c.inc.nextLife()
	}
	v.set(v.self, m)
	if v.told.Seq != 0 && v.own.Details.Seq == 0 { // told in a life that others take for another one now
		v.renew()
	}
	return true
}
