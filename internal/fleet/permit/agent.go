package permit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Voters returns the numbers of those of n routers that vote on permits: five, or three or one in a small fleet. All routers
// that have the same list of routers get the same voters.
func Voters(n int) (list []int) {
	count := 1
	switch {
	case n >= 5:
		count = 5
	case n >= 3:
		count = 3
	}
	for i := range count {
		list = append(list, i*n/count)
	}
	return list
}

// Numbers of the groups.
const (
	GroupAllRouters      uint16 = 0      // all routers
	GroupFirstRouterZone uint16 = 1      // routers of the first zone; the groups of further zones follow
	GroupAllCaches       uint16 = 0x4000 // all slot caches
	GroupFirstCacheZone  uint16 = 0x4001 // slot caches of the first zone; the groups of further zones follow
	GroupReleases        uint16 = 0x8000 // releases; it has one slot, so that one release runs at a time
)

// zoneGroup returns the group of a zone, where first is the group of the first zone. A negative zone is unknown and has no
// group.
func zoneGroup(first uint16, zone int) (group uint16, ok bool) {
	return first + uint16(min(max(0, zone), MaxZones-1)), zone >= 0
}

// isZoneGroup reports whether group is the group of a zone, where first is the group of the first zone.
func isZoneGroup(group, first uint16, zone int) bool {
	expected, ok := zoneGroup(first, zone)
	return ok && expected == group
}

// isRouterGroup reports whether a group's permits are those of routers. Each router requests its own permit and no other
// router's.
func isRouterGroup(group uint16) bool { return group < GroupAllCaches }

// Bound is the limit on how many members of a group may be out of service: a number, or a fraction of the group.
type Bound struct {
	Number   int
	Fraction float64 // a fraction of the group, up to 1; if it is 0, Number applies
}

// Limit returns the limit for a group of n members. A fraction is rounded down, but to no less than one member.
func (b Bound) Limit(n int) int {
	if b.Fraction <= 0 {
		return min(b.Number, MaxSlots)
	}
	return min(max(1, int(b.Fraction*float64(n))), n, MaxSlots)
}

// FleetState is the state of the fleet as a voter sees it at one moment.
type FleetState struct {
	AliveCount      int           // number of routers that are believed to be alive
	DownRouters     map[int]bool  // routers that don't serve, for whatever reason, by number
	RecentlyStarted map[int]bool  // routers whose current incarnation has been known for less than the longest lease, by number
	RouterZone      func(int) int // returns a router's zone; negative if it is unknown

	CacheZones map[uint32]int  // zones of the slot caches that discovery lists, by ID
	DownCaches map[uint32]bool // listed slot caches that don't serve, by ID
}

// Agent is one router's side of the permits: a voter, if the router is one, and the acquirers of the permits that it requests.
type Agent struct {
	Self, RouterCount int               // this router's number, and how many routers there are
	Zone              int               // this router's zone
	MaxRouters        Bound             // how many routers may be out of service
	MaxRoutersPerZone Bound             // how many routers of a zone, or which fraction of those seen in it; zero sets no limit
	MaxCaches         Bound             // how many slot caches may be out of service
	MaxCachesPerZone  Bound             // how many slot caches of a zone; the zero value sets no limit
	ObserveFleet      func() FleetState // called by the voter
	Random            func() uint64     // returns random bits

	// VisitTakenSlots, if set, calls visit for each slot that a permit is known to hold, however this router has learned of it.
	VisitTakenSlots func(visit func(s Slot, permit uint64))

	voters       []int
	voter        *Voter               // nil if this router is no voter
	ownAcquirer  *Acquirer            // of this router's own permit; nil if none was ever requested
	transferable map[uint64]*Acquirer // acquirers of transferable permits, by permit
	taken        map[Slot]uint64      // slots that are known to be taken since the last tick; nil until they are needed
	outgoing     []Datagram
	rejected     uint64 // number of datagrams that were rejected
}

// Datagram is an encoded message and the router that it is for.
type Datagram struct {
	To   int
	Body []byte
}

// Start prepares the agent, whose process starts at now by its own clock.
func (a *Agent) Start(now time.Duration) {
	a.voters = Voters(a.RouterCount)
	for _, i := range a.voters {
		if i == a.Self {
			a.voter = NewVoter(now)
			a.voter.Allow = a.mayGrant
		}
	}
}

// routerOf returns the number of the router that a permit is for or, of a transferable permit, the router that requested it
// first.
func routerOf(permit uint64) int { return int(permit & 0xffff) }

// mayGrant reports whether a new permit is within the limit of the slot's group. Members that are out of service under other
// permits, and those that are down without a permit, count against the limit, so that a fleet with many failures grants no
// more. A voter that sees no more than half of the fleet alive grants nothing.
func (a *Agent) mayGrant(permit uint64, s Slot) bool {
	fleet := a.ObserveFleet()
	switch {
	case fleet.AliveCount*2 <= a.RouterCount:
		return false
	case s.Group == GroupReleases:
		return s.Number == 0
	case !isRouterGroup(s.Group):
		return a.mayGrantCache(&fleet, permit, s)
	}
	unavailable := map[int]bool{}
	for held, l := range a.voter.leases {
		if held.Group == s.Group {
			unavailable[routerOf(l.permit)] = true
		}
	}
	for i := range fleet.DownRouters {
		if s.Group == GroupAllRouters || fleet.RouterZone != nil && isZoneGroup(s.Group, GroupFirstRouterZone, fleet.RouterZone(i)) {
			unavailable[i] = true
		}
	}
	delete(unavailable, routerOf(permit)) // the requesting router may be out of service already
	if !a.keepsVoterMajority(&fleet, unavailable, routerOf(permit)) {
		return false
	}
	return int(s.Number) < a.groupLimit(s.Group) && len(unavailable) < a.groupLimit(s.Group)
}

// keepsVoterMajority reports whether a majority of the voters can still grant permits while the requesting router is out of
// service, and afterwards while it grants nothing because it has just started. Without a majority no permit could be renewed in
// that time, and all that depends on a permit would be lost. With fewer than three voters no majority could be kept, and the
// result is true.
func (a *Agent) keepsVoterMajority(fleet *FleetState, unavailable map[int]bool, requester int) bool {
	if len(a.voters) < 3 || !slices.Contains(a.voters, requester) {
		return true
	}
	silent := 1 // the requesting router
	for _, i := range a.voters {
		if i != requester && (unavailable[i] || fleet.DownRouters[i] || fleet.RecentlyStarted[i]) {
			silent++
		}
	}
	return silent <= len(a.voters)-Majority(len(a.voters))
}

// groupLimit returns how many members of a group may be out of service.
func (a *Agent) groupLimit(group uint16) int {
	if !isRouterGroup(group) {
		fleet := a.ObserveFleet()
		return a.cacheGroupLimit(&fleet, group)
	}
	if group == GroupAllRouters {
		return a.MaxRouters.Limit(a.RouterCount)
	}
	if a.MaxRoutersPerZone == (Bound{}) {
		return MaxSlots
	}
	if a.MaxRoutersPerZone.Fraction <= 0 {
		return a.MaxRoutersPerZone.Limit(a.RouterCount)
	}
	fleet, n := a.ObserveFleet(), 0
	for i := range a.RouterCount {
		if fleet.RouterZone != nil && isZoneGroup(group, GroupFirstRouterZone, fleet.RouterZone(i)) {
			n++
		}
	}
	return a.MaxRoutersPerZone.Limit(max(1, n)) // a zone in which no router has been seen yet counts as one router
}

// groups returns the groups that limit this router.
func (a *Agent) groups() []uint16 {
	groups := []uint16{GroupAllRouters}
	if zone, ok := zoneGroup(GroupFirstRouterZone, a.Zone); ok && a.MaxRoutersPerZone != (Bound{}) {
		groups = append(groups, zone)
	}
	return groups
}

// Acquire starts to acquire a permit for this router and reports whether it did so. It does nothing while a permit is requested
// or held already.
func (a *Agent) Acquire(now time.Duration) bool {
	if a.Active(now) {
		return false
	}
	permit := a.Random()<<16 | uint64(a.Self)
	a.ownAcquirer = NewAcquirer(permit, len(a.voters), MaxLease)
	groups := a.groups()
	a.ownAcquirer.Choose = func(held map[Slot]uint64) []Slot { return a.chooseSlots(permit, groups, held, nil) }
	r := rand.New(rand.NewPCG(a.Random(), permit))
	a.ownAcquirer.Random = r.Float64
	a.ownAcquirer.Acquire(now)
	a.flush()
	return true
}

// Active reports whether this router's own permit is requested or held.
func (a *Agent) Active(now time.Duration) bool {
	phase := a.Phase(now)
	return phase == Requesting || phase == Holding
}

// Phase returns the phase of this router's own permit.
func (a *Agent) Phase(now time.Duration) Phase {
	if a.ownAcquirer == nil {
		return Idle
	}
	return a.ownAcquirer.Phase(now)
}

// Remaining returns how long this router's own permit lasts if it isn't renewed; 0 if it is not held.
func (a *Agent) Remaining(now time.Duration) time.Duration {
	if a.Phase(now) != Holding {
		return 0
	}
	return a.ownAcquirer.HeldUntil() - now
}

// Release gives this router's own permit back, or stops requesting it. A router that was out of service must serve again before
// the call.
func (a *Agent) Release(now time.Duration) {
	if a.ownAcquirer != nil {
		a.ownAcquirer.Release(now)
		a.flush()
	}
}

// Tick runs the acquirers and queues the messages that are due. It must be called several times a second.
func (a *Agent) Tick(now time.Duration) {
	a.taken = nil
	if a.ownAcquirer != nil {
		a.ownAcquirer.Tick(now)
	}
	for _, acquirer := range a.transferable {
		acquirer.Tick(now)
	}
	a.flush()
}

// flush encodes the requests that the acquirers have queued. Requests to this router's own voter are queued as datagrams too:
// an acquirer doesn't expect a reply while it is still sending a request.
func (a *Agent) flush() {
	if a.ownAcquirer != nil {
		a.send(a.ownAcquirer)
	}
	for _, acquirer := range a.transferable {
		a.send(acquirer)
	}
}

// send queues an acquirer's requests as datagrams.
func (a *Agent) send(acquirer *Acquirer) {
	for _, request := range acquirer.Outgoing() {
		to := a.voters[request.VoterIndex]
		a.outgoing = append(a.outgoing, Datagram{to, AppendRequest(uint16(a.Self), uint16(to), &request.Request)})
	}
}

// Outgoing returns the datagrams that were queued since the last call. The caller passes those that are for this router itself to
// Receive.
func (a *Agent) Outgoing() []Datagram {
	queued := a.outgoing
	a.outgoing = nil
	return queued
}

// Receive handles a datagram from a router.
func (a *Agent) Receive(now time.Duration, from int, b []byte) {
	m, err := Parse(b)
	if err != nil || int(m.From) != from || int(m.To) != a.Self {
		a.rejected++
		return
	}
	switch {
	case m.Request != nil && routerOf(m.Request.Permit) != from && (len(m.Request.Slots) == 0 || slices.ContainsFunc(m.Request.Slots,
		func(s Slot) bool { return isRouterGroup(s.Group) })):
		a.rejected++ // a router's own permit may be requested and given back by that router alone
	case m.Request != nil && a.voter != nil:
		reply := a.voter.Handle(now, m.Request)
		a.outgoing = append(a.outgoing, Datagram{from, AppendReply(uint16(a.Self), m.From, &reply)})
	case m.Reply != nil:
		acquirer := a.ownAcquirer
		if other := a.transferable[m.Reply.Permit]; other != nil {
			acquirer = other
		}
		if i := slices.Index(a.voters, from); i >= 0 && acquirer != nil {
			acquirer.Handle(now, i, m.Reply)
			a.flush()
		}
	}
}

// Holder is a slot and the router whose permit holds it, as a voter knows it.
type Holder struct {
	Router int
	Slot   Slot
}

// Status is the state of the permits at this router, for operators.
type Status struct {
	Phase             Phase         // of this router's own permit
	Remaining         time.Duration // until this router's own permit expires if it isn't renewed; 0 if it is not held
	Reason            string        // reason of the latest refusal, while the permit is requested
	IsVoter           bool          // this router is a voter
	Silent            bool          // this router is a voter that has just started and grants nothing yet
	Holders           []Holder      // known to this voter
	RejectedDatagrams uint64
}

// refusalReason describes why an acquirer that requests a permit has not got it yet.
func refusalReason(acquirer *Acquirer) string {
	for slot, permit := range acquirer.held { // any one of them
		if !isRouterGroup(slot.Group) && slot.Group != GroupReleases {
			return fmt.Sprintf("%s: slot cache s-%08x has place %d", Held, CacheID(permit), slot.Number)
		}
		return fmt.Sprintf("%s: router %d has place %d", Held, routerOf(permit), slot.Number)
	}
	if acquirer.Reason() != Granted {
		return acquirer.Reason().String()
	}
	return "not answered yet"
}

// Status returns the state of the permits at this router.
func (a *Agent) Status(now time.Duration) (s Status) {
	s = Status{Phase: a.Phase(now), Remaining: a.Remaining(now), IsVoter: a.voter != nil, RejectedDatagrams: a.rejected}
	if a.ownAcquirer != nil && s.Phase == Requesting {
		s.Reason = refusalReason(a.ownAcquirer)
	}
	if a.voter != nil {
		s.Silent = now < a.voter.silentUntil
		for slot, permit := range a.voter.Holders(now) {
			s.Holders = append(s.Holders, Holder{routerOf(permit), slot})
		}
	}
	return s
}
