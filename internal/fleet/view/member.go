// Package view keeps one router's view of its fleet: which of the other routers are alive, their incarnations and phases,
// and the details that they publish about themselves. It implements SWIM (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with the local health awareness of Lifeguard
// (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN-W 2018), in
// datagrams of 256 bytes at most.
//
// The package does no I/O and reads no clock: the caller passes in the datagrams that arrive and the time, and sends the
// datagrams that a view returns. Simulations in virtual time, model checking and the program run the same code.
package view

import (
	"cmp"
	"time"
)

// Incarnation identifies one of the processes that have run under a router's number, and orders what this process has
// announced about itself. The later incarnation is the greater one.
type Incarnation struct {
	Start int64  // start of the process in ms since 1970 by its own clock, which may be wrong; 0 if no process is known
	Count uint16 // increases each time the process refutes a claim about itself or changes its phase
}

// Compare returns a negative number if a is older than b, 0 if they are equal, and a positive number if a is newer.
func (a Incarnation) Compare(b Incarnation) int {
	if a.Start != b.Start {
		return cmp.Compare(a.Start, b.Start)
	}
	return cmp.Compare(a.Count, b.Count)
}

// next returns the incarnation that follows a. When Count overflows, Start increases.
func (a Incarnation) next() Incarnation {
	if a.Count++; a.Count == 0 {
		a.Start++
	}
	return a
}

// nextStart returns the incarnation that a new process takes when a former process, whose clock was ahead, has a later
// start time. It increases Start and not Count, so that routers don't attribute the details of the former process to the
// new one.
func (a Incarnation) nextStart() Incarnation { return Incarnation{Start: a.Start + 1} }

// State is the state in which a router considers another one to be. Of two claims about the same incarnation, the one with the
// greater state is kept.
type State uint8

// The states of a router.
const (
	Alive   State = iota // the router answers, or nobody has claimed that it doesn't; also the state of unknown routers
	Suspect              // a probe of the router failed, and the router has not refuted the suspicion yet
	Dead                 // the router has not refuted a suspicion in time
	Left                 // the router has announced that it shuts down
)

// String implements fmt.Stringer.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s&3] }

// Phase is what a router does for clients.
type Phase uint8

// The phases of a router.
const (
	Starting Phase = iota
	Serving
	Draining
	Stopping
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "stopping"}[p&3]
}

// MaxZone is the greatest zone number that details can carry, because datagrams have seven bits for it. It doesn't limit
// the number of routers: routers of zones with greater numbers are announced as being in this zone, and permits count
// them there.
const MaxZone = 126

// Details are what a router publishes about itself besides its phase. They spread in the space that membership updates
// leave free in datagrams.
type Details struct {
	Seq             uint16 // sequence number, increased by each publication of a process; 0 if nothing is published yet
	VersionHash     uint32 // hash of the program's version
	SettingsHash    uint32 // hash of the router's settings
	RequestRate     uint16 // client requests per second
	Zone            uint8  // number of the router's zone plus 1, at most MaxZone + 1; 0 if the zone is not known
	DuplicateNumber bool   // the router has met another router that uses its number
}

// Member is a router as a view knows it.
type Member struct {
	State       State
	Phase       Phase
	Incarnation Incarnation
	Details     Details
	Since       time.Duration // when the state or the process changed last, by the clock of the view's owner

	accusers    uint8         // bit set of the routers whose probes failed, see accuserBit; for suspects only
	suspectedAt time.Duration // when the earliest known probe failed; for suspects only

	fingerprint uint64 // the member's contribution to the view's checksum
	generation  uint32 // increases with each change, so that the update queue can detect outdated entries
	sentCount   uint8  // sends of the last change by this router, and sends by others that were counted in heardCount
	heardCount  uint8  // how often other routers have made the same claim since this router last sent it

	detailsSentCount uint8 // how often this router has sent the member's details
	detailsQueued    bool  // the member is in the queue of details to be sent
}

// Known reports whether the router has ever been heard of.
func (m *Member) Known() bool { return m.Incarnation.Start != 0 }

// AssumedAlive reports whether the router is assumed to be alive: it is known, and its state is Alive or Suspect.
func (m *Member) AssumedAlive() bool { return m.Known() && m.State <= Suspect }

// claim is what a datagram says about one router.
type claim struct {
	router       uint16
	state        State
	phase        Phase
	accusers     uint8 // four bits, see accuserBit; 0 unless the router is a suspect
	inc          Incarnation
	suspicionAge time.Duration // time since the first probe failed; 0 unless the router is a suspect
}

// supersedes reports whether a claim is to replace what is known about a member. The age of a suspicion and its accusers don't
// matter here.
func (c *claim) supersedes(m *Member) bool {
	if d := c.inc.Compare(m.Incarnation); d != 0 {
		return d > 0
	}
	return c.state > m.State
}
