package permit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Electors are the numbers of those of n routers whose majority grants: five, or three or one of a small fleet, the same for
// all that have the same list.
func Electors(n int) (list []int) {
	e := 1
	switch {
	case n >= 5:
		e = 5
	case n >= 3:
		e = 3
	}
	for i := range e {
		list = append(list, i*n/e)
	}
	return list
}

// Groups are numbered so: of routers, of slot caches, and the one place of a release.
const (
	WholeFleet     uint16 = 0
	FirstZone      uint16 = 1
	AllCaches      uint16 = 0x4000
	FirstCacheZone uint16 = 0x4001
	Releases       uint16 = 0x8000
)

// zoneGroup is the group of a zone among those that begin with the first zone's; a negative zone is not known, and has none.
func zoneGroup(first uint16, zone int) (group uint16, ok bool) {
	return first + uint16(min(max(0, zone), MostZones-1)), zone >= 0
}

// inZone tells whether a zone's group is this one.
func inZone(group, first uint16, zone int) bool {
	its, ok := zoneGroup(first, zone)
	return ok && its == group
}

// ofRouters tells whether a group's permits are those of routers, each asked for by that router alone.
func ofRouters(group uint16) bool { return group < AllCaches }

// Bound is how many routers of a group may be out: a number, or a part of the group.
type Bound struct {
	Number int
	Part   float64 // of 1; 0: Number is meant
}

// Of is the bound for a group of n. A part is rounded down, but lets one be out where it lets any.
func (b Bound) Of(n int) int {
	if b.Part <= 0 {
		return min(b.Number, MostPlaces)
	}
	return min(max(1, int(b.Part*float64(n))), n, MostPlaces)
}

// Sight is what an elector sees of the fleet at a moment.
type Sight struct {
	Alive int           // routers that live, as far as is seen
	Down  map[int]bool  // routers that don't serve, whatever the reason, by number
	Young map[int]bool  // and those that have been seen in this life for less than the longest lease
	Zone  func(int) int // of a router; negative: not known

	Caches     map[uint32]int  // slot caches that are listed, with their zones
	CachesDown map[uint32]bool // and those of them that don't serve
}

// Agent is one router's side of permits: an elector, where it is one, and the seeker of its own permit.
type Agent struct {
	Self, Of int
	Zone     int           // of this router
	Fleet    Bound         // how many routers may be out
	PerZone  Bound         // and how many of a zone, a part of those seen in it; the zero value: any number
	Caches   Bound         // how many slot caches may be out
	OfZone   Bound         // and how many of a zone; the zero value: any number
	See      func() Sight  // asked by electors
	Chance   func() uint64 // random bits

	// Told, if set, visits the places that others are known to hold, by whatever way this router has heard of them.
	Told func(visit func(s Slot, permit uint64))

	electors []int
	elector  *Elector           // nil: another one's task
	seeker   *Seeker            // nil: nothing is wanted
	others   map[uint64]*Seeker // of permits that are not this router's own, by permit
	taken    map[Slot]uint64    // places that are known to be taken, since the last tick; nil: not asked for yet
	out      []Datagram
	bad      uint64
}

// Datagram is one that is to be sent.
type Datagram struct {
	To   int
	Body []byte
}

// Start begins, by the agent's own clock.
func (a *Agent) Start(now time.Duration) {
	a.electors = Electors(a.Of)
	for _, i := range a.electors {
		if i == a.Self {
			a.elector = NewElector(now)
			a.elector.Allow = a.allow
		}
	}
}

// number of the router that a permit is for, or that has asked for it first.
func number(permit uint64) int { return int(permit & 0xffff) }

// allow holds a new permit against the bound: what is out by other permits, and what is down without one, uses up places too,
// so that a fleet in trouble grants no more. An elector that sees less than half of the fleet grants nothing.
func (a *Agent) allow(permit uint64, s Slot) bool {
	sight := a.See()
	switch {
	case sight.Alive*2 <= a.Of:
		return false
	case s.Group == Releases:
		return s.Number == 0
	case !ofRouters(s.Group):
		return a.allowCache(&sight, permit, s)
	}
	out := map[int]bool{}
	for held, l := range a.elector.leases {
		if held.Group == s.Group {
			out[number(l.permit)] = true
		}
	}
	for i := range sight.Down {
		if s.Group == WholeFleet || sight.Zone != nil && inZone(s.Group, FirstZone, sight.Zone(i)) {
			out[i] = true
		}
	}
	delete(out, number(permit)) // the seeker itself may be out already
	if !a.leavesMajority(&sight, out, number(permit)) {
		return false
	}
	return int(s.Number) < a.bound(s.Group) && len(out) < a.bound(s.Group)
}

// leavesMajority tells whether a majority of the electors can grant while a router is out and for as long as it is silent after it:
// else no permit could be renewed meanwhile, and all that goes by one would be lost. Where there are one or two electors in all, or
// three routers, that can't be helped.
func (a *Agent) leavesMajority(sight *Sight, out map[int]bool, seeker int) bool {
	if len(a.electors) < 3 || !slices.Contains(a.electors, seeker) {
		return true
	}
	silent := 1 // the seeker
	for _, e := range a.electors {
		if e != seeker && (out[e] || sight.Down[e] || sight.Young[e]) {
			silent++
		}
	}
	return silent <= len(a.electors)-Majority(len(a.electors))
}

func (a *Agent) bound(group uint16) int {
	if !ofRouters(group) {
		sight := a.See()
		return a.boundCaches(&sight, group)
	}
	if group == WholeFleet {
		return a.Fleet.Of(a.Of)
	}
	if a.PerZone == (Bound{}) {
		return MostPlaces
	}
	if a.PerZone.Part <= 0 {
		return a.PerZone.Of(a.Of)
	}
	sight, n := a.See(), 0
	for i := range a.Of {
		if sight.Zone != nil && inZone(group, FirstZone, sight.Zone(i)) {
			n++
		}
	}
	return a.PerZone.Of(max(1, n)) // of a zone that nobody has told of yet one may be out
}

// groups are those that bound this router.
func (a *Agent) groups() []uint16 {
	groups := []uint16{WholeFleet}
	if zone, ok := zoneGroup(FirstZone, a.Zone); ok && a.PerZone != (Bound{}) {
		groups = append(groups, zone)
	}
	return groups
}

// Want asks for a permit, and tells whether that is new: one that is asked for or held goes on.
func (a *Agent) Want(now time.Duration) bool {
	if a.Wants(now) {
		return false
	}
	id := a.Chance()<<16 | uint64(a.Self)
	a.seeker = NewSeeker(id, len(a.electors), MostLease)
	groups := a.groups()
	a.seeker.Choose = func(held map[Slot]uint64) []Slot { return a.choose(id, groups, held, nil) }
	r := rand.New(rand.NewPCG(a.Chance(), id))
	a.seeker.Chance = r.Float64
	a.seeker.Want(now)
	a.flush()
	return true
}

// Wants tells whether a permit is asked for or held.
func (a *Agent) Wants(now time.Duration) bool {
	p := a.Phase(now)
	return p == Asking || p == Holding
}

// Phase is where this router's own permit stands.
func (a *Agent) Phase(now time.Duration) Phase {
	if a.seeker == nil {
		return Idle
	}
	return a.seeker.Phase(now)
}

// Left is how long a permit that is held lasts if it isn't renewed.
func (a *Agent) Left(now time.Duration) time.Duration {
	if a.Phase(now) != Holding {
		return 0
	}
	return a.seeker.Until() - now
}

// Return gives the permit back, once this router serves again, or wants it no more.
func (a *Agent) Return(now time.Duration) {
	if a.seeker != nil {
		a.seeker.Return(now)
		a.flush()
	}
}

// Tick does what is due; it wants to be called several times a second.
func (a *Agent) Tick(now time.Duration) {
	a.taken = nil
	if a.seeker != nil {
		a.seeker.Tick(now)
	}
	for _, s := range a.others {
		s.Tick(now)
	}
	a.flush()
}

// flush puts what the seekers want sent into datagrams. An elector is asked by way of the network even by itself: an answer that
// comes within the asking has no place in a seeker's turns.
func (a *Agent) flush() {
	if a.seeker != nil {
		a.send(a.seeker)
	}
	for _, s := range a.others {
		a.send(s)
	}
}

func (a *Agent) send(k *Seeker) {
	for _, s := range k.Out() {
		to := a.electors[s.To]
		a.out = append(a.out, Datagram{to, AppendAsk(uint16(a.Self), uint16(to), &s.Ask)})
	}
}

// Out gives what is to be sent since it was last asked. What is for this router itself is to be handed to Receive.
func (a *Agent) Out() []Datagram {
	o := a.out
	a.out = nil
	return o
}

// Receive takes a datagram from a router.
func (a *Agent) Receive(now time.Duration, from int, b []byte) {
	m, err := Parse(b)
	if err != nil || int(m.From) != from || int(m.To) != a.Self {
		a.bad++
		return
	}
	switch {
	case m.Ask != nil && number(m.Ask.Permit) != from && (len(m.Ask.Slots) == 0 || slices.ContainsFunc(m.Ask.Slots,
		func(s Slot) bool { return ofRouters(s.Group) })):
		a.bad++ // a router's permit is asked for and given back by itself alone
	case m.Ask != nil && a.elector != nil:
		r := a.elector.Take(now, m.Ask)
		a.out = append(a.out, Datagram{from, AppendReply(uint16(a.Self), m.From, &r)})
	case m.Reply != nil:
		k := a.seeker
		if other := a.others[m.Reply.Permit]; other != nil {
			k = other
		}
		if i := slices.Index(a.electors, from); i >= 0 && k != nil {
			k.Take(now, i, m.Reply)
			a.flush()
		}
	}
}

// Holder is one that is out by permit, as an elector knows.
type Holder struct {
	Router int
	Slot   Slot
}

// Status is how things stand, for operators.
type Status struct {
	Phase   Phase
	Left    time.Duration
	Why     string   // for which it was last refused, while it asks
	Elector bool     // this router is one
	Silent  bool     // an elector that has just started
	Holders []Holder // known to this elector
	Bad     uint64   // datagrams that were not taken
}

// why tells for what a seeker that asks was last refused.
func why(k *Seeker) string {
	for slot, by := range k.held { // one of them
		if !ofRouters(slot.Group) && slot.Group != Releases {
			return fmt.Sprintf("%s: slot cache s-%08x has place %d", Held, CacheOf(by), slot.Number)
		}
		return fmt.Sprintf("%s: router %d has place %d", Held, number(by), slot.Number)
	}
	if k.Why() != Granted {
		return k.Why().String()
	}
	return "not answered yet"
}

// Status tells how things stand.
func (a *Agent) Status(now time.Duration) (s Status) {
	s = Status{Phase: a.Phase(now), Left: a.Left(now), Elector: a.elector != nil, Bad: a.bad}
	if a.seeker != nil && s.Phase == Asking {
		s.Why = why(a.seeker)
	}
	if a.elector != nil {
		s.Silent = now < a.elector.silent
		for slot, by := range a.elector.Holders(now) {
			s.Holders = append(s.Holders, Holder{number(by), slot})
		}
	}
	return s
}
