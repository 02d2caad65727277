package view

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the parameters of a view.
type Config struct {
	Self        int           // number of the router whose view it is
	RouterCount int           // number of routers in the configuration, this one included; at most 65,535
	Start       time.Time     // start of this process by the wall clock
	Seed        uint64        // seed of the random source
	Now         time.Duration // current time by the view's own clock, which never steps
}

// Datagram is a datagram that is to be sent to a router.
type Datagram struct {
	To   int
	Body []byte
}

// Counts are numbers of events since the start.
type Counts struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Undecodable             uint64 // received datagrams that are corrupt, malformed or of another version
	Misaddressed            uint64 // intact received datagrams whose sender or receiver is not the expected router
	ProbesFailed            uint64
	Refutations             uint64 // false claims about this router that it has refuted
	Stalls                  uint64 // pauses of this process that were longer than minStall
}

// View is one router's view of its fleet. It is not safe for concurrent use.
type View struct {
	self, routerCount int
	now               time.Duration
	rng               rand.PCG
	members           []Member
	own               *Member       // this router's entry in members
	duplicateCount    int           // see DuplicateCount
	lastOverrideAt    time.Duration // when this router last overrode a claim that was made under its number

	checksum uint32

	updates      updateQueue
	detailQueue  []uint16 // routers whose details are sent next, in this order
	observations []storedObservation

	newObservations []Observation // observations since the last call of NewObservations

	probes             []probe
	probeOrder         []uint16 // the rest of the current round of probes, which is taken from the end
	nextProbeAt        time.Duration
	probeCount         uint32        // probes started, lookups included
	lastSeq            uint32        // sequence number of the last probe
	healthScore        int           // from 0, the best, to maxHealthScore
	repairBudget       int           // remainder of maxRepairs in this period
	recentChanges      float64       // number of changes, in which older ones count less
	lastChangeAt       time.Duration // time of the last change
	agreeing           int           // datagrams in a row with the same view checksum as this view's
	differingSince     time.Duration // since when datagrams have had another view checksum; 0 if the last one had the same
	suspectCount       int
	detailsPublishedAt time.Duration // when this router's details were last published
	ownDetails         Details       // this router's details to publish next
	events             []Event
	outgoing           []Datagram
	received           message // the last datagram, whose memory is used again
	counts             Counts
	leaving            bool
}

// Event is a change of a member of the view.
type Event struct {
	Router int // number of the router that has changed
	Before Member
	After  Member
}

// New returns the view of a router that knows only itself.
func New(c Config) *View {
	v := &View{self: c.Self, routerCount: c.RouterCount, now: c.Now, rng: *rand.NewPCG(c.Seed, uint64(c.Self)), members: make([]Member, c.RouterCount),
		nextProbeAt: c.Now}
	v.own = &v.members[c.Self]
	v.lastSeq = uint32(v.rng.Uint64())
	v.setMember(c.Self, Member{Incarnation: Incarnation{Start: max(1, c.Start.UnixMilli())}, Phase: Starting})
	v.updates.setRouterCount(c.RouterCount)
	return v
}

// Members returns all routers of the configuration, by number. The caller must not change them.
func (v *View) Members() []Member { return v.members }

// Counts returns the numbers of events since the start.
func (v *View) Counts() Counts { return v.counts }

// HealthScore returns a score from 0 to 4. It is 0 if the routers that this one probes answer, and increases with failed
// probes, stalls of this process and suspicions against it.
func (v *View) HealthScore() int { return v.healthScore }

// Checksum returns a checksum of the view. It is equal for two views that agree on all routers, suspicions aside.
func (v *View) Checksum() uint32 { return v.checksum }

// DuplicateCount returns how often a claim with a later incarnation than this router's was made under this router's
// number. One or two such claims may come from a former process, further ones come from another router with the same
// number.
func (v *View) DuplicateCount() int { return v.duplicateCount }

// Events returns the changes since the last call.
func (v *View) Events() []Event {
	events := v.events
	v.events = nil
	return events
}

// Outgoing returns the datagrams that are to be sent and were not returned by an earlier call.
func (v *View) Outgoing() []Datagram {
	outgoing := v.outgoing
	v.outgoing = nil
	return outgoing
}

// NextTick returns the time at which Tick is due.
func (v *View) NextTick() time.Duration {
	due := v.nextProbeAt
	for i := range v.probes {
		due = min(due, v.probes[i].dueAt)
	}
	return due
}

func (v *View) randomInt(n int) int { return int(v.rng.Uint64() % uint64(n)) }

// setMember sets the state, incarnation and phase of a router, and queues the change as an update and an event.
func (v *View) setMember(router int, m Member) {
	old := v.members[router]
	m.Details, m.detailsSentCount, m.detailsQueued, m.generation =
		old.Details, old.detailsSentCount, old.detailsQueued, old.generation+1
	if m.Incarnation.Start != old.Incarnation.Start { // the details describe the former process
		m.Details = Details{}
	}
	if m.Since = old.Since; m.State != old.State || m.Incarnation.Start != old.Incarnation.Start {
		m.Since = v.now
	}
	m.fingerprint = fingerprint(router, &m)
	difference := old.fingerprint ^ m.fingerprint
	v.checksum ^= uint32(difference)
	v.recentChanges, v.lastChangeAt, v.agreeing = v.recentChanges+1, v.now, 0
	if wasSuspect, isSuspect := old.Known() && old.State == Suspect, m.State == Suspect; wasSuspect != isSuspect {
		if v.suspectCount--; isSuspect {
			v.suspectCount += 2
		}
	}
	v.members[router] = m
	v.updates.push(uint16(router), &v.members[router])
	v.events = append(v.events, Event{router, old, m})
}

// fingerprint returns a member's contribution to the checksum of a view. It does not cover suspicions, because they are
// temporary.
func fingerprint(router int, m *Member) uint64 {
	if !m.Known() {
		return 0
	}
	state := m.State
	if state == Suspect {
		state = Alive
	}
	var b [12]byte
	binary.BigEndian.PutUint16(b[:], uint16(router))
	binary.BigEndian.PutUint64(b[2:], uint64(m.Incarnation.Start)<<16|uint64(m.Incarnation.Count))
	b[10], b[11] = byte(state), byte(m.Phase)
	return xxhash.Sum64(b[:])
}

// SetPhase sets what this router does for clients.
func (v *View) SetPhase(p Phase) {
	if v.own.Phase == p || v.leaving {
		return
	}
	m := *v.own
	m.Phase, m.Incarnation = p, m.Incarnation.next()
	v.setMember(v.self, m)
}

// leaveNotices is the number of routers to which a leaving router announces that it leaves. They pass the announcement on.
const leaveNotices = 8

// Leave announces that this router shuts down. The view queues no datagrams after these announcements.
func (v *View) Leave(now time.Duration) {
	if v.leaving {
		return
	}
	v.now, v.leaving = now, true
	m := *v.own
	m.State, m.Phase, m.Incarnation = Left, Stopping, m.Incarnation.next()
	v.setMember(v.self, m)
	v.probes = nil
	for _, to := range v.pickOthers(leaveNotices, func(i int) bool { return v.members[i].AssumedAlive() }) {
		v.send(kindUpdate, to, 0, 0)
	}
}

// pickOthers returns up to n random routers, other than this one, that are eligible.
func (v *View) pickOthers(n int, eligible func(i int) bool) (list []int) {
	first := v.randomInt(v.routerCount)
	step := 1 + 2*v.randomInt(max(1, v.routerCount/2))
	for gcd(step, v.routerCount) != 1 {
		step++
	}
	for k := range v.routerCount {
		if i := (first + k*step) % v.routerCount; i != v.self && eligible(i) {
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

// Receive handles a datagram that came from the address of the router with the number from. The number is negative if no
// router has the address.
func (v *View) Receive(now time.Duration, from int, b []byte) {
	v.advanceClock(now)
	v.counts.Received++
	v.counts.ReceivedBytes += uint64(len(b))
	m := &v.received
	if err := parse(b, m); err != nil {
		v.counts.Undecodable++
		return
	}
	// The sender must be the router that has the address in this router's configuration. An error in the configuration must not
	// make one router act as another.
	if from != int(m.from) || int(m.to) != v.self || from >= v.routerCount || from == v.self || from < 0 {
		v.counts.Misaddressed++
		return
	}
	if v.leaving {
		return
	}
	v.handleClaim(&claim{router: m.from, state: m.state, phase: m.phase, inc: m.inc})
	// The datagram was delayed, or its sender restarted after its clock was set back. In the second case the sender must
	// learn of the incarnation of its former process, so that it can take a later one.
	if m.inc.Compare(v.members[from].Incarnation) < 0 {
		v.updates.addCorrection(m.from, m.from)
	}
	for i := range m.claims {
		if c := &m.claims[i]; int(c.router) < v.routerCount {
			if isNew := v.handleClaim(c); !isNew && m.kind == kindExchange && c.inc.Compare(v.members[c.router].Incarnation) < 0 {
				v.updates.addCorrection(m.from, c.router)
			}
		}
	}
	for i := range m.details {
		v.handleDetail(&m.details[i])
	}
	for i := range m.observations {
		v.storeObservation(&m.observations[i])
	}
	switch {
	case int(m.routerCount) != v.routerCount:
	case m.viewChecksum == v.checksum:
		v.differingSince = 0
		if v.agreeing++; v.agreeing == enoughAgreeing { // all routers probably know the queued updates
			v.updates.keepSuspicionsOnly(v.members)
		}
	default:
		if v.agreeing = 0; v.differingSince == 0 {
			v.differingSince = v.now
		}
	}
	v.respond(m)
}

// handleClaim handles a claim that a router makes about itself or about another one, and reports whether it was new.
func (v *View) handleClaim(c *claim) (isNew bool) {
	if int(c.router) == v.self {
		return v.handleClaimAboutSelf(c)
	}
	m := &v.members[c.router]
	if c.inc.Start == 0 {
		return false
	}
	if !c.supersedes(m) {
		if c.state == Suspect && m.State == Suspect && c.inc == m.Incarnation {
			v.mergeSuspicion(m, c)
		}
		if c.inc == m.Incarnation && c.state == m.State && m.heardCount < 255 {
			m.heardCount++
		}
		return false
	}
	after := Member{State: c.state, Phase: c.phase, Incarnation: c.inc}
	if c.state == Suspect {
		after.accusers, after.suspectedAt = c.accusers, v.now-c.suspicionAge
	}
	v.setMember(int(c.router), after)
	return true
}

// minOverrideInterval limits the load that two routers with the same number cause, because they override each other's
// claims for ever.
const minOverrideInterval = 10 * time.Second

// handleClaimAboutSelf refutes false claims about this router. It also overrides claims that were made under this router's
// number, either by a former process whose clock may have been ahead of this one's, or by another router with the same
// number. In both cases this router takes a later incarnation than that of the claim.
func (v *View) handleClaimAboutSelf(c *claim) bool {
	order := c.inc.Compare(v.own.Incarnation)
	if order < 0 || order == 0 && c.state == Alive && c.phase == v.own.Phase {
		return false
	}
	if order > 0 && c.state <= Suspect {
		if v.ownDetails.DuplicateNumber && v.now-v.lastOverrideAt < minOverrideInterval {
			return false
		}
		v.lastOverrideAt = v.now
		// A former process sends no more claims: it is overridden once, or twice if a claim of it arrives late. From the third
		// time on, another router must be using this number.
		if v.duplicateCount++; v.duplicateCount >= 3 && !v.ownDetails.DuplicateNumber {
			v.ownDetails.DuplicateNumber = true
			defer v.publishDetails()
		}
	}
	v.counts.Refutations++
	if c.state == Suspect {
		v.raiseHealthScore()
	}
	m := *v.own
	m.Incarnation = c.inc.next()
	if c.inc.Start != v.own.Incarnation.Start {
		m.Incarnation = c.inc.nextStart()
	}
	v.setMember(v.self, m)
	// To the other routers this is a new process, so its details are sent again.
	if v.ownDetails.Seq != 0 && v.own.Details.Seq == 0 {
		v.publishDetails()
	}
	return true
}
