// Package view keeps one router's view of its fleet: which of the other routers live, in which life and phase, and what
// they tell of themselves. It is SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002) with the local health of Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", DSN-W 2018), in datagrams of 256 bytes at most.
//
// It has neither I/O nor clock: it is told what has come and what time it is, and gives what is to be sent. Virtual time,
// model checking and the program run the same code.
package view

import (
	"cmp"
	"time"
)

// Incarnation tells the lives of a router apart, and within one what it has said of itself. A later one is greater.
type Incarnation struct {
	Start int64  // of the process, in ms since 1970 by its own clock, which may be wrong; 0: never heard of
	Count uint16 // how often it has contradicted what was said of it, or changed its phase
}

// Compare is negative where a is older than b.
func (a Incarnation) Compare(b Incarnation) int {
	if a.Start != b.Start {
		return cmp.Compare(a.Start, b.Start)
	}
	return cmp.Compare(a.Count, b.Count)
}

func (a Incarnation) next() Incarnation {
	if a.Count++; a.Count == 0 {
		a.Start++
	}
	return a
}

// nextLife is the first incarnation of a life that follows one whose clock was ahead. What that life has told of itself is not held to
// be of this one, as it would be by a greater count.
func (a Incarnation) nextLife() Incarnation { return Incarnation{Start: a.Start + 1} }

// State is what a router is taken for. Of two that are said of one incarnation the greater holds.
type State uint8

// The states.
const (
	Alive   State = iota // it answers, or nobody has said that it doesn't; with no incarnation: never heard of
	Suspect              // someone got no answer, and it has not contradicted yet
	Dead                 // it has not contradicted in time
	Left                 // it has said that it ends
)

// String implements fmt.Stringer.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s&3] }

// Phase is what a router does for clients.
type Phase uint8

// The phases.
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

// MostZone is the greatest number of a zone that details tell, in the seven bits that a datagram has for it. It bounds zones, not
// routers: those of further zones are told, and counted by permits, as of this one.
const MostZone = 126

// Details are what a router tells of itself beside its phase. They spread in the room that news leaves.
type Details struct {
	Seq      uint16 // of what one life tells, the later the greater; 0: nothing told yet
	Version  uint32 // hash of the program's version
	Settings uint32 // hash of its settings
	Rate     uint16 // requests a second
	Zone     uint8  // its zone's number and one more, up to MostZone and one more; 0: not told
	Twice    bool   // it has met another router of its number
}

// Member is one router as it is seen.
type Member struct {
	State   State
	Phase   Phase
	Inc     Incarnation
	Details Details
	Since   time.Duration // when the state or the life changed, by the viewer's clock

	accusers    uint8         // marks of those that have found it silent
	suspectedAt time.Duration // when the first of them did, as far as is known

	print uint64 // what it adds to the sum of the view
	gen   uint32 // changes with each change, for the queue of news
	sent  uint8  // how often it has been sent since
	heard uint8  // how often others have said the same since it was last sent

	detailsSent   uint8
	detailsQueued bool
}

// Known tells whether the router has ever been heard of.
func (m *Member) Known() bool { return m.Inc.Start != 0 }

// Here tells whether it is taken to live.
func (m *Member) Here() bool { return m.Known() && m.State <= Suspect }

// claim is what a datagram says of one router.
type claim struct {
	who      uint16
	state    State
	phase    Phase
	accusers uint8 // of a suspect, four marks
	inc      Incarnation
	age      time.Duration // of a suspicion
}

// beats tells whether a claim says more than what is held, the age and number of accusers of a suspicion aside.
func (c *claim) beats(m *Member) bool {
	if d := c.inc.Compare(m.Inc); d != 0 {
		return d > 0
	}
	return c.state > m.State
}
